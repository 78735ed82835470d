package controller

import (
	"maps"

	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// stageCount is the number of a scheduling cycle's stages.
const stageCount = int(stageScaling) + 1

// Stats is what a controller has counted since it began, and how it stands. The maps' keys are
// of fixed sets, or classes of jobs.
type Stats struct {
	Role             Role
	Epoch            uint64
	SchedulingSteps  uint64
	SchedulingCycles uint64
	RowsByStage      [stageCount]uint64 // of the slot table that were looked at, by stage of a cycle
	CutStepsByStage  [stageCount]uint64 // scheduling steps that reached their limit, by stage
	Refused          map[string]uint64  // requests, by reason
	Malformed        uint64             // messages that did not follow the protocol
	Failovers        uint64
	LostTasks        uint64            // tasks that ended with their host
	Checks           map[string]uint64 // of instances, by outcome
	DisputedChecks   uint64            // checks that failed where another controller saw nothing wrong

	ConfigChanges  uint64        // revisions made
	ConfigOutdated uint64        // transactions refused because the head had changed
	Config         *ConfigStats  // nil: the configuration does not change while this runs
	Features       *FeatureStats // nil: this controller behaves as one that knows of no levels

	// What only a leader knows.
	Hosts             map[string]int                    // by state
	WaitingJobs       map[string]int                    // jobs with tasks that wait for a place, by class
	RunningTasks      map[string]int                    // by class
	Objectives        map[slo.Kind]map[string]slo.Count // jobs that met their objectives or did not, by class and by team
	LongestStartWait  map[string]micros                 // for which a largest job of a class has waited to start, by class
	BlockedJobs       int                               // jobs that wait for others
	UnreconciledHosts int                               // recorded hosts that have not been heard of in this term
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
	if c.term != nil {
		c.term.addTo(&s)
	}
	return s
}

// addTo adds what a leader knows.
func (t *leaderTerm) addTo(s *Stats) {
	if t.rollouts.manager != nil {
		s.Rollouts = t.rollouts.manager.States()
	}
	s.LongestStartWait = maps.Clone(t.objectives.longestStartWait)
	s.Objectives = make(map[slo.Kind]map[string]slo.Count)
	for _, k := range slo.Kinds() {
		s.Objectives[k] = t.objectives.window.Counts(k)
	}
	t.addHosts(s)
	t.addJobs(s)
}

func (t *leaderTerm) addHosts(s *Stats) {
	s.Hosts = make(map[string]int)
	for _, h := range t.cluster.Hosts() {
		s.Hosts[h.State.String()]++
		if h.Record.FromEarlierEpoch && !h.Reconciled {
			s.UnreconciledHosts++
		}
	}
}

func (t *leaderTerm) addJobs(s *Stats) {
	s.WaitingJobs, s.RunningTasks = make(map[string]int), make(map[string]int)
	for _, j := range t.cluster.Jobs() {
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
}
