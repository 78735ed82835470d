package checker

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// A trace is a history of events from parts and users, one per line:
//
//	machine m1 big r1-z1 [spot]
//	0.0 submit req-000001 array tasks=2 gpus=1 one_zone team=red
//	0.1 answer submit req-000001 201 queued
//	0.5 enter req-000001/0#1 m1
//	9.0 leave req-000001/0#1 m1 done
//
// Lines that begin with `+` are the fault: with them the trace violates the rule that its line
// `breaks RULE` names, without them it violates none. Lines that begin with `-` are played only
// without the fault.
type trace struct {
	rule  string
	lines []string
}

func readTrace(t *testing.T, path string) trace {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	tr := trace{}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if rule, ok := strings.CutPrefix(line, "breaks "); ok {
			tr.rule = rule
		} else if line != "" && line[0] != '#' {
			tr.lines = append(tr.lines, line)
		}
	}
	return tr
}

// testHub returns a Hub with two teams, two machine types and a cancel timeout of 20 s.
func testHub(send func(string, *wire.Message)) *Hub {
	p := &protocol.Platform{
		Teams:         map[string]protocol.Team{"red": {Name: "red", Limit: protocol.Resources{GPU: 8000}}, "blue": {Name: "blue", Limit: protocol.Resources{CPU: 16000}}},
		CancelTimeout: 20 * protocol.Second, GangPeerTimeout: 6 * protocol.Second,
	}
	types := []*protocol.MachineType{{Name: "big", Capacity: protocol.Resources{CPU: 64000, GPU: 8000, Memory: 256000}}, {Name: "small", Capacity: protocol.Resources{CPU: 8000, Memory: 32000}}}
	return New(p, types, send)
}

// spec returns the description of a job from words such as `array tasks=2 gpus=1 one_zone`.
func spec(ref string, words []string) json.RawMessage {
	v := map[string]any{
		"ref": ref, "jobclass": words[0], "owner": "red", "shape": map[string]string{"array": "array", "gang": "ensemble", "service": "daemon"}[words[0]], "rank": "high",
		"shards": 1, "cores": 1.0, "gpus": 0.0, "memoryGb": 1.0, "bundle": "img", "sizeGb": 1.0, "flavors": nil, "region": nil, "samePlace": false, "apart": false,
		"reclaimable": false, "expectS": 10.0, "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": nil,
	}
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		number, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "tasks":
			v["shards"] = number
		case "gpus":
			v["gpus"] = number
		case "cpus":
			v["cores"] = number
		case "every":
			v["snapshotEveryS"] = number
		case "team":
			v["owner"] = value
		case "type":
			v["flavors"] = []string{value}
		case "zone":
			v["region"] = value
		case "one_zone":
			v["samePlace"] = true
		case "apart":
			v["apart"] = true
		case "spot":
			v["reclaimable"] = true
		case "run": // the run time is in the message, not in the description
		default:
			panic("unknown word " + w)
		}
	}
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// seconds returns the time, in microseconds, for a time in a trace.
func seconds(s string) int64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic(err)
	}
	return 1e9 + int64(x*1e6+0.5)
}

// play passes the event of a line to a Hub.
func play(h *Hub, line string) {
	w := strings.Fields(line)
	if w[0] == "machine" {
		h.Machine(wire.Machine{Name: w[1], Type: w[2], Zone: w[3], Spot: len(w) > 4}, "part-"+w[1])
		return
	}
	at := seconds(w[0])
	switch m := (&wire.Message{Kind: w[1], At: at}); w[1] {
	case wire.Submit:
		m.Specs = []json.RawMessage{spec(w[2], w[3:])}
		m.Run = 10e6
		h.Take("users", m)
	case wire.Answer: // OP REF STATUS [PHASE] [due=S]
		m.Op, m.Ref, m.Due = w[2], w[3], at-1e5
		m.Status, _ = strconv.Atoi(w[4])
		for _, x := range w[5:] {
			if due, ok := strings.CutPrefix(x, "due="); ok {
				m.Due = seconds(due)
			} else {
				m.Phase = x
			}
		}
		h.Take("users", m)
	case "gone":
		h.MachineGone(w[2], at)
	case wire.Enter, wire.Leave, wire.Ended, wire.Waiting, wire.Peers, wire.Progress, wire.Jobs:
		m.Task, m.Name = w[2], w[3]
		if len(w) > 4 {
			m.Text, m.Phase, _ = strings.Cut(w[4], ",")
		}
		h.Take("part-"+w[3], m)
	case "poll": // REF FROM TO STATUS [REGION]: a query every 5 s
		for s := seconds(w[3]); s <= seconds(w[4]); s += 5e6 {
			status, _ := strconv.Atoi(w[5])
			h.Take("users", &wire.Message{Kind: wire.Answer, Op: "query", Ref: w[2], Region: strings.Join(w[6:], ""), Status: status, Phase: "running", Due: s - 1e6, At: s})
		}
	default:
		panic("unknown line: " + line)
	}
}

