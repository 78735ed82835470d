package simulation

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/costlyform"
	"mapleslip/internal/protocol"
)

// faults has the state of these faults: users who cancel many jobs at once, or jobs at the
// moment that they end, users who send requests that must be refused, and messages that reach
// the next leader or a worker late. The other faults are in late_messages.go.
type faults struct {
	lateCommands   lateness // direct commands that are carried out later and get no answer
	lateCloud      lateness // rentals and releases that are carried out later
	copiedCommands lateness // direct commands of which a copy arrives later
	keptReports    []keptReport
	cancelAtEnd    int              // every N-th job that ends is cancelled at that moment; 0: none
	endedJobs      int              // jobs that ended while cancelAtEnd was set
	oddRequests    bool             // odd requests are sent, see sendOddRequests
	costlyBodies   bool             // costly bodies are sent, see sendCostlyBody
	costlyRounds   int              // costly bodies sent
	costlyBody     *costlyform.Body // that is being sent, nil for other requests
	// measureWork delivers a costly body and measures the work that it causes; nil for no measurement.
	measureWork      func(body costlyform.Body, deliver func())
	oddRequestRounds int      // seconds in which odd requests were sent
	refusedRefs      []string // refs of invalid submissions, which must not be accepted
	refusals         int      // invalid submissions that were refused
}

// keptReport is a copy of a worker's report that is delivered when the next leader begins.
// onRole is "loading", "leading" or "both", see actLate.
type keptReport struct{ body, onRole string }

// maxKeptReports limits the copies that are kept for the next leader.
const maxKeptReports = 300

// actLate sets which messages arrive late. every=3 selects every third message of the kind, with
// the text TEXT in it if one is given, and most=N at most N of them; by=6 delays it by 6 s and up
// to three eighths as much again.
//
//	late-writes every=3 by=6 [with=TEXT] [most=1]: transactions are carried out late and get no
//	    answer; at=once: they are carried out at once and only the answer is lost
//	late-reports every=3 by=6: copies of workers' reports arrive late, at the same controller;
//	    to=leader: at the controller that leads then; to=next: the copies are kept until the
//	    next leader reads the records (on=loading), leads (on=leading), or both (on=both)
//	late-commands every=3 by=6: direct commands are carried out late and get no answer
//	late-cloud every=3 by=6 [with=TEXT]: rentals and releases are carried out late and get no
//	    answer; at=once: they are carried out at once and only the answer is lost
//	copy-commands every=3 by=6: direct commands are carried out and answered, and a copy of them
//	    arrives late
//
// every=0 ends it.
func (w *World) actLate(words []string) error {
	o := options(words[1:])
	l := lateness{
		every: int(number(o, "every", 1)), by: protocol.FromSeconds(number(o, "by", 6)), with: o["with"], limit: int(number(o, "most", 1e9)),
		toLeader: o["to"] == "leader", atOnce: o["at"] == "once", forNext: o["to"] == "next", onRole: o["on"],
	}
	switch words[0] {
	case "late-writes":
		w.lateWrites = l
	case "late-reports":
		w.lateReports = l
	case "late-commands":
		w.lateCommands = l
	case "copy-commands":
		w.copiedCommands = l
	case "late-cloud":
		w.lateCloud = l
	}
	return nil
}

// actFault carries out the verbs in-zone, cancel-now, cancel-at-end, retry-cancels, costly-bodies and
// unusual-requests.
func (w *World) actFault(words []string) error {
	switch words[0] {
	case "in-zone": // in-zone ZONE|all VERB: VERB for all machines of the zone
		for _, m := range w.sortedMachines() {
			if m.zone == words[1] || words[1] == "all" {
				w.actMachine(words[2], m)
			}
		}
	case "cancel-now": // cancel-now COUNT [hang=SECONDS], see cancelNow
		count, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		w.cancelNow(count, protocol.FromSeconds(number(options(words[2:]), "hang", 0)))
	case "cancel-at-end": // cancel-at-end EVERY, see jobEnded
		every, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		w.cancelAtEnd = every
	case "retry-cancels": // users whose job has not been reported as over repeat the cancellation
		for _, ref := range w.sortedJobs() {
			if j := w.jobs[ref]; j.cancelRequested && !j.reportedDone && j.cancelReportedAt == 0 {
				w.cancel(j)
			}
		}
	case "costly-bodies": // costly-bodies on|off, see sendCostlyBody
		w.costlyBodies = words[1] == "on"
	case "unusual-requests": // unusual-requests on|off, see sendOddRequests
		w.oddRequests = words[1] == "on"
	}
	return nil
}

func (w *World) sortedJobs() []string {
	refs := make([]string, 0, len(w.jobs))
	for r := range w.jobs {
		refs = append(refs, r)
	}
	sort.Strings(refs)
	return refs
}

