package simulation

import (
	"fmt"
	"sort"

	"pgregory.net/rapid"
)

// historyBuilder collects the lines of a generated trace.
type historyBuilder struct {
	lines []timedLine
}

type timedLine struct {
	at   float64
	text string
}

func (h *historyBuilder) at(at float64, format string, args ...any) {
	h.lines = append(h.lines, timedLine{at, fmt.Sprintf(format, args...)})
}

// sorted returns the lines in order of time.
func (h *historyBuilder) sorted() []timedLine {
	sort.SliceStable(h.lines, func(a, b int) bool { return h.lines[a].at < h.lines[b].at })
	return h.lines
}

// text returns the setup lines, followed by the lines in order of time.
func (h *historyBuilder) text(setup string) string {
	for _, l := range h.sorted() {
		setup += fmt.Sprintf("at %.6g %s\n", l.at, l.text)
	}
	return setup
}

// Faults overlap between faultsFrom and faultsTo. Some then persist unchanged until
// lastingFaultsTo, while leadership must stay stable from settledAt on. After that there are no
// faults, and everything has to be over by historyEnd.
const (
	faultsFrom      = 18.0
	faultsTo        = 110.0
	settledAt       = 135.0 // a few lease times and heartbeats after the last change
	lastingFaultsTo = 215.0
	historyEnd      = 340.0
)

// historyDraw generates a history: a deployment, jobs, and the faults that occur meanwhile.
type historyDraw struct {
	*rapid.T
	historyBuilder
	zones      []string
	nodes      int
	machines   int
	limit      int       // GPU limit of the team red, 0: none
	maxTasks   int       // of a job that is submitted about when faults begin
	faultTimes []float64 // about when most faults begin
}

// drawHistory generates a trace in which many kinds of faults overlap.
func drawHistory(t *rapid.T) string {
	d := &historyDraw{T: t, zones: []string{"a", "b", "c", "d"}, maxTasks: 3}
	for range 2 {
		d.faultTimes = append(d.faultTimes, faultsFrom+2+float64(d.number("meeting", 0, 560))/10)
	}
	setup := d.setup()
	d.jobs()
	d.smallJobs()
	d.outages()
	d.leaderChanges()
	d.controllerFaults()
	d.machineFaults()
	d.lateMessages()
	d.userRequests()
	for i, at := range d.faultTimes {
		d.overlappingFaults(i, at)
	}
	if d.oneIn(5, "old session") {
		d.oldSession(44 + float64(d.number("old session at", 0, 400))/10)
	}
	if d.oneIn(4, "launched again") {
		d.launchedAgain()
	}
	d.at(1, "balance")
	d.at(1, "costly-bodies on")
	d.at(settledAt, "count")
	d.at(lastingFaultsTo-0.1, "expect leader some")
	d.at(lastingFaultsTo-0.1, "expect at-most 2 leaders")
	d.at(lastingFaultsTo+12, "retry-cancels") // in case users gave up on the first request
	d.at(historyEnd, "expect nothing-stuck")
	d.at(historyEnd, "expect unanswered 75")
	return d.text(setup)
}

func (d *historyDraw) number(name string, from, to int) int {
	return rapid.IntRange(from, to).Draw(d.T, name)
}

// oneIn returns true with a probability of one in n.
func (d *historyDraw) oneIn(n int, name string) bool { return d.number(name, 1, n) == 1 }

func pick[V any](d *historyDraw, name string, of ...V) V {
	return rapid.SampledFrom(of).Draw(d.T, name)
}

// span draws when a fault begins, mostly about when others do, and when it ends.
func (d *historyDraw) span(name string, maxDuration int) (from, to float64) {
	from = faultsFrom + float64(d.number(name+" from", 0, 600))/10
	if !d.oneIn(3, name+" by itself") {
		from = pick(d, name+" with others", d.faultTimes...) + float64(d.number(name+" after others", -20, 60))/10
	}
	return from, min(faultsTo, from+float64(d.number(name+" for", 1, maxDuration)))
}

func (d *historyDraw) node() string { return fmt.Sprintf("node-%d", d.number("node", 0, d.nodes-1)) }

