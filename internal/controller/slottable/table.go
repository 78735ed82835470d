// Package slottable plans: machines by time, from estimates of run times. It
// decides nothing about commands and does no I/O.
//
// It follows Haizea's slot table (Sotomayor, Keahey, Foster, HPDC 2008, section
// 3.2): a task's start on a machine is the later of image readiness and free
// room, a job takes the machines with the earliest such starts, and later jobs
// start only where no booking moves.
//
// The table lives as long as a leader's term. Rows are brought up to date when
// something changed on their machine, and a pass over the queue only marks what
// it plans; Work counts what the pass has looked at, so that it can be bounded.
package slottable

import (
	"slices"

	"mapleslip/internal/protocol"
)

type (
	micros    = protocol.Micros
	resources = protocol.Resources
)

// Span is a time during which something takes room on a machine.
type Span struct {
	From, To micros
	Need     resources
	Guest    bool // of the lowest rank: gives way at once to whatever else is placed there
}

// mark is a span that a pass planned.
type mark struct {
	Span
	start bool // it began at once: the machine's own spans have it from the next update on
	image int32
	ready micros
}

// cached is an image that a machine has, or will have.
type cached struct {
	image int32
	ready micros
}

// Machine is one row of the table.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Offer            resources
	From             micros                  // nothing starts before
	FetchDone        micros                  // when the fetches under way end
	Fetch            func(size int64) micros // of an image at the usual rate
	Penalty          micros                  // how much later another machine may be and still be preferred
	Blocked          bool                    // no task may start, but what runs takes room
	images           []cached                // known to be there, or on their way
	spans            []Span                  // what is on the machine
	marks            []mark                  // what passes planned for it
	profile          profile                 // both against time, guests not counted
	free             resources               // now, beside spans and marks that have begun, guests not counted
	guests           resources               // what guests take now
	heldTill         micros                  // when the last of what is not a guest ends
	Unheld           bool                    // it costs the full price and nothing but guests is on it
	next             micros                  // when a span ends by its estimate
	touched          bool                    // is in the table's list of marked rows
	Makes            resources               // free if all gives way that may, see Making
	order            int                     // in which it was added
	pos              int                     // among the table's rows
	in               bool                    // is in the table
	stale            bool                    // the index is to be brought up to date
	indexed          int                     // marks that the index knew of
	entry            entry                   // where the index has it
	seen             [2]uint32               // stamps of the searches that looked at it last
}

