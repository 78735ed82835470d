package slottable

// VisitPreemptible visits rows on which some of a request's tasks would have room if all gave
// way that may: in each zone those that have the image first if there are fewer of them, then
// the others in their order. Of a zone no more are visited once visit has said of maxPerZone
// rows that they count. The rows are as they were when they were filled.
func (t *Table) VisitPreemptible(r *Request, tasks, maxPerZone int, visit func(m *Machine) (counts bool)) {
	t.refresh()
	t.searchSeq++
	v := &preemptibleVisit{
		table: t, request: r, need: resources{}.Add(r.Resources, int64(tasks)), maxPerZone: maxPerZone,
		visit: visit, id: t.searchSeq, counted: make(map[string]int, len(t.zones)),
	}
	for _, zone := range t.zones {
		if r.Zone == "" || r.Zone == zone {
			v.openZones++
		}
	}
	cursors, rows := v.makeCursors(t.cursors[:0])
	if id := int(t.Image(r.Image)); id < len(t.imageHolders) && len(t.imageHolders[id]) < rows {
		v.visitHolders(t.imageHolders[id])
	}
	v.visitAll(cursors)
	t.cursors = cursors[:0]
}

// preemptibleVisit is a call of VisitPreemptible.
type preemptibleVisit struct {
	table      *Table
	request    *Request
	need       resources
	maxPerZone int
	visit      func(m *Machine) (counts bool)

	id        uint32
	counted   map[string]int // rows, by zone
	openZones int            // those in which rows are still visited
}

// isFull reports whether enough rows of a zone count.
func (v *preemptibleVisit) isFull(zone string) bool { return v.counted[zone] >= v.maxPerZone }

// makeCursors makes a cursor for each shelf that may have rows to visit, and counts their rows.
func (v *preemptibleVisit) makeCursors(cursors []cursor) (made []cursor, rows int) {
	for _, g := range v.table.groupList {
		if !g.suits(v.request) || !g.capacity.Covers(v.need) {
			continue
		}
		v.table.Work += lookWork
		for level := levelOf(v.need); level <= maxLevel; level++ {
			s := &g.preemptibleShelves[level]
			if len(s.rows) > 0 && s.most.Covers(v.need) {
				cursors = append(cursors, cursor{rows: s.rows})
				rows += len(s.rows)
			}
		}
	}
	return cursors, rows
}

// visitHolders visits rows that have the image.
func (v *preemptibleVisit) visitHolders(holders []indexedRow) {
	level := levelOf(v.need)
	for _, row := range holders {
		v.table.Work += lookWork
		if v.openZones == 0 {
			return
		}
		e := &row.machine.entry
		if e.group != nil && e.preemptibleShelf >= level && e.group.suits(v.request) && !v.isFull(e.group.zone) {
			v.visitRow(row.machine)
		}
	}
}

// visitAll visits the rows of cursors in their order.
func (v *preemptibleVisit) visitAll(cursors []cursor) {
	initHeap(cursors)
	for len(cursors) > 0 && v.openZones > 0 {
		c := &cursors[0]
		m := c.rows[0].machine
		c.rows = c.rows[1:]
		if len(c.rows) == 0 || v.isFull(m.Zone) {
			cursors = popHeap(cursors)
		} else {
			down(cursors, 0)
		}
		v.table.Work += lookWork
		if !v.isFull(m.Zone) {
			v.visitRow(m)
		}
	}
}

// visitRow visits a row that has room, unless it was visited before.
func (v *preemptibleVisit) visitRow(m *Machine) {
	if m.lastSearch[0] == v.id || !m.FreeAfterPreemption.Covers(v.need) {
		return
	}
	m.lastSearch[0] = v.id
	if !v.visit(m) {
		return
	}
	v.counted[m.Zone]++
	if v.isFull(m.Zone) {
		v.openZones--
	}
}
