// Package leadership decides when a leader transfers leadership to another controller, and handles
// the state that a leader hands over to its successors: the number of workers that reached it, the
// zones that appeared partitioned, and the hosts that were silent and since when. It does no I/O
// and has no clock.
//
// All times are microseconds of the time of day, because they are passed from one controller to
// another. The clocks of two controllers differ by at most the skew that the settings allow.
package leadership

import (
	"maps"
	"slices"

	"mapleslip/internal/protocol"
)

type micros = protocol.Micros

// ZoneWorkers counts the workers of one zone by how their heartbeats reach the leader.
type ZoneWorkers struct {
	All     int // workers that should send heartbeats to the leader
	Silent  int // workers from which the leader receives no heartbeats
	Relayed int // workers whose heartbeats arrive only through another controller
}

// Reachability is the number of workers that reach a controller, by zone. The key "" counts
// workers of any zone, reported by a controller that does not distinguish zones.
type Reachability map[string]int

// Total returns the number of workers in all zones.
func (r Reachability) Total() int {
	n := 0
	for _, count := range r {
		n += count
	}
	return n
}

// Decision is the result of Decide: that the leader transfers leadership, or why it keeps its
// lease.
type Decision uint8

// Decisions, in the order in which Decide checks them.
const (
	// KeepReachesMost: less than half of the workers, or fewer than minUnreachableWorkers, fail to
	// reach the leader directly.
	KeepReachesMost Decision = iota
	// KeepNoPeerReachesMore: most workers that fail to reach the leader reach no other controller.
	KeepNoPeerReachesMore
	// KeepNoImprovement: the previous leader, which transferred leadership, was reached by as many
	// workers, so the leader is not the cause.
	KeepNoImprovement
	// KeepTransferLimit: MaxTransfers transfers have been made within TransferWindow.
	KeepTransferLimit
	// KeepNoSuccessor: each controller that the workers reach has recently transferred leadership.
	KeepNoSuccessor
	// Transfer: the workers reach another controller.
	Transfer
)

// String returns the name of the decision in the log.
func (d Decision) String() string {
	return [...]string{"hears most", "nobody hears more", "hears no more than the one before", "settled", "none left", "yields"}[d]
}

// Limits on transfers. While a fault persists, leadership is transferred at most MaxTransfers times
// within TransferWindow. In addition, a leader that is reached by no more workers than the previous
// leader, which transferred leadership, keeps the lease: the fault is then in the links of neither.
const (
	MaxTransfers          = 2
	TransferWindow        = 10 * 60 * protocol.Second
	minUnreachableWorkers = 3
)

// RecentTransfers returns the transfers within TransferWindow, and of these the newest
// MaxTransfers. A transfer whose time is in the future, after the clock was set back, is included.
func RecentTransfers(transfers []protocol.LeadershipTransfer, now micros) []protocol.LeadershipTransfer {
	var recent []protocol.LeadershipTransfer
	for _, t := range transfers {
		if now-t.At < TransferWindow {
			recent = append(recent, t)
		}
	}
	return recent[max(0, len(recent)-MaxTransfers):]
}

// Decide returns whether a leader should give up its lease, and the controller that should lead
// instead. It should if at least half of the workers are silent or reach it only through other
// controllers, and at least half of these workers reach other controllers.
//
// In each zone, the workers that reach other controllers count only up to the number that fail to
// reach this leader directly. Otherwise workers that contacted another controller and were
// redirected to this leader could cause a transfer on account of workers behind a partition, which
// reach no controller at all.
func Decide(now micros, zones map[string]ZoneWorkers, peers map[string]Reachability, transfers []protocol.LeadershipTransfer) (to string, d Decision) {
	expected, unreachable, reachable := 0, 0, 0
	for _, z := range zones {
		expected += z.All
		unreachable += z.Silent + z.Relayed
		reachable += z.All - z.Silent - z.Relayed
	}
	if unreachable < minUnreachableWorkers || 2*unreachable < expected {
		return "", KeepReachesMost
	}
	reachableElsewhere, unzoned := 0, 0
	peerTotals := make(Reachability)
	for _, peer := range peers {
		for zone, n := range peer {
			peerTotals[zone] += n
		}
	}
	for zone, n := range peerTotals {
		if zone == "" {
			unzoned = n
		} else {
			reachableElsewhere += min(n, zones[zone].Silent+zones[zone].Relayed)
		}
	}
	if reachableElsewhere = min(unreachable, reachableElsewhere+unzoned); 2*reachableElsewhere < unreachable {
		return "", KeepNoPeerReachesMore
	}
	transfers = RecentTransfers(transfers, now)
	if len(transfers) > 0 && reachable <= Reachability(transfers[len(transfers)-1].ReachableWorkers).Total() {
		return "", KeepNoImprovement
	}
	if len(transfers) >= MaxTransfers {
		return "", KeepTransferLimit
	}
	mostWorkers := 0
	for _, name := range slices.Sorted(maps.Keys(peers)) {
		alreadyTransferred := slices.ContainsFunc(transfers, func(t protocol.LeadershipTransfer) bool { return t.From == name })
		if n := peers[name].Total(); n > mostWorkers && !alreadyTransferred {
			to, mostWorkers = name, n
		}
	}
	if to == "" {
		return "", KeepNoSuccessor
	}
	return to, Transfer
}

// ReachableByZone returns the number of workers that reach the leader directly, by zone, for the
// record of its transfer.
func ReachableByZone(zones map[string]ZoneWorkers) map[string]int {
	reachable := make(map[string]int, len(zones))
	for zone, z := range zones {
		reachable[zone] = z.All - z.Silent - z.Relayed
	}
	return reachable
}

// DeferralTime is how long other controllers wait before they claim leadership after a transfer, so
// that the controller named in it can claim it first.
const DeferralTime = 700 * protocol.Millisecond

// maxDeferralAge is the age up to which a transfer makes other controllers wait.
const maxDeferralAge = 3 * protocol.Second

// ShouldDefer reports whether a controller should wait for another one to claim leadership first:
// the newest transfer ended the last epoch, names another controller, and is recent.
func ShouldDefer(self string, epoch uint64, now micros, transfers []protocol.LeadershipTransfer) bool {
	if len(transfers) == 0 {
		return false
	}
	t := transfers[len(transfers)-1]
	age := now - t.At
	return t.Epoch == epoch && t.To != "" && t.To != self && age >= -protocol.Second && age < maxDeferralAge
}
