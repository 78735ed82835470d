package rollout

import (
	"fmt"

	"mapleslip/internal/protocol"
)

// status returns the status of a service's roll-out.
func (m *Manager) status(sv *service) *protocol.RolloutStatus {
	r, s := sv.record, sv.spec()
	st := &protocol.RolloutStatus{
		Service: r.Service, ID: s.ID, State: r.State.String(), Reason: r.Reason, Stage: r.Stage + 1, Stages: s.Stages,
		Count: s.Count, MinHealthy: s.MinHealthy, MaxSurge: s.MaxSurge, Changes: r.Changes,
	}
	if r.State == Paused {
		st.Reason = fmt.Sprintf("in %s: %s", r.PausedIn, r.Reason)
	}
	versionStatus := func(v *Version, t tally) protocol.VersionStatus {
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
	st.Old, st.New = versionStatus(&r.Old, sv.oldTally), versionStatus(&r.New, sv.newTally)
	if r.State == Done { // the new version is now the old one of the record
		st.New, st.Old = st.Old, protocol.VersionStatus{}
	}
	st.New.Faulty = len(sv.faults)
	return st
}
