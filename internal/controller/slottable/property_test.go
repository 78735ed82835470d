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

// drawnRow is a row of a random table. The table and the reference each make their own copy.
type drawnRow struct {
	machineType, zone       string
	spot, onlyOpportunistic bool
	blocked                 bool
	capacity                resources
	availableFrom           micros
	penalty                 micros
	fetchDone               micros
	images                  map[string]micros
	spans                   []Span
	fetchMillisPerUnit      int64
}

func (d drawnRow) make(i int) *Machine {
	m := &Machine{
		Name: fmt.Sprintf("n-%03d", i), Type: d.machineType, Zone: d.zone, Spot: d.spot, Capacity: d.capacity, AvailableFrom: d.availableFrom,
		Penalty: d.penalty, Blocked: d.blocked, OnlyOpportunistic: d.onlyOpportunistic, FetchDone: d.fetchDone,
		FetchTime: func(size int64) micros { return micros(size*d.fetchMillisPerUnit) * sec / 1000 },
	}
	for _, s := range d.spans {
		m.Occupy(s)
	}
	return m
}

var drawnTypes = []struct {
	name               string
	capacity           resources
	fetchMillisPerUnit int64
}{
	{"small", resources{CPU: 12_000, GPU: 2000, Memory: 48_000}, 1},
	{"large", resources{CPU: 32_000, GPU: 4000, Memory: 128_000}, 2},
	{"plain", resources{CPU: 16_000, Memory: 64_000}, 1},
}

const drawnNow = 100 * sec

func drawRow(rt *rapid.T) drawnRow {
	typ := rapid.SampledFrom(drawnTypes).Draw(rt, "type")
	d := drawnRow{
		machineType: typ.name, capacity: typ.capacity, fetchMillisPerUnit: typ.fetchMillisPerUnit, zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone"),
		spot: rapid.IntRange(0, 3).Draw(rt, "spot") == 0, blocked: rapid.IntRange(0, 9).Draw(rt, "blocked") == 0,
		images: make(map[string]micros),
	}
	if rapid.IntRange(0, 4).Draw(rt, "booting") == 0 {
		d.availableFrom = drawnNow + micros(rapid.IntRange(1, 60).Draw(rt, "from"))*sec
	}
	if rapid.IntRange(0, 5).Draw(rt, "slow") == 0 {
		d.penalty = micros(rapid.IntRange(1, 20).Draw(rt, "penalty")) * sec
	}
	for _, name := range []string{"x", "y"} {
		if rapid.IntRange(0, 2).Draw(rt, "image") == 0 {
			d.images[name] = micros(rapid.SampledFrom([]int{0, 0, 104, 130}).Draw(rt, "ready")) * sec
		}
	}
	free := d.capacity
	for range rapid.IntRange(0, 5).Draw(rt, "spans") {
		need := resources{
			CPU: int64(rapid.IntRange(1, 9).Draw(rt, "cpu")) * 1000, GPU: int64(rapid.IntRange(0, 2).Draw(rt, "gpu")) * 1000,
			Memory: int64(rapid.IntRange(1, 30).Draw(rt, "mem")) * 1000,
		}
		if d.capacity.GPU == 0 {
			need.GPU = 0
		}
		s := Span{
			From: drawnNow, To: drawnNow + micros(rapid.IntRange(1, 200).Draw(rt, "to"))*sec, Resources: need,
			Opportunistic: rapid.IntRange(0, 5).Draw(rt, "opportunistic") == 0,
		}
		if rapid.IntRange(0, 9).Draw(rt, "service") == 0 {
			s.To = protocol.Forever
		}
		if free.Covers(need) {
			free = free.Add(need, -1)
			d.spans = append(d.spans, s)
		}
	}
	d.onlyOpportunistic = !d.spot && len(d.spans) == 0
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
		Gang: rapid.Bool().Draw(rt, "gang"), SingleZone: rapid.Bool().Draw(rt, "single zone"), AllowSpot: rapid.Bool().Draw(rt, "spot"),
		Runtime: micros(rapid.SampledFrom([]int{5, 35, 90, 400}).Draw(rt, "length")) * sec,
	}
	r.Limit = r.Tasks
	switch rapid.IntRange(0, 9).Draw(rt, "kind") {
	case 0:
		r.Opportunistic, r.SpareCapacityOnly = true, rapid.Bool().Draw(rt, "spare capacity only")
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
	if rapid.Bool().Draw(rt, "has deadline") {
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

// A cycle over any queue finds the same places as a search of every row: the same machines, times
// and bookings, and then the same rentals.
func TestCycleMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, reference := &Table{Now: drawnNow}, &referenceTable{Table: Table{Now: drawnNow}}
		n := rapid.IntRange(0, 30).Draw(rt, "rows")
		for i := range n {
			d := drawRow(rt)
			for _, side := range []*Table{table, &reference.Table} {
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
			{Type: "small", Zone: "a", Resources: drawnTypes[0].capacity, Price: 4, BootTime: 25 * sec, FetchTime: func(size int64) micros { return micros(size) * sec / 1000 }, Limit: 3},
			{Type: "large", Zone: "b", Spot: true, Resources: drawnTypes[1].capacity, Price: 5, BootTime: 35 * sec, FetchTime: func(size int64) micros { return micros(2*size) * sec / 1000 }, Limit: 3},
		}
		for cycle := range rapid.IntRange(1, 2).Draw(rt, "passes") {
			table.Begin()
			reference.beginCycle()
			var requests, referenceRequests []*Request
			for i := range rapid.IntRange(1, 12).Draw(rt, "requests") {
				request := drawRequest(rt)
				referenceRequest := request
				res, referenceRes := table.Schedule(&request), reference.Schedule(&referenceRequest)
				if res.Late && !referenceRes.Late && len(referenceRes.Start)+len(referenceRes.Booked) < referenceRequest.Tasks {
					// The only permitted difference: the reference finds that not all tasks can be
					// placed at any time, and keeps the places it has found; the table's search
					// stops when the deadline can't be met.
					return
				}
				if got, want := describeResult(res), describeResult(referenceRes); got != want {
					rt.Fatalf("cycle %d, request %d, %+v:\n got %s\nwant %s", cycle, i, request, got, want)
				}
				request.Tasks -= len(res.Start) + len(res.Booked)
				referenceRequest.Tasks = request.Tasks
				request.Limit, referenceRequest.Limit = request.Tasks, request.Tasks
				if request.Tasks > 0 {
					requests, referenceRequests = append(requests, &request), append(referenceRequests, &referenceRequest)
				}
			}
			got, needed := table.Rent(requests, offers, 3*sec, 5, 1_000_000)
			want, wanted := reference.Rent(referenceRequests, offers, 3*sec, 5, 1_000_000)
			if fmt.Sprint(got) != fmt.Sprint(want) || len(needed) != len(wanted) {
				rt.Fatalf("got rentals %v and %d needed rows, want %v and %d", got, len(needed), want, len(wanted))
			}
			for i := range needed {
				if needed[i].Name != wanted[i].Name {
					rt.Fatalf("got needed row %s, want %s", needed[i].Name, wanted[i].Name)
				}
			}
			checkIndex(rt, table)
		}
	})
}

