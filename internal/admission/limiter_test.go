package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 40) }

// user is one who submits a job, and comes again when told to.
type user struct {
	comes, first micros
	told         int
}

// More users come at once than there is room for, while other records take a part of the
// rate that differs from second to second. They come back when they are told to, on the
// whole second. What has been admitted never waits for long, all that the rate has room
// for is used, nobody is told to come later than it takes to write what came before, and
// most are told once or twice.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const full = 50.0
		var a Limiter
		count := rapid.IntRange(1, 900).Draw(t, "users")
		parts := rapid.SliceOfN(rapid.Float64Range(0.4, 1), 10, 10).Draw(t, "parts")
		users := make(map[string]*user)
		for i := range count {
			came := protocol.Second + micros(i%7)*100*protocol.Millisecond
			users[fmt.Sprintf("req-%06d", i)] = &user{comes: came, first: came}
		}
		var line []micros // those that were admitted, and when
		room, told, longest, over := 0.0, 0, micros(0), micros(0)
		for at := micros(0); at < 60*protocol.Second && len(users)+len(line) > 0; at += protocol.Second / 20 {
			room = min(room+full*parts[at/(6*protocol.Second)]/20, 5)
			for ; room >= 1 && len(line) > 0; room-- {
				longest = max(longest, at-line[0])
				line = line[1:]
				a.End(true)
			}
			for i := range count { // in the same order every time
				ref := fmt.Sprintf("req-%06d", i)
				u := users[ref]
				if u == nil || u.comes > at {
					continue
				}
				after, ok := a.Admit(at, ref, full)
				if ok {
					a.Begin()
					line = append(line, at)
					delete(users, ref)
					continue
				}
				if u.told++; u.told > told {
					told = u.told
				}
				if after <= 0 || after > userRetryPeriod {
					t.Fatalf("told to come after %d ms", after/protocol.Millisecond)
				}
				u.comes = at + protocol.Micros(protocol.WholeSeconds(after))*protocol.Second
			}
			over = at
		}
		if len(users) > 0 {
			t.Fatalf("%d of %d users were not admitted within a minute", len(users), count)
		}
		if longest > 4*maxDelay {
			t.Errorf("one that was admitted waited for %d ms", longest/protocol.Millisecond)
		}
		if most := protocol.FromSeconds(float64(count)/(full*0.4)) + 8*protocol.Second; over > most {
			t.Errorf("%d users took %d ms, at most %d", count, over/protocol.Millisecond, most/protocol.Millisecond)
		}
		if told > 5 {
			t.Errorf("one was told %d times to come back", told)
		}
	})
}

// Turns that nobody comes for hold nobody up.
func TestAdmissionTurnsThatNobodyTakes(t *testing.T) {
	var a Limiter
	at := protocol.Second
	for i := range 900 {
		a.Admit(at, fmt.Sprintf("req-%06d", i), 20)
	}
	at += 5 * protocol.Second
	if after, ok := a.Admit(at, "req-900001", 20); !ok {
		t.Fatalf("nobody waits, and a user is told to come after %d ms", after/protocol.Millisecond)
	}
}
