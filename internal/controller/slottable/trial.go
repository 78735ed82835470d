package slottable

import "slices"

// mark plans a task on a row.
func (t *Table) mark(r *Request, p Place, until micros) {
	m := p.Machine
	k := mark{Span: Span{p.Begin, until, r.Resources, r.Opportunistic}, start: p.Begin <= t.Now, image: -1}
	if _, ok := m.readyAt(r.image); !ok {
		k.image, k.ready = r.image, p.Ready
		t.markStale(m) // it belongs to the rows that have the image from now on
		// What was refused because of the time to fetch it may fit now.
		t.refusals = slices.DeleteFunc(t.refusals, func(f refusal) bool { return f.image == r.image })
	}
	m.marks = append(m.marks, k)
	if k.start {
		m.addUsage(&k.Span, 1)
		t.markStale(m) // it moves to another shelf, with other bounds
	}
	if !k.Opportunistic {
		m.profile = m.profile.add(k.From, k.To, k.Resources, 1)
	}
	if !m.touched {
		m.touched = true
		t.touched = append(t.touched, m)
	}
	if t.trying {
		t.trialMarks = append(t.trialMarks, m)
	}
}

// try marks what plan does, and takes it back unless plan says to keep it. Trials may be nested.
func (t *Table) try(plan func() bool) bool {
	outer, from := t.trying, len(t.trialMarks)
	t.trying = true
	keep := plan()
	if !keep {
		for _, m := range slices.Backward(t.trialMarks[from:]) {
			t.unmark(m)
		}
		t.trialMarks = t.trialMarks[:from]
	}
	t.trying = outer
	if !outer {
		t.trialMarks = t.trialMarks[:0]
	}
	return keep
}

// unmark takes the last mark on a row back.
func (t *Table) unmark(m *Machine) {
	k := m.marks[len(m.marks)-1]
	m.marks = m.marks[:len(m.marks)-1]
	if k.start {
		m.addUsage(&k.Span, -1)
	}
	if !k.Opportunistic {
		m.profile = m.profile.add(k.From, k.To, k.Resources, -1)
	}
	if m.indexedMarks > len(m.marks) {
		t.markStale(m) // the index has it as busier than it is
	}
}