// judge plays all lines but those that begin with skip, and returns the violations at the
// end of the run.
func (tr trace) judge(skip string) []Violation {
	h := testHub(func(string, *wire.Message) {})
	for _, line := range tr.lines {
		if !strings.HasPrefix(line, skip) {
			play(h, strings.TrimLeft(line, "+- "))
		}
	}
	h.Tick(seconds("1000"))
	return h.Broken()
}

// For each rule, the traces with the fault violate this rule and no other, and the traces without
// the fault violate none.
func TestRules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	covered := map[string]bool{}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			tr := readTrace(t, file)
			covered[tr.rule] = true
			if b := tr.judge("+"); len(b) > 0 {
				t.Errorf("violations without the fault: %v", b)
			}
			b := tr.judge("-")
			if len(b) == 0 {
				t.Fatalf("no violation with the fault, want %s", tr.rule)
			}
			for _, v := range b {
				if v.Kind != tr.rule {
					t.Errorf("violation %v with the fault, want %s", v, tr.rule)
				}
			}
		})
	}
	for _, rule := range []string{"ran_twice", "quota", "wrong_place", "ran_cancelled", "forgotten", "invented", "not_done", "went_back"} {
		if !covered[rule] {
			t.Errorf("no trace violates %s", rule)
		}
	}
}

// Messages of several parts may arrive in any order, and of events with the same time a leave is
// checked before an enter.
func TestLateMessages(t *testing.T) {
	h := testHub(func(string, *wire.Message) {})
	for _, line := range []string{
		"machine m1 big a", "machine m2 big a", "0 submit req-000001 array tasks=1", "1 enter req-000001/0#1 m1",
		"5 enter req-000001/0#2 m2", "5 leave req-000001/0#1 m1 stopped",
	} {
		play(h, line)
	}
	h.Tick(seconds("6.9"))
	play(h, "5.5 leave req-000001/0#2 m2 done")
	play(h, "5.5 ended req-000001/0#2 m2")
	h.Tick(seconds("9"))
	if c := h.Counts(); len(h.Broken()) > 0 || c.Running != 0 || c.Starts != 2 || c.Done != 1 || c.Late != 0 || c.Leaves["done"] != 1 {
		t.Errorf("%+v %v", c, h.Broken())
	}
	// A task whose result is already stored enters and leaves at the same time.
	play(h, "20 enter req-000001/0#3 m1")
	play(h, "20 leave req-000001/0#3 m1 done")
	play(h, "21 enter req-000001/0#4 m2")
	play(h, "3 leave req-000001/0#9 m2 done")
	h.Tick(seconds("30"))
	if c := h.Counts(); len(h.Broken()) > 0 || c.Running != 1 || c.Late != 1 {
		t.Errorf("%+v %v", c, h.Broken())
	}
}

// A worker's request for a task that it has to start is answered with the description, the saved
// progress and whether the result is stored, or with 404 if no user submits the job in time.
func TestDescribe(t *testing.T) {
	var sent []string
	h := testHub(func(part string, m *wire.Message) {
		sent = append(sent, fmt.Sprintf("%s %s %d specs=%d left=%d %s", part, m.Task, m.Status, len(m.Specs), m.For, m.Phase))
	})
	request := func(at int64, task string) {
		h.Take("p", &wire.Message{Kind: wire.Jobs, Task: task, Name: "m1", Ref: "req", At: at})
	}
	play(h, "machine m1 big a")
	request(seconds("0"), "req-000001/0#1") // submitted only after the request
	play(h, "0.2 submit req-000001 array tasks=2 every=4")
	request(seconds("0.3"), "req-000002/0#1") // never submitted
	h.Tick(seconds("0.5"))
	h.Tick(seconds("2"))
	h.Take("p", &wire.Message{Kind: wire.Progress, Task: "req-000001/0#1", Run: 6e6})
	request(seconds("3"), "req-000001/0#2")
	play(h, "9 ended req-000001/0#2 m1")
	request(seconds("10"), "req-000001/0#3")
	want := []string{"p req-000001/0#1 200 specs=1 left=0 ", "p req-000002/0#1 404 specs=0 left=0 ", "p req-000001/0#2 200 specs=1 left=6000000 ", "p req-000001/0#3 200 specs=1 left=6000000 done"}
	if strings.Join(sent, "\n") != strings.Join(want, "\n") {
		t.Errorf("sent\n%s", strings.Join(sent, "\n"))
	}
}
