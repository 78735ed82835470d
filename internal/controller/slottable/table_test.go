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

// tableOf makes a table of rows, with the image "img" on the rows of withImage.
func tableOf(withImage []*Machine, rows ...*Machine) *Table {
	t := &Table{}
	for _, m := range rows {
		t.Add(m)
	}
	for _, m := range withImage {
		t.AddImage(m, "img", 0)
	}
	for _, m := range rows {
		t.Update(m)
	}
	return t
}

// plan runs one cycle over requests.
func plan(t *Table, rs ...*Request) []Result {
	var out []Result
	t.Begin()
	for _, r := range rs {
		r.Limit = r.Tasks
		out = append(out, t.Schedule(r))
	}
	return out
}

// A task can start at the later of two times, when there is room and when its image is ready: a
// busy machine that has the image is ready before a free one has fetched it.
func TestImageAwareStart(t *testing.T) {
	busy := row("busy", 1, Span{From: 0, To: 5 * sec, Resources: gpus(1)})
	free := row("free", 1)
	r := &Request{Tasks: 1, Resources: gpus(1), Image: "img", ImageSize: 20000, Runtime: 10 * sec, Gang: true}
	res := plan(tableOf([]*Machine{busy}, free, busy), r)
	if len(res[0].Start) != 0 || len(res[0].Booked) != 1 || res[0].Booked[0].Machine != busy || res[0].Booked[0].Ready != 5*sec {
		t.Fatalf("got %+v, want a booking on the busy machine that is ready at 5 s", res[0])
	}
	// With a small image the free machine is ready first.
	r.ImageSize = 3000
	busy = row("busy", 1, Span{From: 0, To: 50 * sec, Resources: gpus(1)})
	res = plan(tableOf([]*Machine{busy}, row("free", 1), busy), r)
	if len(res[0].Start) != 1 || res[0].Start[0].Ready != 3*sec {
		t.Fatalf("got %+v, want a start on the free machine that is ready at 3 s", res[0])
	}
}

// The first job that can't start is booked. A later one starts only where it ends before the
// booking, or does not need the booking's room.
func TestBackfillMovesNoBooking(t *testing.T) {
	m := row("m", 4, Span{From: 0, To: 30 * sec, Resources: gpus(2)})
	blocked := &Request{Tasks: 1, Resources: gpus(4), Image: "img", Runtime: 20 * sec, Gang: true}
	long := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 60 * sec}
	short := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 30 * sec}
	res := plan(tableOf([]*Machine{m}, m), blocked, long, short)
	if len(res[0].Booked) != 1 || res[0].Booked[0].Begin != 30*sec {
		t.Fatalf("blocked job: got %+v, want a booking at 30 s", res[0])
	}
	if len(res[1].Start) != 0 || len(res[1].Booked) != 0 {
		t.Fatalf("long job: got %+v, want neither a start nor a booking", res[1])
	}
	if len(res[2].Start) != 1 {
		t.Fatalf("short job: got %+v, want one start", res[2])
	}
}

// A job that can meet its deadline is booked in addition to the first blocked job. One that can't
// meet it gets no booking and waits as best effort.
func TestDeadlineBookings(t *testing.T) {
	m := row("m", 2, Span{From: 0, To: 30 * sec, Resources: gpus(2)})
	first := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 10 * sec}
	viable := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 10 * sec, Deadline: 60 * sec}
	late := &Request{Tasks: 1, Resources: gpus(2), Image: "img", Runtime: 10 * sec, Deadline: 55 * sec}
	res := plan(tableOf([]*Machine{m}, m), first, viable, late)
	if len(res[0].Booked) != 1 || res[0].Booked[0].Begin != 30*sec {
		t.Fatalf("first job: got %+v, want a booking at 30 s", res[0])
	}
	if len(res[1].Booked) != 1 || res[1].Booked[0].Begin != 40*sec || !res[1].Viable {
		t.Fatalf("job with a deadline of 60 s: got %+v, want a viable booking at 40 s", res[1])
	}
	if len(res[2].Booked) != 0 {
		t.Fatalf("job with a deadline of 55 s: got %+v, want no booking", res[2])
	}
}

// A gang is placed as a whole or not at all, and in one zone if it requires that.
func TestGangPlaces(t *testing.T) {
	a1, b1, b2 := row("a1", 1), row("b1", 1), row("b2", 1)
	b1.Zone, b2.Zone = "b", "b"
	table := tableOf(nil, a1, b1, b2)
	r := &Request{Tasks: 2, Resources: gpus(1), Image: "img", Runtime: 10 * sec, Gang: true, SingleZone: true}
	res := plan(table, r)
	if len(res[0].Start) != 2 || res[0].Start[0].Machine.Zone != "b" || res[0].Start[1].Machine.Zone != "b" {
		t.Fatalf("got %+v, want two starts in zone b", res[0])
	}
	if again := table.Schedule(r); len(again.Start) != 0 {
		t.Fatalf("got %+v, want no start: no room is left", again)
	}
}

