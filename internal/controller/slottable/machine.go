package slottable

import "mapleslip/internal/protocol"

// Span is a time interval during which a task takes resources of a machine.
type Span struct {
	From, To      micros
	Resources     resources
	Opportunistic bool // evicted at once if another task needs its resources
}

// mark is a span that a scheduling cycle has planned on a row.
type mark struct {
	Span
	started bool   // the task starts at once: after the row's next update it is among the spans
	imageID int32  // image that the task brings to the machine, -1: none
	ready   micros // time at which that image is ready
}

// machineImage is an image that a machine has, or is going to have.
type machineImage struct {
	imageID int32
	ready   micros
}

// Machine is one row of the table: a machine, the tasks on it, and those planned for it.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Capacity         resources
	AvailableFrom    micros                  // no task starts before
	FetchTime        func(size int64) micros // time to fetch an image at the usual rate
	FetchDone        micros                  // time at which the fetches in progress end
	Penalty          micros                  // added to its ready times when places are compared
	Blocked          bool                    // no new task may start; running ones take room
	Tasks, MaxTasks  int                     // tasks that its worker reports, and their limit; 0: none

	// OnlyOpportunistic reports that the machine costs the full price and no task on it is a reason
	// to keep it: it is empty or has only opportunistic tasks.
	OnlyOpportunistic bool
	// FreeAfterPreemption is what would be free if all preemptible tasks were evicted, see
	// VisitPreemptible.
	FreeAfterPreemption resources

	images []machineImage // present or being fetched
	spans  []Span         // tasks on the machine
	marks  []mark         // tasks that cycles have planned for it

	// Derived from spans and marks. Opportunistic tasks are not counted in profile and free.
	profile           profile   // free resources over time
	free              resources // free now, after spans and marks that have begun
	opportunisticUsed resources // used by opportunistic tasks now
	retainedUntil     micros    // end of the last span that is not opportunistic, 0 if none
	nextEnd           micros    // earliest estimated end of a span that has not ended

	// Position in the table.
	order        int  // sequence number of its addition
	position     int  // index in Table.machines
	inTable      bool // has been added and not removed
	inMarkedRows bool // is in Table.markedRows
	stale        bool // has to be reindexed
	indexedMarks int  // number of marks when it was last indexed
	entry        indexEntry
	lastSearch   [kindCount]uint32 // by kind, ID of the last search that examined it
}

// Reset clears a row so that it can be filled again. Marks of booked tasks stay.
func (m *Machine) Reset() {
	m.spans, m.images, m.FetchDone, m.Penalty, m.Blocked, m.OnlyOpportunistic = m.spans[:0], m.images[:0], 0, 0, false, false
	m.FreeAfterPreemption = resources{}
	// Tasks that have begun are on the machine by now: the caller adds them as spans.
	planned := m.marks[:0]
	for _, k := range m.marks {
		if !k.started {
			planned = append(planned, k)
		}
	}
	m.marks = planned
}

// Occupy adds the span of a task on the machine.
func (m *Machine) Occupy(s Span) { m.spans = append(m.spans, s) }

// Free returns the resources that are free now. Those of opportunistic tasks count as free.
func (m *Machine) Free() protocol.Resources { return m.free }

// NextEnd returns the earliest estimated end of the machine's spans that have not ended.
func (m *Machine) NextEnd() protocol.Micros { return m.nextEnd }

// recompute computes the fields derived from spans and marks.
func (m *Machine) recompute(now micros) {
	m.free, m.opportunisticUsed, m.nextEnd, m.retainedUntil = m.Capacity, resources{}, protocol.Forever, 0
	m.profile = m.profile.reset(m.Capacity)
	for i := range m.marks {
		if k := &m.marks[i]; !k.Opportunistic {
			m.profile = m.profile.addUsage(k.From, k.To, k.Resources, 1)
		}
	}
	for i := range m.spans {
		s := &m.spans[i]
		if !s.Opportunistic {
			m.retainedUntil = max(m.retainedUntil, s.To)
			m.profile = m.profile.addUsage(s.From, s.To, s.Resources, 1)
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

// addUsage adds a span that covers the current time to what is used now, n times.
func (m *Machine) addUsage(s *Span, n int64) {
	if s.Opportunistic {
		m.opportunisticUsed = m.opportunisticUsed.Add(s.Resources, n)
	} else {
		m.free = m.free.Add(s.Resources, -n)
	}
}

// freeFor returns what is free now for a request. An opportunistic request gets only what all other
// tasks leave; for the others, the resources of opportunistic tasks count as free.
func (m *Machine) freeFor(r *Request) resources {
	if r.Opportunistic {
		return m.free.Add(m.opportunisticUsed, -1)
	}
	return m.free
}

// fits reports whether a request's resources are free during [from, to).
func (m *Machine) fits(r *Request, from, to micros) bool {
	if !r.Opportunistic {
		return m.profile.fits(r.Resources, from, to)
	}
	if !m.hasRoomAt(r, from) {
		return false
	}
	for i := range m.spans {
		if s := m.spans[i].From; s > from && s < to && !m.hasRoomAt(r, s) {
			return false
		}
	}
	for i := range m.marks {
		if s := m.marks[i].From; s > from && s < to && !m.hasRoomAt(r, s) {
			return false
		}
	}
	return true
}

func (m *Machine) hasRoomAt(r *Request, at micros) bool {
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

// earliestRoom returns the earliest time, not before after, from which a request's resources are
// free for length.
func (m *Machine) earliestRoom(r *Request, after, length micros) (micros, bool) {
	if !m.Capacity.Covers(r.Resources) || m.Blocked {
		return 0, false
	}
	after = max(after, m.AvailableFrom)
	if !r.Opportunistic {
		return m.profile.earliestRoom(r.Resources, after, min(length, protocol.Forever-after))
	}
	if m.fits(r, after, protocol.End(after, length)) {
		return after, true
	}
	// Resources become free only at the end of a span or mark: these times are tried in order.
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

// readyAt returns the time at which an image is ready that the machine has or is going to have.
func (m *Machine) readyAt(imageID int32) (micros, bool) {
	for i := range m.images {
		if m.images[i].imageID == imageID {
			return m.images[i].ready, true
		}
	}
	for i := range m.marks {
		if k := &m.marks[i]; k.imageID == imageID {
			return k.ready, true
		}
	}
	return 0, false
}

// fetchTime returns how long a request's image takes to be ready if a task is put on the machine at
// the given time. Concurrent fetches share the machine's rate, so half of what remains of those in
// progress is added.
func (m *Machine) fetchTime(at micros, r *Request) micros {
	if ready, ok := m.readyAt(r.imageID); ok {
		return max(0, ready-at)
	}
	done := m.FetchDone
	for i := range m.marks {
		if k := &m.marks[i]; k.imageID >= 0 && k.ready > done {
			done = k.ready
		}
	}
	return max(0, done-at)/2 + m.FetchTime(r.ImageSize)
}

// hasTaskSlot reports whether one more task may be put on the machine. Booked tasks count like those
// that start at once.
func (m *Machine) hasTaskSlot() bool { return m.MaxTasks == 0 || m.Tasks+len(m.marks) < m.MaxTasks }

// hasUnindexedMarks reports whether marks were put on a row since it was last indexed. The row then
// has as much free as the index records, or less, so it needs to be reindexed only if a search
// visits it.
func (m *Machine) hasUnindexedMarks() bool { return m.indexedMarks != len(m.marks) }