func (d *historyDraw) machine() string {
	return fmt.Sprintf("n-%06d", d.number("machine", 1, d.machines))
}

// faultEnd returns when a fault ends: some persist until lastingFaultsTo.
func (d *historyDraw) faultEnd(name string, to float64) float64 {
	if d.oneIn(3, name+" stands") {
		return lastingFaultsTo
	}
	return to
}

func (d *historyDraw) setup() string {
	d.nodes = pick(d, "nodes", 3, 5, 7)
	boot, most := 10.0, 9
	if d.oneIn(3, "machines up at once") { // within two seconds; the initial fleet is small then
		boot, most = pick(d, "boot", 0.5, 1.0, 1.9), 2
		d.maxTasks = 8
	}
	d.limit = pick(d, "limit", 0, 0, 3, 5, 8)
	setup := fmt.Sprintf("nodes %d a b c a b c a\nteam red max=%d\nteam blue\ntype big cpus=8 gpus=2 mem=64 boot=%g zones=a,b,c,d\n", d.nodes, d.limit, boot)
	for _, z := range d.zones {
		n := d.number("machines in "+z, 1, most)
		d.machines += n
		setup += fmt.Sprintf("fleet %d big %s\n", n, z)
	}
	return setup
}

func (d *historyDraw) jobs() {
	for i := range d.number("jobs", 2, 14) {
		ref := fmt.Sprintf("req-%06d", i+1)
		kind := pick(d, "kind", "array", "array", "gang", "service")
		team := pick(d, "team", "red", "red", "blue")
		run := pick(d, "run", 1, 8, 25)
		if team == "blue" || d.limit == 0 {
			run = pick(d, "longer run", 8, 60)
		}
		line := fmt.Sprintf("submit %s %s tasks=%d gpus=1 team=%s run=%d", ref, kind, d.number("tasks", 1, 5), team, run)
		switch z := d.number("zone", 0, 8); {
		case z < 3:
			line += " zone=" + d.zones[z]
		case z == 3:
			line += " one-zone"
		case z == 4:
			line += " spread"
		}
		if d.oneIn(3, "deadline") {
			line += " deadline=90"
		}
		submitted := 4 + float64(d.number("submitted", 0, 800))/10
		if !d.oneIn(3, "submitted by itself") {
			submitted = pick(d, "submitted with troubles", d.faultTimes...) + float64(d.number("submitted before", -120, 60))/10
		}
		d.at(submitted, "%s", line)
		if kind == "service" || d.oneIn(2, "cancelled") {
			at := max(submitted, pick(d, "cancelled with troubles", d.faultTimes...)+float64(d.number("cancelled after", -30, 300))/10)
			d.at(at+0.1, "cancel %s", ref)
		}
	}
}

// smallJobs submits four one-task jobs a second for a while; a quarter of them are cancelled.
func (d *historyDraw) smallJobs() {
	if !d.oneIn(4, "small jobs") {
		return
	}
	from, _ := d.span("small jobs", 1)
	run := pick(d, "small run", 0.5, 2.0)
	for i := range 4 * d.number("seconds of small jobs", 2, 12) {
		at := from + float64(i)/4
		ref := fmt.Sprintf("req-%06d", 101+i)
		d.at(at, "submit %s array tasks=1 gpus=1 team=%s run=%g", ref, pick(d, "small team", "red", "blue"), run)
		if d.oneIn(4, "small cancelled") {
			d.at(at+float64(d.number("small cancel", 0, 30))/10, "cancel %s", ref)
		}
	}
}

