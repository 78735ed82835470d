package simulation

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Seconds at which the faults begin and end, from which on waiting is counted, and by which
// all jobs have to be over.
const (
	jobFaultsFrom   = 18
	jobFaultsTo     = 130
	jobsCountedFrom = 165
	jobsEnd         = 700
)

// drawJobs draws jobs of all kinds and ranks: bound to a given zone, or with all tasks in any
// single zone, of teams with and without a limit, and with images that take long to fetch.
func (h *historyBuilder) drawJobs(t *rapid.T) (cancelled []string) {
	for i := range rapid.IntRange(4, 14).Draw(t, "jobs") {
		ref := fmt.Sprintf("req-%06d", i+1)
		kind := rapid.SampledFrom([]string{"array", "array", "gang", "gang", "service"}).Draw(t, "kind")
		line := fmt.Sprintf("submit %s %s tasks=%d gpus=%d run=%d team=%s rank=%s size=%g image=img-%d", ref, kind,
			rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.IntRange(1, 2).Draw(t, "gpus"), rapid.SampledFrom([]int{8, 30, 60}).Draw(t, "run"),
			rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"), rapid.SampledFrom([]string{"critical", "high", "standard", "low"}).Draw(t, "rank"),
			rapid.SampledFrom([]float64{1, 6}).Draw(t, "size"), rapid.IntRange(1, 4).Draw(t, "image"))
		if rapid.Bool().Draw(t, "in one zone") {
			line += " one-zone"
		}
		if zone := rapid.SampledFrom([]string{"", "", "a", "b", "c"}).Draw(t, "zone"); zone != "" {
			line += " zone=" + zone
		}
		h.at(4+float64(rapid.IntRange(0, 80).Draw(t, "submitted")), "%s", line)
		if kind == "service" || rapid.IntRange(0, 3).Draw(t, "cancelled") == 0 {
			cancelled = append(cancelled, ref)
			h.at(86+float64(rapid.IntRange(0, 30).Draw(t, "cancel")), "cancel %s", ref)
			h.at(jobsCountedFrom+60, "cancel %s", ref) // in case the user gave up on the first request
		}
	}
	return cancelled
}

// drawJobFaults draws faults: machines and zones that can't send heartbeats, machines that die,
// hang or receive neither answers nor commands, a zone that is cut off, outages, and leaders
// that are killed, refused by the state service, or cut off from it and the other controllers.
func (h *historyBuilder) drawJobFaults(t *rapid.T, machines int) {
	fault := func(name string, oneIn, maxDuration int, begins, ends string) {
		if rapid.IntRange(0, oneIn-1).Draw(t, name) > 0 {
			return
		}
		from := jobFaultsFrom + float64(rapid.IntRange(0, 80).Draw(t, name+" from"))
		h.at(from, "%s", begins)
		if ends != "" {
			h.at(min(jobFaultsTo, from+float64(rapid.IntRange(1, maxDuration).Draw(t, name+" for"))), "%s", ends)
		}
	}
	mute := rapid.SampledFrom([]string{"all", "zone=a", "zone=b", "n-000002"}).Draw(t, "who is mute")
	fault("mute", 2, 80, "drop-outbound "+mute, "allow-outbound all")
	fault("cut", 3, 80, "cut-zone a", "heal-zone")
	fault("outage", 3, 45, "state down", "state up")
	fault("cloud", 3, 60, "cloud down", "cloud up")
	fault("slow", 3, 60, "state-slow 0.8", "state-slow 0")
	fault("away", 3, 60, "if-leader isolate", "unisolate all")
	fault("refused", 3, 60, "if-leader deny-state", "allow-state all")
	fault("old reports", 3, 60, "late-reports every=2 by=10 to=leader", "late-reports every=0")
	h.at(1, "duplicate-requests %s", rapid.SampledFrom([]string{"mixed", "0.1", "4", "45"}).Draw(t, "copies after"))
	h.at(jobFaultsTo, "duplicate-requests 0")
	for range rapid.IntRange(0, 4).Draw(t, "restarts") {
		who := rapid.SampledFrom([]string{"leader", "leader", "all"}).Draw(t, "who ends")
		fault("restart", 1, 1, fmt.Sprintf("restart %s after=%g", who, rapid.SampledFrom([]float64{0.1, 3, 25}).Draw(t, "back")), "")
	}
	for range rapid.IntRange(0, 5).Draw(t, "machines in trouble") {
		what := rapid.SampledFrom([][2]string{{"fail"}, {"hang", "resume"}, {"hang", "resume"}, {"drop-inbound", "allow-inbound"}, {"hold-calls", "deliver-calls"}}).Draw(t, "what")
		machine := fmt.Sprintf("if-present n-%06d ", rapid.IntRange(1, machines).Draw(t, "machine"))
		ends := ""
		if what[1] != "" {
			ends = machine + what[1]
		}
		fault("machine", 1, 50, machine+what[0], ends)
	}
}

// drawJobHistory generates a trace. While the cloud is up, it can rent out any number of machines.
func drawJobHistory(t *rapid.T) string {
	setup := fmt.Sprintf("nodes %d a b c a b\nworkers cancel=30\n%s\nteam blue gpus=4\ntype big cpus=8 gpus=2 mem=64 boot=8 fetch=%g zones=a,b,c\n",
		rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes"), rapid.SampledFrom([]string{"team red", "team red gpus=6 max=10"}).Draw(t, "team"),
		rapid.SampledFrom([]float64{1, 0.3}).Draw(t, "fetch"))
	machines := 0
	for _, z := range []string{"a", "b", "c"} {
		n := rapid.IntRange(3, 6).Draw(t, "machines in "+z)
		machines += n
		setup += fmt.Sprintf("fleet %d big %s\n", n, z)
	}
	h := &historyBuilder{}
	h.at(1, "balance")
	cancelled := h.drawJobs(t)
	h.drawJobFaults(t, machines)
	h.at(jobsCountedFrom, "count")
	for _, ref := range cancelled {
		h.at(jobsEnd, "expect finished %s", ref)
	}
	for _, what := range []string{"nothing-stuck", "unanswered 75", "waits-despite-room 90"} {
		h.at(jobsEnd, "expect %s", what)
	}
	sort.SliceStable(h.lines, func(a, b int) bool { return h.lines[a].at < h.lines[b].at })
	for _, l := range h.lines {
		setup += fmt.Sprintf("at %g %s\n", l.at, l.text)
	}
	return setup
}

// Jobs of all kinds run while faults occur at random. No rule is broken. Once the faults are
// over, each job's user gets answers, no job waits while there is room for it, and every
// accepted job ends.
func TestDrawnJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawJobHistory(t)
		if w, err := playTrace(text, nil); err != nil {
			t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
		}
	})
}
