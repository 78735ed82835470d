package simulation

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

// troubles is what the stand-ins know of users who cancel many jobs at once, or each at
// its very end, who send requests that must be refused, and of messages that reach the
// next leader or a worker late. See late_messages.go for the others.
type troubles struct {
	lateCommands lateness // direct commands that are carried out later and never answered
	keptReports  []keptReport
	cancelAtEnd  int // every so manyth job that ends is cancelled at that instant, 0: none
	ended        int // jobs that ended since then
	odd          bool
	oddSent      int
	refused      []string // jobs that must not be accepted
	refusals     int      // answers that say so
}

// keptReport is a copy of a worker's report that the next leader gets as it begins.
type keptReport struct{ body, on string }

// mostKept bounds the copies for the next leader.
const mostKept = 300

// actLate sets which messages come late:
//
//	late-writes every=3 by=6 [with=TEXT] [most=1]: carried out that much later, unanswered;
//	    at=once: carried out at once, only the answer is lost
//	late-reports every=3 by=6 [to=leader]: copies arrive again; to=next: copies are kept for
//	    the next leader, on=loading, leading or both
//	late-commands every=3 by=6: direct commands are carried out that much later, unanswered
//
// every=0 ends it.
func (w *World) actLate(words []string) error {
	o := options(words[1:])
	l := lateness{
		every: int(number(o, "every", 1)), by: protocol.FromSeconds(number(o, "by", 6)), with: o["with"], most: int(number(o, "most", 1e9)),
		anywhere: o["to"] == "leader", atOnce: o["at"] == "once", forNext: o["to"] == "next", on: o["on"],
	}
	switch words[0] {
	case "late-writes":
		w.lateWrites = l
	case "late-reports":
		w.lateReports = l
	case "late-commands":
		w.lateCommands = l
	}
	return nil
}

// actTrouble does what a line says about the troubles of this file.
func (w *World) actTrouble(words []string) error {
	switch words[0] {
	case "in-zone": // in-zone ZONE|all WORD: what if-here does, to all machines there
		for _, m := range w.sortedMachines() {
			if m.zone == words[1] || words[1] == "all" {
				w.actMachine(words[2], m)
			}
		}
	case "cancel-now": // cancel-now COUNT [hang=SECONDS]
		count, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		w.cancelNow(count, protocol.FromSeconds(number(options(words[2:]), "hang", 0)))
	case "cancel-at-end": // cancel-at-end EVERY
		every, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		w.cancelAtEnd = every
	case "cancel-asked": // who asked to cancel and got no answer asks once more
		for _, ref := range w.sortedJobs() {
			if j := w.jobs[ref]; j.asked && !j.toldDone && j.toldCancelled == 0 {
				w.cancel(j)
			}
		}
	case "odd-requests": // odd-requests on|off
		w.odd = words[1] == "on"
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
	cancelWithin = protocol.Second / 5 // in which many jobs are cancelled
	longToGo     = 5 * protocol.Second
	mostHang     = 8
)

// cancelNow has users cancel jobs that run and have long to go, within a fifth of a
// second; some of their machines hang then.
func (w *World) cancelNow(count int, hang micros) {
	machines := map[*userJob][]*machine{}
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.on && t.state == "running" && (t.job.spec.Kind == protocol.Service || t.ends > w.now+longToGo) {
				machines[t.job] = append(machines[t.job], m)
			}
		}
	}
	hung, chosen := 0, 0
	for _, ref := range w.sortedJobs() {
		j := w.jobs[ref]
		if chosen == count || j.asked || !j.accepted || len(machines[j]) == 0 {
			continue
		}
		w.after(cancelWithin*micros(chosen)/micros(count), func() { w.cancel(j) })
		chosen++
		for _, m := range machines[j] {
			if hang == 0 || hung == mostHang || m.hung {
				continue
			}
			hung++
			m.hung = true
			w.after(hang, func() { w.actMachine("wake", m) })
		}
	}
}

// jobEnded is called when a task of a job has completed.
func (w *World) jobEnded(j *userJob) {
	if w.cancelAtEnd == 0 || j.asked || !j.accepted {
		return
	}
	for _, ok := range j.results {
		if !ok {
			return
		}
	}
	if w.ended++; w.ended%w.cancelAtEnd == 0 {
		w.cancel(j)
	}
}

// keepForNext keeps a copy of a report for the next leader.
func (w *World) keepForNext(body string) {
	if len(w.keptReports) < mostKept {
		w.keptReports = append(w.keptReports, keptReport{body, w.lateReports.on})
	}
}