func (d *historyDraw) outages() {
	if d.number("cut", 0, 3) > 0 {
		from, to := d.span("cut", 90)
		d.at(from, "cut-zone %s", pick(d, "zone cut", d.zones...))
		d.at(d.faultEnd("cut", to), "heal-zone")
	}
	if d.oneIn(2, "outage") {
		from, to := d.span("outage", 45)
		d.at(from, "state down")
		d.at(to, "state up")
	}
	if d.oneIn(3, "list lags") {
		d.at(1, "list-lag %d", pick(d, "list lags by", 3, 20))
	}
	if d.oneIn(2, "cloud") {
		from, to := d.span("cloud", 70)
		d.at(from, "cloud down")
		d.at(to, "cloud up")
	}
	if d.oneIn(3, "state slow") {
		from, to := d.span("state slow", 60)
		d.at(from, "state-slow %g", pick(d, "slow by", 0.1, 0.4, 1, 2.5))
		d.at(to, "state-slow 0")
	}
	if d.oneIn(3, "refused, then an outage") {
		from, _ := d.span("refused", 1)
		out := from + float64(d.number("refused for", 1, 20))
		d.at(from, "if-leader deny-state")
		d.cancelNear(from)
		d.at(out, "state down")
		d.at(out+float64(d.number("down for", 5, 60)), "state up")
		d.at(faultsTo+20, "state up")
		d.at(faultsTo+20, "allow-state all")
	}
}

// cancelNear has users cancel some jobs that run at about the given time.
func (d *historyDraw) cancelNear(at float64) {
	if d.oneIn(2, "cancelled then") {
		hang := ""
		if d.oneIn(2, "hang") {
			hang = fmt.Sprintf(" hang=%d", pick(d, "hang for", 3, 12, 25))
		}
		d.at(at+float64(d.number("cancelled after", -5, 60))/10, "cancel-now %d%s", d.number("how many cancelled", 1, 5), hang)
	}
}

// leaderChanges draws changes of leader: processes that end and are back within a fraction of a
// second, some repeatedly, some in the middle of an election; and ten leaders in a row.
func (d *historyDraw) leaderChanges() {
	if d.oneIn(2, "all end") {
		from, _ := d.span("end", 1)
		d.at(from, "kill all")
		d.at(from+pick(d, "back after", 0.05, 0.4, 3, 25), "start all")
	}
	for range d.number("restarts", 0, 3) {
		from, _ := d.span("restart", 1)
		who := pick(d, "who", "leader", "leader", "all", d.node())
		back := pick(d, "back", 0.05, 0.2, 0.5)
		every := pick(d, "every", 0.3, 2.2, 5)
		for i := range d.number("times", 1, 8) {
			d.at(min(faultsTo, from+float64(i)*every), "restart %s after=%g", who, back)
		}
		d.cancelNear(from)
	}
	if d.oneIn(2, "ends in an election") {
		from, _ := d.span("ends in", 1)
		d.at(from, "end-in-role %s %d after=%g back=%g", pick(d, "role", "leasing", "claiming", "loading", "leading", "doubtful"),
			d.number("how many", 1, 6), pick(d, "ends after", 0, 0.02, 1), pick(d, "ends back", 0.05, 0.4))
		d.at(from+0.1, "restart leader")
		d.at(faultsTo, "end-in-role leading 0")
	}
	if d.oneIn(4, "ten leaders") {
		how := pick(d, "how they change", [2]string{"freeze", "thaw"}, [2]string{"deny-state", "allow-state"}, [2]string{"cut", "join"}, [2]string{"isolate", "unisolate"}, [2]string{"kill", "start"})
		for i := range 10 {
			at := faultsFrom + 9*float64(i)
			d.at(at, "if-leader %s", how[0])
			d.at(at+8.5, "%s all", how[1])
		}
	}
	d.at(1, "duplicate-requests %s", pick(d, "copies after", "mixed", "0.1", "4", "45"))
	d.at(faultsTo, "duplicate-requests 0")
}

func (d *historyDraw) controllerFaults() {
	for range d.number("nodes in trouble", 0, 3) {
		n := d.node()
		from, to := d.span("node", 40)
		what := pick(d, "trouble", [2]string{"kill", "start"}, [2]string{"freeze", "thaw"}, [2]string{"deny-state", "allow-state"}, [2]string{"drop-worker-traffic", "allow-worker-traffic"}, [2]string{"cut", "join"})
		if what[0] == "drop-worker-traffic" {
			to = d.faultEnd("deaf", to)
		}
		d.at(from, "%s %s", what[0], n)
		d.at(to, "%s %s", what[1], n)
	}
	if d.oneIn(3, "away") { // cut off from the state service and the other controllers
		n := pick(d, "who is away", "leader", d.node())
		from, to := d.span("away", 80)
		if n == "leader" {
			d.at(from, "if-leader isolate")
		} else {
			d.at(from, "isolate %s", n)
		}
		d.cancelNear(from + 6) // when there is a new leader
		d.at(to, "unisolate all")
	}
}

