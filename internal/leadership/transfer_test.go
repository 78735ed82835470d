package leadership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
)

const sec = protocol.Second

func TestDecide(t *testing.T) {
	cut := map[string]ZoneWorkers{"a": {All: 300}, "b": {All: 600, Silent: 600}, "c": {All: 200, Silent: 3}}
	deaf := map[string]ZoneWorkers{"a": {All: 30, Silent: 30}, "b": {All: 60, Silent: 50, Relayed: 10}}
	gave := func(node string, epoch uint64, heard int) protocol.LeadershipTransfer {
		return protocol.LeadershipTransfer{From: node, To: "x", Epoch: epoch, At: 100 * sec, ReachableWorkers: map[string]int{"a": heard}}
	}
	for name, c := range map[string]struct {
		own    map[string]ZoneWorkers
		others map[string]Reachability
		past   []protocol.LeadershipTransfer
		to     string
		want   Decision
	}{
		"most are heard": {map[string]ZoneWorkers{"a": {All: 10, Silent: 4}}, map[string]Reachability{"n1": {"a": 4}}, nil, "", KeepHearsMost},
		// Each worker came by the others after the end of all controllers: those
		// of the zones that are heard here are no reason to yield.
		"a cut":                         {cut, map[string]Reachability{"n1": {"a": 300, "c": 200}}, nil, "", KeepNobodyHearsMore},
		"deaf":                          {deaf, map[string]Reachability{"n1": {"a": 10, "b": 20}, "n2": {"a": 10, "b": 25}}, nil, "n2", Transfer},
		"the one before heard as many":  {deaf, map[string]Reachability{"n1": {"a": 30, "b": 60}}, []protocol.LeadershipTransfer{gave("n1", 4, 0)}, "", KeepNoImprovement},
		"one that does not tell zones":  {deaf, map[string]Reachability{"n1": {"": 90}}, nil, "n1", Transfer},
		"whoever hears them gave it up": {map[string]ZoneWorkers{"a": {All: 90, Silent: 80}}, map[string]Reachability{"n1": {"a": 80}}, []protocol.LeadershipTransfer{gave("n1", 4, 5)}, "", KeepNoSuccessor},
		"twice": {
			map[string]ZoneWorkers{"a": {All: 90, Silent: 80}},
			map[string]Reachability{"n3": {"a": 80}},
			[]protocol.LeadershipTransfer{gave("n1", 4, 2), gave("n2", 5, 3)},
			"", KeepTransferLimit,
		},
		"twice, long ago": {
			map[string]ZoneWorkers{"a": {All: 90, Silent: 80}},
			map[string]Reachability{"n3": {"a": 80}},
			[]protocol.LeadershipTransfer{{From: "n1", At: -600 * sec}, {From: "n2", At: -500 * sec}},
			"n3", Transfer,
		},
	} {
		if to, v := Decide(110*sec, c.own, c.others, c.past); to != c.to || v != c.want {
			t.Errorf("%s: %q, %v", name, to, v)
		}
	}
}

// Controllers and workers that hear each other or don't, as it is drawn and as it then
// stays; what a controller tells of the workers that come to it is drawn too, since it
// may be old or wrong. Whoever leads first, the lease is given back MaxTransfers times at
// the most, and never by one that hears no more than the one before it.
func TestTransfersSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 7).Draw(t, "nodes")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		own := make([]map[string]ZoneWorkers, nodes)
		for n := range own {
			own[n] = make(map[string]ZoneWorkers)
		}
		for z := range zones {
			all := rapid.IntRange(0, 40).Draw(t, "workers")
			for n := range own {
				silent := rapid.IntRange(0, all).Draw(t, "silent")
				own[n][fmt.Sprint(z)] = ZoneWorkers{All: all, Silent: silent, Relayed: rapid.IntRange(0, all-silent).Draw(t, "relayed")}
			}
		}
		var past []protocol.LeadershipTransfer
		leader, yields := 0, 0
		for step := range 40 {
			now := micros(step) * 10 * sec
			others := make(map[string]Reachability)
			for n := range nodes {
				if n != leader && rapid.IntRange(0, 4).Draw(t, "answers") > 0 {
					h := make(Reachability)
					for z := range zones {
						h[fmt.Sprint(z)] = rapid.IntRange(0, 60).Draw(t, "heard")
					}
					others[fmt.Sprint(n)] = h
				}
			}
			to, v := Decide(now, own[leader], others, past)
			if v != Transfer {
				continue
			}
			heard := Reachability(ReachableByZone(own[leader])).Total()
			if len(past) > 0 && heard <= Reachability(past[len(past)-1].ReachableWorkers).Total() {
				t.Fatalf("%d hears %d, no more than the one before it: %+v", leader, heard, past)
			}
			if yields++; yields > MaxTransfers {
				t.Fatalf("%d yields: %+v", yields, past)
			}
			past = RecentTransfers(append(past, protocol.LeadershipTransfer{From: fmt.Sprint(leader), To: to, Epoch: uint64(step), At: now, ReachableWorkers: ReachableByZone(own[leader])}), now)
			_, _ = fmt.Sscan(to, &leader)
		}
	})
}

func TestShouldDefer(t *testing.T) {
	past := []protocol.LeadershipTransfer{{From: "n0", To: "n1", Epoch: 7, At: 50 * sec}}
	for _, c := range []struct {
		self  string
		epoch uint64
		now   micros
		waits bool
	}{{"n2", 7, 50*sec + 1, true}, {"n1", 7, 50*sec + 1, false}, {"n2", 8, 50*sec + 1, false}, {"n2", 7, 60 * sec, false}} {
		if got := ShouldDefer(c.self, c.epoch, c.now, past); got != c.waits {
			t.Errorf("%+v: %v", c, got)
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
		t.Errorf("%+v", got)
	}
	if got := Newest(newer, older); got.Epoch != 4 {
		t.Errorf("%+v", got)
	}
	trimmed := Trim(newer, 2)
	if len(trimmed.SilentHosts) != 2 || trimmed.SilentHosts[0].Host != "n-000003" || trimmed.SilentHosts[1].Host != "n-000009" {
		t.Errorf("those that have been silent for longest stay: %+v", trimmed.SilentHosts)
	}
	in := Inherit(trimmed)
	if at, ok := in.SilentSince("n-000009", "a"); !ok || at != 5*sec {
		t.Errorf("%v %v", at, ok)
	}
	if at, ok := in.SilentSince("n-000044", "b"); !ok || at != 2*sec {
		t.Errorf("a machine behind the cut: %v %v", at, ok)
	}
	if _, ok := in.SilentSince("n-000044", "a"); ok {
		t.Error("a machine that nothing is known of")
	}
}
