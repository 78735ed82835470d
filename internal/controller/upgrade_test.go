package controller

import (
	"io"
	"log/slog"
	"strings"
	"testing"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// levelled is a controller that has just been started.
func levelled(t *testing.T) (*Controller, []Effect) {
	t.Helper()
	p := &protocol.Platform{
		ControllerName: "n0", Peers: []protocol.Peer{{Name: "n1", Address: "n1"}}, StateRequestRate: 100, StateWriteRate: 20, MaxValueBytes: 8 << 10, MaxTxnChanges: 12,
		Teams: map[string]protocol.Team{"red": {Name: "red"}},
	}
	c := New(p, protocol.DefaultOperatorSettings(), 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return c, c.Start(instant{})
}

// calls are the calls among effects whose path or body has a text.
func calls(effects []Effect, text string) (list []Call) {
	for _, e := range effects {
		if call, ok := e.(Call); ok && (strings.Contains(call.Path, text) || strings.Contains(string(call.Body), text)) {
			list = append(list, call)
		}
	}
	return list
}

// A controller asks for the lease of a leader only once the roster has what it runs.
func TestNobodyLeadsUnlisted(t *testing.T) {
	c, effects := levelled(t)
	lead, entry := calls(effects, "/store/lead"), calls(effects, "/store/roster/n0")
	if len(lead) != 1 || len(entry) != 1 {
		t.Fatalf("%v", effects)
	}
	at := micros(1000)
	step := func(ev Event) []Effect {
		at += 500 * protocol.Millisecond
		return c.Step(instant{Steady: at}, ev)
	}
	// It finds no leader, again and again.
	play := func(effects []Effect) []Effect {
		for range 10 {
			effects = append(effects, step(Tick{})...)
			for _, read := range calls(effects, "/store/lead") {
				effects = append(effects, step(CallResult{ID: read.ID, Status: 404, Body: []byte(`{"generation":1}`)})...)
			}
		}
		return effects
	}
	effects = play(step(CallResult{ID: lead[0].ID, Status: 404, Body: []byte(`{"generation":1}`)}))
	if asked := calls(effects, "/leases"); len(asked) > 0 {
		t.Fatalf("asks for a lease before it is listed: %v", asked)
	}
	effects = step(CallResult{ID: entry[0].ID, Status: 404, Body: []byte(`{"generation":1}`)})
	written := calls(effects, "/commit")
	if len(written) != 1 || !strings.Contains(string(written[0].Body), `{"when":[{"path":"roster/n0","stamp":0}],"then":[{"set":"roster/n0","data":{"form":1,"node":"n0","low":0,"high":1,`) {
		t.Fatalf("%v", written)
	}
	effects = append(effects, step(CallResult{ID: written[0].ID, Status: 200, Body: []byte(`{"generation":2}`)})...)
	if asked := calls(play(effects), "/leases"); len(asked) == 0 {
		t.Error("listed, it does not ask for a lease")
	}
}

const underLevel = `{"path":"level","stamp":7}`

// atLevel has a controller know the level by a record with stamp 7.
func atLevel(c *Controller, l featuregate.Level) {
	c.features.applyLevelRecord(protocol.Entry{Key: featuregate.KeyLevel, Value: featuregate.EncodeLevel(l), Revision: 7})
}

// What a leader writes that has a form by the level depends on the level's record: a
// transaction of it that makes one active may be carried out in between.
func TestWritesUnderTheLevel(t *testing.T) {
	c, _ := levelled(t)
	atLevel(c, 1)
	c.recovery.startRecovery()
	term := c.term
	c.election.role = RoleLeader
	c.election.lease.validUntil = protocol.Forever
	term.launchesUnrecorded = true
	c.term.transfer.transferLeadership("n1", map[string]int{"a": 1})
	c.recovery.confirmLaunchesRecorded(term)
	c.features.persistMachineTypes(term)
	effects := c.flush()
	for _, key := range []string{records.KeyEpoch, records.KeyMachineTypes} {
		written := calls(effects, `"set":"`+key+`"`)
		for _, w := range written {
			if !strings.Contains(string(w.Body), underLevel) || !strings.Contains(string(w.Body), `{"form":3,`) {
				t.Errorf("%s", w.Body)
			}
		}
		if want := map[string]int{records.KeyEpoch: 2, records.KeyMachineTypes: 1}[key]; len(written) != want {
			t.Errorf("%d writes of %s", len(written), key)
		}
	}
}

// A controller that accepts by itself depends on the level's record, and reads it again when
// it is another one.
func TestDirectAcceptanceUnderTheLevel(t *testing.T) {
	c, _ := levelled(t)
	atLevel(c, 1)
	c.catalog.types = []*protocol.MachineType{{Name: "big", Capacity: protocol.Resources{CPU: 8000, Memory: 64000}, Zones: []string{"a"}}}
	spec := &protocol.JobSpec{Ref: "req-000001", Class: "work", Team: "red", Tasks: 1, TaskResources: protocol.Resources{CPU: 1000, Memory: 1000}, Image: "i"}
	over := 0
	c.submissions.submitWithoutLeader(ReplyAddress{Conn: 1}, spec, func() { over++ })
	written := calls(c.flush(), `"set":"j/req-000001"`)
	if len(written) != 1 || !strings.Contains(string(written[0].Body), underLevel) {
		t.Fatalf("%v", written)
	}
	effects := c.Step(instant{Steady: 1000}, CallResult{ID: written[0].ID, Status: 409, Body: []byte(`{"failed":["level"],"generation":9}`)})
	refused := false
	for _, e := range effects {
		if r, ok := e.(Reply); ok {
			refused = r.Status == 503
		}
	}
	if !refused || over != 1 || c.features.state.known || len(calls(effects, "/store/level")) != 1 {
		t.Errorf("refused %v, over %d, known %v, %v", refused, over, c.features.state.known, effects)
	}
}

// Machine types that are too many for a value don't hold a level up, and are not cut short:
// a controller that knew only some of them would refuse what fits the others.
func TestTypesThatDoNotFit(t *testing.T) {
	c, _ := levelled(t)
	c.catalog.types = []*protocol.MachineType{{Name: "big", Capacity: protocol.Resources{CPU: 8000, Memory: 64000}, FetchRate: 0.001, Price: 1, SpotPrice: 1, BootTime: protocol.Second, Zones: []string{"a"}}}
	value, fits := c.catalog.encodeMachineTypes(1)
	if types, later, err := records.DecodeMachineTypes(value); err != nil || !later || !fits || len(types) != 1 {
		t.Errorf("%s, %v, %v", value, fits, err)
	}
	c.store.limits.target.maxValueBytes = 100
	value, fits = c.catalog.encodeMachineTypes(1)
	if _, later, err := records.DecodeMachineTypes(value); err == nil || !later || fits || len(value) > 100 {
		t.Errorf("%s, %v, %v", value, fits, err)
	}
	c.recovery.startRecovery()
	c.flush()
	c.features.persistMachineTypes(c.term)
	if written := calls(c.flush(), `"set":"types"`); len(written) > 0 {
		t.Errorf("those that are kept are overwritten: %s", written[0].Body)
	}
}

// The level that is known never falls, and features are asked by it.
func TestAllows(t *testing.T) {
	c, _ := levelled(t)
	if c.features.featureEnabled(featuregate.ChainedJobs) {
		t.Error("allowed before anything is known")
	}
	atLevel(c, 1)
	if !c.features.featureEnabled(featuregate.ChainedJobs) {
		t.Error("not allowed at its level")
	}
	c.features.applyLevelRecord(protocol.Entry{Key: featuregate.KeyLevel, Value: []byte(`{"torn":1}`), Revision: 9})
	if !c.features.featureEnabled(featuregate.ChainedJobs) || c.features.state.known {
		t.Errorf("after a record that can't be read: %+v", c.features.state)
	}
	c.DisableFeatureLevels()
	if c.features.featureEnabled(featuregate.ChainedJobs) {
		t.Error("allowed by a version without levels")
	}
}
