package slottable

import (
	"slices"
	"sort"

	"mapleslip/internal/protocol"
)

// candidate is a place that one more task of the request could have.
type candidate struct {
	place Place
	cost  micros
	bound bool // only a bound: the row has not been searched
}

func (c candidate) less(o candidate) bool {
	return c.cost < o.cost || c.cost == o.cost && c.place.Machine.order < o.place.Machine.order
}

// cursor goes through rows of a group in the order of a bound on their cost.
type cursor struct {
	rows         []indexedRow
	now          micros       // no bound is earlier
	extraCost    micros       // of every row, beside its time
	shelf        *shelf       // gone through from its start, nil: no shelf
	allRows      []indexedRow // of the shelf
	severalZones bool         // rows of several zones
	imageHolders bool         // rows that have the image
}

func (c cursor) bound() micros { return max(c.rows[0].at, c.now) + c.extraCost }

func (c cursor) less(o cursor) bool {
	x, y := c.bound(), o.bound()
	return x < y || x == y && c.rows[0].machine.order < o.rows[0].machine.order
}

// Kinds of searches, of which one each may be under way: indices of Machine.lastSearch.
const (
	slotNow = iota
	slotLater
	slotCount
)

// search finds a request's places, best first. It looks at a row only when no candidate that it
// has is better than the row's bound.
type search struct {
	table   *Table
	request *Request
	zones   *zoneCounter

	slot      int    // slotNow or slotLater
	id        uint32 // rows have that of the last search that looked at them
	later     bool   // at whatever time, not only now
	imageOnly bool   // only rows that have the image, or fetch it
	onlyZone  string // or anyZone
	level     int
	limit     micros // what is ready after it is of no use

	active        bool
	anyCandidate  bool        // there was a candidate
	roomTooShort  bool        // a row had room, but not for long enough
	limitExceeded bool        // something was left out for the limit
	found         []candidate // heap
	cursors       []cursor    // heap
}

// begin starts a search, in one zone or in all. Rows that marks were put on have to be in the
// index: refresh comes before.
func (s *search) begin(t *Table, r *Request, z *zoneCounter, zone string, later, imageOnly bool) {
	s.table, s.request, s.zones, s.later, s.imageOnly, s.onlyZone = t, r, z, later, imageOnly, zone
	s.active, s.anyCandidate, s.roomTooShort = true, false, false
	s.limit, s.limitExceeded = protocol.Forever, false
	s.slot = slotNow
	if later {
		s.slot = slotLater
	}
	t.searchSeq++
	s.id = t.searchSeq
	s.found, s.cursors = s.found[:0], s.cursors[:0]
	if !later && t.isRefused(r, zone) {
		s.active = false
		return
	}
	for _, m := range r.Preferred {
		if m.inTable && (zone == anyZone || zone == m.Zone) {
			s.look(m, 0)
		}
	}
	s.level = levelOf(r.Resources)
	separateHolders := s.addHolders()
	if imageOnly && s.level > 0 {
		return
	}
	groups := t.groupList
	if zone != anyZone {
		groups = t.byZone[zone]
	}
	for _, g := range groups {
		if g.suits(r) && g.capacity.Covers(r.Resources) && z.allows(g.zone) {
			t.Work += lookWork
			s.addGroup(g, separateHolders)
		}
	}
	initHeap(s.cursors)
}

// addHolders has the rows with the image gone through by themselves, unless that is more than to
// come by as many of them among all. It reports whether they are.
func (s *search) addHolders() bool {
	if s.level == 0 {
		return false
	}
	t := s.table
	var holders []indexedRow
	if int(s.request.image) < len(t.imageHolders) {
		holders = t.imageHolders[s.request.image]
	}
	if !s.later {
		holders = holders[:sort.Search(len(holders), func(i int) bool { return holders[i].at > t.Now })]
		if len(holders)*len(holders) > max(1, s.request.Tasks)*len(t.machines) {
			return false
		}
	}
	if len(holders) > 0 {
		s.cursors = append(s.cursors, cursor{rows: holders, now: t.Now, severalZones: true, imageHolders: true})
	}
	return true
}

