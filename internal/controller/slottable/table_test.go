package slottable

import (
	"testing"

	"mapleslip/internal/protocol"
)

const sec = protocol.Second

func gpus(n int64) resources { return resources{CPU: n * 1000, GPU: n * 1000, Memory: n * 1000} }

func row(name string, size int64, spans ...Span) *Machine {
	m := &Machine{
		Name: name, Type: "t", Zone: "a", Capacity: gpus(size),
		FetchTime: func(size int64) micros { return micros(size) * sec / 1000 },
	}
	for _, s := range spans {
		m.Occupy(s)
	}
	return m
}

// tableOf makes a table of rows, with an image on those that have it.
func tableOf(has []*Machine, rows ...*Machine) *Table {
	t := &Table{}
	for _, m := range rows {
		t.Add(m)
	}
	for _, m := range has {
		t.AddImage(m, "img", 0)
	}
	for _, m := range rows {
		t.Update(m)
	}
	return t
}

// plan makes one cycle over requests.
func plan(t *Table, rs ...*Request) []Result {
	var out []Result
	t.Begin()
	for _, r := range rs {
		r.Limit = r.Tasks
		out = append(out, t.Next(r))
	}
	return out
}

// A start is the later of free room and image readiness: the machine that is
// busy but has the image is ready before the free one has fetched it.
func TestImageAwareStart(t *testing.T) {
	busy := row("busy", 1, Span{From: 0, To: 5 * sec, Resources: gpus(1)})
	free := row("free", 1)
	r := &Request{Tasks: 1, Resources: gpus(1), Image: "img", ImageSize: 20000, Runtime: 10 * sec, Gang: true}
	res := plan(tableOf([]*Machine{busy}, free, busy), r)
	if len(res[0].Start) != 0 || len(res[0].Booked) != 1 || res[0].Booked[0].Machine != busy || res[0].Booked[0].Ready != 5*sec {
		t.Fatalf("%+v", res[0])
	}
	// With a small image the free machine is ready first.
	r.ImageSize = 3000
	busy = row("busy", 1, Span{From: 0, To: 50 * sec, Resources: gpus(1)})
	res = plan(tableOf([]*Machine{busy}, row("free", 1), busy), r)
	if len(res[0].Start) != 1 || res[0].Start[0].Ready != 3*sec {
		t.Fatalf("%+v", res[0])
	}
}

// The first blocked job is booked; a later one starts only where it ends
// before the booking or does not need its room.
func TestBackfillMovesNoBooking(t *testing.T) {
	m := row("m", 4, Span{From: 0, To: 30 * sec, Resources: gpus(2)})
	blocked := &Request{Tasks: 1, Resources: gpus(4), Image: "img", Runtime: 20 * sec, Gang: true}
	long := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 60 * sec}
	short := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 30 * sec}
	res := plan(tableOf([]*Machine{m}, m), blocked, long, short)
	if len(res[0].Booked) != 1 || res[0].Booked[0].Begin != 30*sec {
		t.Fatalf("blocked: %+v", res[0])
	}
	if len(res[1].Start) != 0 || len(res[1].Booked) != 0 {
		t.Fatalf("long: %+v", res[1])
	}
	if len(res[2].Start) != 1 {
		t.Fatalf("short: %+v", res[2])
	}
}

// A deadline job that can be viable is booked beside the first blocked one; an
// unviable one waits as best effort.
func TestDeadlineBookings(t *testing.T) {
	m := row("m", 2, Span{From: 0, To: 30 * sec, Resources: gpus(2)})
	first := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 10 * sec}
	viable := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 10 * sec, Deadline: 60 * sec}
	late := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 10 * sec, Deadline: 55 * sec}
	res := plan(tableOf([]*Machine{m}, m), first, viable, late)
	if len(res[0].Booked) != 1 || res[0].Booked[0].Begin != 30*sec {
		t.Fatalf("first: %+v", res[0])
	}
	if len(res[1].Booked) != 1 || res[1].Booked[0].Begin != 40*sec || !res[1].Viable {
		t.Fatalf("viable: %+v", res[1])
	}
	if len(res[2].Booked) != 0 {
		t.Fatalf("late: %+v", res[2])
	}
}

