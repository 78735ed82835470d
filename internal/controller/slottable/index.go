package slottable

import (
	"slices"
	"sort"

	"mapleslip/internal/protocol"
)

// The index finds the best places without a look at every row. Rows are kept
// in groups that are alike in all that a request may exclude, and in a group by
// how much is free: on shelves by what is free now, and in lists by the time
// from which a level is free. What the index says of a row is never worse than
// the row: a search may take it as a bound and looks at rows in its order until
// no other can win. See docs/slot-table.md.

// maxLevel is the highest level that the index tells apart. A level is a number
// of whole GPUs; level 0 asks for none.
const maxLevel = 8

// levelOf is the level that a row has to have for a request.
func levelOf(need resources) int { return int(min(need.GPU/1000, maxLevel)) }

// slot is a row in a list, with a bound on when it is of use.
type slot struct {
	at micros
	m  *Machine
}

func (s slot) before(o slot) bool { return s.at < o.at || s.at == o.at && s.m.order < o.m.order }

// groupKey is what rows of a group have in common.
type groupKey struct {
	typ, zone    string
	spot, unheld bool
}

// group is rows that a request allows or excludes alike.
type group struct {
	groupKey
	offer   resources // the most that one of its rows has
	fetch   func(size int64) micros
	shelves [maxLevel + 1]shelf  // rows with room now, by what is free
	later   [maxLevel + 1][]slot // rows by the time from which a level is free
	makes   [maxLevel + 1]shelf  // rows by what is free if all gives way that may
}

// shelf is rows of one level in their order, with bounds on what they have free
// beside it: no row has more than most, none less than least. The bounds are
// drawn in when a search has gone through the whole shelf in vain.
type shelf struct {
	rows        []slot
	most, least resources
}

func (s *shelf) insert(m *Machine, free resources) {
	if len(s.rows) == 0 {
		s.most, s.least = free, free
	}
	s.widen(free)
	s.rows = insertSlot(s.rows, slot{0, m})
}

// widen has the bounds hold for a row.
func (s *shelf) widen(free resources) {
	s.most = atLeast(s.most, free)
	s.least = resources{CPU: min(s.least.CPU, free.CPU), GPU: min(s.least.GPU, free.GPU), Memory: min(s.least.Memory, free.Memory)}
}

// atLeast is the least amount that holds both.
func atLeast(a, b resources) resources {
	return resources{CPU: max(a.CPU, b.CPU), GPU: max(a.GPU, b.GPU), Memory: max(a.Memory, b.Memory)}
}

// reshelve takes a row from one shelf to another; -1 is none.
func reshelve(shelves *[maxLevel + 1]shelf, m *Machine, from, to int, free resources) {
	if from >= 0 {
		shelves[from].rows = removeSlot(shelves[from].rows, slot{0, m})
	}
	if to >= 0 {
		shelves[to].insert(m, free)
	}
}

func insertSlot(list []slot, s slot) []slot {
	i := sort.Search(len(list), func(i int) bool { return s.before(list[i]) })
	return slices.Insert(list, i, s)
}

func removeSlot(list []slot, s slot) []slot {
	i := sort.Search(len(list), func(i int) bool { return !list[i].before(s) })
	if i < len(list) && list[i].m == s.m {
		return slices.Delete(list, i, i+1)
	}
	panic("slottable: a row is not where the index has it")
}

// moveSlot brings a row of a list to where it belongs, and moves only what lies
// between: mostly little does.
func moveSlot(list []slot, from, to slot) {
	i := sort.Search(len(list), func(i int) bool { return !list[i].before(from) })
	if i == len(list) || list[i].m != from.m {
		panic("slottable: a row is not where the index has it")
	}
	if from.before(to) {
		j := i + sort.Search(len(list)-i-1, func(k int) bool { return to.before(list[i+1+k]) })
		copy(list[i:j], list[i+1:j+1])
		list[j] = to
		return
	}
	j := sort.Search(i, func(k int) bool { return to.before(list[k]) })
	copy(list[j+1:i+1], list[j:i])
	list[j] = to
}

