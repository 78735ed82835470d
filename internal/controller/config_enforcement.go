package controller

import (
	"slices"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// withdrawOutdatedDecisions takes back what a leader has decided by an earlier revision and not
// carried out yet. Hosts are looked at only where the change is about them.
func (cm *configManager) withdrawOutdatedDecisions(previous *configuration.Settings) {
	if hasDrains(previous) || hasDrains(cm.state.settings) {
		cm.withdrawFromDrainedHosts(previous)
	}
	for name, team := range cm.state.settings.Teams {
		old := previous.Teams[name]
		if old.Limit == team.Limit && old.Guarantee == team.Guarantee {
			continue
		}
		// A cycle under way has its jobs in the order of the guarantees before.
		cm.term.scheduler.cycle = nil
		cm.withdrawOverLimit(name, team.Limit)
	}
	cm.term.cycleNeeded = true
}

func hasDrains(s *configuration.Settings) bool {
	return len(s.Zones)+len(s.Machines)+len(s.Nets) > 0
}

// withdrawFromDrainedHosts takes back assignments to hosts that are drained now.
func (cm *configManager) withdrawFromDrainedHosts(previous *configuration.Settings) {
	for _, h := range cm.term.cluster.Hosts() {
		drain := cm.drainOf(h)
		if drain == previous.DrainOf(h.Name, h.Zone, h.Addr) {
			continue
		}
		h.Stale = true
		if drain == configuration.NotDrained {
			continue
		}
		for _, a := range h.Attempts() {
			cm.withdraw(a)
		}
	}
}

// withdrawOverLimit takes back assignments of a team until it is within its limit.
func (cm *configManager) withdrawOverLimit(team string, limit protocol.Resources) {
	cluster := cm.term.cluster
	if withinLimit(limit, cluster.UsedByTeam[team]) {
		return
	}
	cm.forEachTeamAttempt(team, func(a *state.Attempt) bool {
		cm.withdraw(a)
		return !withinLimit(limit, cluster.UsedByTeam[team])
	})
}

// withdraw takes back an attempt that does not run yet. A launch that may be on its way is
// repeated until the worker knows it; with the stop behind it nothing of it runs.
func (cm *configManager) withdraw(a *state.Attempt) {
	if a.State == state.AttemptAssigned || a.State == state.AttemptLaunched && a.LaunchUncertain {
		cm.term.commands.requestStop(a, 0)
	}
}

// forEachTeamAttempt goes through the attempts of a team's jobs, those that come last in the
// queue first, until more returns false.
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

// enforceRevision stops what runs against the revision in force, where that says so: on drained
// hosts, and above a team's limit. It does so again and again, so that a new leader goes on
// with it.
func (cm *configManager) enforceRevision() {
	if cm.state == nil || !cm.election.mayActAsLeader() {
		return
	}
	if hasDrains(cm.state.settings) {
		cm.stopOnDrainedHosts()
	}
	for name, team := range cm.state.settings.Teams {
		if team.StopExcess {
			cm.stopExcess(name, team.Limit)
		}
	}
}

func (cm *configManager) stopOnDrainedHosts() {
	for _, h := range cm.term.cluster.Hosts() {
		if h.Empty() || cm.drainOf(h) != configuration.DrainStop {
			continue
		}
		for _, a := range h.Attempts() {
			if a.State.HoldsResources() && !a.StopRequested {
				cm.term.commands.requestCheckpointedStop(a)
			}
		}
	}
}

// stopExcess stops attempts of a team until it is within its limit. What is told to stop counts
// until it is gone; nothing more is stopped for it.
func (cm *configManager) stopExcess(team string, limit protocol.Resources) {
	used := cm.term.cluster.UsedByTeam[team]
	if withinLimit(limit, used) {
		return
	}
	cm.forEachTeamAttempt(team, func(a *state.Attempt) bool {
		if a.StopRequested && a.State.MayRun() {
			used = used.Add(a.Job.Spec.TaskResources, -1)
		}
		return true
	})
	cm.forEachTeamAttempt(team, func(a *state.Attempt) bool {
		if withinLimit(limit, used) {
			return false
		}
		if a.State.HoldsResources() && !a.StopRequested {
			used = used.Add(a.Job.Spec.TaskResources, -1)
			cm.term.commands.requestCheckpointedStop(a)
		}
		return true
	})
}
