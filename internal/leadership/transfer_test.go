package leadership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
)

const sec = protocol.Second

func TestDecide(t *testing.T) {
	partitioned := map[string]ZoneWorkers{"a": {All: 300}, "b": {All: 600, Silent: 600}, "c": {All: 200, Silent: 3}}
	unreachable := map[string]ZoneWorkers{"a": {All: 30, Silent: 30}, "b": {All: 60, Silent: 50, Relayed: 10}}
	transferFrom := func(controller string, epoch uint64, reachable int) protocol.LeadershipTransfer {
		return protocol.LeadershipTransfer{From: controller, To: "x", Epoch: epoch, At: 100 * sec, ReachableWorkers: map[string]int{"a": reachable}}
	}
	for name, c := range map[string]struct {
		zones     map[string]ZoneWorkers
		peers     map[string]Reachability
		transfers []protocol.LeadershipTransfer
		to        string
		want      Decision
	}{
		"most workers reach the leader": {map[string]ZoneWorkers{"a": {All: 10, Silent: 4}}, map[string]Reachability{"n1": {"a": 4}}, nil, "", KeepReachesMost},
		// After a restart of all controllers each worker contacted the others. Those of the zones
		// that reach this leader must not cause a transfer.
		"partitioned zone":                     {partitioned, map[string]Reachability{"n1": {"a": 300, "c": 200}}, nil, "", KeepNoPeerReachesMore},
		"workers reach only other controllers": {unreachable, map[string]Reachability{"n1": {"a": 10, "b": 20}, "n2": {"a": 10, "b": 25}}, nil, "n2", Transfer},
		"previous leader reached by as many":   {unreachable, map[string]Reachability{"n1": {"a": 30, "b": 60}}, []protocol.LeadershipTransfer{transferFrom("n1", 4, 0)}, "", KeepNoImprovement},
		"peer without zones":                   {unreachable, map[string]Reachability{"n1": {"": 90}}, nil, "n1", Transfer},
		"successor has transferred itself":     {map[string]ZoneWorkers{"a": {All: 90, Silent: 80}}, map[string]Reachability{"n1": {"a": 80}}, []protocol.LeadershipTransfer{transferFrom("n1", 4, 5)}, "", KeepNoSuccessor},
		"two recent transfers": {
			map[string]ZoneWorkers{"a": {All: 90, Silent: 80}},
			map[string]Reachability{"n3": {"a": 80}},
			[]protocol.LeadershipTransfer{transferFrom("n1", 4, 2), transferFrom("n2", 5, 3)},
			"", KeepTransferLimit,
		},
		"two old transfers": {
			map[string]ZoneWorkers{"a": {All: 90, Silent: 80}},
			map[string]Reachability{"n3": {"a": 80}},
			[]protocol.LeadershipTransfer{{From: "n1", At: -600 * sec}, {From: "n2", At: -500 * sec}},
			"n3", Transfer,
		},
	} {
		if to, decision := Decide(110*sec, c.zones, c.peers, c.transfers); to != c.to || decision != c.want {
			t.Errorf("%s: transfer to %q, decision %q", name, to, decision)
		}
	}
}

