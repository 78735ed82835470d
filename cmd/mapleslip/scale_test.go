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

// asProgramVariable is the environment variable that makes the test binary run as mapleslip:
// deployments start their processes from the running executable.
const asProgramVariable = "MAPLESLIP_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgramVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// freePorts returns the first of 8 consecutive ports that are free, as are the 8 ports 200 above
// them, for two deployments of mapleslip dev.
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

// Guards against two deployments of mapleslip dev that use the same network for their machines:
// with ports 200 apart both picked the same one, and the second deployment ended.
func TestTwoDev(t *testing.T) {
	t.Setenv(asProgramVariable, "1")
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	port := freePorts(t)
	var deployments []*devDeployment
	for _, p := range []int{port, port + 200} {
		d, err := startDev(ctx, devSettings{port: p})
		if err != nil {
			t.Fatal(err)
		}
		defer d.stop()
		deployments = append(deployments, d)
	}
	for i, d := range deployments {
		c, err := client.New(strings.Join(d.clients, ","))
		if err != nil {
			t.Fatal(err)
		}
		m := &demo{dev: d, client: c, out: io.Discard, startTime: time.Now()}
		if err := m.submit(ctx, "req-000001", "array", 4, 1); err != nil {
			t.Fatalf("deployment %d: %v", i, err)
		}
		if err := m.waitForJob(ctx, "req-000001", "the array", "done", 0); err != nil {
			t.Fatalf("deployment %d: %v", i, err)
		}
	}
	for i, d := range deployments {
		if err := d.live.Err(); err != nil {
			t.Errorf("deployment %d: %v", i, err)
		}
	}
}

// countChildren returns the number of child processes of this process that still exist.
func countChildren(t *testing.T) (n int) {
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

// Guards against scale runs that hang or leave processes behind when they cannot continue: each run
// ends in time and returns an error that gives the reason.
func TestScaleRunEnds(t *testing.T) {
	t.Setenv(asProgramVariable, "1")
	f, err := scale.Load(filepath.Join("..", "..", "deploy", "scale", "small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	fewProcesses, noRealWorkers := *f, *f
	fewProcesses.Limits.Processes, noRealWorkers.Deployment.RealWorkers = 5, 0
	run := func(ctx context.Context, f *scale.File, controller string, progress io.Writer) (*scale.Report, error) {
		return scale.Run(ctx, scale.Options{File: f, Part: 1, Out: t.TempDir(), Controller: controller, Progress: progress})
	}
	if _, err := run(context.Background(), &fewProcesses, "", nil); err == nil || !strings.Contains(err.Error(), "limits.processes") {
		t.Errorf("too many processes: %v", err)
	}
	if r, err := run(context.Background(), &noRealWorkers, "/bin/false", nil); err == nil || r == nil || r.Exit != scale.ExitFailed {
		t.Errorf("controllers that exit at once: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Interrupt the run once a controller leads.
	r, err := run(ctx, &noRealWorkers, "", writerFunc(func(p []byte) {
		if bytes.Contains(p, []byte("leads")) {
			cancel()
		}
	}))
	if err == nil || r == nil || r.Exit != scale.ExitFailed || !errors.Is(ctx.Err(), context.Canceled) {
		t.Errorf("interrupted: %v", err)
	}
	if n := countChildren(t); n != 0 {
		t.Errorf("%d processes are left", n)
	}
}

type writerFunc func(p []byte)

func (w writerFunc) Write(p []byte) (int, error) {
	w(p)
	return len(p), nil
}
