package users

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

func operatorsPlan() *Plan {
	p := testPlan()
	p.Operators = &Operators{Rate: 20, Operators: 3, Limits: 3, Guarantees: 3, Drains: 3, Ceilings: 1, Drained: 0.2}
	for i := range 62 {
		p.Bounds.Teams = append(p.Bounds.Teams, protocol.Team{Name: fmt.Sprintf("team-%02d", i), Guarantee: protocol.Resources{CPU: 180_500, GPU: 35_000}, Limit: protocol.Resources{CPU: 1_536_500, GPU: 128_000}})
	}
	for i := range 40 {
		p.Bounds.Machines = append(p.Bounds.Machines, fmt.Sprintf("n-%06d", i+1))
	}
	p.Bounds.Ceilings = map[string]int{"big/z1": 10, "big/z2": 3}
	return p
}

// The same seed gives the same changes. When the changes are made in order, the service accepts
// each one, nearly all create a revision, and few machines are drained at once.
func TestChanges(t *testing.T) {
	p := operatorsPlan()
	all := p.drawChanges(5)
	if d := cmp.Diff(all, p.drawChanges(5), cmp.AllowUnexported(change{})); d != "" {
		t.Fatal(d)
	}
	if n := len(all); n < 2000-7*45 || n > 2000+7*45 { // within seven standard deviations
		t.Fatalf("%d changes in 100 s", n)
	}
	teams := make(map[string]protocol.Team)
	for _, m := range p.Bounds.Teams {
		teams[m.Name] = m
	}
	b := &configuration.Baseline{Teams: teams, Zones: []string{"z1", "z2"}, ValueBytes: 8 << 10}
	h := &configuration.Head{}
	last, unchanged := int64(0), 0
	kinds, operatorByKey, shares := make(map[string]int), make(map[string]int), make([]int, 3)
	for _, c := range all {
		if c.due < last || c.due < p.BeginUS || c.due > p.BeginUS+p.DurationUS || c.region != p.Regions[c.operator%2] {
			t.Fatalf("change %+v after one that is due at %d", c, last)
		}
		last = c.due
		v := c.start(c.due)
		v.state = posting
		_, _, body := v.request()
		r, err := configuration.ParseRequest(body, false)
		if err != nil {
			t.Fatalf("%s: %v", body, err)
		}
		changes := r.Changes(h.Document)
		if len(changes) == 0 {
			unchanged++
			continue
		}
		w, err := h.NextRevision(b, configuration.Entry{At: 1, Who: r.Who, Why: r.Why, ID: r.ID, Changes: changes}, 256)
		if err != nil {
			t.Fatalf("%s: %v", body, err)
		}
		h = w.Head
		kinds[strings.Split(changes[0].Key, "/")[0]]++
		if operator, ok := operatorByKey[changes[0].Key]; ok && operator != c.operator {
			t.Fatalf("%s is changed by operators %d and %d", changes[0].Key, operator, c.operator)
		}
		operatorByKey[changes[0].Key] = c.operator
		shares[c.operator]++
		drained := 0
		for key := range h.Document {
			if strings.HasPrefix(key, "drain/") {
				drained++
			}
		}
		if drained > 8 {
			t.Fatalf("%d of 40 machines are drained", drained)
		}
	}
	if unchanged > len(all)/20 || kinds["team"] < 1000 || kinds["drain"] < 400 || kinds["rent"] < 100 || slices.Min(shares) < len(all)/6 {
		t.Errorf("changes by kind: %v, by operator: %v; %d of %d changed nothing", kinds, shares, unchanged, len(all))
	}
}

