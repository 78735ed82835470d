package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"mapleslip/internal/client"
	"mapleslip/internal/scale"
	"mapleslip/internal/transport"
)

// asProgram has the test binary be the program: deployments start themselves again.
const asProgram = "MAPLESLIP_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// freePorts finds two rows of ports for mapleslip dev that are 200 apart.
func freePorts(t *testing.T) int {
	t.Helper()
next:
	for port := 21000; port < 30000; port += 8 {
		for n := range 8 {
			for _, p := range []int{port + n, port + 200 + n} {
				if transport.CanListen("127.0.0.1:"+strconv.Itoa(p), 0) != nil {
					continue next
				}
			}
		}
		return port
	}
	t.Fatal("no free ports")
	return 0
}

// Two deployments of mapleslip dev stand side by side whatever their ports are. With ports
// 200 apart both took the same network for their machines, and the second ended.
func TestTwoDev(t *testing.T) {
	t.Setenv(asProgram, "1")
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	port := freePorts(t)
	var both []*dev
	for _, p := range []int{port, port + 200} {
		d, err := startDev(ctx, devSettings{port: p})
		if err != nil {
			t.Fatal(err)
		}
		defer d.stop()
		both = append(both, d)
	}
	for i, d := range both {
		c, err := client.New(strings.Join(d.clients, ","))
		if err != nil {
			t.Fatal(err)
		}
		m := &demo{d: d, c: c, out: io.Discard, began: time.Now()}
		if err := m.submit(ctx, "req-000001", "array", 4, 1); err != nil {
			t.Fatalf("deployment %d: %v", i, err)
		}
		if err := m.job(ctx, "req-000001", "the array", "done", 0); err != nil {
			t.Fatalf("deployment %d: %v", i, err)
		}
	}
	for i, d := range both {
		if err := d.live.Err(); err != nil {
			t.Errorf("deployment %d: %v", i, err)
		}
	}
}

// children counts the processes that this one started and that are there.
func children(t *testing.T) (n int) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range stats {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		if len(f) > 1 && f[1] == strconv.Itoa(os.Getpid()) {
			n++
		}
	}
	return n
}

// A scale run that can't go on says why, in time, and leaves no process.
func TestScaleRunEnds(t *testing.T) {
	t.Setenv(asProgram, "1")
	f, err := scale.Load(filepath.Join("..", "..", "deploy", "scale", "small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	few, many := *f, *f
	few.Limits.Processes, many.Deployment.RealWorkers = 5, 0
	run := func(ctx context.Context, f *scale.File, controller string, progress io.Writer) (*scale.Report, error) {
		return scale.Run(ctx, scale.Options{File: f, Part: 1, Out: t.TempDir(), Controller: controller, Progress: progress})
	}
	if _, err := run(context.Background(), &few, "", nil); err == nil || !strings.Contains(err.Error(), "limits.processes") {
		t.Errorf("too many processes: %v", err)
	}
	if r, err := run(context.Background(), &many, "/bin/false", nil); err == nil || r == nil || r.Exit != scale.ExitFailed {
		t.Errorf("controllers that end at once: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Interrupted once a controller leads.
	r, err := run(ctx, &many, "", writer(func(p []byte) {
		if bytes.Contains(p, []byte("leads")) {
			cancel()
		}
	}))
	if err == nil || r == nil || r.Exit != scale.ExitFailed || !errors.Is(ctx.Err(), context.Canceled) {
		t.Errorf("interrupted: %v", err)
	}
	if n := children(t); n != 0 {
		t.Errorf("%d processes are left", n)
	}
}

type writer func(p []byte)

func (w writer) Write(p []byte) (int, error) {
	w(p)
	return len(p), nil
}