// addGroup adds the rows of a group. If those with the image are gone through by themselves, the
// others have to fetch it.
func (s *search) addGroup(g *group, separateHolders bool) {
	r, now := s.request, s.table.Now
	extra := g.extraCost(r)
	if separateHolders {
		extra += g.fetchTime(r.ImageSize)
	}
	if s.later {
		if rows := g.laterByLevel[s.level]; len(rows) > 0 {
			s.cursors = append(s.cursors, cursor{rows: rows, now: now, extraCost: extra})
		}
		return
	}
	for level := s.level; level <= maxLevel; level++ {
		sh := &g.shelves[level]
		if len(sh.rows) > 0 && sh.most.Covers(r.Resources) {
			cost := extra + sh.leastFragmentation(r, level)
			s.cursors = append(s.cursors, cursor{rows: sh.rows, now: now, extraCost: cost, shelf: sh, allRows: sh.rows})
		}
	}
}

// look finds what place a row has, unless it was looked at.
func (s *search) look(m *Machine, work int) {
	if m.lastSearch[s.slot] == s.id {
		return
	}
	s.table.Work += work
	if s.imageOnly {
		if _, ok := m.readyAt(s.request.image); !ok {
			return
		}
	}
	m.lastSearch[s.slot] = s.id
	if !s.request.allows(m) || !s.zones.allows(m.Zone) {
		return
	}
	if c, ok := s.placeOn(m); ok {
		s.anyCandidate = true
		s.found = pushHeap(s.found, c)
	}
}

// pull looks at the next row of the first cursor. Its bound there may be a loose one: a row that
// can't be as good is searched only when its turn comes.
func (s *search) pull() {
	next := s.cursors[0]
	bound, row := next.bound(), next.rows[0]
	m := row.machine
	s.advance()
	if m.behind() {
		s.table.markStale(m)
	}
	if !s.later {
		s.look(m, lookWork)
		return
	}
	if m.lastSearch[s.slot] == s.id {
		return
	}
	s.table.Work += lookWork
	if m.entry.group == nil || !m.entry.group.suits(s.request) {
		return
	}
	free := s.freeFrom(m)
	if free >= protocol.Forever {
		return
	}
	if next.imageHolders && (row.at < m.entry.at[1] || m.behind()) {
		s.table.lateHolders = append(s.table.lateHolders, lateHolder{m, s.request.image})
	}
	better, ok := s.laterBound(m, free)
	switch {
	case !ok:
	case better > bound:
		m.lastSearch[s.slot] = s.id
		if s.request.allows(m) {
			s.found = pushHeap(s.found, candidate{Place{Machine: m}, better, true})
		}
	default:
		s.look(m, 0)
	}
}

// advance goes on to the next row of the first cursor.
func (s *search) advance() {
	c := &s.cursors[0]
	zone := c.rows[0].machine.Zone
	c.rows = c.rows[1:]
	if len(c.rows) > 0 && (c.severalZones || s.zones.allows(zone)) {
		down(s.cursors, 0)
		return
	}
	if c.shelf != nil && len(c.rows) == 0 && len(s.found) == 0 {
		c.shelf.tighten(c.allRows)
	}
	s.cursors = popHeap(s.cursors)
}

// freeFrom is from when on a row has the search's level free, as far as its marks say.
func (s *search) freeFrom(m *Machine) micros {
	if !m.behind() {
		return m.entry.at[s.level]
	}
	var e entry
	s.table.describe(m, &e)
	return e.at[s.level]
}

// laterBound bounds the cost of a row's place from when on the level is free. ok is false if the
// row does not have the image and the search is for that.
func (s *search) laterBound(m *Machine, free micros) (bound micros, ok bool) {
	g := m.entry.group
	bound = max(free, s.table.Now) + g.extraCost(s.request)
	if _, hasImage := m.readyAt(s.request.image); hasImage {
		return bound, true
	}
	return bound + g.fetchTime(s.request.ImageSize), !s.imageOnly
}

// placeOn is the place that a row has for one more task.
func (s *search) placeOn(m *Machine) (candidate, bool) {
	if s.later {
		if m.Blocked || !m.Capacity.Covers(s.request.Resources) {
			return candidate{}, false
		}
		s.table.Work += roomWork
		return s.table.placeLater(s.request, m, s.table.Now)
	}
	c, ok := s.table.placeNow(s.request, m)
	if s.request.ImageLocalOnly && c.place.Ready > s.table.Now+fetchTolerance {
		return candidate{}, false
	}
	if !ok && m.freeFor(s.request).Covers(s.request.Resources) {
		s.roomTooShort = true
	}
	return c, ok
}

