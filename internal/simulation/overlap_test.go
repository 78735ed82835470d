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

// TestMain makes every run draw the same cases, unless flags select others:
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

// historiesPerCheck multiplies the default number of checks in TestOverlap: a history takes only
// a tenth of a second, and histories are played in parallel.
const historiesPerCheck = 5

// Faults overlap at random. While persistent faults don't change, leadership is stable. No task
// keeps running once its job has been reported as cancelled. When the faults have ended, every
// accepted job ends and every cancellation is answered. Each history is drawn with its own
// seed, which is the name of its subtest. To play the history of seed 47 again:
//
//	go test ./internal/simulation -run 'Overlap$' -args -rapid.seed=47 -rapid.checks=1
//
// By default TestOverlap plays several histories for each check. If -rapid.checks is given, it
// is the number of histories.
func TestOverlap(t *testing.T) {
	seed, checks := flagNumber(t, "rapid.seed"), flagNumber(t, "rapid.checks")
	if checks == defaultChecks {
		checks *= historiesPerCheck
	}
	generator := rapid.Custom(drawHistory)
	var shrunk atomic.Bool // only one failing history is shrunk, since that takes many plays
	for i := range checks {
		t.Run(strconv.Itoa(seed+i), func(t *testing.T) {
			t.Parallel()
			text := generator.Example(seed + i)
			w, err := playTrace(text, nil)
			if err == nil {
				return
			}
			t.Errorf("seed %d: %v\ntrace:\n%s\nevent log:\n%s", seed+i, err, text, strings.Join(w.Log, "\n"))
			if shrunk.Swap(true) {
				return
			}
			shrunkTrace := shrinkTrace(text, failureKind(err))
			w, err = playTrace(shrunkTrace, nil)
			t.Errorf("seed %d, shrunk: %v\ntrace:\n%s\nevent log:\n%s", seed+i, err, shrunkTrace, strings.Join(w.Log, "\n"))
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