const (
	cancelPeriod        = protocol.Second / 5 // in which cancelNow cancels all jobs
	minRemainingRuntime = 5 * protocol.Second
	maxHungMachines     = 8
)

// cancelNow has users cancel up to count running jobs that are far from their end, within
// cancelPeriod. If hang is above 0, up to maxHungMachines of their machines hang for that long.
func (w *World) cancelNow(count int, hang micros) {
	machines := map[*userJob][]*machine{}
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.onMachine && t.state == "running" && (t.job.spec.Kind == protocol.Service || t.ends > w.now+minRemainingRuntime) {
				machines[t.job] = append(machines[t.job], m)
			}
		}
	}
	hung, chosen := 0, 0
	for _, ref := range w.sortedJobs() {
		j := w.jobs[ref]
		if chosen == count || j.cancelRequested || !j.accepted || len(machines[j]) == 0 {
			continue
		}
		w.after(cancelPeriod*micros(chosen)/micros(count), func() { w.cancel(j) })
		chosen++
		for _, m := range machines[j] {
			if hang == 0 || hung == maxHungMachines || m.hung {
				continue
			}
			hung++
			m.hung = true
			w.after(hang, func() { w.actMachine("resume", m) })
		}
	}
}

// jobEnded is called when a task of a job has completed. When it was the last one, the job may be
// cancelled at that moment, see cancelAtEnd.
func (w *World) jobEnded(j *userJob) {
	if w.cancelAtEnd == 0 || j.cancelRequested || !j.accepted {
		return
	}
	for _, ok := range j.results {
		if !ok {
			return
		}
	}
	if w.endedJobs++; w.endedJobs%w.cancelAtEnd == 0 {
		w.cancel(j)
	}
}

// keepForNext keeps a copy of a worker's report for the next leader.
func (w *World) keepForNext(body string) {
	if len(w.keptReports) < maxKeptReports {
		w.keptReports = append(w.keptReports, keptReport{body, w.lateReports.onRole})
	}
}

// deliverKeptReports is called when a controller takes a role. It delivers to all controllers the
// reports that were kept for a leader in that role.
func (w *World) deliverKeptReports(role controller.Role) {
	var rest []keptReport
	for _, r := range w.keptReports {
		due := role == controller.RoleRecovering && r.onRole != "leading" || role == controller.RoleLeader && r.onRole != "loading"
		if !due || role == controller.RoleRecovering && r.onRole == "both" {
			rest = append(rest, r)
		}
		if !due {
			continue
		}
		for _, n := range w.nodes {
			w.after(w.delay(), func() { w.copyReport(n, false, r.body) })
		}
	}
	w.keptReports = rest
}

// holdCommand reports whether a direct command is to arrive late. If so, it delivers the command
// later, and the controller gets no answer.
func (w *World) holdCommand(n *node, m *machine, c controller.Call) bool {
	late, by := w.lateCommands.next(hasOrders(c), string(c.Body))
	if !late {
		return false
	}
	w.after(by, func() {
		w.deliverAcrossZones(n.zone, m.zone, func() { w.callWorker(m, c, func(int, string) {}) })
	})
	return true
}

// hasOrders reports whether a call is a direct command to a worker with at least one order.
func hasOrders(c controller.Call) bool {
	return c.Target == controller.ToWorker && c.Path == "/commands" && !strings.Contains(string(c.Body), `"orders":[]`)
}

// sendOddRequests has users send odd requests, called once a second: one submission of an
// unfinished job is repeated, one job that is done or cancelled is cancelled, one invalid
// submission is sent, and one of the invalid jobs is queried.
func (w *World) sendOddRequests() {
	if !w.oddRequests {
		return
	}
	w.oddRequestRounds++
	var unfinished, finished []*userJob
	for _, ref := range w.sortedJobs() {
		switch j := w.jobs[ref]; {
		case !j.accepted:
		case j.reportedDone || j.cancelReportedAt > 0:
			finished = append(finished, j)
		default:
			unfinished = append(unfinished, j)
		}
	}
	n := w.nextReachableNode()
	if n == nil {
		return
	}
	ignoreAnswer := func(int, []byte) {} // compared in any case, see answer_comparison.go
	if len(unfinished) > 0 {
		w.request(n, "submit", w.submission(unfinished[w.oddRequestRounds%len(unfinished)]), ignoreAnswer)
	}
	if len(finished) > 0 {
		w.request(n, "cancel", finished[w.oddRequestRounds%len(finished)].spec.Ref, ignoreAnswer)
	}
	w.sendRefusable(n)
	if len(w.refusedRefs) > 0 {
		w.request(n, "query", w.refusedRefs[w.oddRequestRounds%len(w.refusedRefs)], ignoreAnswer)
	}
}