// A gang is placed whole or not at all, in one zone if it asks for that.
func TestGangPlaces(t *testing.T) {
	a1, b1, b2 := row("a1", 1), row("b1", 1), row("b2", 1)
	b1.Zone, b2.Zone = "b", "b"
	table := tableOf(nil, a1, b1, b2)
	r := &Request{Tasks: 2, Resources: gpus(1), Image: "img", Runtime: 10 * sec, Gang: true, SingleZone: true}
	res := plan(table, r)
	if len(res[0].Start) != 2 || res[0].Start[0].Machine.Zone != "b" || res[0].Start[1].Machine.Zone != "b" {
		t.Fatalf("%+v", res[0])
	}
	if again := table.Next(r); len(again.Start) != 0 {
		t.Fatalf("no room is left, but %+v", again)
	}
}

// What waits longer than a new machine takes to boot is reason to rent one,
// the cheapest that serves; refused kinds are not among the offers.
func TestRent(t *testing.T) {
	fetch := func(int64) micros { return 5 * sec }
	offers := []*Offer{
		{Type: "big", Zone: "a", Resources: gpus(8), Price: 10, BootTime: 20 * sec, FetchTime: fetch, Limit: 8},
		{Type: "small", Zone: "a", Resources: gpus(2), Price: 3, BootTime: 20 * sec, FetchTime: fetch, Limit: 8},
	}
	busy := row("m", 2, Span{From: 0, To: 300 * sec, Resources: gpus(2)})
	one := &Request{Tasks: 1, Limit: 1, Resources: gpus(1), Image: "img", Runtime: 10 * sec}
	if got, _ := tableOf(nil, busy).Rent([]*Request{one}, offers, 3*sec, 8, 1000); got[1] != 1 || got[0] != 0 {
		t.Errorf("one task: %v", got)
	}
	many := &Request{Tasks: 8, Limit: 8, Resources: gpus(1), Image: "img", Runtime: 10 * sec}
	if got, _ := tableOf(nil, busy).Rent([]*Request{many}, offers, 3*sec, 8, 1000); got[0] != 1 || got[1] != 0 {
		t.Errorf("many tasks: %v", got)
	}
	soon := row("m", 2, Span{From: 0, To: 10 * sec, Resources: gpus(2)})
	if got, _ := tableOf(nil, soon).Rent([]*Request{one}, offers, 3*sec, 8, 1000); len(got) != 0 {
		t.Errorf("a place comes free before a machine is up: %v", got)
	}
}

// A booking is kept while its room is free: the next cycle does not search the
// table again, though the job still can't start. If the room is lost it does.
func TestBookingsAreKept(t *testing.T) {
	rows := make([]*Machine, 100)
	for i := range rows {
		rows[i] = row("m", 4, Span{From: 0, To: micros(30+i) * sec, Resources: gpus(4)})
	}
	table := tableOf(nil, rows...)
	ask := func(kept []Place) (Result, int) {
		r := &Request{Tasks: 8, Limit: 8, Resources: gpus(1), Image: "img", Runtime: 20 * sec, Deadline: 500 * sec, Booking: kept}
		table.Work = 0
		table.Begin()
		res := table.Next(r)
		return res, table.Work
	}
	first, searched := ask(nil)
	if len(first.Booked) != 8 || searched < 2*roomWork || searched > 20*roomWork {
		t.Fatalf("%d booked, %d looked at", len(first.Booked), searched)
	}
	again, kept := ask(first.Booked)
	if len(again.Booked) != 8 || again.Booked[7] != first.Booked[7] || kept > 8+roomWork {
		t.Fatalf("%d booked, %d looked at", len(again.Booked), kept)
	}
	rows[0].Occupy(Span{From: 0, To: 400 * sec, Resources: gpus(1)})
	table.Update(rows[0])
	if moved, n := ask(first.Booked); len(moved.Booked) != 8 || n < 2*roomWork {
		t.Fatalf("%d booked, %d looked at", len(moved.Booked), n)
	}
}

// A cycle that is cut short carries on where it stopped: what was booked before
// the cut stays marked, and a later job moves none of it.
func TestPassCutShort(t *testing.T) {
	m := row("m", 4, Span{From: 0, To: 30 * sec, Resources: gpus(2)})
	blocked := &Request{Tasks: 1, Limit: 1, Resources: gpus(4), Image: "img", Runtime: 20 * sec, Gang: true}
	long := &Request{Tasks: 1, Limit: 1, Resources: gpus(2), Image: "img", Runtime: 60 * sec}
	table := tableOf([]*Machine{m}, m)
	table.Begin()
	if res := table.Next(blocked); len(res.Booked) != 1 {
		t.Fatalf("%+v", res)
	}
	table.Resume()
	if res := table.Next(long); len(res.Start) != 0 || len(res.Booked) != 0 {
		t.Fatalf("it moves the booking: %+v", res)
	}
	table.Begin()
	if res := table.Next(long); len(res.Start) != 1 {
		t.Fatalf("without the booking: %+v", res)
	}
}

