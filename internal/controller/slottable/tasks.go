package slottable

import "mapleslip/internal/protocol"

// Maximum numbers of tasks of one job that a cycle starts, and that it books.
const (
	maxStartedTasks = 256
	maxBookedTasks  = 64
)

// Schedule plans the next request of the queue. It books the first job that can't start now, and
// each deadline job whose booking meets the deadline. The others start only where they fit without
// moving a booking (aggressive backfilling).
func (t *Table) Schedule(r *Request) Result {
	if r.Limit <= 0 {
		// A team at its limit gets no booking in this cycle.
		return Result{Request: r}
	}
	var res Result
	if r.Deadline > 0 && t.hasBlockedJob {
		res = t.bookByDeadline(r)
	} else {
		// An opportunistic job needs no booking: the plans of all other jobs ignore it, so a
		// booking would keep nothing free for it.
		res = t.Try(r, !t.hasBlockedJob && !r.Opportunistic)
	}
	if len(res.Booked) > 0 && (r.Deadline == 0 || !res.Viable) && !r.KeepBooking {
		t.hasBlockedJob = true
	}
	return res
}

// bookByDeadline books a request if that meets its deadline. Otherwise it only starts the tasks
// that can start now.
func (t *Table) bookByDeadline(r *Request) Result {
	if !r.NoBooking {
		var res Result
		viable := t.runTrial(func() bool {
			res = t.placeRequest(r, true, true)
			return res.Viable
		})
		if viable {
			return res
		}
	}
	res := t.Try(r, false)
	res.Late = !r.NoBooking
	return res
}

// Try starts the tasks of a request that can start now and, if book is set, books the rest. A gang
// is placed as a whole or not at all.
func (t *Table) Try(r *Request, book bool) Result { return t.placeRequest(r, book, false) }

// placeRequest implements Try. With stopIfLate it may stop as soon as it is clear that the deadline
// can't be met; the caller then removes its marks.
func (t *Table) placeRequest(r *Request, book, stopIfLate bool) Result {
	r.imageID = t.ImageID(r.Image)
	t.refreshIndex()
	if r.Gang {
		return t.placeGang(r, book, stopIfLate)
	}
	s := t.newTaskSearch(r, book, stopIfLate)
	for i := range min(r.Tasks, r.Limit, maxStartedTasks) {
		p, ok := s.choosePlace(i)
		if !ok {
			s.result.Viable = s.result.Viable && !s.later.readyLimitExceeded
			break
		}
		if meetsDeadline := s.commit(p); !meetsDeadline && stopIfLate {
			break
		}
	}
	return s.result
}

// taskSearch finds places for the tasks of a request, one after the other.
type taskSearch struct {
	table      *Table
	request    *Request
	zones      *zoneCounter
	book       bool
	readyLimit micros // latest ready time at which a place is of use

	now           *search
	later         *search // begun when it is needed
	searchedAll   bool    // later covers all rows
	searchedImage bool    // later covers the rows that have the image
	booking       []Place // places that the last cycle booked and that were not tried yet
	result        Result
}

func (t *Table) newTaskSearch(r *Request, book, stopIfLate bool) *taskSearch {
	s := &t.taskSearch
	*s = taskSearch{
		table: t, request: r, zones: newZoneCounter(r), book: book, readyLimit: protocol.Forever,
		now: &t.nowSearch, later: &t.laterSearch, booking: r.Booking, result: Result{Request: r, Viable: true},
	}
	if stopIfLate {
		s.readyLimit = r.Deadline - r.Runtime
	}
	s.now.begin(t, r, s.zones, anyZone, false, false)
	s.later.stop()
	return s
}

// choosePlace returns the place for the next task, which has index i.
func (s *taskSearch) choosePlace(i int) (Place, bool) {
	for {
		mayBook := s.book && i < maxBookedTasks
		now, okNow := s.now.top()
		if mayBook {
			s.beginLaterSearch(now, okNow)
		}
		later, okLater := s.later.top()
		if okNow && s.bookingIsSooner(now.place) {
			okNow = false
		}
		switch {
		case okNow && (!okLater || now.place.Ready <= later.place.Ready+fetchTolerance):
			return now.place, true
		case okLater && mayBook:
			return later.place, true
		case okNow || len(s.booking) == 0:
			return Place{}, false
		}
		// A place that the last cycle booked is kept if its room is still free. Otherwise, once no
		// booked place is left, another place is searched for.
		p := s.booking[0]
		s.booking = s.booking[1:]
		s.table.Work += visitWork
		if s.table.placeHolds(s.request, s.zones, p) {
			return p, true
		}
	}
}

// beginLaterSearch begins the search for places at any time, if there is no place now or the image
// has to be fetched for the best one. If there is a place now, only rows with the image are
// searched: waiting for another busy machine is not worth it.
func (s *taskSearch) beginLaterSearch(now candidate, okNow bool) {
	if s.searchedAll || len(s.booking) > 0 {
		return
	}
	imageOnly := okNow
	if okNow && (s.searchedImage || now.place.Ready <= s.table.Now+fetchTolerance) {
		return
	}
	s.later.begin(s.table, s.request, s.zones, anyZone, true, imageOnly)
	s.later.readyLimit = s.readyLimit
	s.later.examinePlaced(s.result)
	if imageOnly {
		s.searchedImage = true
	} else {
		s.searchedAll = true
	}
}

// bookingIsSooner reports whether the next place that the last cycle booked is ready sooner than a
// place that begins to fetch now, and is still free.
func (s *taskSearch) bookingIsSooner(now Place) bool {
	return len(s.booking) > 0 && now.Ready > s.booking[0].Ready+fetchTolerance &&
		s.table.placeHolds(s.request, s.zones, s.booking[0])
}

// commit marks a place for a task and adds it to the result. It reports whether the task ends by
// the deadline.
func (s *taskSearch) commit(p Place) (meetsDeadline bool) {
	if p.Begin > s.table.Now {
		s.result.Booked = append(s.result.Booked, p)
	} else {
		s.result.Start = append(s.result.Start, p)
	}
	s.zones.add(p.Machine.Zone)
	end := protocol.End(p.Ready, s.request.Runtime)
	s.table.mark(s.request, p, end)
	s.now.update(p.Machine)
	s.later.update(p.Machine)
	if s.request.Deadline > 0 && end > s.request.Deadline {
		s.result.Viable = false
		return false
	}
	return true
}

// placeHolds reports whether a place that the last cycle booked is still free.
func (t *Table) placeHolds(r *Request, z *zoneCounter, p Place) bool {
	m := p.Machine
	return p.Begin > t.Now && !m.Blocked && z.allows(m.Zone) && r.allows(m) && m.fits(r, p.Begin, protocol.End(p.Ready, r.Runtime))
}
