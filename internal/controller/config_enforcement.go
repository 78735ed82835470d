package controller

import (
	"slices"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// withdrawOutdatedDecisions withdraws decisions that the leader made under the previous revision
// and has not carried out yet. It examines the hosts only if one of the two revisions has drains.
func (cm *configManager) withdrawOutdatedDecisions(previous *configuration.Settings) {
	if hasDrains(previous) || hasDrains(cm.state.settings) {
		cm.withdrawFromDrainedHosts(previous)
	}
	for name, team := range cm.state.settings.Teams {
		old := previous.Teams[name]
		if old.Limit == team.Limit && old.Guarantee == team.Guarantee {
			continue
		}
		// The cycle in progress has ordered its jobs by the previous guarantees.
		cm.term.scheduler.cycle = nil
		cm.withdrawOverLimit(name, team.Limit)
	}
	cm.term.cycleNeeded = true
}

func hasDrains(s *configuration.Settings) bool {
	return len(s.Zones)+len(s.Machines)+len(s.Nets) > 0
}

// withdrawFromDrainedHosts withdraws assignments to drained hosts that the previous revision did
// not drain, or drained differently.
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

// withdrawOverLimit withdraws assignments of a team until the team is within its limit.
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

// withdraw withdraws an attempt that does not run yet. A launch that may be in flight is repeated
// until the worker reports the attempt; the stop that is sent with it keeps the task from running.
func (cm *configManager) withdraw(a *state.Attempt) {
	if a.State == state.AttemptAssigned || a.State == state.AttemptLaunched && a.LaunchUncertain {
		cm.term.commands.requestStop(a, 0)
	}
}

// forEachTeamAttempt visits the attempts of a team's jobs until visit returns false. The jobs that
// were submitted last come first.
func (cm *configManager) forEachTeamAttempt(team string, visit func(*state.Attempt) bool) {
	for _, j := range slices.Backward(slices.Clone(cm.term.cluster.Jobs())) {
		if j.Spec.Team != team {
			continue
		}
		for _, a := range slices.Clone(j.ActiveAttempts()) {
			if !visit(a) {
				return
			}
		}
	}
}

// enforceRevision stops tasks that run against the revision in force, where the revision demands
// it: on drained hosts, and above a team's limit. It runs periodically, so that a new leader
// continues the enforcement.
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

// stopExcess stops attempts of a team until the team is within its limit. An attempt that is being
// stopped uses resources until it is gone, but no further attempt is stopped because of it.
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
