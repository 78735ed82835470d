// Package slottable plans: machines by time, from estimates of run times. It
// is pure; what it is given it does not keep.
//
// It follows Haizea's slot table (Sotomayor, Keahey, Foster, HPDC 2008, section
// 3.2): a task's start on a machine is the later of image readiness and free
// room, a job takes the machines with the earliest such starts, and later jobs
// start only where no booking moves.
package slottable

import (
	"sort"

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
}

// Machine is one row of the table.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
	Offer            resources
	From             micros            // nothing starts before
	Images           map[string]micros // when each known image is ready
	FetchDone        micros            // when the fetches under way end
	Fetch            func(size int64) micros
	Penalty          micros // how much later another machine may be and still be preferred
	Blocked          bool   // no task may start, but what runs takes room
	spans            []Span
	Taken            int // spans added by plans of this round
}

// Occupy marks a span.
func (m *Machine) Occupy(s Span) { m.spans = append(m.spans, s) }

// clone copies the row, so that a later pass may mark it freely.
func (m *Machine) clone() *Machine {
	c := *m
	c.spans = append([]Span(nil), m.spans...)
	c.Images = make(map[string]micros, len(m.Images))
	for k, v := range m.Images {
		c.Images[k] = v
	}
	return &c
}

// fits reports whether need is free during [from, to).
func (m *Machine) fits(need resources, from, to micros) bool {
	if !m.freeAt(need, from) {
		return false
	}
	for i := range m.spans {
		if s := m.spans[i].From; s > from && s < to && !m.freeAt(need, s) {
			return false
		}
	}
	return true
}

func (m *Machine) freeAt(need resources, at micros) bool {
	used := need
	for i := range m.spans {
		if s := &m.spans[i]; s.From <= at && at < s.To {
			used = used.Add(s.Need, 1)
		}
	}
	return m.Offer.Holds(used)
}

// room is the earliest time from after on at which need is free for length.
func (m *Machine) room(need resources, after, length micros) (micros, bool) {
	if !m.Offer.Holds(need) || m.Blocked {
		return 0, false
	}
	after = max(after, m.From)
	if m.fits(need, after, protocol.End(after, length)) {
		return after, true
	}
	starts := make([]micros, 0, len(m.spans))
	for i := range m.spans {
		if t := m.spans[i].To; t > after && t < protocol.Forever {
			starts = append(starts, t)
		}
	}
	sort.Slice(starts, func(a, b int) bool { return starts[a] < starts[b] })
	for i, t := range starts {
		if i > 0 && t == starts[i-1] {
			continue
		}
		if m.fits(need, t, protocol.End(t, length)) {
			return t, true
		}
	}
	return 0, false
}

// fetch is how long the image takes to be ready if a task is put on the
// machine at the given time. A machine shares its rate among its fetches.
func (m *Machine) fetch(at micros, image string, size int64) micros {
	if ready, ok := m.Images[image]; ok {
		return max(0, ready-at)
	}
	return max(0, m.FetchDone-at)/2 + m.Fetch(size)
}

// Request is a job, as far as it still needs places.
type Request struct {
	Tag       int
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
	Prefer    string // machine on which room was made for it
	Spare     bool   // room to keep, not work
	Patient   micros // no machine is rented for what is ready by then
}

func (r *Request) allows(m *Machine) bool {
	if m.Spot && !r.Spot {
		return false
	}
	if r.Zone != "" && r.Zone != m.Zone {
		return false
	}
	if r.Types != nil {
		ok := false
		for _, t := range r.Types {
			ok = ok || t == m.Type
		}
		if !ok {
			return false
		}
	}
	return r.Avoid == nil || !r.Avoid(m.Name)
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
}

// Table is the slot table of one round.
type Table struct {
	Now      micros
	Machines []*Machine
}

// Clone copies the table.
func (t *Table) Clone() *Table {
	c := &Table{Now: t.Now}
	for _, m := range t.Machines {
		c.Machines = append(c.Machines, m.clone())
	}
	return c
}

// zones counts a request's tasks by zone while places are chosen.
type zones struct {
	r     *Request
	count map[string]int
	one   string
}

