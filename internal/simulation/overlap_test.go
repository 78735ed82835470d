package simulation

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"mapleslip/internal/rapidtest"

	"pgregory.net/rapid"
)

// The same histories are drawn at every run, unless others are asked for:
//
//	go test ./internal/simulation -run Overlap -args -rapid.seed=7 -rapid.checks=5000
func TestMain(m *testing.M) {
	rapidtest.SetFlags(defaultChecks)
	code := m.Run()
	if err := writeDigests(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

const defaultChecks = 60

// historiesPerCheck: a history takes a tenth of a second, and they are played in parallel.
const historiesPerCheck = 5

// Troubles overlap at random. While those that stay stand still, some leader lasts; no
// cancelled task outlives what its user was told; when all is well again whatever was
// accepted ends, and every cancellation is answered. Each history is drawn with a seed of
// its own, which is the name of its test: to play the one of seed 47 again
//
//	go test ./internal/simulation -run 'Overlap$' -args -rapid.seed=47 -rapid.checks=1
//
// By itself TestOverlap plays several histories for each check; a number of checks that was
// asked for is the number of histories.
func TestOverlap(t *testing.T) {
	seed, checks := flagNumber(t, "rapid.seed"), flagNumber(t, "rapid.checks")
	if checks == defaultChecks {
		checks *= historiesPerCheck
	}
	drawn := rapid.Custom(drawHistory)
	var shrunk atomic.Bool // one of those that fail is made smaller, which takes many plays
	for i := range checks {
		t.Run(strconv.Itoa(seed+i), func(t *testing.T) {
			t.Parallel()
			text := drawn.Example(seed + i)
			w, err := playTrace(text, nil)
			if err == nil {
				return
			}
			t.Errorf("seed %d: %v\nthe trace:\n%s\nwhat happened:\n%s", seed+i, err, text, strings.Join(w.Log, "\n"))
			if shrunk.Swap(true) {
				return
			}
			small := shrinkTrace(text, kindOf(err))
			w, err = playTrace(small, nil)
			t.Errorf("seed %d, shrunk: %v\nthe trace:\n%s\nwhat happened:\n%s", seed+i, err, small, strings.Join(w.Log, "\n"))
		})
	}
}

func flagNumber(t *testing.T, name string) int {
	n, err := strconv.Atoi(flag.Lookup(name).Value.String())
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
