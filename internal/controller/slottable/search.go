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
	list  []slot
	now   micros // no bound is earlier
	add   micros // what every row of the list costs beside its time
	shelf *shelf // gone through from its start, nil: no shelf
	whole []slot

	mixed   bool // rows of several zones
	holders bool // rows that have the image
}

func (c cursor) bound() micros { return max(c.list[0].at, c.now) + c.add }

func (c cursor) less(o cursor) bool {
	x, y := c.bound(), o.bound()
	return x < y || x == y && c.list[0].m.order < o.list[0].m.order
}

// search finds a request's places, best first. It looks at a row only when no
// candidate that it has is better than the row's bound.
type search struct {
	t       *Table
	r       *Request
	z       *zones
	which   int  // index of its stamp in rows
	later   bool // at whatever time, not only now
	image   bool // only rows that have the image, or fetch it
	active  bool
	any     bool // there was a candidate
	booked  bool // a row had room, but not for long enough
	stamp   uint32
	within  string // the only zone
	limit   micros // what is ready after it is of no use
	beyond  bool   // something was left out for that
	level   int
	found   []candidate // heap
	cursors []cursor    // heap
}

// begin starts a search, in one zone or in all. Rows that marks were put on have
// to be in the index: refresh comes before.
func (s *search) begin(t *Table, r *Request, z *zones, zone string, later, image bool) {
	s.t, s.r, s.z, s.later, s.image, s.active, s.any, s.booked = t, r, z, later, image, true, false, false
	s.within, s.limit, s.beyond = zone, protocol.Forever, false
	s.which = 0
	if later {
		s.which = 1
	}
	t.stamps++
	s.stamp = t.stamps
	s.found, s.cursors = s.found[:0], s.cursors[:0]
	if !later && t.refusedNow(r, zone) {
		s.active = false
		return
	}
	for _, m := range r.Preferred {
		if m.in && (zone == "" || zone == m.Zone) {
			s.look(m, 0)
		}
	}
	s.level = levelOf(r.Need)
	level := s.level
	groups := t.all
	if zone != "" {
		groups = t.byZone[zone]
	}
	// The rows with the image are gone through by themselves, unless that is
	// more than to come by as many of them among all.
	few := false
	if level > 0 {
		var holders []slot
		if int(r.image) < len(t.holders) {
			holders = t.holders[r.image]
		}
		if !later {
			holders = holders[:sort.Search(len(holders), func(i int) bool { return holders[i].at > t.Now })]
		}
		if few = later || len(holders)*len(holders) <= max(1, r.Tasks)*len(t.machines); few && len(holders) > 0 {
			s.cursors = append(s.cursors, cursor{list: holders, now: t.Now, mixed: true, holders: true})
		}
		if image {
			return
		}
	}
	for _, g := range groups {
		if !g.suits(r) || !g.offer.Covers(r.Need) || !z.allows(g.zone) {
			continue
		}
		t.Work += workLook
		add := g.extra(r)
		if few {
			add += g.fetch(r.ImageSize)
		}
		if later {
			if list := g.later[level]; len(list) > 0 {
				s.cursors = append(s.cursors, cursor{list: list, now: t.Now, add: add})
			}
			continue
		}
		for l := level; l <= maxLevel; l++ {
			sh := &g.shelves[l]
			if len(sh.rows) == 0 || !sh.most.Covers(r.Need) {
				continue
			}
			n := int64(1)
			if !r.Guest {
				n = max(1, sh.least.MaxCopies(r.Need))
			}
			waste := min(micros(n)*wasteTask, wasteMost)
			if r.Need.GPU == 0 && l > 0 && !r.Guest { // for a guest, others may have those GPUs
				waste += wasteGPU
			}
			s.cursors = append(s.cursors, cursor{list: sh.rows, now: t.Now, add: add + waste, shelf: sh, whole: sh.rows})
		}
	}
	initHeap(s.cursors)
}