// Reset empties a row, to be filled again.
func (m *Machine) Reset() {
	m.spans, m.images, m.FetchDone, m.Penalty, m.Blocked, m.Unheld = m.spans[:0], m.images[:0], 0, 0, false, false
	m.Makes = resources{}
	// What began in an earlier pass is among the machine's own spans by now.
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
func (m *Machine) Free() resources { return m.free }

// NextEnd is when the first of the spans ends by its estimate.
func (m *Machine) NextEnd() micros { return m.next }

// settle computes what is derived from the spans.
func (m *Machine) settle(now micros) {
	m.free, m.guests, m.next, m.heldTill = m.Offer, resources{}, protocol.Forever, 0
	m.profile = m.profile.reset(m.Offer)
	for i := range m.marks {
		if k := &m.marks[i]; !k.Guest {
			m.profile = m.profile.add(k.From, k.To, k.Need, 1)
		}
	}
	for i := range m.spans {
		s := &m.spans[i]
		if !s.Guest {
			m.heldTill = max(m.heldTill, s.To)
			m.profile = m.profile.add(s.From, s.To, s.Need, 1)
		}
		if s.From <= now && now < s.To {
			m.take(s, 1)
		}
		if s.To > now {
			m.next = min(m.next, s.To)
		}
	}
	for i := range m.marks {
		if k := &m.marks[i]; k.From <= now && now < k.To {
			m.take(&k.Span, 1)
		}
	}
}

// take counts a span that is there now, n times.
func (m *Machine) take(s *Span, n int64) {
	if s.Guest {
		m.guests = m.guests.Add(s.Need, n)
	} else {
		m.free = m.free.Add(s.Need, -n)
	}
}

// freeFor is what is free now for a request: a guest takes what all others
// leave, and the others don't see guests.
func (m *Machine) freeFor(r *Request) resources {
	if r.Guest {
		return m.free.Add(m.guests, -1)
	}
	return m.free
}

// fits reports whether need is free during [from, to). Guests see all spans.
func (m *Machine) fits(r *Request, from, to micros) bool {
	if !r.Guest {
		return m.profile.fits(r.Need, from, to)
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
	used := r.Need
	for i := range m.spans {
		if s := &m.spans[i]; s.From <= at && at < s.To && (r.Guest || !s.Guest) {
			used = used.Add(s.Need, 1)
		}
	}
	for i := range m.marks {
		if s := &m.marks[i]; s.From <= at && at < s.To && (r.Guest || !s.Guest) {
			used = used.Add(s.Need, 1)
		}
	}
	return m.Offer.Covers(used)
}

// room is the earliest time from after on at which need is free for length.
func (m *Machine) room(r *Request, after, length micros) (micros, bool) {
	if !m.Offer.Covers(r.Need) || m.Blocked {
		return 0, false
	}
	after = max(after, m.From)
	if !r.Guest {
		return m.profile.room(r.Need, after, min(length, protocol.Forever-after))
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

// fetch is how long the image takes to be ready if a task is put on the
// machine at the given time. A machine shares its rate among its fetches.
func (m *Machine) fetch(at micros, r *Request) micros {
	if ready, ok := m.readyAt(r.image); ok {
		return max(0, ready-at)
	}
	done := m.FetchDone
	for i := range m.marks {
		if k := &m.marks[i]; k.image >= 0 && k.ready > done {
			done = k.ready
		}
	}
	return max(0, done-at)/2 + m.Fetch(r.ImageSize)
}

// Request is a job, as far as it still needs places.
type Request struct {
	Tasks     int // that need a place
	Limit     int // how many its team's limit lets start
	Need      resources
	Gang      bool
	Image     string
	ImageSize int64
	Types     []string
	Zone      string
	OneZone   bool
	ZoneCap   int            // most tasks in one zone, 0: any
	ZoneUsed  map[string]int // tasks that are in a zone already
	Spot      bool
	Length    micros // run time without the fetch
	Deadline  micros // latest end, 0: none
	Avoid     func(machine string) bool
	Preferred []*Machine // room was made for it there
	HotOnly   bool       // takes only machines that have the image
	Spare     bool       // room to keep, not work
	Guest     bool       // of the lowest rank: takes what all others leave
	Frugal    bool       // neither keeps a machine at the full price nor has one rented
	Patient   micros     // no machine is rented for what is ready by then
	Waited    micros     // how much later than planned it has become already, for rental
	Kept      []Place    // its booking of the pass before
	Stay      string     // zone of a gang's last booking, left only for one that is sooner by stayFor
	Hold      bool       // room was made for it: Kept holds though it is not the first that can't start
	NoBooking bool       // it was found lately that a booking can't meet the deadline

	image int32
}

func (r *Request) allows(m *Machine) bool {
	if m.Spot && !r.Spot || r.Frugal && m.Unheld {
		return false
	}
	if r.Zone != "" && r.Zone != m.Zone {
		return false
	}
	return allowsType(r.Types, m.Type) && (r.Avoid == nil || !r.Avoid(m.Name))
}

func allowsType(types []string, name string) bool {
	if types == nil {
		return true
	}
	for _, t := range types {
		if t == name {
			return true
		}
	}
	return false
}

// Place is where and when one task goes.
type Place struct {
	Machine *Machine
	Begin   micros // when the task is put there and its fetch starts
	Ready   micros // when it can run
}

// Result is what became of one request.
type Result struct {
	Request *Request
	Start   []Place // begin now
	Booked  []Place // begin later
	Viable  bool    // a deadline can be met by the booking
	Late    bool    // it was found that a booking can't meet the deadline
}

// Table is the slot table.
type Table struct {
	Now      micros
	Work     int // what was looked at since the caller last set it to 0
	machines []*Machine
	added    int
	rented   []*Machine // that a plan for rental would rent
	touched  []*Machine // rows with marks
	ids      map[string]int32
	undo     []*Machine // rows marked since a trial began, a row for each mark
	trying   bool
	blocked  bool // this pass has its first job that can't start

	groups  map[groupKey]*group
	all     []*group
	byZone  map[string][]*group
	zones   []string   // in the order in which they were first seen
	holders [][]slot   // rows by the number of an image that they have, see hold
	stale   []*Machine // rows that the index is behind of
	late    []late

	now, any search
	stamps   uint32
	refusals []refusal
	walk     []cursor // of Making
	ids32    []int32
}

// What it costs to look at a row for a start now, and to search it for room.
// To see whether a group has anything for a request costs like a row.
const (
	workLook = 1
	workRoom = 8
	workNext = 2 // for one task more, from the place of the last on
)

// Image gives an image its number.
func (t *Table) Image(name string) int32 {
	id, ok := t.ids[name]
	if !ok {
		if t.ids == nil {
			t.ids = make(map[string]int32)
		}
		id = int32(len(t.ids))
		t.ids[name] = id
	}
	return id
}

// AddImage notes an image that a machine has, or will have.
func (t *Table) AddImage(m *Machine, name string, ready micros) {
	m.images = append(m.images, cached{t.Image(name), ready})
	m.FetchDone = max(m.FetchDone, ready)
}

// HasImage reports whether the row knows of an image.
func (t *Table) HasImage(m *Machine, name string) bool {
	_, ok := m.readyAt(t.Image(name))
	return ok
}

// Update computes what follows from a row's spans. It is called after the row
// was filled, and for every row whose estimate ran out.
func (t *Table) Update(m *Machine) {
	m.settle(t.Now)
	t.outdate(m)
	t.refusals = t.refusals[:0]
}

// Begin starts a pass over the whole queue: bookings of the last one are
// planned anew, in their turn.
func (t *Table) Begin() {
	for _, m := range t.touched {
		m.marks, m.touched = m.marks[:0], false
		m.settle(t.Now)
		if m.indexed > 0 {
			t.outdate(m)
		}
	}
	t.touched = t.touched[:0]
	t.blocked = false
	t.Resume()
}

// Resume goes on with a pass that was cut short, after rows were updated.
func (t *Table) Resume() { t.refusals = t.refusals[:0] }

// zones counts a request's tasks by zone while places are chosen.
type zones struct {
	r     *Request
	count map[string]int
	one   string
}

func newZones(r *Request) *zones {
	z := &zones{r: r}
	for name, n := range r.ZoneUsed {
		if n > 0 {
			z.add(name)
			z.count[name] = n
		}
	}
	return z
}

func (z *zones) allows(name string) bool {
	if z.r.OneZone && z.one != "" && z.one != name {
		return false
	}
	return z.r.ZoneCap == 0 || z.count[name] < z.r.ZoneCap
}

func (z *zones) add(name string) {
	if z.count == nil {
		z.count = make(map[string]int)
	}
	z.count[name]++
	z.one = name
}

// patience is how much earlier a busy machine must be ready before a task
// waits for it rather than starting its fetch on a free one at once.
const patience = 2 * protocol.Second

// nowOn is the place that a machine has for a task at once.
func (t *Table) nowOn(r *Request, m *Machine) (candidate, bool) {
	if !m.freeFor(r).Covers(r.Need) || m.Blocked || m.From > t.Now {
		return candidate{}, false
	}
	fetch := m.fetch(t.Now, r)
	if len(m.marks) > 0 && !m.fits(r, t.Now, protocol.End(t.Now+fetch, r.Length)) {
		return candidate{}, false
	}
	p := Place{m, t.Now, t.Now + fetch}
	return candidate{place: p, cost: t.cost(r, p)}, true
}

// laterOn is the earliest place from a time on that a machine has for a task.
func (t *Table) laterOn(r *Request, m *Machine, from micros) (candidate, bool) {
	length := protocol.End(m.fetch(t.Now, r), r.Length)
	at, ok := m.room(r, from, length)
	if !ok {
		return candidate{}, false
	}
	p := Place{m, at, at + m.fetch(at, r)}
	return candidate{place: p, cost: t.cost(r, p)}, true
}

func (t *Table) cost(r *Request, p Place) micros {
	if p.Begin == t.Now && len(r.Preferred) > 0 && slices.Contains(r.Preferred, p.Machine) {
		return -1
	}
	cost := p.Ready + p.Machine.Penalty + t.waste(r, p.Machine)
	if r.Guest && !p.Machine.Spot && p.Machine.heldTill < protocol.End(p.Ready, r.Length) {
		cost += 8 * protocol.Second // it would be sent off with the machine
	}
	return cost
}

// What a place costs for what it leaves broken up, see waste.
const (
	wasteTask = 300 * protocol.Millisecond // for each further task that it could take
	wasteMost = 5 * protocol.Second
	wasteGPU  = 6 * protocol.Second
	wasteSpot = 6 * protocol.Second
)

// waste makes a task prefer the machine that it leaves least broken up: a
// larger machine, or a free one, is kept for what needs it.
func (t *Table) waste(r *Request, m *Machine) micros {
	free := m.freeFor(r)
	w := min(micros(free.MaxCopies(r.Need))*wasteTask, wasteMost)
	if r.Need.GPU == 0 && free.GPU > 0 {
		// What needs no GPU goes where it is in the way of nothing that does.
		return w + wasteGPU
	}
	if !r.Guest && !free.Add(m.guests, -1).Covers(r.Need) {
		w += 3 * protocol.Second // a guest's work would be lost
	}
	if r.Spot && !m.Spot {
		// Spot machines are of use to few; the others are kept for the rest.
		w += wasteSpot
	}
	return w
}

func (t *Table) mark(r *Request, p Place, till micros) {
	m := p.Machine
	k := mark{Span: Span{p.Begin, till, r.Need, r.Guest}, start: p.Begin <= t.Now, image: -1}
	if _, ok := m.readyAt(r.image); !ok {
		k.image, k.ready = r.image, p.Ready
		t.outdate(m) // it belongs to the rows that have the image from now on
		// What was refused because of the time to fetch it may fit now.
		t.refusals = slices.DeleteFunc(t.refusals, func(f refusal) bool { return f.image == r.image })
	}
	m.marks = append(m.marks, k)
	if k.start {
		m.take(&k.Span, 1)
		t.outdate(m) // it moves to another shelf, with other bounds
	}
	if !k.Guest {
		m.profile = m.profile.add(k.From, k.To, k.Need, 1)
	}
	if !m.touched {
		m.touched = true
		t.touched = append(t.touched, m)
	}
	if t.trying {
		t.undo = append(t.undo, m)
	}
}

// try marks what plan does, and takes it back unless plan says to keep it.
// Trials may be nested.
func (t *Table) try(plan func() bool) bool {
	outer, from := t.trying, len(t.undo)
	t.trying = true
	keep := plan()
	if !keep {
		for i := len(t.undo) - 1; i >= from; i-- {
			m := t.undo[i]
			k := m.marks[len(m.marks)-1]
			m.marks = m.marks[:len(m.marks)-1]
			if k.start {
				m.take(&k.Span, -1)
			}
			if !k.Guest {
				m.profile = m.profile.add(k.From, k.To, k.Need, -1)
			}
			if m.indexed > len(m.marks) {
				t.outdate(m) // the index has it as busier than it is
			}
		}
		t.undo = t.undo[:from]
	}
	if t.trying = outer; !outer {
		t.undo = t.undo[:0]
	}
	return keep
}

// Try starts what it can of a request now, and books the rest if asked to.
// For a gang it is all or none.
func (t *Table) Try(r *Request, book bool) Result { return t.attempt(r, book, false) }

// attempt is Try. With strict it may stop as soon as it is found that the
// deadline can't be met: the caller takes back what was marked.
func (t *Table) attempt(r *Request, book, strict bool) Result {
	r.image = t.Image(r.Image)
	t.refresh()
	if r.Gang {
		return t.tryGang(r, book, strict)
	}
	res := Result{Request: r, Viable: true}
	z := newZones(r)
	n := min(r.Tasks, r.Limit, maxStarted)
	now, later := &t.now, &t.any
	now.begin(t, r, z, "", false, false)
	later.stop()
	limit := protocol.Forever
	if strict {
		limit = r.Deadline - r.Length
	}
	searched, searchedImage := false, false
	kept := r.Kept
	for i := 0; i < n; i++ {
		cNow, okNow := now.top()
		switch {
		case !book || i >= maxBooked || searched || len(kept) > 0:
		case !okNow:
			later.begin(t, r, z, "", true, false)
			later.limit = limit
			later.meet(res)
			searched = true
		case cNow.place.Ready > t.Now+patience && !searchedImage:
			// Where a machine is free, a busy one is worth waiting for only if
			// it has the image.
			later.begin(t, r, z, "", true, true)
			later.limit = limit
			later.meet(res)
			searchedImage = true
		}
		var p Place
		cLater, okLater := later.top()
		if okNow && len(kept) > 0 && cNow.place.Ready > kept[0].Ready+patience && t.keeps(r, z, kept[0]) {
			okNow = false // its booking is ready sooner than a fetch that begins now
		}
		switch {
		case okNow && (!okLater || cNow.place.Ready <= cLater.place.Ready+patience):
			p = cNow.place
		case okLater && book && i < maxBooked:
			p = cLater.place
		case !okNow && len(kept) > 0:
			// The booking of the pass before holds if its room is still free.
			p = kept[0]
			kept = kept[1:]
			t.Work += workLook
			if !t.keeps(r, z, p) {
				i-- // that task is found another place when no kept one is left
				continue
			}
		default:
			res.Viable = res.Viable && !later.beyond
			return res
		}
		if p.Begin > t.Now {
			res.Booked = append(res.Booked, p)
		} else {
			res.Start = append(res.Start, p)
		}
		z.add(p.Machine.Zone)
		till := protocol.End(p.Ready, r.Length)
		t.mark(r, p, till)
		now.again(p.Machine)
		later.again(p.Machine)
		if r.Deadline > 0 && till > r.Deadline {
			res.Viable = false
			if strict {
				return res
			}
		}
	}
	return res
}

// keeps reports whether the room of a booking of the pass before is still free.
func (t *Table) keeps(r *Request, z *zones, p Place) bool {
	return p.Begin > t.Now && !p.Machine.Blocked && z.allows(p.Machine.Zone) && r.allows(p.Machine) &&
		p.Machine.fits(r, p.Begin, protocol.End(p.Ready, r.Length))
}

// holdsTill is until when a place that was found for a task is closed to the others of
// its request. The tasks of a gang run at the same time, so one can't have the place
// that another leaves: a gang that its zone had too few machines for was booked on them
// in turns, which never came, and nothing was rented for it, since it had its booking.
func (r *Request) holdsTill(p Place) micros {
	if r.Gang {
		return protocol.Forever
	}
	return protocol.End(p.Ready, r.Length)
}

// stayFor is how much sooner another zone has to be for a gang's booking to move there.
// Machines that were kept free for it are lost with a move, and estimates err by as much:
// a gang of 32 was booked in one zone after the other for minutes and began in none.
const stayFor = 30 * protocol.Second

func (t *Table) tryGang(r *Request, book, strict bool) Result {
	res := Result{Request: r, Viable: true}
	if r.Limit < r.Tasks {
		return res
	}
	var best []Place
	var bestStart micros
	beyond := false
	choose := func(s *search, zone string, later, image bool) {
		limit := bestStart
		if later && r.Stay != "" && zone != r.Stay {
			limit -= stayFor
		}
		var places []Place
		var start micros
		t.try(func() bool {
			z := newZones(r)
			s.begin(t, r, z, zone, later, image)
			if strict && later && !image {
				s.limit = r.Deadline - r.Length
			}
			defer func() { beyond = beyond || s.beyond }()
			if zone != "" {
				z.one = zone
			}
			for i := 0; i < r.Tasks; i++ {
				c, ok := s.top()
				if !ok || best != nil && c.place.Ready >= limit {
					return false // none, or no better than another zone's
				}
				if places == nil {
					places = make([]Place, 0, r.Tasks)
				}
				p := c.place
				t.mark(r, p, r.holdsTill(p))
				z.add(p.Machine.Zone)
				start = max(start, p.Ready)
				places = append(places, p)
				if i+1 < r.Tasks {
					s.again(p.Machine)
				}
			}
			return false
		})
		if len(places) == r.Tasks {
			best, bestStart = places, start
		}
	}
	each := func(do func(zone string)) {
		if one := newZones(r).one; !r.OneZone || r.Tasks == 1 {
			do("")
		} else if one != "" {
			do(one)
		} else if r.Zone != "" {
			do(r.Zone)
		} else {
			if r.Stay != "" {
				do(r.Stay)
			}
			for _, zone := range t.zones {
				if zone != r.Stay {
					do(zone)
				}
			}
		}
	}
	each(func(zone string) { choose(&t.now, zone, false, false) })
	if best != nil && r.Tasks == 1 && bestStart > t.Now+patience {
		// It has to fetch: a machine that is busy but has the image may be
		// ready sooner.
		now, nowStart := best, bestStart
		best = nil
		choose(&t.any, "", true, true)
		if best == nil || nowStart <= bestStart+patience {
			best, bestStart = now, nowStart
		} else if !book {
			return res
		}
	}
	if best == nil && (book || r.Hold) {
		if t.holds(r, r.Kept) {
			best = r.Kept
			for _, p := range best {
				bestStart = max(bestStart, p.Ready)
			}
		} else if book {
			each(func(zone string) { choose(&t.any, zone, true, false) })
		}
	}
	if best == nil {
		res.Viable = !beyond
		return res
	}
	now := true
	for _, p := range best {
		now = now && p.Begin <= t.Now
	}
	till := protocol.End(bestStart, r.Length)
	if r.Deadline > 0 && till > r.Deadline {
		res.Viable = false
		if strict {
			return res
		}
	}
	for _, p := range best {
		if !now && p.Begin <= t.Now {
			// It waits for the others: until then nothing of it is there.
			p.Begin = t.Now + 1
		}
		t.mark(r, p, till)
	}
	if now {
		res.Start = best
	} else {
		res.Booked = best
	}
	return res
}

// holds reports whether a gang's booking of the pass before can be kept.
func (t *Table) holds(r *Request, kept []Place) bool {
	if len(kept) != r.Tasks || len(kept) == 0 {
		return false
	}
	later := false
	for _, p := range kept {
		later = later || p.Begin > t.Now
	}
	if !later {
		return false
	}
	var start micros
	for _, p := range kept {
		start = max(start, p.Ready)
	}
	ok := true
	t.try(func() bool {
		for _, p := range kept {
			ok = ok && !p.Machine.Blocked && r.allows(p.Machine) && p.Machine.fits(r, max(p.Begin, t.Now), protocol.End(start, r.Length))
			t.mark(r, p, protocol.End(start, r.Length))
		}
		return false
	})
	return ok
}

// Next tries one request in its turn. A deadline job whose end fits is booked,
// as is the first job that cannot start now; the others start only where they
// fit without moving a booking (aggressive backfilling).
func (t *Table) Next(r *Request) Result {
	if r.Limit <= 0 {
		// A team at its limit gets no booking this round.
		return Result{Request: r}
	}
	var res Result
	late := false
	if r.Deadline > 0 && t.blocked {
		if r.NoBooking {
			late = true
		} else {
			late = !t.try(func() bool {
				res = t.attempt(r, true, true)
				return res.Viable
			})
		}
		if late {
			res = t.Try(r, false)
			res.Late = !r.NoBooking
		}
	} else {
		// A guest needs no booking: no other plan sees it, so none could move it.
		res = t.Try(r, !t.blocked && !r.Guest)
	}
	if len(res.Booked) > 0 && (r.Deadline == 0 || !res.Viable) && !r.Hold {
		t.blocked = true
	}
	return res
}

// Most tasks of one job that a pass starts, and that it books.
const (
	maxStarted = 256
	maxBooked  = 64
)