// entry is where the index has a row.
type entry struct {
	group *group
	free  resources            // on the shelf
	makes resources            // on the shelf of what could be made
	shelf int                  // -1: none
	made  int                  // -1: none
	at    [maxLevel + 1]micros // Forever: not in that list
	held  []heldImage          // for which it is among the holders, by number
}

// clear says that a row is in no group.
func (e *entry) clear() {
	e.group, e.shelf, e.made = nil, -1, -1
	for l := range e.at {
		e.at[l] = protocol.Forever
	}
}

// heldImage is an image and where its list of holders has the row.
type heldImage struct {
	image int32
	at    micros
}

// index brings the index up to date with one row.
func (t *Table) index(m *Machine) {
	m.stale, m.indexed = false, len(m.marks)
	var e entry
	t.describe(m, &e)
	was := &m.entry
	if was.group != e.group {
		t.unindex(m)
		was.group = e.group
	}
	if g := e.group; g != nil {
		if was.shelf != e.shelf || was.free != e.free {
			reshelve(&g.shelves, m, was.shelf, e.shelf, e.free)
			was.shelf, was.free = e.shelf, e.free
		}
		if was.made != e.made || was.makes != e.makes {
			reshelve(&g.makes, m, was.made, e.made, e.makes)
			was.made, was.makes = e.made, e.makes
		}
		for l := range e.at {
			if was.at[l] == e.at[l] {
				continue
			}
			from, to := slot{was.at[l], m}, slot{e.at[l], m}
			switch {
			case from.at >= protocol.Forever:
				g.later[l] = insertSlot(g.later[l], to)
			case to.at >= protocol.Forever:
				g.later[l] = removeSlot(g.later[l], from)
			default:
				moveSlot(g.later[l], from, to)
			}
			was.at[l] = e.at[l]
		}
	}
	t.hold(m)
}

// behind reports whether marks were put on a row that the index does not know.
// It is then as free as the index has it, or less: the index needs to follow only
// where a search comes by the row.
func (m *Machine) behind() bool { return m.indexed != len(m.marks) }

// unindex takes a row out of its group.
func (t *Table) unindex(m *Machine) {
	e := &m.entry
	if g := e.group; g != nil {
		reshelve(&g.shelves, m, e.shelf, -1, resources{})
		reshelve(&g.makes, m, e.made, -1, resources{})
		for l, at := range e.at {
			if at < protocol.Forever {
				g.later[l] = removeSlot(g.later[l], slot{at, m})
			}
		}
	}
	e.clear()
}

// describe says where a row belongs. A row that may take nothing is in no group.
func (t *Table) describe(m *Machine, e *entry) {
	e.clear()
	if m.Blocked {
		return
	}
	e.group = t.groupOf(m)
	if m.From <= t.Now && (m.free.CPU > 0 || m.Offer.CPU == 0) {
		e.shelf = int(max(0, min(m.free.GPU/1000, maxLevel)))
		e.free = m.free
	}
	if m.Makes.CPU > 0 || m.Makes.GPU > 0 {
		e.made = int(max(0, min(m.Makes.GPU/1000, maxLevel)))
		e.makes = m.Makes
	}
	top := int(min(m.Offer.GPU/1000, maxLevel))
	least := micros(0)
	if m.From > t.Now {
		least = m.From
	}
	level := 0
	if m.free.CPU <= 0 && m.Offer.CPU > 0 && len(m.profile) > 1 {
		e.at[0] = protocol.Forever
	} else {
		e.at[0], level = least, 1
	}
	for i := m.profile.at(max(m.From, t.Now)); i < len(m.profile) && level <= top; i++ {
		s := &m.profile[i]
		at := max(s.at, least)
		if s.at <= t.Now {
			at = least
		}
		if level == 0 {
			if s.free.CPU <= 0 {
				continue
			}
			e.at[0], level = at, 1
		}
		for ; level <= top && s.free.GPU >= int64(level)*1000; level++ {
			e.at[level] = at
		}
	}
}

