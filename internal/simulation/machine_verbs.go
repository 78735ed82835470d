package simulation

import (
	"errors"
)

// machineVerbs are what happens to machines and their workers.
func machineVerbs() map[string]verb {
	table := map[string]verb{
		"part":        (*World).actPart,
		"rejoin":      (*World).actPart,
		"if-here":     (*World).actIfHere,
		"mute":        (*World).actMute,
		"unmute":      (*World).actMute,
		"evict":       (*World).actEvict,
		"image":       (*World).actImage,
		"boots":       func(w *World, words []string) error { w.boots = numberOf(words[1], 1); return nil }, // boots FACTOR: of machines rented from now on; 0: they never come up
		"old-reports": (*World).actOldReports,
	}
	for name := range machineChanges {
		table[name] = (*World).actMachineNamed
	}
	return table
}

// machineChanges are verbs that change one machine: VERB MACHINE.
var machineChanges = map[string]func(w *World, m *machine){
	"hang":            func(_ *World, m *machine) { m.hung = true },
	"wake":            (*World).deliverCalls,
	"die":             (*World).die,
	"spoil":           func(_ *World, m *machine) { m.spoilt = true },
	"deaf":            func(_ *World, m *machine) { m.deaf = true },
	"hears":           func(_ *World, m *machine) { m.deaf = false },
	"lose-answers":    func(_ *World, m *machine) { m.slow = true },
	"pass-answers":    func(_ *World, m *machine) { m.slow = false },
	"hold-reports":    func(_ *World, m *machine) { m.held = true },
	"deliver-reports": (*World).deliverReports,
	"hold-calls":      func(_ *World, m *machine) { m.holdCalls = true },
	"deliver-calls":   (*World).deliverCalls,
	"cut-off":         func(_ *World, m *machine) { m.held, m.holdCalls, m.slow = true, true, true }, // what either side sends is held on the way
	"reach":           (*World).reach,
	"answer-behind":   func(_ *World, m *machine) { m.answered = true }, // a controller behind the cut goes on answering it
	"answer-no-more":  func(_ *World, m *machine) { m.answered = false },
}

// actMachineNamed changes the machine that is named.
func (w *World) actMachineNamed(words []string) error {
	m := w.machines[words[1]]
	if m == nil {
		return errNoSuchMachine
	}
	w.actMachine(words[0], m)
	return nil
}

// actMachine changes a machine; "" changes nothing.
func (w *World) actMachine(what string, m *machine) {
	if change := machineChanges[what]; change != nil {
		change(w, m)
	}
}

func (w *World) deliverCalls(m *machine) {
	m.hung, m.holdCalls = false, false
	for _, f := range m.heldCalls {
		f()
	}
	m.heldCalls = nil
}

func (w *World) deliverReports(m *machine) {
	m.held = false
	for _, f := range m.heldReports {
		w.after(w.delay(), f)
	}
	m.heldReports = nil
}

func (w *World) reach(m *machine) {
	m.slow = false
	w.deliverCalls(m)
	w.deliverReports(m)
}

func (w *World) die(m *machine) {
	for _, t := range m.sorted() {
		w.leave(m, t)
	}
	m.tasks, m.inOrder = map[string]*runningTask{}, nil
	m.phase = "failed"
}

// actPart: part MACHINE NODE: neither reaches the other, until rejoin.
func (w *World) actPart(words []string) error {
	m, n := w.machines[words[1]], w.nodeNamed(words[2])
	if m == nil || n == nil {
		return errors.New("no such machine or node")
	}
	if m.apart == nil {
		m.apart = make(map[string]bool)
	}
	m.apart[n.name] = words[0] == "part"
	return nil
}

// actIfHere: if-here MACHINE VERB: unless it is gone.
func (w *World) actIfHere(words []string) error {
	if m := w.machines[words[1]]; m != nil {
		w.actMachine(words[2], m)
	}
	return nil
}

// actEvict: evict IMAGE: no machine has it any more.
func (w *World) actEvict(words []string) error {
	for _, m := range w.machines {
		delete(m.images, words[1])
	}
	return nil
}

// actImage: image NAME passes|fails|hangs|flaps|crashes [after=SECONDS]: what its services do from
// now on.
func (w *World) actImage(words []string) error {
	w.behaviours[words[1]] = behaviour{what: words[2], after: duration(options(words[3:]), "after", 0)}
	return nil
}
