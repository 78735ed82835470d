package simulation

import (
	"errors"
)

// machineVerbs returns the verbs for faults and changes of machines and their workers.
func machineVerbs() map[string]verb {
	table := map[string]verb{
		"unlink-worker":  (*World).actPart,
		"link-worker":    (*World).actPart,
		"if-present":     (*World).actIfHere,
		"drop-outbound":  (*World).actMute,
		"allow-outbound": (*World).actMute,
		"evict":          (*World).actEvict,
		"image":          (*World).actImage,
		// boot-factor FACTOR: multiplies the boot times of machines rented from now on; with 0 they
		// never finish booting.
		"boot-factor": func(w *World, words []string) error { w.bootFactor = parseNumber(words[1], 1); return nil },
		"old-reports": (*World).actOldReports,
		"replace":     (*World).actReplace,
	}
	for name := range machineChanges {
		table[name] = (*World).actMachineNamed
	}
	return table
}

// machineChanges contains the verbs that change one machine: VERB MACHINE.
var machineChanges = map[string]func(w *World, m *machine){
	"hang":            func(_ *World, m *machine) { m.hung = true },
	"resume":          (*World).deliverCalls,
	"fail":            (*World).failMachine,
	"fail-tasks":      func(_ *World, m *machine) { m.failsTasks = true },
	"stop-failing":    func(_ *World, m *machine) { m.failsTasks = false },
	"drop-inbound":    func(_ *World, m *machine) { m.inboundCut = true },
	"allow-inbound":   func(_ *World, m *machine) { m.inboundCut = false },
	"lose-answers":    func(_ *World, m *machine) { m.answersLost = true },
	"pass-answers":    func(_ *World, m *machine) { m.answersLost = false },
	"hold-reports":    func(_ *World, m *machine) { m.holdReports = true },
	"deliver-reports": (*World).deliverReports,
	"hold-calls":      func(_ *World, m *machine) { m.holdCalls = true },
	"deliver-calls":   (*World).deliverCalls,
	// disconnect-machine holds heartbeats and direct commands on the way; answers are lost.
	"disconnect-machine": func(_ *World, m *machine) { m.holdReports, m.holdCalls, m.answersLost = true, true, true },
	"reconnect-machine":  (*World).restoreConnection,
	// renew-lease: a controller outside the simulation continues to renew the worker's lease.
	"lose-session":        (*World).loseSession,
	"renew-lease":         func(_ *World, m *machine) { m.leaseRenewed = true },
	"stop-renewing-lease": func(_ *World, m *machine) { m.leaseRenewed = false },
}

// actMachineNamed: VERB MACHINE: applies a verb of machineChanges to a machine.
func (w *World) actMachineNamed(words []string) error {
	m := w.machines[words[1]]
	if m == nil {
		return errNoSuchMachine
	}
	w.actMachine(words[0], m)
	return nil
}

// actMachine applies a verb of machineChanges to a machine. It does nothing for other words, such
// as "".
func (w *World) actMachine(name string, m *machine) {
	if change := machineChanges[name]; change != nil {
		change(w, m)
	}
}

// deliverCalls resumes a machine that hangs and delivers the direct commands that were held.
func (w *World) deliverCalls(m *machine) {
	m.hung, m.holdCalls = false, false
	for _, deliver := range m.heldCalls {
		deliver()
	}
	m.heldCalls = nil
}

// deliverReports delivers the heartbeats that were held and holds no more.
func (w *World) deliverReports(m *machine) {
	m.holdReports = false
	for _, deliver := range m.heldReports {
		w.after(w.delay(), deliver)
	}
	m.heldReports = nil
}

// restoreConnection ends disconnect-machine.
func (w *World) restoreConnection(m *machine) {
	m.answersLost = false
	w.deliverCalls(m)
	w.deliverReports(m)
}

// failMachine ends a machine with its worker and tasks. The cloud lists it as failed.
func (w *World) failMachine(m *machine) {
	for _, t := range m.sorted() {
		w.taskStopped(m, t)
	}
	m.tasks, m.sortedTasks = map[string]*runningTask{}, nil
	m.phase = "failed"
}

// actPart: unlink-worker MACHINE NODE: messages between the worker and the controller are lost,
// until link-worker MACHINE NODE.
func (w *World) actPart(words []string) error {
	m, n := w.machines[words[1]], w.nodeNamed(words[2])
	if m == nil || n == nil {
		return errors.New("no such machine or node")
	}
	if m.unreachableNodes == nil {
		m.unreachableNodes = make(map[string]bool)
	}
	m.unreachableNodes[n.name] = words[0] == "unlink-worker"
	return nil
}

// actIfHere: if-present MACHINE VERB: applies a verb of machineChanges unless the machine is gone.
func (w *World) actIfHere(words []string) error {
	if m := w.machines[words[1]]; m != nil {
		w.actMachine(words[2], m)
	}
	return nil
}

// actEvict: evict IMAGE: removes an image from all machines.
func (w *World) actEvict(words []string) error {
	for _, m := range w.machines {
		delete(m.images, words[1])
	}
	return nil
}

// actImage: image NAME passes|fails|hangs|flaps|crashes [after=SECONDS]: sets the behaviour of the
// services with that image from now on.
func (w *World) actImage(words []string) error {
	w.behaviours[words[1]] = behaviour{what: words[2], after: duration(options(words[3:]), "after", 0)}
	return nil
}