// nextPlace is the place that a row has for one task more than one that it had a place for. It
// comes no sooner: what was marked takes room only. A fetch that the mark brings is an
// exception, where it was not under way before.
func (s *search) nextPlace(p Place) (candidate, bool) {
	if !s.later || p.Ready > p.Begin {
		return s.placeOn(p.Machine)
	}
	s.table.Work += nextWork
	return s.table.placeLater(s.request, p.Machine, p.Begin)
}

// top is the best place for one more task, in a zone that still allows it.
func (s *search) top() (candidate, bool) {
	for s.active {
		for len(s.found) > 0 && !s.zones.allows(s.found[0].place.Machine.Zone) {
			s.found = popHeap(s.found)
		}
		pull := s.nextRowMayBeBetter()
		if !pull && (len(s.found) == 0 || !s.found[0].bound) {
			break
		}
		if s.isBeyondLimit(pull) {
			s.stop()
			s.limitExceeded = true
			return candidate{}, false
		}
		if pull {
			s.pull()
		} else {
			s.searchBound()
		}
	}
	if len(s.found) > 0 && !s.found[0].bound {
		return s.found[0], true
	}
	if s.active && !s.later && !s.anyCandidate {
		s.active = false
		s.table.rememberRefusal(s.request, s)
	}
	return candidate{}, false
}

// nextRowMayBeBetter reports whether the next row of the cursors may be better than all that was
// found.
func (s *search) nextRowMayBeBetter() bool {
	if len(s.cursors) == 0 {
		return false
	}
	if len(s.found) == 0 {
		return true
	}
	next, best := &s.cursors[0], &s.found[0]
	bound := next.bound()
	return bound < best.cost || bound == best.cost && next.rows[0].machine.order < best.place.Machine.order
}

// isBeyondLimit reports whether the best place is certainly ready after the limit: the next one
// of the cursors, or else the best that was found, which is a bound.
func (s *search) isBeyondLimit(pull bool) bool {
	if pull {
		return s.cursors[0].bound()-onDemandCost > s.limit && !s.searched()
	}
	return s.found[0].cost-onDemandCost > s.limit && !s.searched()
}

// searchBound searches the row of the best candidate, of which only a bound is known.
func (s *search) searchBound() {
	c, ok := s.placeOn(s.found[0].place.Machine)
	if !ok {
		s.found = popHeap(s.found)
		return
	}
	s.anyCandidate = true
	s.found[0] = c
	down(s.found, 0)
}

// searched reports whether it is known of some row what place it has.
func (s *search) searched() bool {
	return slices.ContainsFunc(s.found, func(c candidate) bool { return !c.bound })
}

// stop ends a search.
func (s *search) stop() {
	s.active, s.limitExceeded = false, false
	s.found, s.cursors = s.found[:0], s.cursors[:0]
}

// again brings a search up to date after a mark on a row, or its like.
func (s *search) update(m *Machine) {
	if !s.active {
		return
	}
	for i := range s.found {
		if s.found[i].place.Machine != m {
			continue
		}
		if s.found[i].bound {
			// With this mark it may have the image: the bound may be too late.
			s.found[i].cost = 0
			fix(s.found, i)
			return
		}
		if c, ok := s.nextPlace(s.found[i].place); ok {
			s.found[i] = c
			fix(s.found, i)
		} else {
			s.found = removeHeap(s.found, i)
		}
		return
	}
	// It was marked through another search: what it costs here may have become
	// less than its bound. One that had no image when a search for those began
	// is none of its rows.
	if !s.imageOnly {
		s.look(m, 0)
	}
}

// meet looks at the rows that the request has places on already: the index does
// not have those marks yet, nor the images that come with them.
func (s *search) lookAtPlaced(res Result) {
	for _, list := range [...][]Place{res.Start, res.Booked} {
		for _, p := range list {
			s.look(p.Machine, 0)
		}
	}
}
