package controller

import (
	"bytes"
	"maps"
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// Reasons for which a user's call, or a worker's report, is refused for now.
const (
	refusalNoLeader        = "no leader can be reached"
	refusalStateService    = "the state service can't be reached"
	refusalMachineTypes    = "machine types are not known yet"
	refusalSubmitRate      = "too many submissions"
	refusalLookupLimit     = "too many questions"
	refusalRecovering      = "not ready"
	refusalHostReleased    = "the machine is gone"
	refusalIsolated        = "this node hears nobody"
	refusalRevisionPending = "the revision is not in force everywhere yet"
	refusalFeatureLevel    = "this version does not serve the active feature level"
	refusalFeatureDisabled = "not every controller has the version for this yet"
	refusalTasksStopping   = "tasks of the job may still be on machines"
)

// Span is something that took time, for tracing. It is over when it is emitted.
type Span struct {
	Name     string // of a fixed set: no names of jobs or hosts
	From, To micros // steady clock
	Stages   []SpanStage
	Counts   []SpanCount
}

// SpanStage is a part of a span.
type SpanStage struct {
	Name     string
	From, To micros
}

// SpanCount is a number that goes with a span.
type SpanCount struct {
	Name  string
	Value int64
}

func (Span) effect() {}

// emitFailoverSpan tells of a take-over: from the question for a lease until every
// recorded host is accounted for.
func (rc *recovery) emitFailoverSpan() {
	rc.stats.Failovers++
	if !rc.tracing {
		return
	}
	t := rc.term
	stages := append([]SpanStage{{"claim", rc.election.lease.requestedAt, t.startedAt}}, t.recoveryStages...)
	if n := len(t.recoveryStages); n > 0 {
		stages = append(stages, SpanStage{"account for hosts", t.recoveryStages[n-1].To, rc.now.Steady})
	}
	rc.emit(Span{
		Name: "take-over", From: rc.election.lease.requestedAt, To: rc.now.Steady, Stages: stages,
		Counts: []SpanCount{{"epoch", int64(t.epoch)}, {"jobs", int64(len(t.cluster.Jobs()))}, {"hosts", int64(len(t.cluster.Hosts()))}},
	})
}

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

// CycleStages are the names of a pass's stages, as indices of Rows and Cuts.
func CycleStages() []string {
	return []string{stagePlanning.String(), stageBackfilling.String(), stagePreempting.String(), stageScaling.String()}
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
		if h.FromRecord && !h.Reconciled {
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

// later answers that a call can't be taken now, at once, and counts why.
func (env *environment) replyUnavailableAfter(to ReplyAddress, why string, after micros) {
	if env.stats.Refused == nil {
		env.stats.Refused = make(map[string]uint64)
	}
	env.stats.Refused[why]++
	env.reply(to, 503, protocol.ErrorBody(why), after)
}

// refusalLogInterval is how often the log says what was refused.
const refusalLogInterval = 5 * protocol.Second

// logRefusals tells what was refused since it last did.
func (c *Controller) logRefusals() {
	if c.now.Steady < c.nextRefusalLog {
		return
	}
	c.nextRefusalLog = c.now.Steady + refusalLogInterval
	for _, why := range slices.Sorted(maps.Keys(c.stats.Refused)) {
		if n := c.stats.Refused[why]; n > c.refusalsLogged[why] {
			if c.refusalsLogged == nil {
				c.refusalsLogged = make(map[string]uint64)
			}
			c.log.Info("refused for now", "why", why, "count", n-c.refusalsLogged[why], "role", c.election.role.String())
			c.refusalsLogged[why] = n
		}
	}
}

// ServiceState is whether a service outside answers.
type ServiceState uint8

// States of a service outside.
const (
	ServiceAnswering   ServiceState = iota
	ServiceFailing                  // the last calls failed, for too short a time to say so
	ServiceUnreachable              // told in the log
)

func (r ServiceState) String() string { return [...]string{"answering", "failing", "unreachable"}[r] }

// serviceHealth is what is known of a service outside.
type serviceHealth struct {
	name        string
	state       ServiceState
	since       micros
	failedCalls int
}

// A service counts as unreachable after that many calls have failed in a row,
// over at least that time: single answers are lost now and then.
const (
	unreachableAfterCalls = 3
	unreachableAfter      = protocol.Second
)

// redirectedEpoch is the one place where what is known of a service changes its state.
func (r *serviceHealth) setState(s ServiceState, at micros) {
	r.state, r.since, r.failedCalls = s, at, 0
}

// observeServiceCall takes the end of a call. A call that this node did not send says nothing.
func (env *environment) observeServiceCall(r *serviceHealth, d CallResult) {
	at := env.now.Steady
	if d.notAttempted() {
		return
	}
	why := ""
	switch {
	case d.ConnectionRefused:
		why = "refused"
	case d.Status == 0:
		why = "no answer"
	case d.Status == 503:
		why = "503"
	}
	if why == "" || why == "503" && r == &env.cloudHealth && isNoCapacity(d.Body) {
		if r.state == ServiceUnreachable {
			env.log.Info(r.name+" answers again", "after_ms", int64((at-r.since)/protocol.Millisecond))
		}
		r.setState(ServiceAnswering, at)
		return
	}
	switch r.state {
	case ServiceAnswering:
		r.setState(ServiceFailing, at)
		r.failedCalls = 1
	case ServiceFailing:
		if r.failedCalls++; r.failedCalls >= unreachableAfterCalls && at-r.since >= unreachableAfter {
			since := r.since
			r.setState(ServiceUnreachable, since)
			env.log.Warn(r.name+" can't be reached", "why", why, "calls", unreachableAfterCalls)
		}
	}
}

// isNoCapacity is the cloud's answer that it has no such machines left: it answers.
func isNoCapacity(body []byte) bool { return bytes.Contains(body, []byte("no capacity")) }