// Checks the state of a change and the pause after each answer.
func TestPendingChange(t *testing.T) {
	ok := func(body string) answer { return answer{status: 200, body: []byte(body)} }
	type step struct {
		a     answer
		at    int64
		state changeState
		pause int64
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"no conflict", []step{
			{ok(`{"revision":7}`), 1, posting, 0},
			{ok(`{"revision":8,"changed":true}`), 2, waiting, 0},
			{ok(`{"revision":8,"in_force":true}`), 3, inForce, 0},
		}},
		{"another change was first", []step{
			{ok(`{"revision":7}`), 1, posting, 0},
			{answer{status: 409}, 2, reading, 0},
			{ok(`{"revision":9}`), 3, posting, 0},
			{ok(`{"revision":8,"changed":true}`), 4, waiting, 0},
		}},
		{"conflict without another revision: the record is damaged", []step{
			{ok(`{"revision":7}`), 1, posting, 0},
			{answer{status: 409, body: []byte(`{"revision":7}`)}, 2, posting, second},
		}},
		{"refused", []step{
			{ok(`{"revision":7}`), 1, posting, 0},
			{answer{status: 422}, 2, refused, 0},
		}},
		{"no conclusive answer", []step{
			{answer{}, 1, reading, second},
			{answer{status: 503, retryAfter: 5 * second}, 2, reading, 5 * second},
			{answer{status: 503, retryAfter: 90 * second}, 30 * second, reading, 30 * second},
			{answer{status: 503}, 59*second + 1, givenUp, 0},
		}},
		{"answer lost", []step{ // the same request is sent again, with its id and expected revision
			{ok(`{"revision":7}`), 1, posting, 0},
			{answer{}, 2, posting, second},
			{ok(`{"revision":8,"changed":true}`), second, waiting, 0},
		}},
		{"not in force for a minute", []step{
			{ok(`{"revision":7}`), 50 * second, posting, 0},
			{ok(`{"revision":8,"changed":true}`), 55 * second, waiting, 0},
			{answer{status: 409}, 56 * second, waiting, second},
			{answer{status: 503, retryAfter: second}, 114 * second, waiting, second},
			{answer{status: 503, retryAfter: second}, 114*second + 1, givenUp, 0},
		}},
	} {
		v := (&change{id: "c-1", set: map[string]string{"drain/machine/m": ""}}).start(0)
		posted := ""
		for i, s := range c.steps {
			before := v.state
			_, _, body := v.request()
			if before == posting {
				if posted != "" && v.conflicts == 0 && posted != string(body) {
					t.Errorf("%s: request %s differs from the retry %s", c.name, posted, body)
				}
				posted = string(body)
			}
			if pause := v.handleAnswer(s.a, s.at); v.state != s.state || pause != s.pause {
				t.Fatalf("%s, step %d: state %d and pause %d, want %d and %d", c.name, i, v.state, pause, s.state, s.pause)
			}
		}
		if v.state == waiting && (!v.newRevision || v.revision != 8) {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

// Whatever the answers are, a change reaches a final state within a minute after its operator
// began, or after the change was made.
func TestPendingChangeEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := (&change{id: "c-1"}).start(0)
		at := int64(0)
		for !v.state.final() {
			at += rapid.Int64Range(1000, configTimeout).Draw(t, "took")
			a := answer{status: rapid.SampledFrom([]int{0, 200, 409, 422, 503}).Draw(t, "status"), retryAfter: rapid.Int64Range(0, 3600*second).Draw(t, "retry")}
			a.body = fmt.Appendf(nil, `{"revision":%d,"changed":true}`, rapid.IntRange(3, 4).Draw(t, "revision"))
			pause := v.handleAnswer(a, at)
			if pause < 0 || pause > maxRetryDelay || a.status == 503 && !v.state.final() && pause < min(a.retryAfter, maxRetryDelay) {
				t.Fatalf("a pause of %d after %+v", pause, a)
			}
			at += pause
			if at > 2*(retryLimit+configTimeout) {
				t.Fatalf("state %d after %d s", v.state, at/second)
			}
		}
	})
}

// Each kind of problem in a history is found.
func TestFindHistoryProblems(t *testing.T) {
	entry := func(revision uint64, id string) configuration.Entry {
		return configuration.Entry{Revision: revision, ID: id}
	}
	good := []configuration.Entry{entry(1, "a"), entry(2, "b"), entry(3, "c")}
	sent := map[string]bool{"a": true, "b": true, "c": true, "d": true}
	for _, c := range []struct {
		name     string
		history  []configuration.Entry
		accepted map[string]uint64
		problem  string
	}{
		{"good", good, map[string]uint64{"a": 1, "c": 3}, ""},
		{"empty", nil, nil, ""},
		{"missing revision", []configuration.Entry{good[0], good[2]}, nil, "has revision 3 as its entry 2"},
		{"missing beginning", good[1:], nil, "has revision 2 as its entry 1"},
		{"lost change", good, map[string]uint64{"d": 4}, "d was told made as revision 4, the history has it as 0"},
		{"different revision", good, map[string]uint64{"a": 2}, "a was told made as revision 2, the history has it as 1"},
		{"duplicate change", append(slices.Clone(good), entry(4, "a")), nil, "a is in the history twice"},
		{"change without a request", append(slices.Clone(good), entry(4, "x")), nil, `"x", which nobody asked for`},
	} {
		got := strings.Join(findHistoryProblems(c.history, sent, c.accepted), "; ")
		if (got == "") != (c.problem == "") || !strings.Contains(got, c.problem) {
			t.Errorf("%s: %q, want %q", c.name, got, c.problem)
		}
	}
}
