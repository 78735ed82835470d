package slottable

import (
	"slices"
	"sort"

	"mapleslip/internal/protocol"
)

// candidate is a possible place for one more task of the request.
type candidate struct {
	place   Place
	cost    micros
	isBound bool // cost is a lower bound: the row has not been searched, and only the machine is set
}

func (c candidate) less(o candidate) bool {
	return c.cost < o.cost || c.cost == o.cost && c.place.Machine.order < o.place.Machine.order
}

// cursor iterates over rows in the order of a lower bound on their cost.
type cursor struct {
	rows         []indexedRow
	now          micros       // current time: no bound is earlier
	extraCost    micros       // part of the bound that is the same for all rows
	bucket       *bucket      // bucket that has the rows, nil: none
	bucketRows   []indexedRow // all rows of the bucket
	severalZones bool         // rows are of several zones
	imageHolders bool         // rows are the holders of the image
}

func (c cursor) bound() micros { return max(c.rows[0].freeFrom, c.now) + c.extraCost }

func (c cursor) less(o cursor) bool {
	x, y := c.bound(), o.bound()
	return x < y || x == y && c.rows[0].machine.order < o.rows[0].machine.order
}

// Kinds of searches, used as indices of Machine.lastSearch. At most one search of each kind may be
// in progress.
const (
	kindNow = iota
	kindLater
	kindCount
)

// search finds places for a request, the one with the lowest cost first. It examines a row only if
// no candidate found so far is better than the row's bound.
type search struct {
	table   *Table
	request *Request
	zones   *zoneCounter

	kind       int    // kindNow or kindLater
	id         uint32 // compared with Machine.lastSearch
	later      bool   // find places at any time, not only now
	imageOnly  bool   // only on rows that have the image or fetch it
	onlyZone   string // zone that is searched, or anyZone
	level      int
	readyLimit micros // latest ready time at which a place is of use

	active             bool
	hadCandidate       bool        // a place was found, even if it is used up by now
	roomTooShort       bool        // a row had room, but not for the whole run time
	readyLimitExceeded bool        // the search was stopped because of readyLimit
	candidates         []candidate // heap
	cursors            []cursor    // heap
}

// begin starts a search in one zone, or in all with anyZone. Marks that other requests have put on
// rows have to be in the index, so refreshIndex has to be called before.
func (s *search) begin(t *Table, r *Request, z *zoneCounter, zone string, later, imageOnly bool) {
	s.table, s.request, s.zones, s.later, s.imageOnly, s.onlyZone = t, r, z, later, imageOnly, zone
	s.active, s.hadCandidate, s.roomTooShort = true, false, false
	s.readyLimit, s.readyLimitExceeded = protocol.Forever, false
	s.kind = kindNow
	if later {
		s.kind = kindLater
	}
	t.searchSeq++
	s.id = t.searchSeq
	s.candidates, s.cursors = s.candidates[:0], s.cursors[:0]
	if !later && t.isRefused(r, zone) {
		s.active = false
		return
	}
	for _, m := range r.Preferred {
		if m.inTable && (zone == anyZone || zone == m.Zone) {
			s.examine(m, 0)
		}
	}
	s.level = levelOf(r.Resources)
	separateHolders := s.addHolders()
	if imageOnly && s.level > 0 {
		return
	}
	groups := t.groupList
	if zone != anyZone {
		groups = t.groupsByZone[zone]
	}
	for _, g := range groups {
		if g.suits(r) && g.capacity.Covers(r.Resources) && z.allows(g.zone) {
			t.Work += visitWork
			s.addGroup(g, separateHolders)
		}
	}
	initHeap(s.cursors)
}

// addHolders adds a cursor for the rows that have the image, so that the bounds of all other rows
// can include the time to fetch it. It reports whether the holders are searched separately. They
// are not if there are so many of them that visiting all rows in order is expected to find a holder
// for each task in fewer visits: that takes about tasks*rows/holders visits.
func (s *search) addHolders() bool {
	if s.level == 0 {
		return false
	}
	t := s.table
	var holders []indexedRow
	if int(s.request.imageID) < len(t.imageHolders) {
		holders = t.imageHolders[s.request.imageID]
	}
	if !s.later {
		holders = holders[:sort.Search(len(holders), func(i int) bool { return holders[i].freeFrom > t.Now })]
		if len(holders)*len(holders) > max(1, s.request.Tasks)*len(t.machines) {
			return false
		}
	}
	if len(holders) > 0 {
		s.cursors = append(s.cursors, cursor{rows: holders, now: t.Now, severalZones: true, imageHolders: true})
	}
	return true
}

