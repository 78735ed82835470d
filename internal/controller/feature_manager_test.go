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

// newStartedController makes and starts a controller, and returns its first effects.
func newStartedController(t *testing.T) (*Controller, []Effect) {
	t.Helper()
	p := &protocol.Platform{
		ControllerName: "n0", Peers: []protocol.Peer{{Name: "n1", Address: "n1"}}, StateRequestRate: 100, StateWriteRate: 20, MaxValueBytes: 8 << 10, MaxTxnChanges: 12,
		Teams: map[string]protocol.Team{"red": {Name: "red"}},
	}
	c := New(p, protocol.DefaultOperatorSettings(), 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return c, c.Start(instant{})
}

// callsContaining returns the calls among effects whose path or body contains a text.
func callsContaining(effects []Effect, text string) (list []Call) {
	for _, e := range effects {
		if call, ok := e.(Call); ok && (strings.Contains(call.Path, text) || strings.Contains(string(call.Body), text)) {
			list = append(list, call)
		}
	}
	return list
}

// A controller requests the leader lease only once the registry contains its version.
func TestUnregisteredControllerDoesNotLead(t *testing.T) {
	c, effects := newStartedController(t)
	leaderReads, entryReads := callsContaining(effects, "/store/lead"), callsContaining(effects, "/store/roster/n0")
	if len(leaderReads) != 1 || len(entryReads) != 1 {
		t.Fatalf("%v", effects)
	}
	at := micros(1000)
	step := func(ev Event) []Effect {
		at += 500 * protocol.Millisecond
		return c.Step(instant{Steady: at}, ev)
	}
	// answerNoLeader answers that there is no leader whenever the controller reads the leader key.
	answerNoLeader := func(effects []Effect) []Effect {
		for range 10 {
			effects = append(effects, step(Tick{})...)
			for _, read := range callsContaining(effects, "/store/lead") {
				effects = append(effects, step(CallResult{ID: read.ID, Status: 404, Body: []byte(`{"generation":1}`)})...)
			}
		}
		return effects
	}
	effects = answerNoLeader(step(CallResult{ID: leaderReads[0].ID, Status: 404, Body: []byte(`{"generation":1}`)}))
	if requests := callsContaining(effects, "/leases"); len(requests) > 0 {
		t.Fatalf("requests a lease before it is registered: %v", requests)
	}
	effects = step(CallResult{ID: entryReads[0].ID, Status: 404, Body: []byte(`{"generation":1}`)})
	written := callsContaining(effects, "/commit")
	if len(written) != 1 || !strings.Contains(string(written[0].Body), `{"when":[{"path":"roster/n0","stamp":0}],"then":[{"set":"roster/n0","data":{"form":1,"node":"n0","low":0,"high":1,`) {
		t.Fatalf("%v", written)
	}
	effects = append(effects, step(CallResult{ID: written[0].ID, Status: 200, Body: []byte(`{"generation":2}`)})...)
	if requests := callsContaining(answerNoLeader(effects), "/leases"); len(requests) == 0 {
		t.Error("does not request a lease after it is registered")
	}
}

const levelCondition = `{"path":"level","stamp":7}`

// applyLevel applies a level record with revision 7 to a controller.
func applyLevel(c *Controller, l featuregate.Level) {
	c.features.applyLevelRecord(protocol.Entry{Key: featuregate.KeyLevel, Value: featuregate.EncodeLevel(l), Revision: 7})
}

// The leader's writes whose format depends on the level are conditional on the level's record,
// since a late transaction of the leader may activate a level in between.
func TestWritesDependOnLevelRecord(t *testing.T) {
	c, _ := newStartedController(t)
	applyLevel(c, 1)
	c.recovery.start()
	term := c.term
	c.election.role = RoleLeader
	c.election.lease.validUntil = protocol.Forever
	term.launchesUnrecorded = true
	c.term.transfer.transferLeadership("n1", map[string]int{"a": 1})
	c.recovery.confirmLaunchesRecorded(term)
	c.features.persistMachineTypes(term)
	effects := c.flush()
	for _, key := range []string{records.KeyEpoch, records.KeyMachineTypes} {
		written := callsContaining(effects, `"set":"`+key+`"`)
		for _, w := range written {
			if !strings.Contains(string(w.Body), levelCondition) || !strings.Contains(string(w.Body), `{"form":3,`) {
				t.Errorf("write without the level condition or the later format: %s", w.Body)
			}
		}
		if want := map[string]int{records.KeyEpoch: 2, records.KeyMachineTypes: 1}[key]; len(written) != want {
			t.Errorf("unexpected number of writes: %d of %s", len(written), key)
		}
	}
}

// A submission accepted without the leader is conditional on the level's record. If the record has
// changed, the submission is refused and the record is read again.
func TestSubmissionWithoutLeaderDependsOnLevelRecord(t *testing.T) {
	c, _ := newStartedController(t)
	applyLevel(c, 1)
	c.catalog.types = []*protocol.MachineType{{Name: "big", Capacity: protocol.Resources{CPU: 8000, Memory: 64000}, Zones: []string{"a"}}}
	spec := &protocol.JobSpec{Ref: "req-000001", Class: "work", Team: "red", Tasks: 1, TaskResources: protocol.Resources{CPU: 1000, Memory: 1000}, Image: "i"}
	finished := 0
	c.submissions.submitWithoutLeader(submission{ReplyAddress{Conn: 1}, spec, func() { finished++ }})
	written := callsContaining(c.flush(), `"set":"j/req-000001"`)
	if len(written) != 1 || !strings.Contains(string(written[0].Body), levelCondition) {
		t.Fatalf("%v", written)
	}
	effects := c.Step(instant{Steady: 1000}, CallResult{ID: written[0].ID, Status: 409, Body: []byte(`{"failed":["level"],"generation":9}`)})
	refused := false
	for _, e := range effects {
		if r, ok := e.(Reply); ok {
			refused = r.Status == 503
		}
	}
	if !refused || finished != 1 || c.features.state.known || len(callsContaining(effects, "/store/level")) != 1 {
		t.Errorf("refused %v, finished %d, known %v, %v", refused, finished, c.features.state.known, effects)
	}
}

// Machine types that exceed the size of a value don't delay a level, and the list is not truncated:
// a controller with a partial list would reject jobs that fit the other types.
func TestMachineTypesBeyondValueLimit(t *testing.T) {
	c, _ := newStartedController(t)
	c.catalog.types = []*protocol.MachineType{{Name: "big", Capacity: protocol.Resources{CPU: 8000, Memory: 64000}, FetchRate: 0.001, Price: 1, SpotPrice: 1, BootTime: protocol.Second, Zones: []string{"a"}}}
	value, fits := c.catalog.encodeMachineTypes(1)
	if types, later, err := records.DecodeMachineTypes(value); err != nil || !later || !fits || len(types) != 1 {
		t.Errorf("%s, %v, %v", value, fits, err)
	}
	useStateLimits(c, 100, 12)
	value, fits = c.catalog.encodeMachineTypes(1)
	if _, later, err := records.DecodeMachineTypes(value); err == nil || !later || fits || len(value) > 100 {
		t.Errorf("%s, %v, %v", value, fits, err)
	}
	c.recovery.start()
	c.flush()
	c.features.persistMachineTypes(c.term)
	if written := callsContaining(c.flush(), `"set":"types"`); len(written) > 0 {
		t.Errorf("the stored machine types are overwritten: %s", written[0].Body)
	}
}

// The level that a controller has read never decreases, and decides which features are enabled.
func TestIsEnabled(t *testing.T) {
	c, _ := newStartedController(t)
	if c.features.isEnabled(featuregate.ChainedJobs) {
		t.Error("enabled before the level is read")
	}
	applyLevel(c, 1)
	if !c.features.isEnabled(featuregate.ChainedJobs) {
		t.Error("not enabled at its level")
	}
	c.features.applyLevelRecord(protocol.Entry{Key: featuregate.KeyLevel, Value: []byte(`{"torn":1}`), Revision: 9})
	if !c.features.isEnabled(featuregate.ChainedJobs) || c.features.state.known {
		t.Errorf("after a damaged record: %+v", c.features.state)
	}
	c.DisableFeatureLevels()
	if c.features.isEnabled(featuregate.ChainedJobs) {
		t.Error("enabled by a version without levels")
	}
}
