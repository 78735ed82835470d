package slottable

import "mapleslip/internal/protocol"

// Span is a time during which something takes room on a machine.
type Span struct {
	From, To      micros
	Resources     resources
	Opportunistic bool // it gives way at once to whatever else is placed there
}

// mark is a span that a cycle planned.
type mark struct {
	Span
	start bool // it began at once: the machine's own spans have it from the next update on
	image int32
	ready micros
}

// machineImage is an image that a machine has, or will have.
type machineImage struct {
	image int32
	ready micros
}

// Machine is one row of the table.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Capacity         resources
	AvailableFrom    micros                  // nothing starts before
	FetchTime        func(size int64) micros // of an image at the usual rate
	FetchDone        micros                  // when the fetches under way end
	Penalty          micros                  // how much later another machine may be and still be preferred
	Blocked          bool                    // no task may start, but what runs takes room

	// OnlyOpportunistic: it costs the full price and has nothing but opportunistic tasks.
	OnlyOpportunistic bool
	// FreeAfterPreemption is what is free if all gives way that may, see VisitPreemptible.
	FreeAfterPreemption resources

	images []machineImage // known to be there, or on their way
	spans  []Span         // what is on the machine
	marks  []mark         // what cycles planned for it

	// What follows from spans and marks. Opportunistic tasks are not counted in profile and free.
	profile       profile   // both against time
	free          resources // now, beside spans and marks that have begun
	opportunistic resources // what opportunistic tasks take now
	retainedUntil micros    // when the last of what is not opportunistic ends
	nextEnd       micros    // when a span ends by its estimate

	// Where the table has the row.
	order        int  // in which it was added
	index        int  // among the table's rows
	inTable      bool // it is one of them
	touched      bool // it is in the list of marked rows
	stale        bool // the index is to be brought up to date
	indexedMarks int  // marks that the index knew of
	entry        entry
	lastSearch   [slotCount]uint32 // the searches that looked at it last
}

// Reset empties a row, to be filled again.
func (m *Machine) Reset() {
	m.spans, m.images, m.FetchDone, m.Penalty, m.Blocked, m.OnlyOpportunistic = m.spans[:0], m.images[:0], 0, 0, false, false
	m.FreeAfterPreemption = resources{}
	// What began in an earlier cycle is among the machine's own spans by now.
	rest := m.marks[:0]
	for _, k := range m.marks {
		if !k.start {
			rest = append(rest, k)
		}
	}
	m.marks = rest
}

// Occupy marks a span of what is on the machine.
func (m *Machine) Occupy(s Span) { m.spans = append(m.spans, s) }

// Free is what the machine has free now.
func (m *Machine) Free() protocol.Resources { return m.free }

// NextEnd is when the first of the spans ends by its estimate.
func (m *Machine) NextEnd() protocol.Micros { return m.nextEnd }

// recompute computes what is derived from the spans.
func (m *Machine) recompute(now micros) {
	m.free, m.opportunistic, m.nextEnd, m.retainedUntil = m.Capacity, resources{}, protocol.Forever, 0
	m.profile = m.profile.reset(m.Capacity)
	for i := range m.marks {
		if k := &m.marks[i]; !k.Opportunistic {
			m.profile = m.profile.add(k.From, k.To, k.Resources, 1)
		}
	}
	for i := range m.spans {
		s := &m.spans[i]
		if !s.Opportunistic {
			m.retainedUntil = max(m.retainedUntil, s.To)
			m.profile = m.profile.add(s.From, s.To, s.Resources, 1)
		}
		if s.From <= now && now < s.To {
			m.addUsage(s, 1)
		}
		if s.To > now {
			m.nextEnd = min(m.nextEnd, s.To)
		}
	}
	for i := range m.marks {
		if k := &m.marks[i]; k.From <= now && now < k.To {
			m.addUsage(&k.Span, 1)
		}
	}
}

// addUsage counts a span that is there now, n times.
func (m *Machine) addUsage(s *Span, n int64) {
	if s.Opportunistic {
		m.opportunistic = m.opportunistic.Add(s.Resources, n)
	} else {
		m.free = m.free.Add(s.Resources, -n)
	}
}

// freeFor is what is free now for a request: an opportunistic one takes what all others leave, and
// the others don't see opportunistic tasks.
func (m *Machine) freeFor(r *Request) resources {
	if r.Opportunistic {
		return m.free.Add(m.opportunistic, -1)
	}
	return m.free
}

// fits reports whether a request's resources are free during [from, to).
func (m *Machine) fits(r *Request, from, to micros) bool {
	if !r.Opportunistic {
		return m.profile.fits(r.Resources, from, to)
	}
	if !m.freeAt(r, from) {
		return false
	}
	for i := range m.spans {
		if s := m.spans[i].From; s > from && s < to && !m.freeAt(r, s) {
			return false
		}
	}
	for i := range m.marks {
		if s := m.marks[i].From; s > from && s < to && !m.freeAt(r, s) {
			return false
		}
	}
	return true
}

func (m *Machine) freeAt(r *Request, at micros) bool {
	used := r.Resources
	for i := range m.spans {
		if s := &m.spans[i]; s.From <= at && at < s.To && (r.Opportunistic || !s.Opportunistic) {
			used = used.Add(s.Resources, 1)
		}
	}
	for i := range m.marks {
		if s := &m.marks[i]; s.From <= at && at < s.To && (r.Opportunistic || !s.Opportunistic) {
			used = used.Add(s.Resources, 1)
		}
	}
	return m.Capacity.Covers(used)
}

// earliestRoom is the earliest time from after on at which a request's resources are free for
// length.
func (m *Machine) earliestRoom(r *Request, after, length micros) (micros, bool) {
	if !m.Capacity.Covers(r.Resources) || m.Blocked {
		return 0, false
	}
	after = max(after, m.AvailableFrom)
	if !r.Opportunistic {
		return m.profile.room(r.Resources, after, min(length, protocol.Forever-after))
	}
	if m.fits(r, after, protocol.End(after, length)) {
		return after, true
	}
	// Room only ever comes with the end of a span: they are tried in order.
	for at := after; ; {
		next := protocol.Forever
		for i := range m.spans {
			if t := m.spans[i].To; t > at && t < next {
				next = t
			}
		}
		for i := range m.marks {
			if t := m.marks[i].To; t > at && t < next {
				next = t
			}
		}
		if next == protocol.Forever {
			return 0, false
		}
		if m.fits(r, next, protocol.End(next, length)) {
			return next, true
		}
		at = next
	}
}

// readyAt tells when an image that the machine has or fetches is ready.
func (m *Machine) readyAt(image int32) (micros, bool) {
	for i := range m.images {
		if m.images[i].image == image {
			return m.images[i].ready, true
		}
	}
	for i := range m.marks {
		if k := &m.marks[i]; k.image == image {
			return k.ready, true
		}
	}
	return 0, false
}

// fetchTime is how long the image takes to be ready if a task is put on the
// machine at the given time. A machine shares its rate among its fetches.
func (m *Machine) fetchTime(at micros, r *Request) micros {
	if ready, ok := m.readyAt(r.image); ok {
		return max(0, ready-at)
	}
	done := m.FetchDone
	for i := range m.marks {
		if k := &m.marks[i]; k.image >= 0 && k.ready > done {
			done = k.ready
		}
	}
	return max(0, done-at)/2 + m.FetchTime(r.ImageSize)
}

// behind reports whether marks were put on a row that the index does not know.
// It is then as free as the index has it, or less: the index needs to follow only
// where a search comes by the row.
func (m *Machine) behind() bool { return m.indexedMarks != len(m.marks) }
