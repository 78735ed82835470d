package slottable

import (
	"mapleslip/internal/protocol"
)

// maxLevel is the highest level that the index tells apart. A level is a number
// of whole GPUs; level 0 asks for none.
const maxLevel = 8

// milliGPUs are those of a whole GPU.
const milliGPUs = 1000

// levelOf is the level that a row has to have for a request.
func levelOf(need resources) int { return int(min(need.GPU/milliGPUs, maxLevel)) }

// entry is where the index has a row.
type entry struct {
	group               *group
	free                resources            // on the shelf
	freeAfterPreemption resources            // on the shelf by that
	shelf               int                  // -1: none
	preemptibleShelf    int                  // -1: none
	at                  [maxLevel + 1]micros // Forever: not in that list
	images              []heldImage          // for which it is among the holders, by number
}

// clear says that a row is in no group.
func (e *entry) clear() {
	e.group, e.shelf, e.preemptibleShelf = nil, -1, -1
	for l := range e.at {
		e.at[l] = protocol.Forever
	}
}

// index brings the index up to date with one row.
func (t *Table) index(m *Machine) {
	m.stale, m.indexedMarks = false, len(m.marks)
	var e entry
	t.describe(m, &e)
	was := &m.entry
	if was.group != e.group {
		t.unindex(m)
		was.group = e.group
	}
	if g := e.group; g != nil {
		if was.shelf != e.shelf || was.free != e.free {
			reshelve(&g.shelves, m, was.shelf, e.shelf, e.free)
			was.shelf, was.free = e.shelf, e.free
		}
		if was.preemptibleShelf != e.preemptibleShelf || was.freeAfterPreemption != e.freeAfterPreemption {
			reshelve(&g.preemptibleShelves, m, was.preemptibleShelf, e.preemptibleShelf, e.freeAfterPreemption)
			was.preemptibleShelf, was.freeAfterPreemption = e.preemptibleShelf, e.freeAfterPreemption
		}
		for l := range e.at {
			if was.at[l] == e.at[l] {
				continue
			}
			from, to := indexedRow{was.at[l], m}, indexedRow{e.at[l], m}
			switch {
			case from.at >= protocol.Forever:
				g.laterByLevel[l] = insertRow(g.laterByLevel[l], to)
			case to.at >= protocol.Forever:
				g.laterByLevel[l] = removeRow(g.laterByLevel[l], from)
			default:
				moveRow(g.laterByLevel[l], from, to)
			}
			was.at[l] = e.at[l]
		}
	}
	t.indexImages(m)
}

// unindex takes a row out of its group.
func (t *Table) unindex(m *Machine) {
	e := &m.entry
	if g := e.group; g != nil {
		reshelve(&g.shelves, m, e.shelf, -1, resources{})
		reshelve(&g.preemptibleShelves, m, e.preemptibleShelf, -1, resources{})
		for l, at := range e.at {
			if at < protocol.Forever {
				g.laterByLevel[l] = removeRow(g.laterByLevel[l], indexedRow{at, m})
			}
		}
	}
	e.clear()
}

// describe says where a row belongs. A row that may take nothing is in no group.
func (t *Table) describe(m *Machine, e *entry) {
	e.clear()
	if m.Blocked {
		return
	}
	e.group = t.groupOf(m)
	if m.AvailableFrom <= t.Now && (m.free.CPU > 0 || m.Capacity.CPU == 0) {
		e.shelf = int(max(0, min(m.free.GPU/milliGPUs, maxLevel)))
		e.free = m.free
	}
	if m.FreeAfterPreemption.CPU > 0 || m.FreeAfterPreemption.GPU > 0 {
		e.preemptibleShelf = int(max(0, min(m.FreeAfterPreemption.GPU/milliGPUs, maxLevel)))
		e.freeAfterPreemption = m.FreeAfterPreemption
	}
	top := int(min(m.Capacity.GPU/milliGPUs, maxLevel))
	least := micros(0)
	if m.AvailableFrom > t.Now {
		least = m.AvailableFrom
	}
	level := 0
	if m.free.CPU <= 0 && m.Capacity.CPU > 0 && len(m.profile) > 1 {
		e.at[0] = protocol.Forever
	} else {
		e.at[0], level = least, 1
	}
	for i := m.profile.at(max(m.AvailableFrom, t.Now)); i < len(m.profile) && level <= top; i++ {
		s := &m.profile[i]
		at := max(s.at, least)
		if s.at <= t.Now {
			at = least
		}
		if level == 0 {
			if s.free.CPU <= 0 {
				continue
			}
			e.at[0], level = at, 1
		}
		for ; level <= top && s.free.GPU >= int64(level)*milliGPUs; level++ {
			e.at[level] = at
		}
	}
}

// markStale notes that the index has to be brought up to date with a row before
// the next search begins.
func (t *Table) markStale(m *Machine) {
	if !m.stale {
		m.stale = true
		t.stale = append(t.stale, m)
	}
}

// refresh brings the index up to date. It must not be called while a search
// goes through it.
func (t *Table) refresh() {
	for _, m := range t.stale {
		if m.stale && m.inTable {
			t.index(m)
		}
		m.stale = false
	}
	t.stale = t.stale[:0]
	for _, l := range t.lateHolders {
		for i := range l.machine.entry.images {
			if h := &l.machine.entry.images[i]; h.image == l.image && h.at < l.machine.entry.at[1] {
				t.moveHolder(l.machine, h, l.machine.entry.at[1])
			}
		}
	}
	t.lateHolders = t.lateHolders[:0]
}

// Add takes a row into the table. Between places of equal cost the row that was
// added first is taken.
func (t *Table) Add(m *Machine) {
	t.addZone(m.Zone)
	t.addToIndex(m)
	m.index = len(t.machines)
	t.machines = append(t.machines, m)
}

// addToIndex has the index know a row from the next search on.
func (t *Table) addToIndex(m *Machine) {
	t.added++
	m.order, m.inTable = t.added, true
	m.entry.clear()
	t.markStale(m)
}

// Remove takes a row out of the table.
func (t *Table) Remove(m *Machine) {
	if !m.inTable {
		return
	}
	last := t.machines[len(t.machines)-1]
	t.machines[m.index], last.index = last, m.index
	t.machines = t.machines[:len(t.machines)-1]
	t.removeFromIndex(m)
}

// removeFromIndex has the index forget a row.
func (t *Table) removeFromIndex(m *Machine) {
	t.unindex(m)
	t.indexImages(m)
	m.inTable = false
}
