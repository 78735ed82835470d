package protocol

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mapleslip/internal/strictjson"
	"mapleslip/internal/worktest"
)

const goodJobFile = `# a training
class = "train"
team = "red"
kind = "gang"
tasks = 4
cpus = 2.0
memory_gb = 16.0
image = "img-07"
estimate_s = 20.0
`

const goodRolloutFile = `service = "picker"
count = 10
floor = 9
stages = [1, "25%", "100%"]

[job]
class = "live"
team = "red"
cpus = 2.0
memory_gb = 4.0
image = "picker-2"

[check]
at = "{{.IP}}:8080"
`

// Errors in files name the line and the file's own key instead of the JSON field.
func TestFilesErrors(t *testing.T) {
	job := func(text string) error { _, _, err := ParseJobFile([]byte(text), "req-000001"); return err }
	rollout := func(text string) error { _, _, err := ParseRolloutFile([]byte(text), "r-1"); return err }
	for _, c := range []struct {
		parse          func(string) error
		text, old, new string
		want           string
	}{
		{job, goodJobFile, "", "", ""},
		{job, goodJobFile, "tasks = 4", "taskz = 4", "line 5: taskz: unknown key"},
		{job, goodJobFile, "tasks = 4", "tasks = 0", "line 5: tasks: invalid"},
		{job, goodJobFile, "tasks = 4", `tasks = "4"`, "line 5"},
		{job, goodJobFile, `"gang"`, `"mob"`, "line 4: kind: must be array, gang or service"},
		{job, goodJobFile, "cpus = 2.0", "cpus = -2.0", "line 6: cpus: invalid"},
		{job, goodJobFile, "cpus = 2.0", "cpus = nan", "line 6: cpus: must be a finite number"},
		{job, goodJobFile, `team = "red"`, "", "team: missing"},
		{job, goodJobFile, `image = "img-07"`, `image = ""`, "line 8: image: invalid"},
		{job, goodJobFile, "estimate_s = 20.0", "", "estimate_s: missing"},
		{job, goodJobFile, "tasks = 4", "tasks = [", "line 6"},
		{rollout, goodRolloutFile, "", "", ""},
		{rollout, goodRolloutFile, "floor = 9", "flor = 9", "line 3: flor: unknown key"},
		{rollout, goodRolloutFile, `at = "{{.IP}}:8080"`, "every_s = 0.01", "check"},
		{rollout, goodRolloutFile, `at = `, "every_s = 0.01\nat = ", "line 14: check.every_s: must be from 0.2 to 3600"},
		{rollout, goodRolloutFile, "cpus = 2.0", "cpus = -1.0", "line 9: job.cpus: invalid"},
		{rollout, goodRolloutFile, `"25%"`, `"250%"`, "line 4: stages: must be numbers"},
		{rollout, goodRolloutFile, `[1, "25%", "100%"]`, "[5, 2]", "line 4: stages: must rise"},
		{rollout, goodRolloutFile, `, "100%"`, "", "line 4: stages: the last must be all"},
		{rollout, goodRolloutFile, `"picker"`, `"Picker"`, "line 1: service: must be up to 40"},
		{rollout, goodRolloutFile, "[check]", "[chek]", "chek"},
		{rollout, goodRolloutFile, "count = 10\n", "", "count: missing"},
	} {
		err := c.parse(strings.Replace(c.text, c.old, c.new, 1))
		got := ""
		if err != nil {
			got = OneLine(err).Error()
		}
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%q for %q: %q, want %q", c.new, c.old, got, c.want)
		}
	}
}

// The example files in the README and the documentation are valid.
func TestDocumentedFiles(t *testing.T) {
	found := 0
	for _, page := range []string{"../../README.md", "../../docs/rollouts.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, block := range strings.Split(string(text), "```toml\n")[1:] {
			file, _, _ := strings.Cut(block, "```")
			found++
			if strings.Contains(file, "[check]") {
				_, _, err = ParseRolloutFile([]byte(file), "r-1")
			} else {
				_, _, err = ParseJobFile([]byte(file), "req-000001")
			}
			if err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
	if found != 2 {
		t.Errorf("found %d example files, want 2", found)
	}
}

func TestStages(t *testing.T) {
	for text, want := range map[string][]int{`["10%","50%","100%"]`: {1, 2, 4}, `["1%","2%",4]`: {1, 4}, `[4]`: {4}, `["33.4%","100%"]`: {2, 4}} {
		_, spec, err := ParseRolloutFile([]byte(strings.Replace(strings.Replace(goodRolloutFile, `[1, "25%", "100%"]`, text, 1), "count = 10", "count = 4", 1)), "r-1")
		if err != nil {
			t.Errorf("%s: %v", text, err)
		} else if d := cmp.Diff(want, spec.Stages); d != "" {
			t.Errorf("%s: %s", text, d)
		}
	}
}

// Settings written by SettingsFile are the same after ParsePlatform.
func TestSettingsFile(t *testing.T) {
	p := &Platform{
		ControllerName: "n-0", Zone: "a", ClientListen: "127.0.0.1:1", ClusterListen: "127.0.0.1:2", CloudAddr: "127.0.0.1:3", StateAddr: "127.0.0.1:4",
		Peers: []Peer{{"n-1", "b", "127.0.0.1:5"}}, Zones: []string{"a", "b"}, MaxClockOffset: 250 * Millisecond,
		Teams:             map[string]Team{"red": {Name: "red", Guarantee: Resources{GPU: 8000}, Limit: Resources{CPU: 1000, GPU: 9000}}},
		Objectives:        []Objective{{"wait", "urgent", 2700 * Millisecond, 0.95}},
		HeartbeatInterval: Second, WorkerLease: 10 * Second, GangWaitTimeout: 20 * Second, GangPeerTimeout: 5 * Second, CancelTimeout: 21 * Second,
		StateRequestRate: 500, StateWriteRate: 200, MaxValueBytes: 8192, MaxTxnChanges: 12, CloudRate: 20, MachineListLag: Second, CPUShare: 1, MemoryBytes: 512e6, MaxConnections: 99,
		AnnouncedStateLimits: &StateLimits{WriteRate: 24.5, MaxValueBytes: 2560, MaxTxnChanges: 4},
	}
	text, err := SettingsFile(p)
	if err != nil {
		t.Fatal(err)
	}
	reparsed, err := ParsePlatform(text)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(p, reparsed); d != "" {
		t.Error(d)
	}
}

func FuzzParseRollout(f *testing.F) {
	body, _, err := ParseRolloutFile([]byte(goodRolloutFile), "r-1")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	worktest.AddSeeds(f, "job", "stages", "adopt")
	f.Fuzz(func(t *testing.T, in []byte) {
		worktest.CheckFuzzed(t, in, func(b []byte) { _, _ = ParseRollout(b) })
		s, err := ParseRollout(in)
		if err != nil {
			return
		}
		written := AppendRollout(nil, s)
		if err := strictjson.Check(written); err != nil {
			t.Fatalf("%v: %q", err, written)
		}
		reparsed, err := ParseRollout(written)
		if err != nil {
			t.Fatalf("%v: %s", err, written)
		}
		if d := cmp.Diff(s, reparsed); d != "" {
			t.Error(d)
		}
	})
}
