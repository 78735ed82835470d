package controller

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "40")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