// addGroup adds cursors for the rows of a group. If the holders of the image are searched
// separately, the bounds of the rows include the time to fetch the image.
func (s *search) addGroup(g *group, separateHolders bool) {
	r, now := s.request, s.table.Now
	extra := g.extraCost(r)
	if separateHolders {
		extra += g.fetchTime(r.ImageSize)
	}
	if s.later {
		if rows := g.rowsByFreeTime[s.level]; len(rows) > 0 {
			s.cursors = append(s.cursors, cursor{rows: rows, now: now, extraCost: extra})
		}
		return
	}
	for level := s.level; level <= maxLevel; level++ {
		b := &g.buckets[level]
		if len(b.rows) > 0 && b.maxFree.Covers(r.Resources) {
			cost := extra + b.minFragmentationCost(r, level)
			s.cursors = append(s.cursors, cursor{rows: b.rows, now: now, extraCost: cost, bucket: b, bucketRows: b.rows})
		}
	}
}

// examine searches a row for a place, unless this search has examined the row before. It adds work
// to Table.Work.
func (s *search) examine(m *Machine, work int) {
	if m.lastSearch[s.kind] == s.id {
		return
	}
	s.table.Work += work
	if s.imageOnly {
		if _, ok := m.readyAt(s.request.imageID); !ok {
			return
		}
	}
	m.lastSearch[s.kind] = s.id
	if !s.request.allows(m) || !s.zones.allows(m.Zone) {
		return
	}
	if c, ok := s.placeOn(m); ok {
		s.hadCandidate = true
		s.candidates = pushHeap(s.candidates, c)
	}
}

// examineNext examines the next row of the first cursor. The cursor's bound may be loose: a row
// that turns out to have a higher bound is added to the candidates with that bound, and is searched
// only once it is the best candidate.
func (s *search) examineNext() {
	next := s.cursors[0]
	bound, row := next.bound(), next.rows[0]
	m := row.machine
	s.advance()
	if m.hasUnindexedMarks() {
		s.table.markStale(m)
	}
	if !s.later {
		s.examine(m, visitWork)
		return
	}
	if m.lastSearch[s.kind] == s.id {
		return
	}
	s.table.Work += visitWork
	if m.entry.group == nil || !m.entry.group.suits(s.request) {
		return
	}
	freeFrom := s.levelFreeFrom(m)
	if freeFrom >= protocol.Forever {
		return
	}
	if next.imageHolders && (row.freeFrom < m.entry.freeFrom[1] || m.hasUnindexedMarks()) {
		s.table.outdatedHolders = append(s.table.outdatedHolders, outdatedHolder{m, s.request.imageID})
	}
	tighterBound, ok := s.laterBound(m, freeFrom)
	switch {
	case !ok:
	case tighterBound > bound:
		m.lastSearch[s.kind] = s.id
		if s.request.allows(m) {
			s.candidates = pushHeap(s.candidates, candidate{Place{Machine: m}, tighterBound, true})
		}
	default:
		s.examine(m, 0)
	}
}

// advance moves the first cursor to its next row, or removes the cursor if it needs no more rows.
func (s *search) advance() {
	c := &s.cursors[0]
	zone := c.rows[0].machine.Zone
	c.rows = c.rows[1:]
	if len(c.rows) > 0 && (c.severalZones || s.zones.allows(zone)) {
		siftDown(s.cursors, 0)
		return
	}
	if c.bucket != nil && len(c.rows) == 0 && len(s.candidates) == 0 {
		c.bucket.tightenBounds(c.bucketRows)
	}
	s.cursors = popHeap(s.cursors)
}

// levelFreeFrom returns the time from which a row has the search's level free, marks that are not
// in the index included.
func (s *search) levelFreeFrom(m *Machine) micros {
	if !m.hasUnindexedMarks() {
		return m.entry.freeFrom[s.level]
	}
	var e indexEntry
	s.table.computeEntry(m, &e)
	return e.freeFrom[s.level]
}

// laterBound returns a lower bound on the cost of a place on a row that has the level free from
// freeFrom on. ok is false if the search needs the image and the row does not have it.
func (s *search) laterBound(m *Machine, freeFrom micros) (bound micros, ok bool) {
	g := m.entry.group
	bound = max(freeFrom, s.table.Now) + g.extraCost(s.request)
	if _, hasImage := m.readyAt(s.request.imageID); hasImage {
		return bound, true
	}
	return bound + g.fetchTime(s.request.ImageSize), !s.imageOnly
}

