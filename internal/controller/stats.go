package controller

import (
	"maps"

	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// Stats is what a controller has counted since it began, and how it stands. The
// maps' keys are of fixed sets, or classes of jobs.
type Stats struct {
	Role             Role
	Epoch            uint64
	SchedulingSteps  uint64
	SchedulingCycles uint64
	RowsByStage      [4]uint64 // looked at, by stage of a pass
	CutStepsByStage  [4]uint64 // rounds that reached their bound, by stage
	Refused          map[string]uint64
	Malformed        uint64
	Failovers        uint64
	LostTasks        uint64            // tasks that ended with their machine
	Checks           map[string]uint64 // of instances, by what became of them: passed, failed, unmade
	DisputedChecks   uint64            // checks that failed where another controller saw nothing wrong

	ConfigChanges  uint64        // revisions made
	ConfigOutdated uint64        // transactions refused because the head was another one
	Config         *ConfigStats  // nil: the configuration does not change while this runs
	Features       *FeatureStats // nil: this controller behaves as one that knows of no levels

	// What a leader knows. Nothing else has them.
	Hosts             map[string]int                    // by state
	WaitingJobs       map[string]int                    // jobs with tasks that wait for a place, by class
	RunningTasks      map[string]int                    // tasks, by class
	Objectives        map[slo.Kind]map[string]slo.Count // jobs that had what is asked of their class, or were too late, by class and by team
	LongestStartWait  map[string]micros                 // for which a largest job of a class has waited to begin, by class
	BlockedJobs       int                               // jobs that await others
	UnreconciledHosts int                               // recorded hosts that have not been heard of in this epoch
	Rollouts          map[string]int                    // by state; nil where they are off
}

// Snapshot is how the controller stands. It costs a look at every job and host.
func (c *Controller) Snapshot() Stats {
	s := c.stats
	s.Role, s.Epoch = c.election.role, c.election.lease.epoch
	if c.term == nil && c.election.leader.Epoch > s.Epoch {
		s.Epoch = c.election.leader.Epoch
	}
	s.Config = c.config.configStats()
	s.Features = c.features.featureStats()
	s.Refused, s.Checks = maps.Clone(c.stats.Refused), maps.Clone(c.stats.Checks)
	if c.term == nil {
		return s
	}
	if g := c.term.rollouts.manager; g != nil {
		s.Rollouts = g.States()
	}
	s.Objectives, s.LongestStartWait = make(map[slo.Kind]map[string]slo.Count), maps.Clone(c.term.objectives.longestStartWait)
	for _, k := range slo.Kinds() {
		s.Objectives[k] = c.term.objectives.window.Counts(k)
	}
	s.Hosts, s.WaitingJobs, s.RunningTasks = make(map[string]int), make(map[string]int), make(map[string]int)
	for _, h := range c.term.cluster.Hosts() {
		s.Hosts[h.State.String()]++
		if h.Record.FromEarlierEpoch && !h.Reconciled {
			s.UnreconciledHosts++
		}
	}
	for _, j := range c.term.cluster.Jobs() {
		if j.State == state.JobBlocked {
			s.BlockedJobs++
		}
		if j.State != state.JobActive {
			continue
		}
		if j.QueuedTasks > 0 {
			s.WaitingJobs[j.Spec.Class]++
		}
		s.RunningTasks[j.Spec.Class] += j.RunningTasks
	}
	return s
}
