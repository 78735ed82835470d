package simulation

import (
	"fmt"

	"mapleslip/internal/protocol"
)

// tickTask advances a task to the current time.
func (w *World) tickTask(m *machine, t *runningTask) {
	switch t.state {
	case "fetching":
		if w.now >= t.imageReady {
			w.beginTask(m, t)
		}
	case "waiting":
		if w.now > t.started+w.Platform.GangWaitTimeout {
			w.exitTask(m, t, "incomplete")
		}
	case "running":
		w.tickRunning(m, t)
	}
}

// beginTask begins a task whose image is there.
func (w *World) beginTask(m *machine, t *runningTask) {
	m.images[t.job.spec.Image] = 0
	w.taskStarted(m, t)
	m.stateChanged = true
	switch {
	case t.job.results[t.index]:
		w.exitTask(m, t, "done")
	case t.job.fails || m.failsTasks:
		w.exitTask(m, t, "error")
	case t.job.spec.Kind == protocol.Gang:
		t.state, t.started = "waiting", w.now
		w.startGangIfComplete(t.job, t.attempt)
	default:
		t.state, t.started, t.ends = "running", w.now, w.now+t.job.run
		if w.live != nil && t.job.spec.Kind == protocol.Service {
			w.live.startInstance(m, t)
		}
	}
}

// tickRunning ends a running task that has lost its gang, crashes or is complete.
func (w *World) tickRunning(m *machine, t *runningTask) {
	switch kind := t.job.spec.Kind; {
	case kind == protocol.Gang && !w.gangComplete(t.job, t.attempt):
		w.exitTask(m, t, "peers")
	case kind == protocol.Service:
		if b := w.behaviourOf(t.job.spec.Image); b.what == "crashes" && w.now-t.started >= b.after {
			w.exitTask(m, t, "error")
		}
	case w.now >= t.ends:
		for i := range t.job.results {
			t.job.results[i] = t.job.results[i] || i == t.index || kind == protocol.Gang
		}
		w.exitTask(m, t, "done")
	}
}

// tasksOfAttempt returns the tasks of an attempt that occupy a machine, and their machines.
func (w *World) tasksOfAttempt(j *userJob, attempt uint64) (list []*runningTask, hosts []*machine) {
	for _, m := range w.sortedMachines() {
		for _, t := range m.tasks {
			if t.job == j && t.attempt == attempt && t.onMachine {
				list, hosts = append(list, t), append(hosts, m)
			}
		}
	}
	return list, hosts
}

// startGangIfComplete starts the tasks of a gang once all of them wait on their machines.
func (w *World) startGangIfComplete(j *userJob, attempt uint64) {
	list, hosts := w.tasksOfAttempt(j, attempt)
	waiting := 0
	for _, t := range list {
		if t.state == "waiting" {
			waiting++
		}
	}
	if waiting < j.spec.Tasks {
		return
	}
	for i, t := range list {
		t.state, t.ends = "running", w.now+j.run
		hosts[i].stateChanged = true
	}
}

// gangComplete reports whether all tasks of a gang are on their machines, or one has completed.
func (w *World) gangComplete(j *userJob, attempt uint64) bool {
	list, _ := w.tasksOfAttempt(j, attempt)
	for i := range j.results {
		if j.results[i] {
			return true
		}
	}
	return len(list) == j.spec.Tasks
}

// taskStarted records that a task occupies its machine and checks the rules for its start:
// placement, that it runs nowhere else, the limit of its team, and that its job is not cancelled.
func (w *World) taskStarted(m *machine, t *runningTask) {
	t.onMachine = true
	w.started++
	name := fmt.Sprintf("%s/%d", t.job.spec.Ref, t.index)
	w.note("%s starts on %s", name, m.name)
	w.checkDependenciesDone(t.job, name)
	if !w.allowedOn(t.job.spec, m) {
		w.reportViolation("wrong_place: %s on %s", name, m.name)
	}
	w.checkBesideOthers(m, t, name)
	w.checkStartAfterCancel(t)
	if t.job.cancelReportedAt > 0 && w.now > t.job.cancelReportedAt+w.Platform.CancelTimeout {
		w.reportViolation("ran_cancelled: %s", name)
	}
	w.checkStart("starts", m, t)
}

// allowedOn reports whether a task of a job may run on a machine of this type, zone and kind.
func (w *World) allowedOn(spec *protocol.JobSpec, m *machine) bool {
	allowed := spec.AllowsType(m.typ) && (spec.Zone == "" || spec.Zone == m.zone) && (!m.spot || spec.AllowSpot)
	return allowed && w.typeOf(m).Capacity.Covers(spec.TaskResources)
}

// checkBesideOthers checks the rules for a start that depend on the tasks on all machines.
func (w *World) checkBesideOthers(m *machine, t *runningTask, name string) {
	spec := t.job.spec
	zones := map[string]int{}
	var used protocol.Resources
	for _, other := range w.sortedMachines() {
		for _, running := range other.tasks {
			if !running.onMachine {
				continue
			}
			if running.job == t.job {
				zones[other.zone]++
				if running != t && running.index == t.index {
					w.reportViolation("ran_twice: %s on %s and %s", name, m.name, other.name)
				}
			}
			if running.job.spec.Team == spec.Team {
				used = used.Add(running.job.spec.TaskResources, 1)
			}
		}
	}
	if spec.SingleZone && len(zones) > 1 {
		w.reportViolation("wrong_place: %s is not with the others", name)
	}
	if spec.SpreadZones && zones[m.zone] > (spec.Tasks+1)/2 {
		w.reportViolation("wrong_place: %s, too many in zone %s", name, m.zone)
	}
	if exceedsLimit(w.Platform.Teams[spec.Team].Limit, used) {
		w.reportViolation("quota: %s with %s", spec.Team, name)
	}
}

// exceedsLimit reports whether an amount exceeds a team's limit, in which 0 means unlimited.
func exceedsLimit(limit, amount protocol.Resources) bool {
	return limit.GPU > 0 && amount.GPU > limit.GPU || limit.CPU > 0 && amount.CPU > limit.CPU
}

// taskStopped records that a task no longer occupies its machine.
func (w *World) taskStopped(m *machine, t *runningTask) {
	if t.onMachine {
		t.onMachine = false
		if w.live != nil {
			w.live.stopInstance(m, t)
		}
		w.note("%s leaves %s", fmt.Sprintf("%s/%d", t.job.spec.Ref, t.index), m.name)
	}
}

// exitTask ends a task with an exit reason.
func (w *World) exitTask(m *machine, t *runningTask, reason string) {
	w.taskStopped(m, t)
	if reason == "done" {
		w.jobEnded(t.job)
	}
	t.state, t.exitReason = "exited", reason
	m.stateChanged = true
}
