package checker

import (
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// gangState is how far an attempt of a gang has come.
type gangState uint8

const (
	gathering gangState = iota // some tasks don't wait yet
	together                   // all run
	toSave                     // some were told to save
	safe                       // its progress is saved: its tasks leave
	over                       // it is done, or it has lost a task
)

// attempt is one of a gang, while a task of it is on a machine.
type attempt struct {
	job     *job
	try     uint64
	state   gangState
	on      map[int]*machine // tasks that are on machines
	waiting bits
	told    bits  // tasks that were told to save
	end     int64 // when it is done, if nothing comes in between
	first   int64 // when the first task was told to save
	fetch   int64 // longest of its images
	asked   int64 // last command
}

// gangTakes brings the tasks of a gang together.
func (h *Hub) gangTakes(j *job, index int, try uint64, m *wire.Message) {
	if j.spec.Kind != protocol.Gang {
		return
	}
	a := j.tries[try]
	if a == nil {
		if m.Kind != wire.Enter {
			return
		}
		a = &attempt{job: j, try: try, on: make(map[int]*machine)}
		if j.tries == nil {
			j.tries = make(map[uint64]*attempt)
		}
		j.tries[try] = a
	}
	switch m.Kind {
	case wire.Enter:
		where := h.machines[m.Name]
		if where == nil {
			h.counts.Unknown++
			return
		}
		a.on[index] = where
		where.gang[m.Task] = true
		a.fetch, a.asked = max(a.fetch, m.Run), max(a.asked, h.asked[m.Task])
	case wire.Waiting:
		if m.Text == "saving" {
			h.saves(a, index, m.At)
		} else {
			h.waits(a, index, m)
		}
	case wire.Leave:
		if where := a.on[index]; where == nil || where.Name != m.Name {
			return
		}
		delete(a.on[index].gang, m.Task)
		delete(a.on, index)
		h.gangLoses(a, index, m)
		if len(a.on) == 0 {
			delete(j.tries, try)
		}
	case wire.Peers: // its machine hangs
		h.falls(a, m.At)
	}
}

// waits notes that a task waits for the others; the last one starts the gang.
func (h *Hub) waits(a *attempt, index int, m *wire.Message) {
	if a.state != gathering || a.on[index] == nil {
		return
	}
	a.waiting.set(index)
	if a.waiting.n < a.job.spec.Tasks {
		return
	}
	a.state = together
	left := a.job.run
	if a.job.gang > 0 {
		left = a.job.gang
	}
	a.end = m.At + left
	h.tellGang(a, &wire.Message{Kind: wire.Go, Task: m.Task, At: a.end})
	j, fetch, asked := a.job, a.fetch, a.asked
	h.push(m.At, byEnter, func() {
		h.starts(Start{Spec: j.spec, Task: m.Task, Tasks: j.spec.Tasks, Again: !j.started.set(j.spec.Tasks), Due: j.due, Asked: asked, At: m.At, Fetch: fetch})
	})
}

// saves notes that a task was told to save: with the first one the gang's progress stops,
// with the last one it is safe once a task has written it.
func (h *Hub) saves(a *attempt, index int, at int64) {
	if a.state == together {
		a.state, a.first = toSave, at
		h.saving = append(h.saving, a)
	}
	if a.state != toSave {
		return
	}
	if at > a.first+int64(h.platform.GangPeerTimeout) {
		h.falls(a, at)
		return
	}
	a.told.set(index)
	if a.told.n == a.job.spec.Tasks {
		h.tellGang(a, &wire.Message{Kind: wire.Go, Task: a.name(index), Text: "saved", At: at})
	}
}

// lateSavers ends the gangs whose tasks weren't all told to save in time.
func (h *Hub) lateSavers(at int64) {
	rest := h.saving[:0]
	for _, a := range h.saving {
		if a.state == toSave && a.told.n < a.job.spec.Tasks && at > a.first+int64(h.platform.GangPeerTimeout) {
			h.falls(a, a.first+int64(h.platform.GangPeerTimeout))
		}
		if a.state == toSave && len(a.on) > 0 {
			rest = append(rest, a)
		}
	}
	h.saving = rest
}

// gangLoses notes that a task has left its machine.
func (h *Hub) gangLoses(a *attempt, index int, m *wire.Message) {
	switch {
	case a.state == over:
	case m.Text == string(protocol.ExitDone):
		a.state = over
		for i := range a.job.spec.Tasks { // if one is done, all are
			a.job.kept.set(i)
		}
	case a.state == gathering:
		a.waiting.unset(index)
	case a.state == toSave && m.Phase == "saved":
		a.state = safe
		a.job.gang = max(1, a.end-a.first)
	default:
		h.falls(a, m.At)
	}
}

func (b *bits) unset(i int) {
	if b.has(i) {
		b.words[i/64] &^= 1 << (i % 64)
		b.n--
	}
}

// falls ends a gang that has lost a task: the others notice, and it goes on later from its
// last checkpoint.
func (h *Hub) falls(a *attempt, at int64) {
	if a.state != together && a.state != toSave {
		return
	}
	stopped := at
	if a.state == toSave {
		stopped = min(at, a.first)
	}
	a.state = over
	if every := int64(a.job.spec.CheckpointInterval); every > 0 {
		done := a.job.run - max(0, a.end-stopped)
		left := a.job.run - done/every*every
		if a.job.gang == 0 || left < a.job.gang {
			a.job.gang = max(1, left)
		}
	}
	for index := range a.on {
		h.tellGang(a, &wire.Message{Kind: wire.Peers, Task: a.name(index), At: at + int64(h.platform.GangPeerTimeout)/2})
		break
	}
}

func (a *attempt) name(index int) string {
	return a.job.ref + "/" + strconv.Itoa(index) + "#" + strconv.FormatUint(a.try, 10)
}

// tellGang tells the parts that have tasks of a gang.
func (h *Hub) tellGang(a *attempt, m *wire.Message) {
	told := make(map[string]bool)
	for _, where := range a.on {
		if !told[where.part] {
			told[where.part] = true
			h.send(where.part, m)
		}
	}
}
