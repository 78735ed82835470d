package scale

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

func deployFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "scale", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The settings files in deploy/scale can be parsed, written and parsed again, and controllers
// accept the settings made from them. ahead.toml has the expected size, and its parts too.
func TestDeployFiles(t *testing.T) {
	for _, name := range []string{"ahead.toml", "tenth.toml", "region.toml", "changes.toml", "small.toml"} {
		f, err := Parse([]byte(deployFile(t, name)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		text, err := f.Text()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Errorf("%s, written and read again: %v", name, err)
		}
		p := f.platform()
		p.ControllerName, p.Zone = "n", "z"
		p.ClientListen, p.ClusterListen, p.StateAddr, p.CloudAddr = "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"
		settings, err := protocol.SettingsFile(&p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := protocol.ParsePlatform(settings); err != nil {
			t.Errorf("%s: controllers refuse its settings: %v", name, err)
		}
	}
	f, err := Parse([]byte(deployFile(t, "ahead.toml")))
	if err != nil {
		t.Fatal(err)
	}
	gpus := 0.0
	for _, m := range f.Types {
		gpus += m.GPUs * float64(m.Count)
	}
	if f.Machines() != 4200 || math.Abs(gpus-4300) > 8 || f.Teams.Count != 62 || len(f.Regions) != 6 || len(f.platform().Zones) != 16 || len(f.Controllers.Zones) != 8 {
		t.Errorf("%d workers, %g accelerators, %d teams, %d regions", f.Machines(), gpus, f.Teams.Count, len(f.Regions))
	}
	tenth := f.Part(0.1)
	if tenth.Machines() != 420 || tenth.Teams.Count != 62 || math.Abs(tenth.Jobs[1].Rate*10-f.Jobs[1].Rate) > 1e-9 || f.Machines() != 4200 {
		t.Errorf("a tenth has %d workers", tenth.Machines())
	}
}

// Each error in a settings file is reported with its line and key.
func TestBadFiles(t *testing.T) {
	ahead, changes := deployFile(t, "ahead.toml"), deployFile(t, "changes.toml")
	for _, c := range []struct {
		from, to, key, problem string
		below                  int // lines from the first changed line to the reported one
	}{
		{`lease_s = 31.0`, `lease_z = 31.0`, "workers.lease_z", "unknown key", 0},
		{`lease_s = 31.0`, `lease_s = "long"`, "lease_s", "", 0},
		{`lease_s = 31.0`, `lease_s = -1.0`, "workers.lease_s", "must be from 1 to 86400", 0},
		{`lease_s = 31.0`, `lease_s = nan`, "workers.lease_s", "must be from 1 to 86400", 0},
		{`region = "r0"`, `region = "r9"`, "state.region", "must name a region", 0},
		{`zones = ["r0-z0", "r1-z0"`, `zones = ["r0-z9", "r1-z0"`, "controllers.zones", "is no zone", 0},
		{`kind = "gang"`, `kind = "heap"`, "jobs[3].kind", "must be array, gang or service", 0},
		{`run_s = { median = 30.0, p95 = 60.0`, `run_s = { median = 30.0, p95 = 6.0`, "jobs[2].run_s", "rising", 0},
		{`images = { count = 20, gb = { median = 0.2`, `images = { count = 0, gb = { median = 0.2`, "jobs[2].images.count", "must be from 1", 0},
		{`types = ["gpu-box"]`, `types = ["tpu-box"]`, "jobs[3].types", "is no machine type", 0},
		{`classes = ["urgent"]`, `classes = ["urgnt"]`, "load[1].classes", "is no class of jobs", 0},
		{`memory = 0.5 `, `memory = 0.8 `, "limits.memory", "must be from 0.01 to 0.5", 0},
		{`processes = 300`, `processes = 301`, "limits.processes", "must be from 1 to 300", 0},
		{`max_s = 300.0`, `max_s = 100.0`, "limits.max_s", "must be from 160", 0},
		{`name = "gpu-box"`, `name = "cpu-box"`, "types[1].name", "once only", 0},
		{`real_workers = 24`, "real_workers = 24\nreal_workers = 25", "real_workers", "", 1},
		{`duration_s = 150.0`, `duration_s = 150.0.0`, "", "", 0},
		{`operators = 12 `, `operators = 0 `, "changes.operators", "must be from 1 to 100", 0},
		{`rate = 20.0 `, `rate = -1.0 `, "changes.rate", "must be from 0.001 to 1000", 0},
		{`drained = 0.02 `, `drained = 0.0 `, "changes.drained", "must be above 0", 0},
		{`drains = 3.0 `, `drain = 3.0 `, "changes.drain", "unknown key", 0},
		{`[limits]`, "[[faults]]\nat_s = 10.0\nkind = \"region_cut\"\nregion = \"r1\"\n[limits]", "faults[0].for_s", "missing: region_cut needs it", 0},
		{`[limits]`, "[[faults]]\nat_s = 10.0\nkind = \"rain\"\n[limits]", "faults[0].kind", "unknown fault", 2},
		{`[limits]`, "[[faults]]\nat_s = 1e9\nkind = \"worker_end\"\ncount = 1\n[limits]", "faults[0].at_s", "must be from 0", 1},
	} {
		good := ahead
		if strings.HasPrefix(c.key, "changes.") {
			good = changes
		}
		text := strings.Replace(good, c.from, c.to, 1)
		if text == good {
			t.Fatalf("%s is not in the file", c.from)
		}
		line, before := 1, strings.Split(good, "\n")
		for strings.Split(text, "\n")[line-1] == before[line-1] {
			line++
		}
		want := fmt.Sprintf("line %d", line+c.below)
		_, err := Parse([]byte(text))
		if err == nil {
			t.Errorf("%s was accepted", c.to)
			continue
		}
		got := err.Error()
		if strings.Contains(got, "\n") || !strings.Contains(got, c.key) || !strings.Contains(got, c.problem) || !strings.HasPrefix(got, want+":") && !strings.HasPrefix(got, want+",") {
			t.Errorf("%s: %q, want %s with %q and %q", c.to, got, want, c.key, c.problem)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("a missing file: %v", err)
	}
}
