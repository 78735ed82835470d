// Package rapidtest runs the property tests of package rapid with a fixed seed, so that each run
// checks the same cases and its result does not depend on chance. Flags on the command line select
// other cases:
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

// DefaultChecks selects the default number of cases of package rapid.
const DefaultChecks = 0

// Main runs the tests of a package with the default seed. checks is the number of cases for each
// property, or DefaultChecks.
func Main(m *testing.M, checks int) {
	SetFlags(checks)
	os.Exit(m.Run())
}

// MainWithSeed is like Main, but draws the cases from the given seed.
func MainWithSeed(m *testing.M, seed, checks int) {
	SetFlags(checks)
	setFlag("rapid.seed", strconv.Itoa(seed))
	os.Exit(m.Run())
}

// SetFlags sets the flags of package rapid: the default seed, no files for failed cases, and the
// number of cases unless checks is DefaultChecks. Flags on the command line are parsed later and
// override these values.
func SetFlags(checks int) {
	setFlag("rapid.seed", strconv.Itoa(defaultSeed))
	setFlag("rapid.nofailfile", "true")
	if checks != DefaultChecks {
		setFlag("rapid.checks", strconv.Itoa(checks))
	}
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("rapidtest: flag %s: %v", name, err))
	}
}