// look finds what place a row has, unless it was looked at.
func (s *search) look(m *Machine, work int) {
	if m.seen[s.which] == s.stamp {
		return
	}
	s.t.Work += work
	if s.image {
		if _, ok := m.readyAt(s.r.image); !ok {
			return
		}
	}
	m.seen[s.which] = s.stamp
	if !s.r.allows(m) || !s.z.allows(m.Zone) {
		return
	}
	if c, ok := s.on(m); ok {
		s.any = true
		s.found = pushHeap(s.found, c)
	}
}

// pull looks at the next row of the first cursor. Its bound there may be a loose
// one: a row that can't be as good is searched only when its turn comes.
func (s *search) pull() {
	c := &s.cursors[0]
	m, bound, at, holders := c.list[0].m, c.bound(), c.list[0].at, c.holders
	if c.list = c.list[1:]; len(c.list) == 0 || !c.mixed && !s.z.allows(m.Zone) {
		if c.shelf != nil && len(c.list) == 0 && len(s.found) == 0 {
			c.shelf.tighten(c.whole)
		}
		s.cursors = popHeap(s.cursors)
	} else {
		down(s.cursors, 0)
	}
	if m.behind() {
		s.t.outdate(m)
	}
	if !s.later {
		s.look(m, workLook)
		return
	}
	if m.seen[s.which] == s.stamp {
		return
	}
	s.t.Work += workLook
	g := m.entry.group
	if g == nil || !g.suits(s.r) {
		return
	}
	free := m.entry.at[s.level]
	if m.behind() {
		var e entry
		s.t.describe(m, &e)
		free = e.at[s.level]
	}
	if free >= protocol.Forever {
		return
	}
	if holders && (at < m.entry.at[1] || m.behind()) {
		s.t.late = append(s.t.late, late{m, s.r.image})
	}
	b := max(free, s.t.Now)
	if _, hot := m.readyAt(s.r.image); !hot {
		if s.image {
			return
		}
		b += g.fetch(s.r.ImageSize)
	}
	b += g.extra(s.r)
	if b > bound {
		m.seen[s.which] = s.stamp
		if s.r.allows(m) {
			s.found = pushHeap(s.found, candidate{Place{Machine: m}, b, true})
		}
		return
	}
	s.look(m, 0)
}

// on is the place that a row has for one more task.
func (s *search) on(m *Machine) (candidate, bool) {
	if s.later {
		if m.Blocked || !m.Offer.Covers(s.r.Need) {
			return candidate{}, false
		}
		s.t.Work += workRoom
		return s.t.laterOn(s.r, m, s.t.Now)
	}
	c, ok := s.t.nowOn(s.r, m)
	if s.r.HotOnly && c.place.Ready > s.t.Now+patience {
		return candidate{}, false
	}
	if !ok && m.freeFor(s.r).Covers(s.r.Need) {
		s.booked = true
	}
	return c, ok
}

// next is the place that a row has for one task more than one that it had a
// place for. It comes no sooner: what was marked takes room only. A fetch that
// the mark brings is an exception, where it was not under way before.
func (s *search) next(p Place) (candidate, bool) {
	if !s.later || p.Ready > p.Begin {
		return s.on(p.Machine)
	}
	s.t.Work += workNext
	return s.t.laterOn(s.r, p.Machine, p.Begin)
}

// top is the best place for one more task, in a zone that still allows it.
func (s *search) top() (candidate, bool) {
	for s.active {
		for len(s.found) > 0 && !s.z.allows(s.found[0].place.Machine.Zone) {
			s.found = popHeap(s.found)
		}
		next := protocol.Forever
		if len(s.cursors) > 0 {
			c := &s.cursors[0]
			next = c.bound()
			if len(s.found) == 0 || next < s.found[0].cost || next == s.found[0].cost && c.list[0].m.order < s.found[0].place.Machine.order {
				if next-wasteSpot > s.limit && !s.searched() {
					return s.tooLate()
				}
				s.pull()
				continue
			}
		}
		if len(s.found) == 0 || !s.found[0].bound {
			break
		}
		if s.found[0].cost-wasteSpot > s.limit && !s.searched() {
			return s.tooLate()
		}
		if c, ok := s.on(s.found[0].place.Machine); ok {
			s.any = true
			s.found[0] = c
			down(s.found, 0)
		} else {
			s.found = popHeap(s.found)
		}
	}
	if len(s.found) > 0 && !s.found[0].bound {
		return s.found[0], true
	}
	if s.active && !s.later && !s.any {
		s.active = false
		s.t.refuse(s.r, s)
	}
	return candidate{}, false
}

