package main

import (
	"fmt"
	"time"
)

// hsos is the small deployment of kit/sites/hsos-foldrenges.toml, with machines that boot quickly. The
// settings have the teams and the objectives of the example in DEPLOY.
func hsos() (*world, siteFacts) {
	w := &world{reportS: 3, leaseS: 24, gangWaitS: 50, gangPeerS: 8, cancelS: 54, listLagS: 3}
	w.types = []*machineType{
		{name: "tisza-small", cores: 12, gpus: 2, memory: 48, cache: 80, fetch: 0.4, price: 4.24, spot: 1.67, bootS: 25, zones: []string{"budapest-hall", "sopron-vault", "piszkes-hub"}, realBoot: 1500 * time.Millisecond},
		{name: "duna-large", cores: 32, gpus: 4, memory: 128, cache: 100, fetch: 0.4, price: 11.39, spot: 4.69, bootS: 35, zones: []string{"szeged-annex", "budapest-hall", "sopron-vault", "piszkes-hub"}, realBoot: 1500 * time.Millisecond},
	}
	caps := map[string][2]int{
		"tisza-small budapest-hall": {3, 1}, "tisza-small sopron-vault": {4, 1}, "tisza-small piszkes-hub": {5, 2},
		"duna-large szeged-annex": {2, 1}, "duna-large budapest-hall": {2, 1}, "duna-large sopron-vault": {3, 2}, "duna-large piszkes-hub": {3, 2},
	}
	w.capacity = func(t, z string, spot bool) int {
		c := caps[t+" "+z]
		if spot {
			return c[1]
		}
		return c[0]
	}
	for i := range 16 {
		w.teams = append(w.teams, team{name: fmt.Sprintf("duty-analysts-%02d", i), gpus: 8, gpusMax: 12})
	}
	f := siteFacts{
		nodeZones: []string{"szeged-annex", "budapest-hall", "sopron-vault"}, zones: []string{"budapest-hall", "piszkes-hub", "sopron-vault", "szeged-annex"},
		rps: 150, writeRPS: 35, valueKB: 8, txnOps: 12, cloudRPS: 4, cpu: 0.3, memoryMB: 234, connections: 3000, clockOffMS: 250,
	}
	for _, o := range []struct {
		kind, class   string
		within, share float64
	}{
		{"wait", "live-picker", 15, 0.8}, {"wait", "picker-training", 18, 0.85}, {"wait", "picker-training", 30, 0.9},
		{"finished", "picker-training", 250, 0.9}, {"wait", "locator-training", 60, 0.85}, {"finished", "locator-training", 200, 0.85},
	} {
		f.objectives += fmt.Sprintf("\n[[facts.objectives]]\nkind = %q\nclass = %q\nwithin_s = %.1f\nshare = %.2f\n", o.kind, o.class, o.within, o.share)
	}
	return w, f
}