// A plan for rental leaves the table as it was.
func TestRentLeavesTheTable(t *testing.T) {
	m := row("m", 4)
	table := tableOf(nil, m)
	table.Begin()
	r := &Request{Tasks: 4, Limit: 4, Resources: gpus(1), Image: "img", Runtime: 10 * sec}
	if _, needed := table.Rent([]*Request{r}, nil, 0, 8, 1000); len(needed) != 4 {
		t.Fatalf("needed %v", needed)
	}
	if m.Free() != gpus(4) || len(m.marks) != 0 {
		t.Fatalf("free %v, %d marks", m.Free(), len(m.marks))
	}
}

// A booking of the cycle before that is ready sooner than a fetch that begins now is
// kept: a start is the later of room and image, whether it was planned before or not.
func TestBookingBeatsAColdStart(t *testing.T) {
	busy := row("busy", 1, Span{From: 0, To: 5 * sec, Resources: gpus(1)})
	free := row("free", 1)
	table := tableOf([]*Machine{busy}, free, busy)
	ask := func(ready micros) Result {
		table.Begin()
		r := &Request{
			Tasks: 1, Limit: 1, Resources: gpus(1), Image: "img", ImageSize: 20000, Runtime: 10 * sec, Deadline: 100 * sec,
			Booking: []Place{{busy, 5 * sec, ready}},
		}
		return table.Next(r)
	}
	if res := ask(5 * sec); len(res.Booked) != 1 || res.Booked[0].Machine != busy {
		t.Errorf("%+v", res)
	}
	if res := ask(25 * sec); len(res.Start) != 1 || res.Start[0].Machine != free {
		t.Errorf("a booking that is ready later is kept: %+v", res)
	}
}

// A request that takes machines with its image only leaves the others, and what it
// did not take says nothing of whether they have room.
func TestOnlyWithTheImage(t *testing.T) {
	cold, hot := row("cold", 2), row("hot", 1)
	table := tableOf([]*Machine{hot}, cold, hot)
	table.Begin()
	r := &Request{Tasks: 3, Limit: 3, Resources: gpus(1), Image: "img", ImageSize: 20000, Runtime: 10 * sec, ImageLocalOnly: true}
	if res := table.Try(r, false); len(res.Start) != 1 || res.Start[0].Machine != hot {
		t.Fatalf("%+v", res)
	}
	if res := table.Try(r, false); len(res.Start) != 0 {
		t.Fatalf("%+v", res)
	}
	r.ImageLocalOnly = false
	if res := table.Try(r, false); len(res.Start) != 2 || res.Start[0].Machine != cold {
		t.Errorf("what is left: %+v", res)
	}
}

// A gang that was booked in one zone is booked there again as long as no other zone is
// sooner by more than estimates are worth: what was kept free for it would be lost.
func TestGangStaysInItsZone(t *testing.T) {
	in := func(zone string, till micros) *Machine {
		m := row(zone, 1, Span{From: 0, To: till, Resources: gpus(1)})
		m.Zone = zone
		return m
	}
	r := &Request{Tasks: 2, Resources: gpus(1), Image: "img", Runtime: 10 * sec, Gang: true, SingleZone: true}
	for _, c := range []struct {
		stay     string
		a, b     micros
		wantZone string
	}{
		{"", 40 * sec, 50 * sec, "a"}, {"b", 40 * sec, 50 * sec, "b"}, {"b", 40 * sec, 75 * sec, "a"}, {"a", 50 * sec, 40 * sec, "a"},
	} {
		r.PreferredZone = c.stay
		rows := []*Machine{in("a", c.a), in("a", c.a), in("b", c.b), in("b", c.b)}
		res := plan(tableOf(rows, rows...), r)
		if len(res[0].Booked) != 2 || res[0].Booked[0].Machine.Zone != c.wantZone {
			t.Errorf("%+v: %+v", c, res[0])
		}
	}
}