// searched reports whether it is known of some row what place it has.
func (s *search) searched() bool {
	return slices.ContainsFunc(s.found, func(c candidate) bool { return !c.bound })
}

// tooLate ends a search whose best place is certainly ready after its limit.
func (s *search) tooLate() (candidate, bool) {
	s.stop()
	s.beyond = true
	return candidate{}, false
}

// stop lets go of a search.
func (s *search) stop() {
	s.active, s.beyond = false, false
	s.found, s.cursors = s.found[:0], s.cursors[:0]
}

// tighten draws in a shelf's bounds after all of its rows were looked at.
func (sh *shelf) tighten(rows []slot) {
	if len(rows) == 0 || len(rows) != len(sh.rows) {
		return
	}
	sh.most, sh.least = rows[0].m.entry.free, rows[0].m.entry.free
	for _, s := range rows[1:] {
		sh.widen(s.m.entry.free)
	}
}

// again brings a search up to date after a mark on a row, or its like.
func (s *search) again(m *Machine) {
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
		if c, ok := s.next(s.found[i].place); ok {
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
	if !s.image {
		s.look(m, 0)
	}
}

// meet looks at the rows that the request has places on already: the index does
// not have those marks yet, nor the images that come with them.
func (s *search) meet(res Result) {
	for _, list := range [...][]Place{res.Start, res.Booked} {
		for _, p := range list {
			s.look(p.Machine, 0)
		}
	}
}

// refusal is a request that found no place now. One that asks for as much or
// more finds none either, as long as rows only lose room.
type refusal struct {
	need                resources
	length              micros
	size                int64 // of the image
	image               int32 // -1: whatever its image and length
	types               []string
	zone                string
	spot, guest, frugal bool
}

// mostRefusals bounds what is remembered of a pass.
const mostRefusals = 64

// refusedNow reports whether a request is certain to find no place now.
func (t *Table) refusedNow(r *Request, zone string) bool {
	t.Work += workLook
	if len(r.Preferred) > 0 {
		return false
	}
	for i := range t.refusals {
		f := &t.refusals[i]
		if !r.Need.Covers(f.need) || r.Spot && !f.spot || f.guest && !r.Guest || f.frugal && !r.Frugal {
			continue
		}
		if f.image >= 0 && (f.image != r.image || r.Length < f.length || r.ImageSize < f.size) {
			continue
		}
		if f.zone != "" && f.zone != zone && f.zone != r.Zone || !slices.Equal(f.types, r.Types) {
			continue
		}
		return true
	}
	return false
}

// refuse remembers that a request found no place now.
func (t *Table) refuse(r *Request, s *search) {
	if len(t.refusals) >= mostRefusals || r.HotOnly || r.Avoid != nil || r.ZoneCap > 0 || len(r.ZoneUsed) > 0 || len(t.undo) > 0 {
		return
	}
	f := refusal{need: r.Need, length: r.Length, size: r.ImageSize, image: r.image, types: r.Types, zone: s.zone(), spot: r.Spot, guest: r.Guest, frugal: r.Frugal}
	if !s.booked {
		f.image = -1
	}
	t.refusals = append(t.refusals, f)
}

// zone is the only zone that a search looked at, if there is one.
func (s *search) zone() string {
	if s.r.Zone != "" {
		return s.r.Zone
	}
	return s.within
}
