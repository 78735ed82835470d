package simulation

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// forEachTrace runs a parallel subtest for each trace of testdata.
func forEachTrace(t *testing.T, play func(t *testing.T, trace string)) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".trace"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			play(t, string(text))
		})
	}
}

// Every trace of testdata is played in simulated time.
func TestTraces(t *testing.T) {
	forEachTrace(t, func(t *testing.T, trace string) {
		w, err := playTrace(trace, func(w *World) {
			if os.Getenv("LOG_LEVEL") == "debug" {
				w.Logger = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
			}
		})
		if err != nil {
			t.Errorf("%v\nevent log:\n%s", err, strings.Join(w.Log, "\n"))
		}
	})
}

// Each controller that reads a damaged record logs it once, not at every attempt to become the
// leader, and leaves the record unchanged.
func TestDamagedRecordIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	w, err := playTrace(`
nodes 2
team red
type big cpus=8 gpus=2 mem=64 boot=10 zones=a
record hp/1 {"torn":1}
at 60 expect leader none
at 60 expect kept hp/1 yes
`, func(w *World) { w.Logger = slog.New(slog.NewTextHandler(&log, nil)) })
	if err != nil {
		t.Fatalf("%v\n%s", err, strings.Join(w.Log, "\n"))
	}
	if n := strings.Count(log.String(), "damaged record"); n != 2 {
		t.Errorf("logged %d times by two controllers:\n%s", n, log.String())
	}
}
