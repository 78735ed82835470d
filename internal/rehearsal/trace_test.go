package rehearsal

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Every kept trace is played in simulated time.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".trace"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			w, err := RunTrace(string(text), func(w *World) {
				if os.Getenv("LOG_LEVEL") == "debug" {
					w.Logger = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
				}
			})
			if err != nil {
				t.Errorf("%v\nwhat happened:\n%s", err, strings.Join(w.Log, "\n"))
			}
		})
	}
}