func newZones(r *Request) *zones {
	z := &zones{r: r, count: make(map[string]int, len(r.ZoneUsed))}
	for name, n := range r.ZoneUsed {
		z.count[name] = n
		if n > 0 {
			z.one = name
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
	z.count[name]++
	z.one = name
}

// patience is how much earlier a busy machine must be ready before a task
// waits for it rather than starting its fetch on a free one at once.
const patience = 2 * protocol.Second

// best finds the place with the earliest readiness for one task.
func (t *Table) best(r *Request, z *zones, onlyNow bool) (Place, bool) {
	var found, now Place
	var ok, okNow bool
	var cost, costNow micros
	for _, m := range t.Machines {
		if m.Blocked || !r.allows(m) || !z.allows(m.Zone) {
			continue
		}
		length := protocol.End(m.fetch(t.Now, r.Image, r.ImageSize), r.Length)
		var at micros
		if onlyNow {
			if m.From > t.Now || !m.Offer.Holds(r.Need) || !m.fits(r.Need, t.Now, protocol.End(t.Now, length)) {
				continue
			}
			at = t.Now
		} else {
			var free bool
			if at, free = m.room(r.Need, t.Now, length); !free {
				continue
			}
		}
		p := Place{m, at, at + m.fetch(at, r.Image, r.ImageSize)}
		c := p.Ready + m.Penalty + t.waste(r, m)
		if !ok || c < cost {
			found, cost, ok = p, c, true
		}
		if at == t.Now && r.Prefer == m.Name {
			return p, true
		}
		if at == t.Now && (!okNow || c < costNow) {
			now, costNow, okNow = p, c, true
		}
	}
	if okNow && now.Ready <= found.Ready+patience {
		return now, true
	}
	return found, ok
}

// waste makes a task prefer the machine that it leaves least broken up: a
// larger machine, or a free one, is kept for what needs it.
func (t *Table) waste(r *Request, m *Machine) micros {
	left := m.Offer
	for i := range m.spans {
		if s := &m.spans[i]; s.From <= t.Now && t.Now < s.To {
			left = left.Add(s.Need, -1)
		}
	}
	w := micros(left.Times(r.Need)) * 300 * protocol.Millisecond
	w = min(w, 5*protocol.Second)
	if r.Spot && !m.Spot {
		// Spot machines are of use to few; the others are kept for the rest.
		w += 6 * protocol.Second
	}
	return w
}

func (t *Table) mark(r *Request, p Place, till micros) {
	p.Machine.Occupy(Span{p.Begin, till, r.Need})
	p.Machine.Taken++
	if _, ok := p.Machine.Images[r.Image]; !ok {
		p.Machine.Images[r.Image] = p.Ready
		p.Machine.FetchDone = max(p.Machine.FetchDone, p.Ready)
	}
}

// Try starts what it can of a request now, and books the rest if asked to.
// For a gang it is all or none.
func (t *Table) Try(r *Request, book bool, most int) Result {
	if r.Gang {
		return t.tryGang(r, book)
	}
	res := Result{Request: r, Viable: true}
	z := newZones(r)
	n := min(r.Tasks, most)
	limit := r.Limit
	onlyNow := false
	for i := 0; i < n; i++ {
		if limit <= 0 {
			break
		}
		p, ok := t.best(r, z, onlyNow)
		if !ok {
			break
		}
		if p.Begin > t.Now {
			if !book {
				// Only a place that is free now is of use to a job that may not
				// be booked; image readiness still chose among all.
				if onlyNow {
					break
				}
				onlyNow = true
				i--
				continue
			}
			res.Booked = append(res.Booked, p)
		} else {
			res.Start = append(res.Start, p)
		}
		limit--
		z.add(p.Machine.Zone)
		t.mark(r, p, protocol.End(p.Ready, r.Length))
		if r.Deadline > 0 && protocol.End(p.Ready, r.Length) > r.Deadline {
			res.Viable = false
		}
	}
	return res
}

func (t *Table) tryGang(r *Request, book bool) Result {
	res := Result{Request: r, Viable: true}
	if r.Limit < r.Tasks {
		return res
	}
	choose := func(zone string) ([]Place, micros) {
		trial := t.Clone()
		z := newZones(r)
		if zone != "" {
			z.one = zone
		}
		var places []Place
		var start micros
		for i := 0; i < r.Tasks; i++ {
			p, ok := trial.best(r, z, false)
			if !ok {
				return nil, 0
			}
			trial.mark(r, p, protocol.End(p.Ready, r.Length))
			z.add(p.Machine.Zone)
			start = max(start, p.Ready)
			places = append(places, p)
		}
		return places, start
	}
	var places []Place
	var start micros
	if r.OneZone && r.Tasks > 1 && newZones(r).one == "" {
		seen := map[string]bool{}
		for _, m := range t.Machines {
			if seen[m.Zone] {
				continue
			}
			seen[m.Zone] = true
			if ps, s := choose(m.Zone); ps != nil && (places == nil || s < start) {
				places, start = ps, s
			}
		}
	} else if r.Tasks == 1 {
		if p, ok := t.best(r, newZones(r), false); ok {
			places, start = []Place{p}, p.Ready
		}
	} else {
		places, start = choose("")
	}
	if places == nil {
		return res
	}
	now := true
	byName := make(map[string]*Machine, len(t.Machines))
	for _, m := range t.Machines {
		byName[m.Name] = m
	}
	for i := range places {
		places[i].Machine = byName[places[i].Machine.Name]
		now = now && places[i].Begin <= t.Now
	}
	if !now && !book {
		return res
	}
	till := protocol.End(start, r.Length)
	for _, p := range places {
		t.mark(r, p, till)
	}
	if r.Deadline > 0 && till > r.Deadline {
		res.Viable = false
	}
	if now {
		res.Start = places
	} else {
		res.Booked = places
	}
	return res
}

// Plan tries the requests in order. A deadline job whose end fits is booked,
// as is the first job that cannot start now; the others start only where they
// fit without moving a booking (aggressive backfilling). before is called ahead
// of each request, so that its limit counts what the ones before it took.
func (t *Table) Plan(requests []*Request, before func(*Request), after func(Result)) {
	blocked := false
	for _, r := range requests {
		before(r)
		if r.Limit <= 0 {
			// A team at its limit gets no booking this round.
			after(Result{Request: r})
			continue
		}
		book := !blocked
		if r.Deadline > 0 && !book {
			book = t.Clone().Try(r, true, maxBooked).Viable
		}
		res := t.Try(r, book, maxBooked)
		if len(res.Booked) > 0 && (r.Deadline == 0 || !res.Viable) {
			blocked = true
		}
		after(res)
	}
}

// maxBooked bounds the tasks of one job that a round looks at.
const maxBooked = 64