// checkIndex checks that the index has no row as busier than it is, and has rows without unindexed
// marks exactly as they are.
func checkIndex(rt *rapid.T, t *Table) {
	t.refreshIndex()
	for _, m := range t.machines {
		var e indexEntry
		t.computeEntry(m, &e)
		indexed := m.entry
		for _, h := range indexed.images {
			if h.freeFrom > indexed.freeFrom[1] || !slices.Contains(t.imageHolders[h.imageID], indexedRow{h.freeFrom, m}) {
				rt.Fatalf("holder list of image %d: row %s is recorded as free from %d on, its index entry has %d", h.imageID, m.Name, h.freeFrom, indexed.freeFrom[1])
			}
		}
		for l := range e.freeFrom {
			if indexed.freeFrom[l] > e.freeFrom[l] || !m.hasUnindexedMarks() && indexed.freeFrom[l] != e.freeFrom[l] {
				rt.Fatalf("index has level %d of row %s free from %d on, want %d", l, m.Name, indexed.freeFrom[l], e.freeFrom[l])
			}
		}
		if indexed.bucket < e.bucket || !m.hasUnindexedMarks() && (indexed.bucket != e.bucket || indexed.free != e.free) || indexed.preemptibleBucket != e.preemptibleBucket || indexed.group != e.group {
			rt.Fatalf("index entry of row %s: got %+v, want %+v", m.Name, indexed, e)
		}
	}
	for _, g := range t.groupList {
		checkRowsInTable(rt, t, g)
	}
	if len(t.trialMarks) > 0 {
		rt.Fatalf("%d marks of trials are left", len(t.trialMarks))
	}
}

// checkRowsInTable checks that a group has only rows of the table: rows that were added while
// rentals were planned must not stay.
func checkRowsInTable(rt *rapid.T, t *Table, g *group) {
	var lists [][]indexedRow
	for level := range g.buckets {
		lists = append(lists, g.buckets[level].rows, g.preemptibleBuckets[level].rows, g.rowsByFreeTime[level])
	}
	for _, row := range slices.Concat(lists...) {
		if !slices.Contains(t.machines, row.machine) {
			rt.Fatalf("index has row %s, which is not in the table", row.machine.Name)
		}
	}
}
