// Package leadership decides when a leader gives its lease back, and keeps what
// outlives a leader: which workers it heard, which zones looked cut off, which
// machines were silent since when. It does no I/O and owns no clock.
//
// All instants are microseconds of the time of day, since they go from one
// controller to the next; those differ by as much as the settings say.
package leadership

import (
	"maps"
	"slices"

	"mapleslip/internal/protocol"
)

type micros = protocol.Micros

// Zone is how a leader hears the workers of one zone.
type Zone struct {
	All     int // that it should hear
	Silent  int // that it does not
	Relayed int // that it hears by way of another controller only
}

// Hearing is how many workers a controller hears, by zone. Zone "" stands for
// workers of any zone, of a controller that does not tell them apart.
type Hearing map[string]int

// Total is how many workers it is in all.
func (h Hearing) Total() int {
	n := 0
	for _, k := range h {
		n += k
	}
	return n
}

// Verdict says why a leader keeps its lease, or that it yields.
type Verdict uint8

// Verdicts. The first that applies is given.
const (
	HearsMost   Verdict = iota // less than half of the workers are missed
	NobodyHears                // those that it misses come to no other controller either
	HearsNoMore                // the one before it gave the lease back and heard as many: it is not the leader
	Settled                    // the lease was given back often enough
	NoneLeft                   // whoever hears them has given the lease back itself
	Yields                     // another controller hears them
)

func (v Verdict) String() string {
	return [...]string{"hears most", "nobody hears more", "hears no more than the one before", "settled", "none left", "yields"}[v]
}

// The law. Troubles that stand still make the leader change at most MostYields
// times, because so many yields within YieldMemory are all there are; and one
// that leads in another's place and hears no more than that one did keeps the
// lease, because then the link of neither is what is lost.
const (
	MostYields   = 2
	YieldMemory  = 10 * 60 * protocol.Second
	fewestMissed = 3
)

// Recent drops the yields that are too old to count, and all but the newest
// MostYields. A time of day that was put back counts as recent.
func Recent(past []protocol.Yield, now micros) []protocol.Yield {
	var list []protocol.Yield
	for _, y := range past {
		if now-y.At < YieldMemory {
			list = append(list, y)
		}
	}
	return list[max(0, len(list)-MostYields):]
}

// Judge says whether a leader should give its lease back, and to whom: most of the
// workers are silent to it or heard through others only, and the others hear them.
//
// Zone by zone, what others hear counts only as far as it is missed here: workers
// that came to another controller and were sent to this one are no reason to yield
// for those behind a cut, whom nobody hears.
func Judge(now micros, own map[string]Zone, others map[string]Hearing, past []protocol.Yield) (to string, v Verdict) {
	all, missed, heard := 0, 0, 0
	for _, z := range own {
		all += z.All
		missed += z.Silent + z.Relayed
		heard += z.All - z.Silent - z.Relayed
	}
	if missed < fewestMissed || 2*missed < all {
		return "", HearsMost
	}
	gain, anywhere := 0, 0
	sum := make(Hearing)
	for _, o := range others {
		for zone, n := range o {
			sum[zone] += n
		}
	}
	for zone, n := range sum {
		if zone == "" {
			anywhere = n
		} else {
			gain += min(n, own[zone].Silent+own[zone].Relayed)
		}
	}
	if gain = min(missed, gain+anywhere); 2*gain < missed {
		return "", NobodyHears
	}
	past = Recent(past, now)
	if len(past) > 0 && heard <= Hearing(past[len(past)-1].Heard).Total() {
		return "", HearsNoMore
	}
	if len(past) >= MostYields {
		return "", Settled
	}
	best := 0
	for _, name := range slices.Sorted(maps.Keys(others)) {
		gave := slices.ContainsFunc(past, func(y protocol.Yield) bool { return y.Node == name })
		if n := others[name].Total(); n > best && !gave {
			to, best = name, n
		}
	}
	if to == "" {
		return "", NoneLeft
	}
	return to, Yields
}

// HeardOf is what a leader hears by itself, for the record of its yield.
func HeardOf(own map[string]Zone) map[string]int {
	h := make(map[string]int, len(own))
	for zone, z := range own {
		h[zone] = z.All - z.Silent - z.Relayed
	}
	return h
}

// FirstTurn is how long the others let the one go first that a lease was given
// back for.
const FirstTurn = 700 * protocol.Millisecond

// Waits reports whether a controller lets another one go first: the newest yield
// is of the last epoch, names that other one, and is fresh.
func Waits(self string, epoch uint64, now micros, past []protocol.Yield) bool {
	if len(past) == 0 {
		return false
	}
	y := past[len(past)-1]
	return y.Epoch == epoch && y.To != "" && y.To != self && now-y.At >= -protocol.Second && now-y.At < 3*protocol.Second
}
