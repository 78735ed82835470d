package slottable

import (
	"testing"

	"mapleslip/internal/protocol"
)

const sec = protocol.Second

func gpus(n int64) resources { return resources{CPU: n * 1000, GPU: n * 1000, Mem: n * 1000} }

func row(name string, size int64, spans ...Span) *Machine {
	m := &Machine{Name: name, Type: "t", Zone: "a", Offer: gpus(size),
		Fetch: func(size int64) micros { return micros(size) * sec / 1000 }}
	for _, s := range spans {
		m.Occupy(s)
	}
	return m
}

// tableOf makes a table of rows, with an image on those that have it.
func tableOf(has []*Machine, rows ...*Machine) *Table {
	t := &Table{}
	t.SetMachines(rows)
	for _, m := range has {
		t.AddImage(m, "img", 0)
	}
	for _, m := range rows {
		t.Update(m)
	}
	return t
}

// plan makes one pass over requests.
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
	busy := row("busy", 1, Span{0, 5 * sec, gpus(1)})
	free := row("free", 1)
	r := &Request{Tasks: 1, Need: gpus(1), Image: "img", ImageSize: 20000, Length: 10 * sec, Gang: true}
	res := plan(tableOf([]*Machine{busy}, free, busy), r)
	if len(res[0].Start) != 0 || len(res[0].Booked) != 1 || res[0].Booked[0].Machine != busy || res[0].Booked[0].Ready != 5*sec {
		t.Fatalf("%+v", res[0])
	}
	// With a small image the free machine is ready first.
	r.ImageSize = 3000
	busy = row("busy", 1, Span{0, 50 * sec, gpus(1)})
	res = plan(tableOf([]*Machine{busy}, row("free", 1), busy), r)
	if len(res[0].Start) != 1 || res[0].Start[0].Ready != 3*sec {
		t.Fatalf("%+v", res[0])
	}
}

// The first blocked job is booked; a later one starts only where it ends
// before the booking or does not need its room.
func TestBackfillMovesNoBooking(t *testing.T) {
	m := row("m", 4, Span{0, 30 * sec, gpus(2)})
	blocked := &Request{Tasks: 1, Need: gpus(4), Image: "img", Length: 20 * sec, Gang: true}
	long := &Request{Tasks: 1, Need: gpus(2), Image: "img", Length: 60 * sec}
	short := &Request{Tasks: 1, Need: gpus(2), Image: "img", Length: 30 * sec}
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
	m := row("m", 2, Span{0, 30 * sec, gpus(2)})
	first := &Request{Tasks: 1, Need: gpus(2), Image: "img", Length: 10 * sec}
	viable := &Request{Tasks: 1, Need: gpus(2), Image: "img", Length: 10 * sec, Deadline: 60 * sec}
	late := &Request{Tasks: 1, Need: gpus(2), Image: "img", Length: 10 * sec, Deadline: 55 * sec}
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
	r := &Request{Tasks: 2, Need: gpus(1), Image: "img", Length: 10 * sec, Gang: true, OneZone: true}
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
		{Type: "big", Zone: "a", Resources: gpus(8), Price: 10, Boot: 20 * sec, Fetch: fetch, Most: 8},
		{Type: "small", Zone: "a", Resources: gpus(2), Price: 3, Boot: 20 * sec, Fetch: fetch, Most: 8},
	}
	busy := row("m", 2, Span{0, 300 * sec, gpus(2)})
	one := &Request{Tasks: 1, Limit: 1, Need: gpus(1), Image: "img", Length: 10 * sec}
	if got, _ := tableOf(nil, busy).Rent([]*Request{one}, offers, 3*sec, 8, 1000); got[1] != 1 || got[0] != 0 {
		t.Errorf("one task: %v", got)
	}
	many := &Request{Tasks: 8, Limit: 8, Need: gpus(1), Image: "img", Length: 10 * sec}
	if got, _ := tableOf(nil, busy).Rent([]*Request{many}, offers, 3*sec, 8, 1000); got[0] != 1 || got[1] != 0 {
		t.Errorf("many tasks: %v", got)
	}
	soon := row("m", 2, Span{0, 10 * sec, gpus(2)})
	if got, _ := tableOf(nil, soon).Rent([]*Request{one}, offers, 3*sec, 8, 1000); len(got) != 0 {
		t.Errorf("a place comes free before a machine is up: %v", got)
	}
}