// roleChanged delivers what was kept for the next leader, to all controllers.
func (w *World) roleChanged(role controller.Role) {
	var rest []keptReport
	for _, r := range w.keptReports {
		now := role == controller.RoleRecovering && r.on != "leading" || role == controller.RoleLeader && r.on != "loading"
		if !now || role == controller.RoleRecovering && r.on == "both" {
			rest = append(rest, r)
		}
		if !now {
			continue
		}
		for _, n := range w.nodes {
			w.after(w.delay(), func() { w.copyReport(n, false, r.body) })
		}
	}
	w.keptReports = rest
}

// holdCommand takes a direct command that comes late; nobody hears what became of it.
func (w *World) holdCommand(n *node, m *machine, c controller.Call) bool {
	late, by := w.lateCommands.next(c.Path == "/commands" && !strings.Contains(string(c.Body), `"orders":[]`), string(c.Body))
	if !late {
		return false
	}
	w.after(by, func() {
		w.cross(n.zone, m.zone, func() { w.callWorker(m, c, func(int, string) {}) })
	})
	return true
}

// beOdd has users repeat submissions of jobs that are not over, cancel jobs that are, and
// send jobs that can't run or lack a field: one of each a second.
func (w *World) beOdd() {
	if !w.odd {
		return
	}
	w.oddSent++
	var unfinished, over []*userJob
	for _, ref := range w.sortedJobs() {
		switch j := w.jobs[ref]; {
		case !j.accepted:
		case j.toldDone || j.toldCancelled > 0:
			over = append(over, j)
		default:
			unfinished = append(unfinished, j)
		}
	}
	n := w.upNode()
	if n == nil {
		return
	}
	nobody := func(int, []byte) {} // each answer is compared, see answer_comparison.go
	if len(unfinished) > 0 {
		w.request(n, "submit", string(unfinished[w.oddSent%len(unfinished)].body), nobody)
	}
	if len(over) > 0 {
		w.request(n, "cancel", over[w.oddSent%len(over)].spec.Ref, nobody)
	}
	w.sendRefusable(n)
	if len(w.refused) > 0 {
		w.request(n, "query", w.refused[w.oddSent%len(w.refused)], nobody)
	}
}

// requiredFields are those without which a submission is malformed.
var requiredFields = []string{
	"ref", "jobclass", "owner", "shape", "rank", "shards", "cores", "gpus", "memoryGb", "bundle", "sizeGb",
	"samePlace", "apart", "reclaimable", "expectS", "snapshotEveryS", "snapshotS",
}

// sendRefusable submits a job that lacks a field, is none, or can never run.
func (w *World) sendRefusable(n *node) {
	s := w.refusable(w.oddSent)
	if s.ref != "" {
		w.refused = append(w.refused, s.ref)
	}
	w.request(n, "submit", s.body, func(status int, _ []byte) {
		switch status {
		case 400, 422:
			w.refusals++
		case 200, 201:
			w.broken("accepted_invalid: %s (%s) got %d", s.ref, s.why, status)
		}
	})
}

// refusable is a submission that has to get 400 or 422.
type refusable struct{ ref, body, why string }

// refusable makes the i-th of them.
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
	made := func(why string) refusable { return refusable{spec.Ref, string(protocol.AppendJob(nil, spec)), why} }
	switch i % 6 {
	case 0:
		spec.TaskResources.CPU = 4_000_000
		return made("larger than any machine")
	case 1:
		spec.MachineTypes = []string{"unknown"}
		return made("no allowed machine type")
	case 2:
		spec.Team = "nobody"
		return made("unknown team")
	case 3:
		if limit := w.Platform.Teams[spec.Team].Limit.GPU; limit > 0 {
			spec.Kind, spec.Tasks = protocol.Gang, int(limit/1000)+1
			return made("more than the team's limit")
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

// checkAccepted checks that an accepted job can run by the platform's file.
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
	all := protocol.Resources{}.Add(s.TaskResources, tasks)
	if !known || !fits || team.Limit.GPU > 0 && all.GPU > team.Limit.GPU || team.Limit.CPU > 0 && all.CPU > team.Limit.CPU {
		w.broken("accepted_invalid: %s can never run", s.Ref)
	}
}

// checkStart checks that a task is neither launched nor started once its user was told
// that the job is cancelled.
func (w *World) checkStart(what string, m *machine, t *runningTask) {
	if t.job.toldCancelled > 0 {
		w.broken("started_cancelled: %s/%d %s on %s", t.job.spec.Ref, t.index, what, m.name)
	}
}