// requiredFields are the fields without which a submission is malformed.
var requiredFields = []string{
	"ref", "jobclass", "owner", "shape", "rank", "shards", "cores", "gpus", "memoryGb", "bundle", "sizeGb",
	"samePlace", "apart", "reclaimable", "expectS", "snapshotEveryS", "snapshotS",
}

// sendRefusable sends a submission that lacks a field, is not an object, or is of a job that can
// never run, and checks that it is not accepted.
func (w *World) sendRefusable(n *node) {
	s := w.refusable(w.oddRequestRounds)
	if s.ref != "" {
		w.refusedRefs = append(w.refusedRefs, s.ref)
	}
	w.request(n, "submit", s.body, func(status int, _ []byte) {
		switch status {
		case 400, 422:
			w.refusals++
		case 200, 201:
			w.reportViolation("accepted_invalid: %s (%s) got %d", s.ref, s.reason, status)
		}
	})
}

// refusable is an invalid submission, which must get 400 or 422. ref is "" if it names no job.
type refusable struct{ ref, body, reason string }

// refusable builds the i-th invalid submission.
func (w *World) refusable(i int) refusable {
	teams := make([]string, 0, len(w.Platform.Teams))
	for name := range w.Platform.Teams {
		teams = append(teams, name)
	}
	sort.Strings(teams)
	spec := &protocol.JobSpec{
		Ref: fmt.Sprintf("req-%06d", 800000+i), Class: "work", Team: teams[i%len(teams)], Priority: protocol.PriorityStandard, Tasks: 1,
		TaskResources: protocol.Resources{CPU: 1000, GPU: 1000, Memory: 1000}, Image: "img-1", ImageSize: 1000, EstimatedRuntime: protocol.Second,
	}
	build := func(reason string) refusable {
		return refusable{spec.Ref, string(protocol.AppendJob(nil, spec)), reason}
	}
	malformed := func(reason, body string) refusable { return refusable{"", body, reason} }
	switch i % 10 {
	case 6:
		spec.Image = "img-1"
		return malformed("image is not UTF-8", strings.Replace(string(protocol.AppendJob(nil, spec)), "img-1", "caf\xe9", 1))
	case 7:
		return malformed("unknown field is not UTF-8", strings.Replace(string(protocol.AppendJob(nil, spec)), "{", "{\"x\xff\xfe\":0,", 1))
	case 8:
		return malformed("cut off", strings.TrimSuffix(string(protocol.AppendJob(nil, spec)), "}"))
	case 9:
		return malformed("control character", strings.Replace(string(protocol.AppendJob(nil, spec)), "img-1", "img\x01", 1))
	case 0:
		spec.TaskResources.CPU = 4_000_000
		return build("larger than any machine")
	case 1:
		spec.MachineTypes = []string{"unknown"}
		return build("no allowed machine type")
	case 2:
		spec.Team = "nobody"
		return build("unknown team")
	case 3:
		if limit := w.Platform.Teams[spec.Team].Limit.GPU; limit > 0 {
			spec.Kind, spec.Tasks = protocol.Gang, int(limit/1000)+1
			return build("more than the team's limit")
		}
		return refusable{"", `["` + spec.Ref + `"]`, "not an object"}
	default:
		field := requiredFields[i%len(requiredFields)]
		v := fastjson.MustParseBytes(protocol.AppendJob(nil, spec))
		v.Del(field)
		ref := spec.Ref
		if field == "ref" {
			ref = ""
		}
		return refusable{ref, string(v.MarshalTo(nil)), "lacks " + field}
	}
}

// checkAccepted checks that an accepted job can run at all: the team is known, a machine type
// fits, and the team's limit covers a gang or service as a whole, or one task of an array.
func (w *World) checkAccepted(j *userJob) {
	s := j.spec
	team, known := w.Platform.Teams[s.Team]
	fits := false
	for _, t := range w.Types {
		fits = fits || s.AllowsType(t.Name) && t.Capacity.Covers(s.TaskResources)
	}
	tasks := int64(s.Tasks)
	if s.Kind == protocol.Array {
		tasks = 1
	}
	total := protocol.Resources{}.Add(s.TaskResources, tasks)
	if !known || !fits || exceedsLimit(team.Limit, total) {
		w.reportViolation("accepted_invalid: %s can never run", s.Ref)
	}
}

// checkStart is called when a task is launched or starts, and checks that its job has not been
// reported as cancelled. action is which of the two it is.
func (w *World) checkStart(action string, m *machine, t *runningTask) {
	if t.job.cancelReportedAt > 0 {
		w.reportViolation("started_cancelled: %s/%d %s on %s", t.job.spec.Ref, t.index, action, m.name)
	}
}
