package slottable

// VisitPreemptible calls visit for rows that would have room for the given number of a request's
// tasks if all preemptible tasks were evicted. Rows that have the image are visited first if they
// are fewer than the rows that may have room; then all others are visited in the order in which
// they were added. visit reports whether a row counts: once maxPerZone rows of a zone have counted,
// no more rows of that zone are visited. Only what was on the machines when their rows were filled
// is considered, not what the current cycle has planned since.
func (t *Table) VisitPreemptible(r *Request, tasks, maxPerZone int, visit func(m *Machine) (counts bool)) {
	t.refreshIndex()
	t.searchSeq++
	v := &preemptibleVisit{
		table: t, request: r, need: resources{}.Add(r.Resources, int64(tasks)), maxPerZone: maxPerZone,
		visit: visit, searchID: t.searchSeq, counted: make(map[string]int, len(t.zones)),
	}
	for _, zone := range t.zones {
		if r.Zone == "" || r.Zone == zone {
			v.openZones++
		}
	}
	cursors, rows := v.makeCursors(t.cursorBuffer[:0])
	if id := int(t.ImageID(r.Image)); id < len(t.imageHolders) && len(t.imageHolders[id]) < rows {
		v.visitHolders(t.imageHolders[id])
	}
	v.visitAll(cursors)
	t.cursorBuffer = cursors[:0]
}

// preemptibleVisit is the state of one call of VisitPreemptible.
type preemptibleVisit struct {
	table      *Table
	request    *Request
	need       resources
	maxPerZone int
	visit      func(m *Machine) (counts bool)

	searchID  uint32
	counted   map[string]int // number of rows that counted, by zone
	openZones int            // number of zones in which rows are still visited
}

// isFull reports whether enough rows of a zone have counted.
func (v *preemptibleVisit) isFull(zone string) bool { return v.counted[zone] >= v.maxPerZone }

// makeCursors returns a cursor for each bucket that may have rows to visit, and how many rows the
// cursors have. It appends to cursors.
func (v *preemptibleVisit) makeCursors(cursors []cursor) (made []cursor, rows int) {
	for _, g := range v.table.groupList {
		if !g.suits(v.request) || !g.capacity.Covers(v.need) {
			continue
		}
		v.table.Work += visitWork
		for level := levelOf(v.need); level <= maxLevel; level++ {
			s := &g.preemptibleBuckets[level]
			if len(s.rows) > 0 && s.maxFree.Covers(v.need) {
				cursors = append(cursors, cursor{rows: s.rows})
				rows += len(s.rows)
			}
		}
	}
	return cursors, rows
}

// visitHolders visits the rows that have the image.
func (v *preemptibleVisit) visitHolders(holders []indexedRow) {
	level := levelOf(v.need)
	for _, row := range holders {
		v.table.Work += visitWork
		if v.openZones == 0 {
			return
		}
		e := &row.machine.entry
		if e.group != nil && e.preemptibleBucket >= level && e.group.suits(v.request) && !v.isFull(e.group.zone) {
			v.visitRow(row.machine)
		}
	}
}

// visitAll visits the rows of all cursors in the order in which they were added to the table.
func (v *preemptibleVisit) visitAll(cursors []cursor) {
	initHeap(cursors)
	for len(cursors) > 0 && v.openZones > 0 {
		c := &cursors[0]
		m := c.rows[0].machine
		c.rows = c.rows[1:]
		if len(c.rows) == 0 || v.isFull(m.Zone) {
			cursors = popHeap(cursors)
		} else {
			siftDown(cursors, 0)
		}
		v.table.Work += visitWork
		if !v.isFull(m.Zone) {
			v.visitRow(m)
		}
	}
}

// visitRow visits a row if it has room and was not visited before.
func (v *preemptibleVisit) visitRow(m *Machine) {
	if m.lastSearch[0] == v.searchID || !m.FreeAfterPreemption.Covers(v.need) {
		return
	}
	m.lastSearch[0] = v.searchID
	if !v.visit(m) {
		return
	}
	v.counted[m.Zone]++
	if v.isFull(m.Zone) {
		v.openZones--
	}
}
