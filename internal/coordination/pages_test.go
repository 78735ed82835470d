package coordination

import (
	"testing"

	"mapleslip/internal/bookkeeping"
	"mapleslip/internal/protocol"
)

// The write of a record of launches got no answer and may still be carried out. A task that
// it names is launched anew meanwhile, under another record. Were that one written first, the
// late write would be the newer of the two, and a new leader would look for the task on the
// machine where it was before. So the stamp of the lost record is read before anything else
// of its kind is written, and the lost one goes with the next.
func TestNothingIsWrittenBeforeALostRecord(t *testing.T) {
	c := busyLeader(t, 8, 0)
	c.role, c.seat.until = Leading, c.at.Steady+protocol.Second
	p := c.newPages(bookkeeping.LaunchPages, func(names []string) ([]byte, func()) { return []byte(`"` + names[0] + `"`), nil })
	room := c.room()
	p.put("req-900001/0", room-100, room, c.at.Steady, true)
	p.put("req-900002/0", room-100, room, c.at.Steady, true)
	lost := p.list[0]
	lost.lost = true
	calls := func() (made []Call) {
		for _, e := range c.flush() {
			if call, ok := e.(Call); ok && call.Target == ToState {
				made = append(made, call)
			}
		}
		return made
	}
	calls()
	c.writePages(p)
	asked := calls()
	if len(asked) != 1 || asked[0].Method != "GET" || asked[0].Path != "/store/"+lost.key {
		t.Fatalf("asked %+v", asked)
	}
	c.writePages(p)
	if more := calls(); len(more) > 0 {
		t.Fatalf("before the stamp is known: %+v", more)
	}
	c.Step(c.at, CallDone{ID: asked[0].ID, Status: 404, Body: []byte(`{"generation":1}`)})
	calls()
	c.writePages(p)
	if made := calls(); len(made) != 1 || made[0].Method != "POST" || made[0].Changes != 2 {
		t.Fatalf("then %+v", made)
	}
}
