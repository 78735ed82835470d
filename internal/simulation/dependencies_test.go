package simulation

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// chainDraw generates a history of chains of jobs: when they are submitted and cancelled, and
// which faults occur meanwhile.
type chainDraw struct {
	t             *rapid.T
	h             historyBuilder
	from          float64 // earliest time of the first submission
	submitTrigger string  // trigger of the submissions, as a trace has it; "": they are timed
}

func (d *chainDraw) between(name string, from, to int) float64 {
	return float64(rapid.IntRange(from, to).Draw(d.t, name))
}

// jobs draws a graph of jobs. Some are submitted only long after those they await have ended.
func (d *chainDraw) jobs() (cancelled []string) {
	count := rapid.IntRange(4, 16).Draw(d.t, "jobs")
	var refs []string
	for i := range count {
		ref := fmt.Sprintf("req-%06d", i+1)
		line := fmt.Sprintf("%s %s tasks=%d gpus=%d run=%d", ref, rapid.SampledFrom([]string{"array", "array", "gang"}).Draw(d.t, "kind"),
			rapid.IntRange(1, 3).Draw(d.t, "tasks"), rapid.IntRange(0, 1).Draw(d.t, "gpus"), rapid.SampledFrom([]int{2, 8, 30}).Draw(d.t, "run"))
		var awaits []string
		for range min(len(refs), rapid.IntRange(0, 3).Draw(d.t, "awaits")) {
			// Mostly the newest jobs, so that chains are formed rather than fans.
			back := rapid.SampledFrom([]int{1, 1, 1, 2, 3, 5}).Draw(d.t, "back")
			awaits = append(awaits, refs[max(0, len(refs)-back)])
		}
		if len(awaits) > 0 {
			line += " awaits=" + strings.Join(awaits, ",")
		}
		at := d.from + d.between("submitted", 0, 60)
		if rapid.IntRange(0, 4).Draw(d.t, "late") == 0 {
			at = d.from + 56 + d.between("submitted late", 0, 120)
		}
		if d.submitTrigger == "" {
			d.h.at(at, "submit-after %s", line)
		} else {
			d.h.at(1, "%s after=%g submit-after %s", d.submitTrigger, at-d.from, line)
		}
		refs = append(refs, ref)
		if rapid.IntRange(0, 4).Draw(d.t, "cancelled") == 0 {
			cancelled = append(cancelled, ref)
			d.h.at(at+d.between("cancel", 1, 50), "cancel-known %s", ref)
			d.h.at(276+d.from, "cancel-known %s", ref) // in case the user gave up on the first request
		}
		if rapid.IntRange(0, 4).Draw(d.t, "repeated") == 0 {
			d.h.at(at+d.between("repeated", 5, 100), "resubmit-known %s", ref)
		}
	}
	return cancelled
}

// span draws when a fault begins and ends.
func (d *chainDraw) span(name string, maxDuration int) (from, to float64) {
	from = 10 + d.between(name+" from", 0, 90)
	return from, min(faultsTo, from+d.between(name+" for", 1, maxDuration))
}

func (d *chainDraw) oneIn(name string, n int) bool {
	return rapid.IntRange(1, n).Draw(d.t, name) == 1
}