func (t *Table) groupOf(m *Machine) *group {
	key := groupKey{m.Type, m.Zone, m.Spot, m.Unheld}
	if g := m.entry.group; g != nil && g.groupKey == key {
		return g
	}
	g := t.groups[key]
	if g == nil {
		if t.groups == nil {
			t.groups = make(map[groupKey]*group)
		}
		g = &group{groupKey: key, fetch: m.Fetch}
		t.groups[key] = g
		t.zone(m.Zone)
		t.byZone[m.Zone] = append(t.byZone[m.Zone], g)
		t.all = append(t.all, g)
	}
	g.fetch = m.Fetch // rows are made anew when what is known of their type changes
	g.offer = atLeast(g.offer, m.Offer)
	return g
}

// zone notes a zone: gangs that have to be in one try them in the order in which
// they were first seen.
func (t *Table) zone(name string) {
	if _, known := t.byZone[name]; known {
		return
	}
	if t.byZone == nil {
		t.byZone = make(map[string][]*group)
	}
	t.byZone[name] = nil
	t.zones = append(t.zones, name)
}

// hold keeps the lists of the rows that have an image, or will have it, by the
// time from which they have a whole GPU free, or a bound on it: a row that gets
// busier stays where it is until a search comes by it, since most lists that it
// is in are not searched before that changes again.
func (t *Table) hold(m *Machine) {
	t.ids32 = t.ids32[:0]
	if m.entry.group != nil {
		for i := range m.images {
			t.ids32 = append(t.ids32, m.images[i].image)
		}
		for i := range m.marks {
			if id := m.marks[i].image; id >= 0 {
				t.ids32 = append(t.ids32, id)
			}
		}
		slices.Sort(t.ids32)
		t.ids32 = slices.Compact(t.ids32)
	}
	at := m.entry.at[1]
	same := len(t.ids32) == len(m.entry.held)
	for i := range m.entry.held {
		h := &m.entry.held[i]
		if same && h.image != t.ids32[i] {
			same = false
		}
		if h.at > at {
			t.moveHolder(m, h, at)
		}
	}
	if same {
		return
	}
	held := make([]heldImage, 0, len(t.ids32))
	was := m.entry.held
	for _, id := range t.ids32 {
		for len(was) > 0 && was[0].image < id {
			t.holders[was[0].image] = removeSlot(t.holders[was[0].image], slot{was[0].at, m})
			was = was[1:]
		}
		if len(was) > 0 && was[0].image == id {
			held = append(held, was[0])
			was = was[1:]
			continue
		}
		for int(id) >= len(t.holders) {
			t.holders = append(t.holders, nil)
		}
		t.holders[id] = insertSlot(t.holders[id], slot{at, m})
		held = append(held, heldImage{id, at})
	}
	for _, h := range was {
		t.holders[h.image] = removeSlot(t.holders[h.image], slot{h.at, m})
	}
	m.entry.held = held
}

func (t *Table) moveHolder(m *Machine, h *heldImage, at micros) {
	moveSlot(t.holders[h.image], slot{h.at, m}, slot{at, m})
	h.at = at
}

// late is a holder that a search found busier than its list has it.
type late struct {
	m     *Machine
	image int32
}

// outdate notes that the index has to be brought up to date with a row before
// the next search begins.
func (t *Table) outdate(m *Machine) {
	if !m.stale {
		m.stale = true
		t.stale = append(t.stale, m)
	}
}

// refresh brings the index up to date. It must not be called while a search
// goes through it.
func (t *Table) refresh() {
	for _, m := range t.stale {
		if m.stale && m.in {
			t.index(m)
		}
		m.stale = false
	}
	t.stale = t.stale[:0]
	for _, l := range t.late {
		for i := range l.m.entry.held {
			if h := &l.m.entry.held[i]; h.image == l.image && h.at < l.m.entry.at[1] {
				t.moveHolder(l.m, h, l.m.entry.at[1])
			}
		}
	}
	t.late = t.late[:0]
}

