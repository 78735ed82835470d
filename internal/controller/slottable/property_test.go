package slottable

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.MainWithSeed(m, 20261201, 4000) }

// drawnRow is a row of a random table, of which each side makes its own.
type drawnRow struct {
	typ, zone    string
	spot, unheld bool
	blocked      bool
	offer        resources
	from         micros
	penalty      micros
	fetchDone    micros
	images       map[string]micros
	spans        []Span
	rate         int64
}

func (d drawnRow) make(i int) *Machine {
	m := &Machine{
		Name: fmt.Sprintf("n-%03d", i), Type: d.typ, Zone: d.zone, Spot: d.spot, Capacity: d.offer, AvailableFrom: d.from,
		Penalty: d.penalty, Blocked: d.blocked, OnlyOpportunistic: d.unheld, FetchDone: d.fetchDone,
		FetchTime: func(size int64) micros { return micros(size*d.rate) * sec / 1000 },
	}
	for _, s := range d.spans {
		m.Occupy(s)
	}
	return m
}

var drawnTypes = []struct {
	name  string
	offer resources
	rate  int64
}{
	{"small", resources{CPU: 12_000, GPU: 2000, Memory: 48_000}, 1},
	{"large", resources{CPU: 32_000, GPU: 4000, Memory: 128_000}, 2},
	{"plain", resources{CPU: 16_000, Memory: 64_000}, 1},
}

const drawnNow = 100 * sec

func drawRow(rt *rapid.T) drawnRow {
	typ := rapid.SampledFrom(drawnTypes).Draw(rt, "type")
	d := drawnRow{
		typ: typ.name, offer: typ.offer, rate: typ.rate, zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone"),
		spot: rapid.IntRange(0, 3).Draw(rt, "spot") == 0, blocked: rapid.IntRange(0, 9).Draw(rt, "blocked") == 0,
		images: make(map[string]micros),
	}
	if rapid.IntRange(0, 4).Draw(rt, "booting") == 0 {
		d.from = drawnNow + micros(rapid.IntRange(1, 60).Draw(rt, "from"))*sec
	}
	if rapid.IntRange(0, 5).Draw(rt, "slow") == 0 {
		d.penalty = micros(rapid.IntRange(1, 20).Draw(rt, "penalty")) * sec
	}
	for _, name := range []string{"x", "y"} {
		if rapid.IntRange(0, 2).Draw(rt, "image") == 0 {
			d.images[name] = micros(rapid.SampledFrom([]int{0, 0, 104, 130}).Draw(rt, "ready")) * sec
		}
	}
	free := d.offer
	for range rapid.IntRange(0, 5).Draw(rt, "spans") {
		need := resources{
			CPU: int64(rapid.IntRange(1, 9).Draw(rt, "cpu")) * 1000, GPU: int64(rapid.IntRange(0, 2).Draw(rt, "gpu")) * 1000,
			Memory: int64(rapid.IntRange(1, 30).Draw(rt, "mem")) * 1000,
		}
		if d.offer.GPU == 0 {
			need.GPU = 0
		}
		s := Span{
			From: drawnNow, To: drawnNow + micros(rapid.IntRange(1, 200).Draw(rt, "to"))*sec, Resources: need,
			Opportunistic: rapid.IntRange(0, 5).Draw(rt, "guest") == 0,
		}
		if rapid.IntRange(0, 9).Draw(rt, "service") == 0 {
			s.To = protocol.Forever
		}
		if free.Covers(need) {
			free = free.Add(need, -1)
			d.spans = append(d.spans, s)
		}
	}
	d.unheld = !d.spot && len(d.spans) == 0
	return d
}

func drawRequest(rt *rapid.T) Request {
	r := Request{
		Tasks: rapid.IntRange(1, 8).Draw(rt, "tasks"),
		Resources: resources{
			CPU: int64(rapid.IntRange(1, 30).Draw(rt, "cpu")) * 1000, GPU: int64(rapid.IntRange(0, 8).Draw(rt, "gpu")) * 500,
			Memory: int64(rapid.IntRange(1, 100).Draw(rt, "mem")) * 1000,
		},
		Image: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "image"), ImageSize: int64(rapid.SampledFrom([]int{0, 1000, 8000, 20_000}).Draw(rt, "size")),
		Gang: rapid.Bool().Draw(rt, "gang"), SingleZone: rapid.Bool().Draw(rt, "one"), AllowSpot: rapid.Bool().Draw(rt, "spot"),
		Runtime: micros(rapid.SampledFrom([]int{5, 35, 90, 400}).Draw(rt, "length")) * sec,
	}
	r.Limit = r.Tasks
	switch rapid.IntRange(0, 9).Draw(rt, "kind") {
	case 0:
		r.Opportunistic, r.SpareCapacityOnly = true, rapid.Bool().Draw(rt, "frugal")
	case 1:
		r.Zone = "b"
	case 2:
		r.Types = []string{"large"}
	case 3:
		r.MaxPerZone, r.Gang = (r.Tasks+1)/2, false
	case 4:
		r.TasksByZone, r.SingleZone = map[string]int{"a": 1}, true
	case 5:
		r.Avoid = func(name string) bool { return name[len(name)-1] == '3' }
	}
	if rapid.Bool().Draw(rt, "due") {
		r.Deadline = drawnNow + micros(rapid.IntRange(10, 400).Draw(rt, "deadline"))*sec
	}
	return r
}

