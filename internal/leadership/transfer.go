// Package leadership decides when a leader transfers leadership, and keeps what outlives a leader:
// which workers it heard, which zones looked cut off, which hosts were silent since when. It does
// no I/O and has no clock.
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

// ZoneWorkers is how a leader hears the workers of one zone.
type ZoneWorkers struct {
	All     int // that it should hear
	Silent  int // that it does not
	Relayed int // that it hears by way of another controller only
}

// Reachability is how many workers a controller hears, by zone. Zone "" stands for
// workers of any zone, of a controller that does not tell them apart.
type Reachability map[string]int

// Total is how many workers it is in all.
func (h Reachability) Total() int {
	n := 0
	for _, k := range h {
		n += k
	}
	return n
}

// Decision says why a leader keeps its lease, or that it transfers leadership.
type Decision uint8

// Decisions. The first that applies is made.
const (
	KeepHearsMost       Decision = iota // less than half of the workers are missed
	KeepNobodyHearsMore                 // those that it misses come to no other controller either
	KeepNoImprovement                   // the one before it gave the lease back and heard as many: it is not the leader
	KeepTransferLimit                   // the lease was given back often enough
	KeepNoSuccessor                     // whoever hears them has given the lease back itself
	Transfer                            // another controller hears them
)

// String is the decision's name in the log.
func (d Decision) String() string {
	return [...]string{"hears most", "nobody hears more", "hears no more than the one before", "settled", "none left", "yields"}[d]
}

// Limits on transfers. A fault that does not change makes the leader change at most MaxTransfers
// times within TransferWindow; and one that leads in another's place and hears no more than that
// one did keeps the lease, because then the link of neither is what is lost.
const (
	MaxTransfers     = 2
	TransferWindow   = 10 * 60 * protocol.Second
	minMissedWorkers = 3
)

// RecentTransfers drops the transfers that are too old to count, and all but the newest
// MaxTransfers. A time of day that was put back counts as recent.
func RecentTransfers(past []protocol.LeadershipTransfer, now micros) []protocol.LeadershipTransfer {
	var list []protocol.LeadershipTransfer
	for _, t := range past {
		if now-t.At < TransferWindow {
			list = append(list, t)
		}
	}
	return list[max(0, len(list)-MaxTransfers):]
}

// Decide says whether a leader should give its lease back, and to whom: most of the
// workers are silent to it or heard through others only, and the others hear them.
//
// Zone by zone, what others hear counts only as far as it is missed here: workers
// that came to another controller and were redirected to this one are no reason to transfer
// leadership for those behind a partition, whom nobody hears.
func Decide(now micros, own map[string]ZoneWorkers, others map[string]Reachability, past []protocol.LeadershipTransfer) (to string, d Decision) {
	all, missed, heard := 0, 0, 0
	for _, z := range own {
		all += z.All
		missed += z.Silent + z.Relayed
		heard += z.All - z.Silent - z.Relayed
	}
	if missed < minMissedWorkers || 2*missed < all {
		return "", KeepHearsMost
	}
	gain, anywhere := 0, 0
	sum := make(Reachability)
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
		return "", KeepNobodyHearsMore
	}
	past = RecentTransfers(past, now)
	if len(past) > 0 && heard <= Reachability(past[len(past)-1].ReachableWorkers).Total() {
		return "", KeepNoImprovement
	}
	if len(past) >= MaxTransfers {
		return "", KeepTransferLimit
	}
	best := 0
	for _, name := range slices.Sorted(maps.Keys(others)) {
		gaveUp := slices.ContainsFunc(past, func(t protocol.LeadershipTransfer) bool { return t.From == name })
		if n := others[name].Total(); n > best && !gaveUp {
			to, best = name, n
		}
	}
	if to == "" {
		return "", KeepNoSuccessor
	}
	return to, Transfer
}

// ReachableByZone is what a leader hears by itself, for the record of its transfer.
func ReachableByZone(own map[string]ZoneWorkers) map[string]int {
	h := make(map[string]int, len(own))
	for zone, z := range own {
		h[zone] = z.All - z.Silent - z.Relayed
	}
	return h
}

// DeferralTime is how long the others let the one go first that a lease was given
// back for.
const DeferralTime = 700 * protocol.Millisecond

// maxDeferralAge is how old a transfer may be for others to let its controller go first.
const maxDeferralAge = 3 * protocol.Second

// ShouldDefer reports whether a controller lets another one go first: the newest transfer is of
// the last epoch, names that other one, and is recent.
func ShouldDefer(self string, epoch uint64, now micros, past []protocol.LeadershipTransfer) bool {
	if len(past) == 0 {
		return false
	}
	t := past[len(past)-1]
	age := now - t.At
	return t.Epoch == epoch && t.To != "" && t.To != self && age >= -protocol.Second && age < maxDeferralAge
}
