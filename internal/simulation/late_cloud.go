package simulation

import (
	"errors"
	"fmt"
	"net/http"

	"mapleslip/internal/controller"
)

// Requests to the cloud that are carried out late or whose answer is lost, and machines that come
// back at once.

// delaysCloudRequest reports whether a controller gets no answer to a request that rents or releases
// machines. The request is then carried out later, even if the controller has ended by then, or at
// once if only the answer is lost.
func (w *World) delaysCloudRequest(n *node, c controller.Call) bool {
	delayed, delay := w.lateCloud.next(c.Method == http.MethodPost, string(c.Body))
	if !delayed {
		return false
	}
	w.note("a request of %s to the cloud is held up: %s", n.name, c.Body)
	if w.lateCloud.atOnce {
		delay = 0
	}
	w.after(delay, func() { w.serveCloud(c.Method, c.Path, c.Body) })
	return true
}

// loseSession: lose-session MACHINE: the worker's lease ends and it reports in its next session at
// once, without its tasks.
func (w *World) loseSession(m *machine) {
	w.endSession(m)
	m.stateChanged = true
}

// actReplace: replace MACHINE NAME: a machine is gone, with its tasks, and another one of its kind
// reports under a new name at once. The cloud lists it after the usual lag. Nothing happens if the
// machine is gone already.
func (w *World) actReplace(words []string) error {
	m := w.machines[words[1]]
	if m == nil {
		return nil
	}
	w.failMachine(m)
	m.phase = "gone"
	delete(w.machines, m.name)
	w.addMachine(words[2], m.typ, m.zone, m.spot)
	return nil
}

// expectKnownTasks checks that the leader counts as running exactly the tasks that run on machines.
func (w *World) expectKnownTasks([]string) error {
	leader := w.leader()
	if leader == nil {
		return errors.New("there is no leader")
	}
	known, running := 0, 0
	for _, n := range leader.ctl.Snapshot().RunningTasks {
		known += n
	}
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.onMachine && t.state == "running" {
				running++
			}
		}
	}
	if known != running {
		return fmt.Errorf("%d tasks run, the leader knows %d", running, known)
	}
	return nil
}
