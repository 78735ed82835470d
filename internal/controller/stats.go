package controller

import (
	"maps"

	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// stageCount is the number of a scheduling cycle's stages.
const stageCount = int(stageScaling) + 1

// Stats contains a controller's counters since its start and its current state. The keys of the
// maps are from fixed sets, or are classes of jobs.
type Stats struct {
	Role             Role
	Epoch            uint64
	SchedulingSteps  uint64
	SchedulingCycles uint64
	RowsByStage      [stageCount]uint64 // visited rows of the slot table, by cycle stage
	CutStepsByStage  [stageCount]uint64 // scheduling steps that reached their limit, by stage
	Refused          map[string]uint64  // refused requests, by reason
	Rejected         map[string]uint64  // submissions refused for good, by reason
	Answers          map[string]uint64  // jobs' states told to users, by source
	Malformed        uint64             // messages that did not follow the protocol
	Failovers        uint64
	LostTasks        uint64            // tasks that ended with their host
	Checks           map[string]uint64 // health checks of instances, by outcome
	DisputedChecks   uint64            // failed checks that succeeded from another controller

	TokenRaises       uint64 // fencing tokens raised for one worker
	ForgottenAttempts uint64 // commands to forget an attempt
	RefusedCommands   uint64 // direct commands that a worker refused
	RevivedAttempts   uint64 // attempts of this term that were on their host again after their end

	ConfigChanges  uint64        // created revisions of the configuration
	ConfigOutdated uint64        // transactions refused because the head had changed
	Config         *ConfigStats  // nil if the configuration can't change at run time
	Features       *FeatureStats // nil if feature levels are disabled

	// The fields below are set by a leader only.
	Hosts             map[string]int                    // by state
	WaitingJobs       map[string]int                    // jobs with unplaced tasks, by class
	RunningTasks      map[string]int                    // by class
	Objectives        map[slo.Kind]map[string]slo.Count // jobs by outcome, by class and by team
	LongestStartWait  map[string]micros                 // longest waits of large jobs, by class
	BlockedJobs       int                               // jobs that wait for other jobs
	UnreconciledHosts int                               // recorded hosts, silent in this term
	ExitedAttempts    int                               // attempts that have exited and are not forgotten
	Rollouts          map[string]int                    // by state; nil if roll-outs are disabled
}

// Snapshot returns the current statistics. It iterates over all jobs and hosts.
func (c *Controller) Snapshot() Stats {
	s := c.stats
	s.Role, s.Epoch = c.election.role, c.election.lease.epoch
	if c.term == nil && c.election.leader.Epoch > s.Epoch {
		s.Epoch = c.election.leader.Epoch
	}
	s.Config = c.config.configStats()
	s.Features = c.features.featureStats()
	s.Refused, s.Checks = maps.Clone(c.stats.Refused), maps.Clone(c.stats.Checks)
	s.Answers, s.Rejected = maps.Clone(c.stats.Answers), maps.Clone(c.stats.Rejected)
	if c.term != nil {
		c.term.addLeaderStats(&s)
	}
	return s
}

// addLeaderStats adds the statistics that only a leader has.
func (t *leaderTerm) addLeaderStats(s *Stats) {
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
		for _, a := range h.Attempts() {
			if a.State == state.AttemptExited {
				s.ExitedAttempts++
			}
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
