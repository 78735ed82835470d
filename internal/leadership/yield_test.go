package leadership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
)

const sec = protocol.Second

func TestJudge(t *testing.T) {
	cut := map[string]Zone{"a": {All: 300}, "b": {All: 600, Silent: 600}, "c": {All: 200, Silent: 3}}
	deaf := map[string]Zone{"a": {All: 30, Silent: 30}, "b": {All: 60, Silent: 50, Relayed: 10}}
	gave := func(node string, epoch uint64, heard int) protocol.Yield {
		return protocol.Yield{Node: node, To: "x", Epoch: epoch, At: 100 * sec, Heard: map[string]int{"a": heard}}
	}
	for name, c := range map[string]struct {
		own    map[string]Zone
		others map[string]Hearing
		past   []protocol.Yield
		to     string
		want   Verdict
	}{
		"most are heard": {map[string]Zone{"a": {All: 10, Silent: 4}}, map[string]Hearing{"n1": {"a": 4}}, nil, "", HearsMost},
		// Each worker came by the others after the end of all controllers: those
		// of the zones that are heard here are no reason to yield.
		"a cut":                         {cut, map[string]Hearing{"n1": {"a": 300, "c": 200}}, nil, "", NobodyHears},
		"deaf":                          {deaf, map[string]Hearing{"n1": {"a": 10, "b": 20}, "n2": {"a": 10, "b": 25}}, nil, "n2", Yields},
		"the one before heard as many":  {deaf, map[string]Hearing{"n1": {"a": 30, "b": 60}}, []protocol.Yield{gave("n1", 4, 0)}, "", HearsNoMore},
		"one that does not tell zones":  {deaf, map[string]Hearing{"n1": {"": 90}}, nil, "n1", Yields},
		"whoever hears them gave it up": {map[string]Zone{"a": {All: 90, Silent: 80}}, map[string]Hearing{"n1": {"a": 80}}, []protocol.Yield{gave("n1", 4, 5)}, "", NoneLeft},
		"twice": {
			map[string]Zone{"a": {All: 90, Silent: 80}},
			map[string]Hearing{"n3": {"a": 80}},
			[]protocol.Yield{gave("n1", 4, 2), gave("n2", 5, 3)},
			"", Settled,
		},
		"twice, long ago": {
			map[string]Zone{"a": {All: 90, Silent: 80}},
			map[string]Hearing{"n3": {"a": 80}},
			[]protocol.Yield{{Node: "n1", At: -600 * sec}, {Node: "n2", At: -500 * sec}},
			"n3", Yields,
		},
	} {
		if to, v := Judge(110*sec, c.own, c.others, c.past); to != c.to || v != c.want {
			t.Errorf("%s: %q, %v", name, to, v)
		}
	}
}

// Controllers and workers that hear each other or don't, as it is drawn and as it then
// stays; what a controller tells of the workers that come to it is drawn too, since it
// may be old or wrong. Whoever leads first, the lease is given back MostYields times at
// the most, and never by one that hears no more than the one before it.
func TestTheLeaderSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 7).Draw(t, "nodes")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		own := make([]map[string]Zone, nodes)
		for n := range own {
			own[n] = make(map[string]Zone)
		}
		for z := range zones {
			all := rapid.IntRange(0, 40).Draw(t, "workers")
			for n := range own {
				silent := rapid.IntRange(0, all).Draw(t, "silent")
				own[n][fmt.Sprint(z)] = Zone{All: all, Silent: silent, Relayed: rapid.IntRange(0, all-silent).Draw(t, "relayed")}
			}
		}
		var past []protocol.Yield
		leader, yields := 0, 0
		for step := range 40 {
			now := micros(step) * 10 * sec
			others := make(map[string]Hearing)
			for n := range nodes {
				if n != leader && rapid.IntRange(0, 4).Draw(t, "answers") > 0 {
					h := make(Hearing)
					for z := range zones {
						h[fmt.Sprint(z)] = rapid.IntRange(0, 60).Draw(t, "heard")
					}
					others[fmt.Sprint(n)] = h
				}
			}
			to, v := Judge(now, own[leader], others, past)
			if v != Yields {
				continue
			}
			heard := Hearing(HeardOf(own[leader])).Total()
			if len(past) > 0 && heard <= Hearing(past[len(past)-1].Heard).Total() {
				t.Fatalf("%d hears %d, no more than the one before it: %+v", leader, heard, past)
			}
			if yields++; yields > MostYields {
				t.Fatalf("%d yields: %+v", yields, past)
			}
			past = Recent(append(past, protocol.Yield{Node: fmt.Sprint(leader), To: to, Epoch: uint64(step), At: now, Heard: HeardOf(own[leader])}), now)
			fmt.Sscan(to, &leader)
		}
	})
}

func TestFirstTurn(t *testing.T) {
	past := []protocol.Yield{{Node: "n0", To: "n1", Epoch: 7, At: 50 * sec}}
	for _, c := range []struct {
		self  string
		epoch uint64
		now   micros
		waits bool
	}{{"n2", 7, 50*sec + 1, true}, {"n1", 7, 50*sec + 1, false}, {"n2", 8, 50*sec + 1, false}, {"n2", 7, 60 * sec, false}} {
		if got := Waits(c.self, c.epoch, c.now, past); got != c.waits {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestMemory(t *testing.T) {
	older := protocol.Memory{Epoch: 3, At: 9 * sec, Silent: []protocol.Silence{{Host: "n-000002", Since: 1 * sec}}}
	newer := protocol.Memory{
		Epoch: 4, At: 8 * sec, Cuts: []protocol.Cut{{Zone: "b", Since: 2 * sec, Seen: 7 * sec}},
		Silent: []protocol.Silence{{Host: "n-000009", Since: 5 * sec}, {Host: "n-000003", Since: 4 * sec}, {Host: "n-000001", Since: 6 * sec}},
	}
	if got := Newer(older, newer); got.Epoch != 4 {
		t.Errorf("%+v", got)
	}
	if got := Newer(newer, older); got.Epoch != 4 {
		t.Errorf("%+v", got)
	}
	trimmed := Trim(newer, 2)
	if len(trimmed.Silent) != 2 || trimmed.Silent[0].Host != "n-000003" || trimmed.Silent[1].Host != "n-000009" {
		t.Errorf("those that have been silent for longest stay: %+v", trimmed.Silent)
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
