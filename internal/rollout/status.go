package rollout

import (
	"fmt"

	"mapleslip/internal/protocol"
)

// status says how a service's roll-out stands.
func (m *Manager) status(sv *service) *protocol.RolloutStatus {
	r, s := sv.record, sv.spec()
	st := &protocol.RolloutStatus{
		Service: r.Service, ID: s.ID, State: r.State.String(), Reason: r.Reason, Stage: r.Stage + 1, Stages: s.Stages,
		Count: s.Count, Floor: s.MinHealthy, Surge: s.MaxSurge, Changes: r.Changes,
	}
	if r.State == Paused {
		st.Reason = fmt.Sprintf("in %s: %s", r.PausedIn, r.Reason)
	}
	of := func(v *Version, t tally) protocol.VersionStatus {
		o := protocol.VersionStatus{Version: v.Hash, Instances: v.requestedInstances()}
		if !r.State.Ended() {
			o.Running, o.Healthy, o.Failing = t.running, t.healthy, t.failing
		}
		for _, b := range v.Batches {
			if !b.Leaving {
				o.Jobs = append(o.Jobs, b.Ref)
			}
		}
		return o
	}
	st.Old, st.New = of(&r.Old, sv.oldTally), of(&r.New, sv.newTally)
	if r.State == Done { // the new version is the one that serves
		st.New, st.Old = st.Old, protocol.VersionStatus{}
	}
	st.New.Faulty = len(sv.faults)
	return st
}
