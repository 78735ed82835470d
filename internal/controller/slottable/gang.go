package slottable

import (
	"slices"

	"mapleslip/internal/protocol"
)

const (
	// zoneChangeGain is how much sooner a gang has to be ready in another zone for its booking to
	// move there. With a move the gang loses the machines that were kept free for it, and estimates
	// are off by as much: without a minimum gain, a gang of 32 was booked in one zone after the
	// other for minutes and started in none.
	zoneChangeGain = 30 * protocol.Second
	// anyZone makes a search cover all zones.
	anyZone = ""
)

// gangSearch finds places for all tasks of a gang, which run at the same time.
type gangSearch struct {
	table      *Table
	request    *Request
	stopIfLate bool // stop as soon as it is clear that the deadline can't be met

	places             []Place // best places found so far, nil: none
	ready              micros  // time at which the last of them is ready
	readyLimitExceeded bool    // a search was stopped because the deadline can't be met
}

// placeGang starts all tasks of a gang now or, if book is set, books all of them. With stopIfLate
// it may stop as soon as it is clear that the deadline can't be met.
func (t *Table) placeGang(r *Request, book, stopIfLate bool) Result {
	if r.Limit < r.Tasks {
		return Result{Request: r, Viable: true}
	}
	g := &gangSearch{table: t, request: r, stopIfLate: stopIfLate}
	zones := t.gangZones(r)
	for _, zone := range zones {
		g.searchZone(&t.nowSearch, zone, false, false)
	}
	if g.places != nil && r.Tasks == 1 && g.ready > t.Now+fetchTolerance {
		// The only task would have to fetch its image: it may be ready sooner on a busy machine
		// that has the image.
		if g.searchBusyWithImage() && !book {
			return Result{Request: r, Viable: true}
		}
	}
	if g.places == nil && (book || r.KeepBooking) {
		if t.bookingHolds(r) {
			g.places, g.ready = r.Booking, lastReady(r.Booking)
		} else if book {
			for _, zone := range zones {
				g.searchZone(&t.laterSearch, zone, true, false)
			}
		}
	}
	if g.places == nil {
		return Result{Request: r, Viable: !g.readyLimitExceeded}
	}
	return g.commit()
}

// gangZones returns the zones that are searched one after the other for places of a gang, the zone
// of its last booking first. If the gang need not be in a single zone, it returns only anyZone.
func (t *Table) gangZones(r *Request) []string {
	usedZone := newZoneCounter(r).onlyZone
	zones := t.gangZoneBuffer[:0]
	switch {
	case !r.SingleZone || r.Tasks == 1:
		zones = append(zones, anyZone)
	case usedZone != "":
		zones = append(zones, usedZone)
	case r.Zone != "":
		zones = append(zones, r.Zone)
	default:
		if r.PreferredZone != "" {
			zones = append(zones, r.PreferredZone)
		}
		for _, zone := range t.zones {
			if zone != r.PreferredZone {
				zones = append(zones, zone)
			}
		}
	}
	t.gangZoneBuffer = zones
	return zones
}

// searchZone searches a zone for places for the whole gang, and keeps them if they are ready sooner
// than the best ones so far.
func (g *gangSearch) searchZone(s *search, zone string, later, imageOnly bool) {
	readyLimit := g.ready
	if later && g.request.PreferredZone != "" && zone != g.request.PreferredZone {
		readyLimit -= zoneChangeGain
	}
	var places []Place
	g.table.runTrial(func() bool {
		z := newZoneCounter(g.request)
		s.begin(g.table, g.request, z, zone, later, imageOnly)
		if g.stopIfLate && later && !imageOnly {
			s.readyLimit = g.request.Deadline - g.request.Runtime
		}
		if zone != anyZone {
			z.onlyZone = zone
		}
		places = g.placeTasks(s, z, readyLimit)
		g.readyLimitExceeded = g.readyLimitExceeded || s.readyLimitExceeded
		return false
	})
	if places != nil {
		g.places, g.ready = places, lastReady(places)
	}
}

// placeTasks finds a place for each task. It returns nil if there are not enough places or if one
// of them is ready no sooner than readyLimit, which comes from the best places of the zones
// searched before.
func (g *gangSearch) placeTasks(s *search, z *zoneCounter, readyLimit micros) []Place {
	var places []Place
	for i := range g.request.Tasks {
		c, ok := s.top()
		if !ok || g.places != nil && c.place.Ready >= readyLimit {
			return nil
		}
		if places == nil {
			places = make([]Place, 0, g.request.Tasks)
		}
		p := c.place
		g.table.mark(g.request, p, g.request.occupiedUntil(p))
		z.add(p.Machine.Zone)
		places = append(places, p)
		if i+1 < g.request.Tasks {
			s.update(p.Machine)
		}
	}
	return places
}

// searchBusyWithImage searches for a busy machine that has the image and is ready sooner than the
// best place so far, on which the image has to be fetched. It reports whether there is one; if not,
// the best place stays.
func (g *gangSearch) searchBusyWithImage() bool {
	places, ready := g.places, g.ready
	g.places = nil
	g.searchZone(&g.table.laterSearch, anyZone, true, true)
	if g.places == nil || ready <= g.ready+fetchTolerance {
		g.places, g.ready = places, ready
		return false
	}
	return true
}

// commit marks the best places in the table and returns them as the result.
func (g *gangSearch) commit() Result {
	t, r := g.table, g.request
	res := Result{Request: r, Viable: true}
	end := protocol.End(g.ready, r.Runtime)
	if r.Deadline > 0 && end > r.Deadline {
		res.Viable = false
		if g.stopIfLate {
			return res
		}
	}
	isNow := func(p Place) bool { return p.Begin <= t.Now }
	startsNow := !slices.ContainsFunc(g.places, func(p Place) bool { return !isNow(p) })
	for _, p := range g.places {
		if !startsNow && isNow(p) {
			// This task could start now, but waits for the others of its gang. Until they can start
			// too, it takes no resources.
			p.Begin = t.Now + 1
		}
		t.mark(r, p, end)
	}
	if startsNow {
		res.Start = g.places
	} else {
		res.Booked = g.places
	}
	return res
}

// lastReady returns the time at which the last of some places is ready.
func lastReady(places []Place) micros {
	var ready micros
	for _, p := range places {
		ready = max(ready, p.Ready)
	}
	return ready
}

// bookingHolds reports whether a gang's booking of the last cycle can be kept: it has a place for
// each task, not all of its places begin now, and all are still free.
func (t *Table) bookingHolds(r *Request) bool {
	if len(r.Booking) != r.Tasks || !slices.ContainsFunc(r.Booking, func(p Place) bool { return p.Begin > t.Now }) {
		return false
	}
	end := protocol.End(lastReady(r.Booking), r.Runtime)
	holds := true
	t.runTrial(func() bool {
		for _, p := range r.Booking {
			m := p.Machine
			holds = holds && !m.Blocked && r.allows(m) && m.fits(r, max(p.Begin, t.Now), end)
			t.mark(r, p, end)
		}
		return false
	})
	return holds
}