// Add takes a row into the table. Between places of equal cost the row that was
// added first is taken.
func (t *Table) Add(m *Machine) {
	t.zone(m.Zone)
	t.take(m)
	m.pos = len(t.machines)
	t.machines = append(t.machines, m)
}

// take has the index know a row from the next search on.
func (t *Table) take(m *Machine) {
	t.added++
	m.order, m.in = t.added, true
	m.entry.clear()
	t.outdate(m)
}

// Remove takes a row out of the table.
func (t *Table) Remove(m *Machine) {
	if !m.in {
		return
	}
	last := t.machines[len(t.machines)-1]
	t.machines[m.pos], last.pos = last, m.pos
	t.machines = t.machines[:len(t.machines)-1]
	t.drop(m)
}

func (t *Table) drop(m *Machine) {
	t.unindex(m)
	t.hold(m)
	m.in = false
}

// Making visits rows on which n of a request's tasks would have room if all gave
// way that may: in each zone those that have the image first if there are fewer of
// them, then the others in their order. Of a zone no more are visited once visit has
// said of most rows that they count. The rows are as they were when they were filled.
func (t *Table) Making(r *Request, n, most int, visit func(m *Machine) (counts bool)) {
	t.refresh()
	need := resources{}.Add(r.Need, int64(n))
	level := levelOf(need)
	counted := make(map[string]int, len(t.zones))
	t.stamps++
	stamp := t.stamps
	open := 0 // zones that are not full
	for _, zone := range t.zones {
		if r.Zone == "" || r.Zone == zone {
			open++
		}
	}
	look := func(m *Machine) {
		if m.seen[0] == stamp || !m.Makes.Covers(need) {
			return
		}
		m.seen[0] = stamp
		if visit(m) {
			if counted[m.Zone]++; counted[m.Zone] == most {
				open--
			}
		}
	}
	cursors := t.walk[:0]
	rows := 0
	for _, g := range t.all {
		if !g.suits(r) || !g.offer.Covers(need) {
			continue
		}
		t.Work += workLook
		for l := level; l <= maxLevel; l++ {
			if s := &g.makes[l]; len(s.rows) > 0 && s.most.Covers(need) {
				cursors = append(cursors, cursor{list: s.rows})
				rows += len(s.rows)
			}
		}
	}
	if id := int(t.Image(r.Image)); id < len(t.holders) && len(t.holders[id]) < rows {
		for _, s := range t.holders[id] {
			t.Work += workLook
			if open == 0 {
				break
			}
			if g := s.m.entry.group; g != nil && s.m.entry.made >= level && g.suits(r) && counted[g.zone] < most {
				look(s.m)
			}
		}
	}
	initHeap(cursors)
	for len(cursors) > 0 && open > 0 {
		m := cursors[0].list[0].m
		if cursors[0].list = cursors[0].list[1:]; len(cursors[0].list) == 0 || counted[m.Zone] >= most {
			cursors = popHeap(cursors)
		} else {
			down(cursors, 0)
		}
		t.Work += workLook
		if counted[m.Zone] < most {
			look(m)
		}
	}
	t.walk = cursors[:0]
}

// extra is what a place on a row of the group costs beside its time, whatever is
// free there; see waste.
func (g *group) extra(r *Request) micros {
	if r.Spot && !g.spot && r.Need.GPU > 0 {
		return wasteSpot
	}
	return 0
}

// suits reports whether a request allows the rows of a group, but for how much
// they have.
func (g *group) suits(r *Request) bool {
	if g.spot && !r.Spot || g.unheld && r.Frugal {
		return false
	}
	return (r.Zone == "" || r.Zone == g.zone) && allowsType(r.Types, g.typ)
}