// placeOn returns the best place on a row for one more task.
func (s *search) placeOn(m *Machine) (candidate, bool) {
	if s.later {
		if m.Blocked || !m.Capacity.Covers(s.request.Resources) {
			return candidate{}, false
		}
		s.table.Work += searchRoomWork
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

// nextPlace returns the place for one more task on a row on which place p has just been marked. It
// begins no sooner than p, since a mark only takes room, so the row is searched from there on. An
// exception is a p that waits for a fetch: if the mark is what starts the fetch, the next place may
// be sooner.
func (s *search) nextPlace(p Place) (candidate, bool) {
	if !s.later || p.Ready > p.Begin {
		return s.placeOn(p.Machine)
	}
	s.table.Work += nextTaskWork
	return s.table.placeLater(s.request, p.Machine, p.Begin)
}

// top returns the best place for one more task, in a zone that still allows one.
func (s *search) top() (candidate, bool) {
	for s.active {
		for len(s.candidates) > 0 && !s.zones.allows(s.candidates[0].place.Machine.Zone) {
			s.candidates = popHeap(s.candidates)
		}
		examineNextRow := s.nextRowMayBeBetter()
		if !examineNextRow && (len(s.candidates) == 0 || !s.candidates[0].isBound) {
			break
		}
		if s.isBeyondReadyLimit(examineNextRow) {
			s.stop()
			s.readyLimitExceeded = true
			return candidate{}, false
		}
		if examineNextRow {
			s.examineNext()
		} else {
			s.resolveBound()
		}
	}
	if len(s.candidates) > 0 && !s.candidates[0].isBound {
		return s.candidates[0], true
	}
	if s.active && !s.later && !s.hadCandidate {
		s.active = false
		s.table.recordRefusal(s.request, s)
	}
	return candidate{}, false
}

// nextRowMayBeBetter reports whether the next row of the cursors may have a better place than all
// candidates.
func (s *search) nextRowMayBeBetter() bool {
	if len(s.cursors) == 0 {
		return false
	}
	if len(s.candidates) == 0 {
		return true
	}
	next, best := &s.cursors[0], &s.candidates[0]
	bound := next.bound()
	return bound < best.cost || bound == best.cost && next.rows[0].machine.order < best.place.Machine.order
}

// isBeyondReadyLimit reports whether the best place is certain to be ready after readyLimit. It
// uses the bound of the cursors' next row if nextRow is set, else the best candidate, which is a
// bound. onDemandCost is subtracted because a bound may include it.
func (s *search) isBeyondReadyLimit(nextRow bool) bool {
	if nextRow {
		return s.cursors[0].bound()-onDemandCost > s.readyLimit && !s.hasExactCandidate()
	}
	return s.candidates[0].cost-onDemandCost > s.readyLimit && !s.hasExactCandidate()
}

// resolveBound searches the row of the best candidate, for which only a bound is known so far.
func (s *search) resolveBound() {
	c, ok := s.placeOn(s.candidates[0].place.Machine)
	if !ok {
		s.candidates = popHeap(s.candidates)
		return
	}
	s.hadCandidate = true
	s.candidates[0] = c
	siftDown(s.candidates, 0)
}

// hasExactCandidate reports whether some candidate is a place, not only a bound.
func (s *search) hasExactCandidate() bool {
	return slices.ContainsFunc(s.candidates, func(c candidate) bool { return !c.isBound })
}

// stop ends a search and drops its candidates.
func (s *search) stop() {
	s.active, s.readyLimitExceeded = false, false
	s.candidates, s.cursors = s.candidates[:0], s.cursors[:0]
}

// update brings the candidates up to date after a mark was put on a row.
func (s *search) update(m *Machine) {
	if !s.active {
		return
	}
	for i := range s.candidates {
		if s.candidates[i].place.Machine != m {
			continue
		}
		if s.candidates[i].isBound {
			// With this mark the row may have the image, so the bound may be too high: search the
			// row next.
			s.candidates[i].cost = 0
			fixHeap(s.candidates, i)
			return
		}
		if c, ok := s.nextPlace(s.candidates[i].place); ok {
			s.candidates[i] = c
			fixHeap(s.candidates, i)
		} else {
			s.candidates = removeHeap(s.candidates, i)
		}
		return
	}
	// The row was marked through another search: its cost here may now be less than its bound. If
	// the search is only for rows with the image, a row that did not have it at the beginning is
	// not one of them.
	if !s.imageOnly {
		s.examine(m, 0)
	}
}

// examinePlaced examines the rows on which the request has places already: their marks are not in
// the index yet, nor are the images that the marks bring.
func (s *search) examinePlaced(res Result) {
	for _, list := range [...][]Place{res.Start, res.Booked} {
		for _, p := range list {
			s.examine(p.Machine, 0)
		}
	}
}
