package checker

import (
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// gangState is the state of an attempt of a gang.
type gangState uint8

const (
	gangAssembling gangState = iota // some tasks aren't waiting for the others yet
	gangRunning                     // all tasks run
	gangSaving                      // some tasks have got the order to save
	gangSaved                       // progress is saved, the tasks leave their machines
	gangEnded                       // all tasks are done, or the attempt has failed
)

// gangAttempt is an attempt of a gang that has a task on a machine.
type gangAttempt struct {
	job         *job
	number      uint64
	state       gangState
	machines    map[int]*machine // machines of the tasks, by index
	waiting     taskSet          // tasks that wait for the others
	saveOrdered taskSet          // tasks that have got the order to save
	endsAt      int64            // time when the gang is done if it runs without interruption
	firstSave   int64            // time when the first task got the order to save
	maxFetch    int64            // longest time until a task had its image
	lastLaunch  int64            // time of the latest launch command
}

// handleGangMessage updates the gang attempt that a message is about. It ignores messages about
// other kinds of jobs.
func (h *Hub) handleGangMessage(j *job, index int, attempt uint64, m *wire.Message) {
	if j.spec.Kind != protocol.Gang {
		return
	}
	a := j.attempts[attempt]
	if a == nil {
		if m.Kind != wire.Enter {
			return
		}
		a = &gangAttempt{job: j, number: attempt, machines: make(map[int]*machine)}
		if j.attempts == nil {
			j.attempts = make(map[uint64]*gangAttempt)
		}
		j.attempts[attempt] = a
	}
	switch m.Kind {
	case wire.Enter:
		host := h.machines[m.Name]
		if host == nil {
			h.counts.Unknown++
			return
		}
		a.machines[index] = host
		host.gangTasks[m.Task] = true
		a.maxFetch, a.lastLaunch = max(a.maxFetch, m.Run), max(a.lastLaunch, h.launchTimes[m.Task])
	case wire.Waiting:
		if m.Text == "saving" {
			h.markSaving(a, index, m.At)
		} else {
			h.markWaiting(a, index, m)
		}
	case wire.Leave:
		if host := a.machines[index]; host == nil || host.Name != m.Name {
			return
		}
		delete(a.machines[index].gangTasks, m.Task)
		delete(a.machines, index)
		h.gangTaskLeft(a, index, m)
		if len(a.machines) == 0 {
			delete(j.attempts, attempt)
		}
	case wire.Peers: // the task's machine hangs
		h.failGang(a, m.At)
	}
}

// markWaiting records that a task waits for the others. The last task starts the gang.
func (h *Hub) markWaiting(a *gangAttempt, index int, m *wire.Message) {
	if a.state != gangAssembling || a.machines[index] == nil {
		return
	}
	a.waiting.add(index)
	if a.waiting.n < a.job.spec.Tasks {
		return
	}
	a.state = gangRunning
	left := a.job.runTime
	if a.job.gangRemaining > 0 {
		left = a.job.gangRemaining
	}
	a.endsAt = m.At + left
	h.sendToGang(a, &wire.Message{Kind: wire.Go, Task: m.Task, At: a.endsAt})
	j, fetch, lastLaunch := a.job, a.maxFetch, a.lastLaunch
	h.schedule(m.At, orderEnter, func() {
		h.onStart(Start{Spec: j.spec, Task: m.Task, Tasks: j.spec.Tasks, Again: !j.started.add(j.spec.Tasks), Due: j.due, Asked: lastLaunch, At: m.At, Fetch: fetch})
	})
}

// markSaving records that a task got the order to save. The gang makes no more progress after
// the first order. After the last one its tasks may save, and the progress is safe as soon as
// one of them leaves with it.
func (h *Hub) markSaving(a *gangAttempt, index int, at int64) {
	if a.state == gangRunning {
		a.state, a.firstSave = gangSaving, at
		h.savingGangs = append(h.savingGangs, a)
	}
	if a.state != gangSaving {
		return
	}
	if at > a.firstSave+int64(h.platform.GangPeerTimeout) {
		h.failGang(a, at)
		return
	}
	a.saveOrdered.add(index)
	if a.saveOrdered.n == a.job.spec.Tasks {
		h.sendToGang(a, &wire.Message{Kind: wire.Go, Task: a.taskName(index), Text: "saved", At: at})
	}
}

// expireSaves fails the gangs whose tasks didn't all get the order to save within the peer
// timeout.
func (h *Hub) expireSaves(at int64) {
	rest := h.savingGangs[:0]
	for _, a := range h.savingGangs {
		if a.state == gangSaving && a.saveOrdered.n < a.job.spec.Tasks && at > a.firstSave+int64(h.platform.GangPeerTimeout) {
			h.failGang(a, a.firstSave+int64(h.platform.GangPeerTimeout))
		}
		if a.state == gangSaving && len(a.machines) > 0 {
			rest = append(rest, a)
		}
	}
	h.savingGangs = rest
}

// gangTaskLeft updates an attempt after one of its tasks has left its machine.
func (h *Hub) gangTaskLeft(a *gangAttempt, index int, m *wire.Message) {
	switch {
	case a.state == gangEnded:
	case m.Text == string(protocol.ExitDone):
		a.state = gangEnded
		for i := range a.job.spec.Tasks { // when one task of a gang is done, all are
			a.job.hasResult.add(i)
		}
	case a.state == gangAssembling:
		a.waiting.remove(index)
	case a.state == gangSaving && m.Phase == "saved":
		a.state = gangSaved
		a.job.gangRemaining = max(1, a.endsAt-a.firstSave)
	default:
		h.failGang(a, m.At)
	}
}

// remove removes a task from the set.
func (s *taskSet) remove(i int) {
	if s.has(i) {
		s.words[i/64] &^= 1 << (i % 64)
		s.n--
	}
}

// failGang ends an attempt that has lost a task or whose save has failed. The other tasks exit
// after half of the peer timeout. The next attempt resumes from the last checkpoint.
func (h *Hub) failGang(a *gangAttempt, at int64) {
	if a.state != gangRunning && a.state != gangSaving {
		return
	}
	stopped := at
	if a.state == gangSaving {
		stopped = min(at, a.firstSave)
	}
	a.state = gangEnded
	if interval := int64(a.job.spec.CheckpointInterval); interval > 0 {
		done := a.job.runTime - max(0, a.endsAt-stopped)
		left := a.job.runTime - done/interval*interval
		if a.job.gangRemaining == 0 || left < a.job.gangRemaining {
			a.job.gangRemaining = max(1, left)
		}
	}
	for index := range a.machines {
		h.sendToGang(a, &wire.Message{Kind: wire.Peers, Task: a.taskName(index), At: at + int64(h.platform.GangPeerTimeout)/2})
		break
	}
}

func (a *gangAttempt) taskName(index int) string {
	return a.job.ref + "/" + strconv.Itoa(index) + "#" + strconv.FormatUint(a.number, 10)
}

// sendToGang sends a message to each part that has a task of the attempt.
func (h *Hub) sendToGang(a *gangAttempt, m *wire.Message) {
	sent := make(map[string]bool)
	for _, host := range a.machines {
		if !sent[host.part] {
			sent[host.part] = true
			h.send(host.part, m)
		}
	}
}
