package controller

import (
	"bytes"
	"errors"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/statestore"
)

const (
	// tooLongRetry is the interval at which the size of a record that is too long is checked again.
	tooLongRetry = 30 * protocol.Second

	rolloutSaveRetry     = 300 * protocol.Millisecond
	rolloutConflictRetry = 500 * protocol.Millisecond
)

// readRolloutRecord loads a record of a roll-out. A record that can't be read blocks roll-outs of
// its service, and nothing else.
func (rd *rolloutDriver) readRolloutRecord(e protocol.Entry) {
	t := rd.term
	service := e.Key[len(rollout.Prefix):]
	if err := t.rollouts.manager.Load(rd.now.Steady, e.Value); err != nil {
		rd.log.Error("damaged record", "key", e.Key, "err", err)
		t.rollouts.damaged[service] = true
		return
	}
	t.rollouts.revisions[service] = e.Revision
}

// save makes a roll-out's record durable. It retries until the record is written or this controller
// no longer leads.
func (rd *rolloutDriver) save(t *leaderTerm, e rollout.Save) {
	if rd.isTooLong(t, e) {
		rd.saveLater(t, e, tooLongRetry)
		return
	}
	key := rollout.Prefix + e.Service
	conditions := []protocol.Condition{{Key: key, Revision: t.rollouts.revisions[e.Service]}}
	changes := []protocol.Change{{Key: key, Value: e.Value}}
	rd.election.transaction(priorityUser, conditions, changes, func(revision uint64, err error) {
		switch {
		case err == nil:
			rd.onSaved(t, e, revision)
		case statestore.IsConflict(err):
			rd.resolveSaveConflict(t, e)
		default:
			rd.saveLater(t, e, rolloutSaveRetry)
		}
	})
}

func (rd *rolloutDriver) saveLater(t *leaderTerm, e rollout.Save, delay micros) {
	rd.after(delay, func() {
		if rd.term == t {
			rd.save(t, e)
		}
	})
}

// isTooLong reports whether a record is longer than the state service accepts, because the roll-out
// was started under larger limits. Such a roll-out makes no progress, but its jobs continue.
func (rd *rolloutDriver) isTooLong(t *leaderTerm, e rollout.Save) bool {
	limit := rd.store.Accepted().MaxValueBytes
	if len(e.Value) <= limit {
		return false
	}
	if !t.rollouts.tooLong[e.Service] {
		t.rollouts.tooLong[e.Service] = true
		rd.log.Error("the record of a roll-out is too long for the state service", "service", e.Service, "bytes", len(e.Value), "most", limit)
	}
	return true
}

func (rd *rolloutDriver) onSaved(t *leaderTerm, e rollout.Save, revision uint64) {
	t.rollouts.revisions[e.Service] = revision
	rd.step(rollout.Saved{Service: e.Service})
}

// resolveSaveConflict reads a record that does not have the expected revision. Only leaders write
// it, so an earlier write of this leader may have been executed late.
func (rd *rolloutDriver) resolveSaveConflict(t *leaderTerm, e rollout.Save) {
	rd.store.Get(priorityUser, rollout.Prefix+e.Service, func(stored protocol.Entry, err error) {
		switch {
		case rd.term != t:
		case err == nil && equalJSON(stored.Value, e.Value):
			rd.onSaved(t, e, stored.Revision)
		default:
			if err == nil || errors.Is(err, statestore.ErrKeyNotFound) {
				t.rollouts.revisions[e.Service] = stored.Revision // 0 if the record does not exist
			}
			rd.saveLater(t, e, rolloutConflictRetry)
		}
	})
}

// equalJSON reports whether two JSON texts differ at most in white space, which the state service
// may change.
func equalJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	compactA, errA := compactJSON(a)
	compactB, errB := compactJSON(b)
	return errA == nil && errB == nil && bytes.Equal(compactA, compactB)
}

func compactJSON(text []byte) ([]byte, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := protocol.ParseValue(p, text)
	if err != nil {
		return nil, err
	}
	return v.MarshalTo(nil), nil
}