func (d *historyDraw) machineFaults() {
	for range d.number("machines in trouble", 0, 3) {
		from, to := d.span("machine", 40)
		m := d.machine()
		if d.oneIn(2, "hangs") {
			d.at(from, "if-present %s hang", m)
			d.at(to, "if-present %s resume", m)
		} else {
			d.at(from, "if-present %s fail", m)
		}
	}
	for range d.number("deaf machines, or held commands", 0, 2) * d.machines / 8 {
		from, to := d.span("deaf", 60)
		m := d.machine()
		what := pick(d, "what", [2]string{"drop-inbound", "allow-inbound"}, [2]string{"hold-calls", "deliver-calls"}, [2]string{"lose-answers", "pass-answers"})
		d.at(from, "if-present %s %s", m, what[0])
		d.at(to, "if-present %s %s", m, what[1])
	}
	for i := range d.number("machines back at once", 0, 2) {
		from, _ := d.span("back at once", 1)
		if m := d.machine(); d.oneIn(2, "new name") {
			d.at(from, "replace %s n-%06d", m, 400001+i)
		} else {
			d.at(from, "if-present %s lose-session", m)
		}
	}
	if d.oneIn(4, "zone deaf") {
		from, to := d.span("zone deaf", 60)
		z := pick(d, "which zone", d.zones...)
		d.at(from, "in-zone %s drop-inbound", z)
		d.at(to, "in-zone %s allow-inbound", z)
	}
	if d.oneIn(4, "mute") {
		from, to := d.span("mute", 60)
		who := pick(d, "who is mute", "all", d.machine(), d.machine(), "zone=a", "zone=b", "zone=d")
		d.at(from, "drop-outbound %s", who)
		d.at(to, "allow-outbound all")
	}
}

// lateMessages draws messages that arrive late, see actLate.
func (d *historyDraw) lateMessages() {
	late := func(what string, by []int, with string) {
		if d.oneIn(3, what) {
			from, to := d.span(what, 60)
			d.at(from, "%s every=%d by=%d%s", what, d.number(what+" every", 1, 6), pick(d, what+" by", by...), with)
			d.at(to, "%s every=0", what)
		}
	}
	late("late-writes", []int{2, 6, 10, 30}, pick(d, "carried out", "", " at=once"))
	late("late-reports", []int{2, 6, 10, 30}, pick(d, "copies to", "", " to=leader", " to=next on=loading", " to=next on=leading", " to=next on=both"))
	late("late-commands", []int{2, 5, 11}, "")
	late("late-cloud", []int{2, 6, 15}, pick(d, "requests to the cloud", "", " at=once"))
}

// userRequests draws users who cancel many jobs at once, or at their end, who query all
// controllers right after an answer with a new status, and who send unusual or invalid requests.
func (d *historyDraw) userRequests() {
	if d.oneIn(3, "cancel now") {
		from, _ := d.span("cancel now", 1)
		d.cancelNear(from)
	}
	if d.oneIn(3, "cancel at end") {
		from, to := d.span("cancel at end", 60)
		d.at(from, "cancel-at-end %d", d.number("of so many", 1, 4))
		d.at(to, "cancel-at-end 0")
	}
	if d.oneIn(2, "close looks") {
		from, to := d.span("close looks", 60)
		d.at(pick(d, "looks from", 1, from), "follow-up-requests on cancel=%d", pick(d, "looks cancel", 0, 0, 3, 6))
		d.at(to, "follow-up-requests off")
	}
	if d.oneIn(2, "odd requests") {
		from, to := d.span("odd requests", 90)
		d.at(from, "unusual-requests on")
		d.at(d.faultEnd("odd requests", to), "unusual-requests off")
	}
}