// A machine is rented for tasks that would wait longer than it takes to boot: the one with the
// lowest price for these tasks. Kinds that the cloud has refused are not among the offers.
func TestRent(t *testing.T) {
	fetch := func(int64) micros { return 5 * sec }
	offers := []*Offer{
		{Type: "big", Zone: "a", Resources: gpus(8), Price: 10, BootTime: 20 * sec, FetchTime: fetch, Limit: 8},
		{Type: "small", Zone: "a", Resources: gpus(2), Price: 3, BootTime: 20 * sec, FetchTime: fetch, Limit: 8},
	}
	busy := row("m", 2, Span{From: 0, To: 300 * sec, Resources: gpus(2)})
	one := &Request{Tasks: 1, Limit: 1, Resources: gpus(1), Image: "img", Runtime: 10 * sec}
	if got, _ := tableOf(nil, busy).Rent([]*Request{one}, offers, 3*sec, 8, 1000); got[1] != 1 || got[0] != 0 {
		t.Errorf("one task: got %v, want one machine of the small offer", got)
	}
	many := &Request{Tasks: 8, Limit: 8, Resources: gpus(1), Image: "img", Runtime: 10 * sec}
	if got, _ := tableOf(nil, busy).Rent([]*Request{many}, offers, 3*sec, 8, 1000); got[0] != 1 || got[1] != 0 {
		t.Errorf("many tasks: got %v, want one machine of the big offer", got)
	}
	soon := row("m", 2, Span{From: 0, To: 10 * sec, Resources: gpus(2)})
	if got, _ := tableOf(nil, soon).Rent([]*Request{one}, offers, 3*sec, 8, 1000); len(got) != 0 {
		t.Errorf("got %v, want none: a place is free before a rented machine would be ready", got)
	}
}

// A booking is kept while its room is free: the next cycle does not search the table again,
// although the job still can't start. If the room is lost, it does.
func TestBookingsAreKept(t *testing.T) {
	rows := make([]*Machine, 100)
	for i := range rows {
		rows[i] = row("m", 4, Span{From: 0, To: micros(30+i) * sec, Resources: gpus(4)})
	}
	table := tableOf(nil, rows...)
	schedule := func(booking []Place) (Result, int) {
		r := &Request{Tasks: 8, Limit: 8, Resources: gpus(1), Image: "img", Runtime: 20 * sec, Deadline: 500 * sec, Booking: booking}
		table.Work = 0
		table.Begin()
		res := table.Schedule(r)
		return res, table.Work
	}
	first, searchWork := schedule(nil)
	if len(first.Booked) != 8 || searchWork < 2*searchRoomWork || searchWork > 20*searchRoomWork {
		t.Fatalf("first cycle: %d places booked with work %d, want 8 with the work of a bounded search", len(first.Booked), searchWork)
	}
	kept, keepWork := schedule(first.Booked)
	if len(kept.Booked) != 8 || kept.Booked[7] != first.Booked[7] || keepWork > 8+searchRoomWork {
		t.Fatalf("next cycle: %d places booked with work %d, want the same 8 without a search", len(kept.Booked), keepWork)
	}
	rows[0].Occupy(Span{From: 0, To: 400 * sec, Resources: gpus(1)})
	table.Update(rows[0])
	if moved, work := schedule(first.Booked); len(moved.Booked) != 8 || work < 2*searchRoomWork {
		t.Fatalf("room lost: %d places booked with work %d, want 8 with the work of a search", len(moved.Booked), work)
	}
}

// A cycle that is interrupted continues where it stopped: bookings from before the interruption
// stay marked, and a later job does not move them.
func TestInterruptedCycleKeepsBookings(t *testing.T) {
	m := row("m", 4, Span{From: 0, To: 30 * sec, Resources: gpus(2)})
	blocked := &Request{Tasks: 1, Limit: 1, Resources: gpus(4), Image: "img", Runtime: 20 * sec, Gang: true}
	long := &Request{Tasks: 1, Limit: 1, Resources: gpus(2), Image: "img", Runtime: 60 * sec}
	table := tableOf([]*Machine{m}, m)
	table.Begin()
	if res := table.Schedule(blocked); len(res.Booked) != 1 {
		t.Fatalf("blocked job: got %+v, want one booking", res)
	}
	table.Resume()
	if res := table.Schedule(long); len(res.Start) != 0 || len(res.Booked) != 0 {
		t.Fatalf("long job after the interruption: got %+v, want no place, since it would move the booking", res)
	}
	table.Begin()
	if res := table.Schedule(long); len(res.Start) != 1 {
		t.Fatalf("long job in a cycle without the booking: got %+v, want one start", res)
	}
}