// faults draws the faults that occur while the chains run.
func (d *chainDraw) faults(nodes, machines int) {
	zones := []string{"a", "b", "c"}
	if d.oneIn("cut", 2) {
		from, to := d.span("cut", 60)
		d.h.at(from, "cut-zone %s", rapid.SampledFrom(zones).Draw(d.t, "zone cut"))
		d.h.at(to, "heal-zone")
	}
	if d.oneIn("outage", 2) {
		from, to := d.span("outage", 60)
		d.h.at(from, "state down")
		d.h.at(to, "state up")
	} else if d.oneIn("refused, then an outage", 4) {
		from, _ := d.span("refused", 1)
		d.h.at(from, "if-leader deny-state")
		out := from + d.between("refused for", 6, 20)
		d.h.at(out, "state down")
		d.h.at(out+d.between("down for", 5, 50), "state up")
		d.h.at(faultsTo+20, "state up")
		d.h.at(faultsTo, "allow-state all")
	}
	for range rapid.IntRange(0, 4).Draw(d.t, "restarts") {
		from, _ := d.span("restart", 1)
		who := rapid.SampledFrom([]string{"leader", "leader", "all"}).Draw(d.t, "who")
		for i := range rapid.IntRange(1, 4).Draw(d.t, "times") {
			d.h.at(min(faultsTo, from+float64(i)*2.7), "restart %s after=%g", who, rapid.SampledFrom([]float64{0.05, 0.5, 3}).Draw(d.t, "back"))
		}
	}
	d.h.at(1, "duplicate-requests %s", rapid.SampledFrom([]string{"mixed", "0.1", "4", "45"}).Draw(d.t, "copies after"))
	d.h.at(faultsTo, "duplicate-requests 0")
	if d.oneIn("late writes", 2) {
		from, to := d.span("late writes", 80)
		with := rapid.SampledFrom([]string{"", " with=f/req-", " with=j/req-", " with=f/req-000001"}).Draw(d.t, "late with")
		d.h.at(from, "late-writes every=%d by=%d%s", rapid.IntRange(1, 4).Draw(d.t, "late every"), rapid.SampledFrom([]int{0, 1, 6, 20}).Draw(d.t, "late by"), with)
		d.h.at(to, "late-writes every=0")
	}
	if d.oneIn("slow", 4) {
		from, to := d.span("slow", 40)
		d.h.at(from, "state-slow 0.4")
		d.h.at(to, "state-slow 0")
	}
	for range rapid.IntRange(0, 2).Draw(d.t, "nodes in trouble") {
		from, to := d.span("node", 40)
		what := rapid.SampledFrom([][2]string{{"freeze", "thaw"}, {"deny-state", "allow-state"}, {"drop-worker-traffic", "allow-worker-traffic"}, {"cut", "join"}}).Draw(d.t, "trouble")
		n := rapid.IntRange(0, nodes-1).Draw(d.t, "node")
		d.h.at(from, "%s node-%d", what[0], n)
		d.h.at(to, "%s node-%d", what[1], n)
	}
	for range rapid.IntRange(0, 2).Draw(d.t, "machines in trouble") {
		from, to := d.span("machine", 40)
		m := rapid.IntRange(1, machines).Draw(d.t, "machine")
		what := rapid.SampledFrom([][2]string{{"hang", "resume"}, {"lose-answers", "pass-answers"}, {"hold-reports", "deliver-reports"}}).Draw(d.t, "what")
		d.h.at(from, "if-present n-%06d %s", m, what[0])
		d.h.at(to, "if-present n-%06d %s", m, what[1])
	}
}

// drawChains generates a trace of chains of jobs under faults.
func drawChains(t *rapid.T) string {
	d := &chainDraw{t: t, from: 4}
	nodes := rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes")
	const machines = 9
	text := fmt.Sprintf("nodes %d a b c a b\nworkers cancel=%d\nteam red\ntype big cpus=8 gpus=2 mem=64 boot=10 zones=a,b,c\n", nodes,
		rapid.SampledFrom([]int{25, 50}).Draw(t, "cancel within"))
	for _, z := range []string{"a", "b", "c"} {
		text += fmt.Sprintf("fleet %d big %s\n", machines/3, z)
	}
	if rapid.Bool().Draw(t, "low limits") {
		text += "limits changes=24\ntxn-changes 4\n"
	}
	cancelled := d.jobs()
	d.faults(nodes, machines)
	for _, ref := range cancelled {
		d.h.at(historyEnd+60, "expect-finished-known %s", ref)
	}
	d.h.at(historyEnd+60, "expect nothing-stuck")
	d.h.at(historyEnd+60, "expect unanswered 80")
	sort.SliceStable(d.h.lines, func(a, b int) bool { return d.h.lines[a].at < d.h.lines[b].at })
	for _, l := range d.h.lines {
		text += fmt.Sprintf("at %g %s\n", l.at, l.text)
	}
	return text
}

// Chains are submitted and cancelled through several controllers and run to their end, while
// leaders are killed and writes are late or lost. No task starts before the jobs that it
// awaits are done, a cancellation leaves no dependent job behind, no user receives a status
// older than an earlier one, and every accepted job ends.
func TestChains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawChains(t)
		if w, err := playTrace(text, nil); err != nil {
			t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
		}
	})
}
