// standin2 plays the cases of the second review: stand-ins of the state service, the cloud, the
// workers and the users, around controllers that run as processes of their own.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func main() {
	name := flag.String("case", "", "name of the case")
	repo := flag.String("repo", ".", "the repository")
	out := flag.String("record", "", "the record to write")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	if *out != "" {
		f, err := os.Create(*out)
		fatal(err)
		record.file = f
	}
	abs, err := filepath.Abs(*repo)
	fatal(err)
	dir, err := os.MkdirTemp("", "review-case-")
	fatal(err)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		killAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	longest := 118 * time.Second
	if *name == "large-gang" {
		longest = 270 * time.Second
	}
	go func() {
		time.Sleep(longest)
		logf("couldn't finish in time")
		killAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	play, ok := cases[*name]
	if !ok {
		fatal(fmt.Errorf("no case %q", *name))
	}
	logf("case %s, trouble %v", *name, trouble)
	code := play(abs, dir, trouble)
	killAll()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		os.MkdirAll(keep, 0o755)
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, l := range logs {
			b, _ := os.ReadFile(l)
			os.WriteFile(filepath.Join(keep, filepath.Base(l)), b, 0o644)
		}
	}
	os.RemoveAll(dir)
	logf("exit %d", code)
	os.Exit(code)
}

// cases are the cases by name. Each returns 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
var cases = map[string]func(repo, dir string, trouble bool) int{}

// himal is the small deployment of kit/sites/himal-members.toml, with machines that boot quickly.
func himal() (*world, siteFacts) {
	w := &world{reportS: 3, leaseS: 26, gangWaitS: 35, gangPeerS: 6, cancelS: 51, listLagS: 5}
	w.types = []*machineType{
		{name: "sherpa-box", cores: 32, gpus: 4, memory: 256, cache: 120, fetch: 1, price: 8.25, spot: 2.31, bootS: 40, zones: []string{"kathmandu-dc", "pokhara-dc"}, realBoot: 1500 * time.Millisecond},
		{name: "everest-box", cores: 96, gpus: 8, memory: 768, cache: 150, fetch: 0.5, price: 20.35, spot: 6.24, bootS: 45, zones: []string{"delhi-cloud", "kathmandu-dc", "pokhara-dc"}, realBoot: 1500 * time.Millisecond},
	}
	caps := map[string][2]int{
		"sherpa-box kathmandu-dc": {10, 3}, "sherpa-box pokhara-dc": {7, 2},
		"everest-box delhi-cloud": {3, 1}, "everest-box kathmandu-dc": {3, 1}, "everest-box pokhara-dc": {3, 1},
	}
	w.capacity = func(t, z string, spot bool) int {
		c := caps[t+" "+z]
		if spot {
			return c[1]
		}
		return c[0]
	}
	for _, t := range []string{"club-desk", "payments", "growth", "records", "platform", "partners"} {
		w.teams = append(w.teams, team{name: t})
	}
	f := siteFacts{
		nodeZones: []string{"delhi-cloud", "kathmandu-dc", "pokhara-dc"}, zones: []string{"delhi-cloud", "kathmandu-dc", "pokhara-dc"},
		rps: 200, writeRPS: 40, valueKB: 8, txnOps: 12, cloudRPS: 6, cpu: 0.18, memoryMB: 125, connections: 1800, clockOffMS: 1000,
	}
	return w, f
}

func array(ref, class, owner string, shards int, cores, gpus, memory, expect, runS float64) *spec {
	return &spec{Ref: ref, Jobclass: class, Owner: owner, Shape: "array", Rank: "standard", Shards: shards, Cores: cores, Gpus: gpus, MemoryGb: memory,
		Bundle: "img-1", SizeGb: 0.2, Reclaimable: true, ExpectS: expect, runS: runS}
}
