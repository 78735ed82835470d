package controller

import (
	"slices"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// withdrawOutdatedDecisions takes back what a leader has decided by an earlier revision and not carried
// out yet. Rows are touched where the change is about them, and nowhere else.
func (cm *configManager) withdrawOutdatedDecisions(was *configuration.Settings) {
	t := cm.term
	s := cm.state.settings
	back := func(a *state.Attempt) {
		// A launch that may be on its way is repeated until the worker knows it; with the
		// stop behind it nothing of it runs.
		if a.State == state.AttemptAssigned || a.State == state.AttemptLaunched && a.LaunchUncertain {
			cm.term.commands.requestStop(a, 0)
		}
	}
	if drains := func(s *configuration.Settings) int { return len(s.Zones) + len(s.Machines) + len(s.Nets) }; drains(was)+drains(s) > 0 {
		for _, h := range t.cluster.Hosts() {
			if d := cm.drainOf(h); d != was.Drained(h.Name, h.Zone, h.Addr) {
				h.Stale = true
				if d != configuration.NotDrained {
					for _, a := range h.Attempts() {
						back(a)
					}
				}
			}
		}
	}
	for name, team := range s.Teams {
		if old := was.Teams[name]; old.Limit == team.Limit && old.Guarantee == team.Guarantee {
			continue
		}
		// A pass under way has its jobs in the order of the guarantees before.
		t.scheduler.cycle = nil
		if !withinLimit(team.Limit, t.cluster.UsedByTeam[name]) {
			cm.forEachTeamAttempt(name, func(a *state.Attempt) bool {
				back(a)
				return !withinLimit(team.Limit, t.cluster.UsedByTeam[name])
			})
		}
	}
	t.cycleNeeded = true
}

// forEachTeamAttempt goes through the attempts of a team's jobs, those that come last in line first,
// as long as more says so.
func (cm *configManager) forEachTeamAttempt(team string, more func(*state.Attempt) bool) {
	for _, j := range slices.Backward(slices.Clone(cm.term.cluster.Jobs())) {
		if j.Spec.Team != team {
			continue
		}
		for _, a := range slices.Clone(j.ActiveAttempts()) {
			if !more(a) {
				return
			}
		}
	}
}

// enforce stops what runs against the revision in force, where it says so: on drained
// machines, and above a team's limit. It is looked at again and again, so that a new
// leader goes on with it.
func (cm *configManager) enforceRevision() {
	if cm.state == nil || !cm.election.mayActAsLeader() {
		return
	}
	t, s := cm.term, cm.state.settings
	gently := func(a *state.Attempt) {
		grace := micros(0)
		if a.Job != nil && a.Job.Spec.CanCheckpoint() {
			grace = a.Job.Spec.CheckpointDuration + protocol.Second
		}
		cm.term.commands.requestStop(a, grace)
	}
	if len(s.Zones)+len(s.Machines)+len(s.Nets) > 0 {
		for _, h := range t.cluster.Hosts() {
			if h.Empty() || cm.drainOf(h) != configuration.DrainStop {
				continue
			}
			for _, a := range h.Attempts() {
				if a.State.HoldsResources() && !a.StopRequested {
					gently(a)
				}
			}
		}
	}
	for name, team := range s.Teams {
		used := t.cluster.UsedByTeam[name]
		if !team.StopExcess || withinLimit(team.Limit, used) {
			continue
		}
		// What is told to stop counts until it is gone; nothing more is stopped for it.
		cm.forEachTeamAttempt(name, func(a *state.Attempt) bool {
			if a.StopRequested && a.State.MayRun() {
				used = used.Add(a.Job.Spec.TaskResources, -1)
			}
			return true
		})
		cm.forEachTeamAttempt(name, func(a *state.Attempt) bool {
			if withinLimit(team.Limit, used) {
				return false
			}
			if a.State.HoldsResources() && !a.StopRequested {
				used = used.Add(a.Job.Spec.TaskResources, -1)
				gently(a)
			}
			return true
		})
	}
}
