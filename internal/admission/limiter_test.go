package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 40) }

// user submits a job, and submits it again after each refusal.
type user struct {
	nextTry, firstTry micros
	refusals          int
}

// Guards against long waits and unused write rate in an overload: more users submit at once than
// the write rate allows, while other records take a share of it that changes every 6 seconds.
// Users retry after the delay that they get, in whole seconds. Admitted records must not wait for
// long, the write rate must be used up, no delay may be longer than the earlier records take, and
// most users should be refused once or twice.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxRate = 50.0
		var limiter Limiter
		count := rapid.IntRange(1, 900).Draw(t, "users")
		rateShares := rapid.SliceOfN(rapid.Float64Range(0.4, 1), 10, 10).Draw(t, "parts")
		users := make(map[string]*user)
		for i := range count {
			submitAt := protocol.Second + micros(i%7)*100*protocol.Millisecond
			users[fmt.Sprintf("req-%06d", i)] = &user{nextTry: submitAt, firstTry: submitAt}
		}
		var queue []micros // admission times of the records that are not written yet
		tokens, maxRefusals, longestWait, finishedAt := 0.0, 0, micros(0), micros(0)
		for at := micros(0); at < 60*protocol.Second && len(users)+len(queue) > 0; at += protocol.Second / 20 {
			tokens = min(tokens+maxRate*rateShares[at/(6*protocol.Second)]/20, 5)
			for ; tokens >= 1 && len(queue) > 0; tokens-- {
				longestWait = max(longestWait, at-queue[0])
				queue = queue[1:]
				limiter.End(true)
			}
			for i := range count { // in the same order every time
				ref := fmt.Sprintf("req-%06d", i)
				u := users[ref]
				if u == nil || u.nextTry > at {
					continue
				}
				wait, ok := limiter.Admit(at, ref, maxRate)
				if ok {
					limiter.Begin()
					queue = append(queue, at)
					delete(users, ref)
					continue
				}
				if u.refusals++; u.refusals > maxRefusals {
					maxRefusals = u.refusals
				}
				if wait <= 0 || wait > userRetryPeriod {
					t.Fatalf("retry requested after %d ms", wait/protocol.Millisecond)
				}
				u.nextTry = at + protocol.Micros(protocol.WholeSeconds(wait))*protocol.Second
			}
			finishedAt = at
		}
		if len(users) > 0 {
			t.Fatalf("%d of %d users were not admitted within a minute", len(users), count)
		}
		if longestWait > 4*maxDelay {
			t.Errorf("an admitted record waited for %d ms", longestWait/protocol.Millisecond)
		}
		if limit := protocol.FromSeconds(float64(count)/(maxRate*0.4)) + 8*protocol.Second; finishedAt > limit {
			t.Errorf("%d users took %d ms, want at most %d ms", count, finishedAt/protocol.Millisecond, limit/protocol.Millisecond)
		}
		if maxRefusals > 5 {
			t.Errorf("a user was refused %d times", maxRefusals)
		}
	})
}

// Reserved slots of users who do not submit again must not delay a later submission.
func TestUnusedReservationsDoNotDelayOthers(t *testing.T) {
	var limiter Limiter
	at := protocol.Second
	for i := range 900 {
		limiter.Admit(at, fmt.Sprintf("req-%06d", i), 20)
	}
	at += 5 * protocol.Second
	if wait, ok := limiter.Admit(at, "req-900001", 20); !ok {
		t.Fatalf("no record is in flight, but the submission is delayed by %d ms", wait/protocol.Millisecond)
	}
}