// Under any persistent network fault, leadership is transferred at most MaxTransfers times, and
// never by a leader that is reached by no more workers than the previous leader. Which workers
// reach which controllers is drawn once; what the controllers report about it is drawn each time,
// because a report may be old or wrong.
func TestTransfersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controllers := rapid.IntRange(2, 7).Draw(t, "nodes")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		zoneWorkers := make([]map[string]ZoneWorkers, controllers)
		for n := range zoneWorkers {
			zoneWorkers[n] = make(map[string]ZoneWorkers)
		}
		for z := range zones {
			all := rapid.IntRange(0, 40).Draw(t, "workers")
			for n := range zoneWorkers {
				silent := rapid.IntRange(0, all).Draw(t, "silent")
				zoneWorkers[n][fmt.Sprint(z)] = ZoneWorkers{All: all, Silent: silent, Relayed: rapid.IntRange(0, all-silent).Draw(t, "relayed")}
			}
		}
		var recent []protocol.LeadershipTransfer
		leader, transfers := 0, 0
		for step := range 40 {
			now := micros(step) * 10 * sec
			peers := make(map[string]Reachability)
			for n := range controllers {
				if n != leader && rapid.IntRange(0, 4).Draw(t, "answers") > 0 {
					h := make(Reachability)
					for z := range zones {
						h[fmt.Sprint(z)] = rapid.IntRange(0, 60).Draw(t, "heard")
					}
					peers[fmt.Sprint(n)] = h
				}
			}
			to, decision := Decide(now, zoneWorkers[leader], peers, recent)
			if decision != Transfer {
				continue
			}
			reachable := Reachability(ReachableByZone(zoneWorkers[leader])).Total()
			if len(recent) > 0 && reachable <= Reachability(recent[len(recent)-1].ReachableWorkers).Total() {
				t.Fatalf("controller %d transfers leadership, reached by %d workers, no more than the previous leader: %+v", leader, reachable, recent)
			}
			if transfers++; transfers > MaxTransfers {
				t.Fatalf("%d transfers, more than MaxTransfers: %+v", transfers, recent)
			}
			recent = RecentTransfers(append(recent, protocol.LeadershipTransfer{From: fmt.Sprint(leader), To: to, Epoch: uint64(step), At: now, ReachableWorkers: ReachableByZone(zoneWorkers[leader])}), now)
			_, _ = fmt.Sscan(to, &leader)
		}
	})
}

func TestShouldDefer(t *testing.T) {
	transfers := []protocol.LeadershipTransfer{{From: "n0", To: "n1", Epoch: 7, At: 50 * sec}}
	for _, c := range []struct {
		self  string
		epoch uint64
		now   micros
		want  bool
	}{{"n2", 7, 50*sec + 1, true}, {"n1", 7, 50*sec + 1, false}, {"n2", 8, 50*sec + 1, false}, {"n2", 7, 60 * sec, false}} {
		if got := ShouldDefer(c.self, c.epoch, c.now, transfers); got != c.want {
			t.Errorf("%+v: defers: %v", c, got)
		}
	}
}

func TestHandoverState(t *testing.T) {
	older := protocol.HandoverState{Epoch: 3, At: 9 * sec, SilentHosts: []protocol.SilentHost{{Host: "n-000002", Since: 1 * sec}}}
	newer := protocol.HandoverState{
		Epoch: 4, At: 8 * sec, Partitions: []protocol.Partition{{Zone: "b", Since: 2 * sec, LastSeen: 7 * sec}},
		SilentHosts: []protocol.SilentHost{{Host: "n-000009", Since: 5 * sec}, {Host: "n-000003", Since: 4 * sec}, {Host: "n-000001", Since: 6 * sec}},
	}
	if got := Newest(older, newer); got.Epoch != 4 {
		t.Errorf("Newest returned the state of an earlier epoch: %+v", got)
	}
	if got := Newest(newer, older); got.Epoch != 4 {
		t.Errorf("Newest returned the state of an earlier epoch: %+v", got)
	}
	trimmed := Trim(newer, 2)
	if len(trimmed.SilentHosts) != 2 || trimmed.SilentHosts[0].Host != "n-000003" || trimmed.SilentHosts[1].Host != "n-000009" {
		t.Errorf("Trim did not keep the hosts that have been silent for longest: %+v", trimmed.SilentHosts)
	}
	in := Inherit(trimmed)
	if at, ok := in.SilentSince("n-000009", "a"); !ok || at != 5*sec {
		t.Errorf("listed silent host: silent since %v, %v", at, ok)
	}
	if at, ok := in.SilentSince("n-000044", "b"); !ok || at != 2*sec {
		t.Errorf("host in a partitioned zone: silent since %v, %v", at, ok)
	}
	if _, ok := in.SilentSince("n-000044", "a"); ok {
		t.Error("a host that is not in the handover state is reported as silent")
	}
}