func describeResult(res Result) string {
	text := fmt.Sprintf("viable=%v late=%v", res.Viable, res.Late)
	for _, list := range [][]Place{res.Start, res.Booked} {
		text += " |"
		for _, p := range list {
			text += fmt.Sprintf(" %s@%d/%d", p.Machine.Name, p.Begin-drawnNow, p.Ready-drawnNow)
		}
	}
	return text
}

// A cycle over any queue finds the very places that a look at every row finds:
// the same machines, times and bookings, and the same rentals after it.
func TestCycleMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, plain := &Table{Now: drawnNow}, &scan{Table: Table{Now: drawnNow}}
		n := rapid.IntRange(0, 30).Draw(rt, "rows")
		for i := range n {
			d := drawRow(rt)
			for _, side := range []*Table{table, &plain.Table} {
				m := d.make(i)
				side.Add(m)
				for _, name := range []string{"x", "y"} {
					if ready, ok := d.images[name]; ok {
						side.AddImage(m, name, ready)
					}
				}
				side.Update(m)
			}
		}
		offers := []*Offer{
			{Type: "small", Zone: "a", Resources: drawnTypes[0].offer, Price: 4, BootTime: 25 * sec, FetchTime: func(size int64) micros { return micros(size) * sec / 1000 }, Limit: 3},
			{Type: "large", Zone: "b", Spot: true, Resources: drawnTypes[1].offer, Price: 5, BootTime: 35 * sec, FetchTime: func(size int64) micros { return micros(2*size) * sec / 1000 }, Limit: 3},
		}
		for pass := range rapid.IntRange(1, 2).Draw(rt, "passes") {
			table.Begin()
			plain.start()
			var mine, theirs []*Request
			for i := range rapid.IntRange(1, 12).Draw(rt, "requests") {
				a := drawRequest(rt)
				b := a
				x, y := table.Next(&a), plain.Next(&b)
				if x.Late && !y.Late && len(y.Start)+len(y.Booked) < b.Tasks {
					// The one difference: the scan finds that a job can't be
					// served whole at any time, and keeps what it has found;
					// the search stops where the deadline can't be met.
					return
				}
				if got, want := describeResult(x), describeResult(y); got != want {
					rt.Fatalf("pass %d, request %d of %+v:\n got %s\nwant %s", pass, i, a, got, want)
				}
				a.Tasks -= len(x.Start) + len(x.Booked)
				b.Tasks = a.Tasks
				a.Limit, b.Limit = a.Tasks, a.Tasks
				if a.Tasks > 0 {
					mine, theirs = append(mine, &a), append(theirs, &b)
				}
			}
			got, needed := table.Rent(mine, offers, 3*sec, 5, 1_000_000)
			want, wanted := plain.Rent(theirs, offers, 3*sec, 5, 1_000_000)
			if fmt.Sprint(got) != fmt.Sprint(want) || len(needed) != len(wanted) {
				rt.Fatalf("rents %v for %d, want %v for %d", got, len(needed), want, len(wanted))
			}
			for i := range needed {
				if needed[i].Name != wanted[i].Name {
					rt.Fatalf("needs %s, want %s", needed[i].Name, wanted[i].Name)
				}
			}
			checkIndex(rt, table)
		}
	})
}

// checkIndex finds rows that the index has as busier than they are, and those
// that it should know exactly and does not.
func checkIndex(rt *rapid.T, t *Table) {
	t.refresh()
	for _, m := range t.machines {
		var e entry
		t.describe(m, &e)
		have := m.entry
		for _, h := range have.images {
			if h.at > have.at[1] || !slices.Contains(t.imageHolders[h.image], indexedRow{h.at, m}) {
				rt.Fatalf("the holders of %d have %s at %d, it is free at %d", h.image, m.Name, h.at, have.at[1])
			}
		}
		for l := range e.at {
			if have.at[l] > e.at[l] || !m.behind() && have.at[l] != e.at[l] {
				rt.Fatalf("the index has level %d of %s free from %d on, it is from %d on", l, m.Name, have.at[l], e.at[l])
			}
		}
		if have.shelf < e.shelf || !m.behind() && (have.shelf != e.shelf || have.free != e.free) || have.preemptibleShelf != e.preemptibleShelf || have.group != e.group {
			rt.Fatalf("the index has %s as %+v, it is %+v", m.Name, have, e)
		}
	}
	for _, g := range t.groupList {
		checkRowsAreKnown(rt, t, g)
	}
	if len(t.trialMarks) > 0 {
		rt.Fatalf("%d marks left", len(t.trialMarks))
	}
}

// checkRowsAreKnown checks that a group has only rows of the table: those of machines that a
// plan would rent must not stay.
func checkRowsAreKnown(rt *rapid.T, t *Table, g *group) {
	var lists [][]indexedRow
	for level := range g.shelves {
		lists = append(lists, g.shelves[level].rows, g.preemptibleShelves[level].rows, g.laterByLevel[level])
	}
	for _, row := range slices.Concat(lists...) {
		if !slices.Contains(t.machines, row.machine) {
			rt.Fatalf("the index has %s, which is not in the table", row.machine.Name)
		}
	}
}
