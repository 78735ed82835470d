package slo

import (
	"flag"
	"os"
	"testing"
)

// The same ones are drawn at every run, unless others are asked for:
//
//	go test ./internal/slo -args -rapid.seed=7 -rapid.checks=10000
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
