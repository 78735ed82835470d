// Package rapidtest runs property tests with the same cases at every run, so that a verdict does
// not depend on luck. The command line may ask for others:
//
//	go test ./internal/slo -args -rapid.seed=7 -rapid.checks=10000
package rapidtest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

const defaultSeed = 1

// DefaultChecks leaves the number of cases as package rapid has it.
const DefaultChecks = 0

// Main runs the tests of a package, with a number of cases for each property.
func Main(m *testing.M, checks int) {
	SetFlags(checks)
	os.Exit(m.Run())
}

// MainWithSeed is Main with other cases.
func MainWithSeed(m *testing.M, seed, checks int) {
	SetFlags(checks)
	set("rapid.seed", strconv.Itoa(seed))
	os.Exit(m.Run())
}

// SetFlags sets the flags of package rapid. What the command line says comes after, and counts.
func SetFlags(checks int) {
	set("rapid.seed", strconv.Itoa(defaultSeed))
	set("rapid.nofailfile", "true")
	if checks != DefaultChecks {
		set("rapid.checks", strconv.Itoa(checks))
	}
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("rapidtest: flag %s: %v", name, err))
	}
}
