package slottable

import (
	"mapleslip/internal/protocol"
)

// maxLevel is the highest level that the index distinguishes. A level is a number of whole free
// GPUs; level 0 requires none.
const maxLevel = 8

const milliGPUsPerGPU = 1000

// levelOf returns the level that a row must have free for an amount of resources.
func levelOf(need resources) int { return int(min(need.GPU/milliGPUsPerGPU, maxLevel)) }

// indexEntry is a row's position in the index.
type indexEntry struct {
	group               *group
	free                resources            // as recorded in its bucket
	freeAfterPreemption resources            // as recorded in its preemptible bucket
	bucket              int                  // level of its bucket, -1: none
	preemptibleBucket   int                  // level of its preemptible bucket, -1: none
	freeFrom            [maxLevel + 1]micros // by level, Forever: not in the level's list
	images              []holderEntry        // in the order of image IDs
}

// clear sets the entry to that of a row that is in no group. It leaves images, which are updated by
// indexImages.
func (e *indexEntry) clear() {
	e.group, e.bucket, e.preemptibleBucket = nil, -1, -1
	for l := range e.freeFrom {
		e.freeFrom[l] = protocol.Forever
	}
}

// reindex brings the index up to date with one row.
func (t *Table) reindex(m *Machine) {
	m.stale, m.indexedMarks = false, len(m.marks)
	var e indexEntry
	t.computeEntry(m, &e)
	old := &m.entry
	if old.group != e.group {
		t.unindex(m)
		old.group = e.group
	}
	if g := e.group; g != nil {
		if old.bucket != e.bucket || old.free != e.free {
			moveToBucket(&g.buckets, m, old.bucket, e.bucket, e.free)
			old.bucket, old.free = e.bucket, e.free
		}
		if old.preemptibleBucket != e.preemptibleBucket || old.freeAfterPreemption != e.freeAfterPreemption {
			moveToBucket(&g.preemptibleBuckets, m, old.preemptibleBucket, e.preemptibleBucket, e.freeAfterPreemption)
			old.preemptibleBucket, old.freeAfterPreemption = e.preemptibleBucket, e.freeAfterPreemption
		}
		for l := range e.freeFrom {
			if old.freeFrom[l] == e.freeFrom[l] {
				continue
			}
			from, to := indexedRow{old.freeFrom[l], m}, indexedRow{e.freeFrom[l], m}
			switch {
			case from.freeFrom >= protocol.Forever:
				g.rowsByFreeTime[l] = insertRow(g.rowsByFreeTime[l], to)
			case to.freeFrom >= protocol.Forever:
				g.rowsByFreeTime[l] = removeRow(g.rowsByFreeTime[l], from)
			default:
				moveRow(g.rowsByFreeTime[l], from, to)
			}
			old.freeFrom[l] = e.freeFrom[l]
		}
	}
	t.indexImages(m)
}

// unindex removes a row from its group.
func (t *Table) unindex(m *Machine) {
	e := &m.entry
	if g := e.group; g != nil {
		moveToBucket(&g.buckets, m, e.bucket, -1, resources{})
		moveToBucket(&g.preemptibleBuckets, m, e.preemptibleBucket, -1, resources{})
		for l, at := range e.freeFrom {
			if at < protocol.Forever {
				g.rowsByFreeTime[l] = removeRow(g.rowsByFreeTime[l], indexedRow{at, m})
			}
		}
	}
	e.clear()
}

// computeEntry computes which position a row should have in the index. A blocked row is in no
// group.
func (t *Table) computeEntry(m *Machine, e *indexEntry) {
	e.clear()
	if m.Blocked {
		return
	}
	e.group = t.groupOf(m)
	if m.AvailableFrom <= t.Now && (m.free.CPU > 0 || m.Capacity.CPU == 0) {
		e.bucket = int(max(0, min(m.free.GPU/milliGPUsPerGPU, maxLevel)))
		e.free = m.free
	}
	if m.FreeAfterPreemption.CPU > 0 || m.FreeAfterPreemption.GPU > 0 {
		e.preemptibleBucket = int(max(0, min(m.FreeAfterPreemption.GPU/milliGPUsPerGPU, maxLevel)))
		e.freeAfterPreemption = m.FreeAfterPreemption
	}
	highest := int(min(m.Capacity.GPU/milliGPUsPerGPU, maxLevel))
	earliest := micros(0)
	if m.AvailableFrom > t.Now {
		earliest = m.AvailableFrom
	}
	level := 0
	if m.free.CPU <= 0 && m.Capacity.CPU > 0 && len(m.profile) > 1 {
		e.freeFrom[0] = protocol.Forever
	} else {
		e.freeFrom[0], level = earliest, 1
	}
	for i := m.profile.stepAt(max(m.AvailableFrom, t.Now)); i < len(m.profile) && level <= highest; i++ {
		s := &m.profile[i]
		at := max(s.from, earliest)
		if s.from <= t.Now {
			at = earliest
		}
		if level == 0 {
			if s.free.CPU <= 0 {
				continue
			}
			e.freeFrom[0], level = at, 1
		}
		for ; level <= highest && s.free.GPU >= int64(level)*milliGPUsPerGPU; level++ {
			e.freeFrom[level] = at
		}
	}
}

// markStale makes the next refreshIndex bring the index up to date with a row.
func (t *Table) markStale(m *Machine) {
	if !m.stale {
		m.stale = true
		t.staleRows = append(t.staleRows, m)
	}
}

// refreshIndex brings the index up to date with all rows that have changed. It must not be called
// while a search iterates over the index.
func (t *Table) refreshIndex() {
	for _, m := range t.staleRows {
		if m.stale && m.inTable {
			t.reindex(m)
		}
		m.stale = false
	}
	t.staleRows = t.staleRows[:0]
	for _, holder := range t.outdatedHolders {
		for i := range holder.machine.entry.images {
			if h := &holder.machine.entry.images[i]; h.imageID == holder.imageID && h.freeFrom < holder.machine.entry.freeFrom[1] {
				t.moveHolder(holder.machine, h, holder.machine.entry.freeFrom[1])
			}
		}
	}
	t.outdatedHolders = t.outdatedHolders[:0]
}

// Add adds a row to the table. Of places with the same cost, the one on the row that was added
// first is chosen.
func (t *Table) Add(m *Machine) {
	t.addZone(m.Zone)
	t.addToIndex(m)
	m.position = len(t.machines)
	t.machines = append(t.machines, m)
}

// addToIndex adds a row to the index. The next refreshIndex puts it into its group.
func (t *Table) addToIndex(m *Machine) {
	t.addedRows++
	m.order, m.inTable = t.addedRows, true
	m.entry.clear()
	t.markStale(m)
}

// Remove removes a row from the table, and does nothing if the table does not have it.
func (t *Table) Remove(m *Machine) {
	if !m.inTable {
		return
	}
	last := t.machines[len(t.machines)-1]
	t.machines[m.position], last.position = last, m.position
	t.machines = t.machines[:len(t.machines)-1]
	t.removeFromIndex(m)
}

// removeFromIndex removes a row from its group and from the holder lists of its images.
func (t *Table) removeFromIndex(m *Machine) {
	t.unindex(m)
	t.indexImages(m)
	m.inTable = false
}
