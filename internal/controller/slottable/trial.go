package slottable

import "slices"

// mark marks a place of a request on its row, until a given time.
func (t *Table) mark(r *Request, p Place, until micros) {
	m := p.Machine
	k := mark{Span: Span{p.Begin, until, r.Resources, r.Opportunistic}, started: p.Begin <= t.Now, imageID: -1}
	if _, ok := m.readyAt(r.imageID); !ok {
		k.imageID, k.ready = r.imageID, p.Ready
		t.markStale(m) // it is a holder of the image from now on
		// Requests that were refused because of the time to fetch the image may fit now.
		t.refusals = slices.DeleteFunc(t.refusals, func(f refusal) bool { return f.imageID == r.imageID })
	}
	m.marks = append(m.marks, k)
	if k.started {
		m.addUsage(&k.Span, 1)
		t.markStale(m) // less is free: it may move to another bucket
	}
	if !k.Opportunistic {
		m.profile = m.profile.addUsage(k.From, k.To, k.Resources, 1)
	}
	if !m.inMarkedRows {
		m.inMarkedRows = true
		t.markedRows = append(t.markedRows, m)
	}
	if t.inTrial {
		t.trialMarks = append(t.trialMarks, m)
	}
}

// runTrial calls plan, and removes the marks that plan has put on rows unless plan returns true.
// Trials may be nested.
func (t *Table) runTrial(plan func() bool) bool {
	inOuterTrial, firstMark := t.inTrial, len(t.trialMarks)
	t.inTrial = true
	keep := plan()
	if !keep {
		for _, m := range slices.Backward(t.trialMarks[firstMark:]) {
			t.unmark(m)
		}
		t.trialMarks = t.trialMarks[:firstMark]
	}
	t.inTrial = inOuterTrial
	if !inOuterTrial {
		t.trialMarks = t.trialMarks[:0]
	}
	return keep
}

// unmark removes the last mark from a row.
func (t *Table) unmark(m *Machine) {
	k := m.marks[len(m.marks)-1]
	m.marks = m.marks[:len(m.marks)-1]
	if k.started {
		m.addUsage(&k.Span, -1)
	}
	if !k.Opportunistic {
		m.profile = m.profile.addUsage(k.From, k.To, k.Resources, -1)
	}
	if m.indexedMarks > len(m.marks) {
		t.markStale(m) // the index records less free than there is
	}
}
