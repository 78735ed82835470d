// Command standin plays one case of the review: it starts the project's controllers as the platform
// does, beside stand-ins of the state service, the cloud, the workers and the users.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
)

// current is the deployment that is running.
var current atomic.Pointer[world]

var cases = map[string]func(recordPath string, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the repository's root")
		os.Exit(2)
	}
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", r)
			os.Exit(2)
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		if w := current.Load(); w != nil {
			w.cannotRun("it was stopped")
		}
		os.Exit(2)
	}()
	os.Exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// team makes the settings of a team.
func team(name string, gpus, gpusMax float64) string {
	return fmt.Sprintf("[[facts.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = %.1f\ngpus_max = %.1f\n\n", name, gpus, gpusMax)
}

// members is the small deployment of himal-members.toml.
func members() settings {
	var teams strings.Builder
	for _, t := range []string{"club-desk", "payments", "growth", "records", "platform", "partners"} {
		teams.WriteString(team(t, 0, 0))
	}
	return settings{
		zones:  []string{"delhi-cloud", "kathmandu-dc", "pokhara-dc"},
		report: 3, lease: 26, gangWait: 35, gangPeer: 6, cancel: 51,
		stateRPS: 200, writeRPS: 40, valueKB: 8, txnOps: 12, cloudRPS: 6, listLag: 5,
		cpu: 0.18, memoryMB: 125, connections: 1800, restart: 4, teams: teams.String(),
	}
}

func membersTypes(sherpa, everest int) []*machineType {
	return []*machineType{
		{label: "sherpa-box", cores: 32, gpus: 4, memory: 256, cache: 120, fetch: 1, hourly: 8.25, spot: 2.31, ready: 40, zones: []string{"kathmandu-dc", "pokhara-dc"}, capacity: sherpa},
		{label: "everest-box", cores: 96, gpus: 8, memory: 768, cache: 150, fetch: 0.5, hourly: 20.35, spot: 6.24, ready: 45, zones: []string{"delhi-cloud", "kathmandu-dc", "pokhara-dc"}, capacity: everest},
	}
}

// foldrenges is the small deployment of hsos-foldrenges.toml, with some of its teams.
func foldrenges() settings {
	var teams strings.Builder
	for i := range 16 {
		teams.WriteString(team(fmt.Sprintf("duty-analysts-%02d", i), 8, 12))
	}
	return settings{
		zones:  []string{"szeged-annex", "budapest-hall", "sopron-vault"},
		report: 3, lease: 24, gangWait: 50, gangPeer: 8, cancel: 54,
		stateRPS: 150, writeRPS: 35, valueKB: 8, txnOps: 12, cloudRPS: 4, listLag: 3,
		cpu: 0.3, memoryMB: 234, connections: 3000, restart: 3, teams: teams.String(),
	}
}

func foldrengesTypes(small, large int) []*machineType {
	return []*machineType{
		{label: "tisza-small", cores: 12, gpus: 2, memory: 48, cache: 80, fetch: 0.4, hourly: 4.24, spot: 1.67, ready: 25, zones: []string{"szeged-annex", "budapest-hall", "sopron-vault"}, capacity: small},
		{label: "duna-large", cores: 32, gpus: 4, memory: 128, cache: 100, fetch: 0.4, hourly: 11.39, spot: 4.69, ready: 35, zones: []string{"budapest-hall"}, capacity: large},
	}
}

// wing is the deployment of hso-infrasound-wing.toml at its small size.
func wing() settings {
	return settings{
		zones:  []string{"tata-quarry-rack", "eger-hillroom", "pecs-cellar"},
		report: 2.5, lease: 16, gangWait: 40, gangPeer: 4, cancel: 46,
		stateRPS: 80, writeRPS: 20, valueKB: 8, txnOps: 12, cloudRPS: 4, listLag: 5,
		cpu: 0.36, memoryMB: 125, connections: 1500, restart: 5, teams: team("infrasound-desk", 8, 24),
	}
}

func wingTypes(capacity int) []*machineType {
	return []*machineType{
		{label: "balaton-gpu12", cores: 12, gpus: 2, memory: 48, cache: 100, fetch: 0.2, hourly: 6.01, spot: 2.17, ready: 25, zones: []string{"tata-quarry-rack", "eger-hillroom", "pecs-cellar"}, capacity: capacity},
	}
}