// Planning rentals leaves the table unchanged.
func TestRentLeavesTableUnchanged(t *testing.T) {
	m := row("m", 4)
	table := tableOf(nil, m)
	table.Begin()
	r := &Request{Tasks: 4, Limit: 4, Resources: gpus(1), Image: "img", Runtime: 10 * sec}
	if _, needed := table.Rent([]*Request{r}, nil, 0, 8, 1000); len(needed) != 4 {
		t.Fatalf("got needed rows %v, want 4", needed)
	}
	if m.Free() != gpus(4) || len(m.marks) != 0 {
		t.Fatalf("got %v free and %d marks, want all free and no marks", m.Free(), len(m.marks))
	}
}

// A booking of the last cycle is kept if it is ready sooner than a place where the image has to be
// fetched from now on: places are compared by the later of room and image, whether they were
// planned before or not.
func TestBookingBeatsAColdStart(t *testing.T) {
	busy := row("busy", 1, Span{From: 0, To: 5 * sec, Resources: gpus(1)})
	free := row("free", 1)
	table := tableOf([]*Machine{busy}, free, busy)
	schedule := func(ready micros) Result {
		table.Begin()
		r := &Request{
			Tasks: 1, Limit: 1, Resources: gpus(1), Image: "img", ImageSize: 20000, Runtime: 10 * sec, Deadline: 100 * sec,
			Booking: []Place{{busy, 5 * sec, ready}},
		}
		return table.Schedule(r)
	}
	if res := schedule(5 * sec); len(res.Booked) != 1 || res.Booked[0].Machine != busy {
		t.Errorf("booking ready sooner: got %+v, want a booking on the busy machine", res)
	}
	if res := schedule(25 * sec); len(res.Start) != 1 || res.Start[0].Machine != free {
		t.Errorf("booking ready later: got %+v, want a start on the free machine", res)
	}
}

// A request that takes only machines with its image leaves the others alone, and is not recorded as
// a refusal: the others may still have room.
func TestImageLocalOnly(t *testing.T) {
	noImage, hasImage := row("cold", 2), row("hot", 1)
	table := tableOf([]*Machine{hasImage}, noImage, hasImage)
	table.Begin()
	r := &Request{Tasks: 3, Limit: 3, Resources: gpus(1), Image: "img", ImageSize: 20000, Runtime: 10 * sec, ImageLocalOnly: true}
	if res := table.Try(r, false); len(res.Start) != 1 || res.Start[0].Machine != hasImage {
		t.Fatalf("got %+v, want one start, on the machine that has the image", res)
	}
	if res := table.Try(r, false); len(res.Start) != 0 {
		t.Fatalf("second try: got %+v, want no start", res)
	}
	r.ImageLocalOnly = false
	if res := table.Try(r, false); len(res.Start) != 2 || res.Start[0].Machine != noImage {
		t.Errorf("without ImageLocalOnly: got %+v, want two starts on the machine without the image", res)
	}
}

// A gang that was booked in one zone is booked there again unless another zone is sooner by more
// than the error of estimates: with a move it would lose the machines that were kept free for it.
func TestGangStaysInItsZone(t *testing.T) {
	busyRow := func(zone string, busyUntil micros) *Machine {
		m := row(zone, 1, Span{From: 0, To: busyUntil, Resources: gpus(1)})
		m.Zone = zone
		return m
	}
	r := &Request{Tasks: 2, Resources: gpus(1), Image: "img", Runtime: 10 * sec, Gang: true, SingleZone: true}
	for _, c := range []struct {
		preferredZone    string
		freeInA, freeInB micros
		wantZone         string
	}{
		{"", 40 * sec, 50 * sec, "a"}, {"b", 40 * sec, 50 * sec, "b"}, {"b", 40 * sec, 75 * sec, "a"}, {"a", 50 * sec, 40 * sec, "a"},
	} {
		r.PreferredZone = c.preferredZone
		rows := []*Machine{busyRow("a", c.freeInA), busyRow("a", c.freeInA), busyRow("b", c.freeInB), busyRow("b", c.freeInB)}
		res := plan(tableOf(rows, rows...), r)
		if len(res[0].Booked) != 2 || res[0].Booked[0].Machine.Zone != c.wantZone {
			t.Errorf("%+v: got %+v, want two bookings in wantZone", c, res[0])
		}
	}
}