// overlappingFaults draws several faults that begin within seconds of each other, just as a job
// starts: messages in flight when the leader ends, and facts that the next leader can't see.
func (d *historyDraw) overlappingFaults(index int, at float64) {
	near := func(name string) float64 { return at + float64(d.number(name+" at", -20, 40))/20 }
	faultDuration := func(name string) float64 { return pick(d, name+" lasts", 2.0, 6, 14, 24, 45) }
	addFault := func(name, begin, end string) {
		from := near(name)
		d.at(from, "%s", begin)
		d.at(min(faultsTo, from+faultDuration(name)), "%s", end)
	}
	if !d.oneIn(4, "no new job") {
		team, run := pick(d, "new team", "red", "blue"), pick(d, "new run", 2, 20, 50)
		if team == "red" && d.limit > 0 {
			run = min(run, 10) // the limit may allow only one task at a time
		}
		d.at(near("new job"), "submit req-%06d %s tasks=%d gpus=%d team=%s run=%d", 50+index, pick(d, "new kind", "array", "array", "gang"),
			d.number("new tasks", 1, d.maxTasks), d.number("new gpus", 1, 2), team, run)
	}
	if !d.oneIn(4, "the leader stays") {
		switch d.number("how the leader goes", 0, 8) {
		default:
			misses := ""
			if !d.oneIn(4, "misses nothing") {
				misses = fmt.Sprintf(" fault=%s lasts=%d", pick(d, "misses", "hang", "drop-inbound", "hold-calls", "hold-reports", "hold-reports", "lose-answers", "disconnect-machine", "fail"), pick(d, "misses for", 6, 14, 18, 24, 45))
			}
			d.at(near("ends on")-0.9, "end-on-call %s after=%g back=%g%s", pick(d, "said", `"launch"`, `"launch"`, `"launch"`, `"stop"`, `"forget"`, `"j/req`, `"f/req`, `"lp/`, `"dp/`, `"hp/`),
				pick(d, "ends so long after", 0, 0.004, 0.02, 0.5, 2.1), pick(d, "ends and is back", 0.05, 0.4, 3), misses)
			d.at(faultsTo, "end-on-call nothing")
		case 0:
			d.at(near("leader ends")+0.5, "restart leader after=%g", pick(d, "leader back", 0.05, 0.4, 3))
		case 1:
			d.at(near("leader ends")+0.5, "if-leader kill")
			d.at(faultsTo, "start all")
		case 2:
			addFault("leader frozen", "if-leader freeze", "thaw all")
		case 3:
			addFault("leader away", "if-leader isolate", "unisolate all")
		case 4:
			addFault("leader refused", "if-leader deny-state", "allow-state all")
		}
	}
	if d.oneIn(2, "writes late there") {
		with := pick(d, "writes late with", "", "", " with=hp/", " with=hp/", " with=lp/", " with=lp/", " with=dp/", " with=j/", " with=f/", " with=epoch")
		addFault("writes late", fmt.Sprintf("late-writes every=%d by=%d%s%s", d.number("writes late every", 1, 3), pick(d, "writes late by", 2, 6, 20), with, pick(d, "writes carried out", "", " at=once")), "late-writes every=0")
	}
	if d.oneIn(2, "commands late there") {
		addFault("commands late", fmt.Sprintf("late-commands every=%d by=%d", d.number("commands late every", 1, 2), pick(d, "commands late by", 2, 5, 11)), "late-commands every=0")
	}
	if d.oneIn(2, "reports late there") {
		d.at(at-8, "late-reports every=%d by=%d%s", d.number("reports late every", 1, 3), pick(d, "reports late by", 2, 10, 26),
			pick(d, "reports go to", "", " to=leader", " to=next on=leading", " to=next on=both"))
		d.at(min(faultsTo, at+faultDuration("reports late")), "late-reports every=0")
	}
	for i := range d.number("what machines miss", 0, 2) {
		name := fmt.Sprintf("missing %d", i)
		what := pick(d, name, [2]string{"drop-inbound", "allow-inbound"}, [2]string{"lose-answers", "pass-answers"}, [2]string{"hold-calls", "deliver-calls"}, [2]string{"hold-reports", "deliver-reports"},
			[2]string{"disconnect-machine", "reconnect-machine"}, [2]string{"hang", "resume"})
		zone := pick(d, name+" where", append([]string{"all", "all"}, d.zones...)...)
		addFault(name, "in-zone "+zone+" "+what[0], "in-zone "+zone+" "+what[1])
	}
	if d.oneIn(3, "one dies there") {
		d.at(near("dies"), "if-present %s fail", d.machine())
	}
	if d.oneIn(4, "out there") {
		addFault("out", "state down", "state up")
	}
	if d.oneIn(3, "cancelled there") {
		d.cancelNear(at + float64(d.number("cancelled from there", 0, 80))/10)
	}
}

// oldSession draws machines of a zone that lose their session, followed by launch commands that
// are delayed in transit while the leader ends. The next leader receives copies of the earlier
// session's heartbeats first. See testdata/meet_old_session.trace.
func (d *historyDraw) oldSession(at float64) {
	zone := pick(d, "old session's zone", d.zones...)
	in := func(at float64, word string) { d.at(at, "in-zone %s %s", zone, word) }
	in(at-29, "lose-answers")
	d.at(at-29, "late-reports every=1 by=2 to=next on=%s", pick(d, "old reports come", "leading", "both"))
	d.at(at-11, "late-reports every=0")
	in(at-5, "pass-answers") // so that the leader no longer considers it unreachable
	in(at-0.2, "hold-calls")
	in(at-0.1, "lose-answers")
	d.at(at, "submit req-000060 array tasks=%d gpus=2 team=blue run=50", d.number("old session's tasks", 2, 8))
	ended := at + float64(d.number("ends in old session", 8, 40))/10
	d.at(ended, "if-leader %s", pick(d, "how it ends", "kill", "freeze"))
	in(ended, "hold-reports")
	in(ended+float64(d.number("reports again", 30, 90))/10, "deliver-reports")
	in(ended+float64(d.number("calls again", 60, 160))/10, "deliver-calls")
	in(ended+17, "pass-answers")
	d.at(ended+20, "thaw all")
	d.at(faultsTo, "start all")
}

// launchedAgain draws a gang of which one task exits because it has waited too long for the others,
// and is launched again under the same attempt number. The next leader receives copies of the
// reports of that exit while machines hang, or don't receive what the controllers send.
func (d *historyDraw) launchedAgain() {
	submitted := 4 + float64(d.number("launched again at", 0, 40))/10
	// The fetch takes longer than a task of a gang waits, and one machine has the image already.
	d.at(submitted, "submit req-000070 array tasks=1 gpus=2 image=img-9 size=45 run=1 team=blue")
	d.at(submitted+50, "submit req-000071 gang tasks=%d gpus=2 image=img-9 size=45 run=60 team=blue", d.number("launched again tasks", 2, 3))
	d.at(submitted+86, "old-reports keep with=%s", pick(d, "kept reports", "incomplete", "incomplete", "req-000071"))
	ended := submitted + 94 + float64(d.number("ends after it was launched again", 0, 40))/10
	d.at(ended-1, "old-reports stop")
	d.at(ended-0.5, "old-reports deliver on=%s after=%g", pick(d, "kept reports come", "loading", "leading", "loading,leading"), pick(d, "kept reports come after", 0, 0.3, 2))
	what := pick(d, "what machines miss then", [2]string{"hang", "resume"}, [2]string{"hang", "resume"}, [2]string{"drop-inbound", "allow-inbound"}, [2]string{"disconnect-machine", "reconnect-machine"})
	for _, zone := range d.zones {
		d.at(ended-0.1, "in-zone %s %s", zone, what[0])
		d.at(ended+pick(d, "until they are back", 2.0, 6, 12), "in-zone %s %s", zone, what[1])
	}
	d.at(ended, "restart leader after=%g", pick(d, "back after it was launched again", 0.05, 0.4, 3))
	if d.oneIn(3, "cancelled once launched again") {
		d.at(ended+float64(d.number("cancelled so late", 0, 40))/10, "cancel req-000071")
	}
	d.at(faultsTo, "old-reports deliver on=none")
}
