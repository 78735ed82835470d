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
	refusedNoLeader   = "no leader can be reached"
	refusedState      = "the state service can't be reached"
	refusedTypes      = "machine types are not known yet"
	refusedBudget     = "too many submissions"
	refusedQuestions  = "too many questions"
	refusedNotReady   = "not ready"
	refusedGone       = "the machine is gone"
	refusedAlone      = "this node hears nobody"
	refusedNotInForce = "the revision is not in force everywhere yet"
	refusedLevel      = "this version does not serve the active feature level"
	refusedFeature    = "not every controller has the version for this yet"
	refusedStops      = "tasks of the job may still be on machines"
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

// tookOver tells of a take-over: from the question for a lease until every
// recorded host is accounted for.
func (c *Controller) tookOver() {
	c.stats.TakeOvers++
	if !c.observed {
		return
	}
	t := c.term
	stages := append([]SpanStage{{"claim", c.seat.asked, t.started}}, t.stages...)
	if n := len(t.stages); n > 0 {
		stages = append(stages, SpanStage{"account for hosts", t.stages[n-1].To, c.at.Steady})
	}
	c.emit(Span{
		Name: "take-over", From: c.seat.asked, To: c.at.Steady, Stages: stages,
		Counts: []SpanCount{{"epoch", int64(t.epoch)}, {"jobs", int64(len(t.book.Jobs()))}, {"hosts", int64(len(t.book.Hosts()))}},
	})
}

// Stats is what a controller has counted since it began, and how it stands. The
// maps' keys are of fixed sets, or classes of jobs.
type Stats struct {
	Role      Role
	Epoch     uint64
	Rounds    uint64
	Passes    uint64
	Rows      [4]uint64 // looked at, by stage of a pass
	Cuts      [4]uint64 // rounds that reached their bound, by stage
	Refused   map[string]uint64
	Malformed uint64
	TakeOvers uint64
	Lost      uint64            // tasks that ended with their machine
	Checks    map[string]uint64 // of instances, by what became of them: passed, failed, unmade
	Disputed  uint64            // checks that failed where another controller saw nothing wrong

	ConfigChanges  uint64       // revisions made
	ConfigOutdated uint64       // transactions refused because the head was another one
	Config         *ConfigStats // nil: the configuration does not change while this runs
	Levels         *LevelStats  // nil: this controller behaves as one that knows of no levels

	// What a leader knows. Nothing else has them.
	Hosts    map[string]int                    // by state
	Waiting  map[string]int                    // jobs with tasks that wait for a place, by class
	Running  map[string]int                    // tasks, by class
	Due      map[slo.Kind]map[string]slo.Count // jobs that had what is asked of their class, or were too late, by class and by team
	Longest  map[string]micros                 // for which a largest job of a class has waited to begin, by class
	Awaiting int                               // jobs that await others
	Unproven int                               // recorded hosts that have not been heard of in this epoch
	Rollouts map[string]int                    // by state; nil where they are off
}

// Stages are the names of a pass's stages, as indices of Rows and Cuts.
func Stages() []string {
	return []string{planning.String(), filling.String(), preempting.String(), renting.String()}
}

// Snapshot is how the controller stands. It costs a look at every job and host.
func (c *Controller) Snapshot() Stats {
	s := c.stats
	s.Role, s.Epoch = c.role, c.seat.epoch
	if c.term == nil && c.leader.Epoch > s.Epoch {
		s.Epoch = c.leader.Epoch
	}
	s.Config = c.configStats()
	s.Levels = c.levelStats()
	s.Refused, s.Checks = maps.Clone(c.stats.Refused), maps.Clone(c.stats.Checks)
	if c.term == nil {
		return s
	}
	if g := c.term.rollouts.manager; g != nil {
		s.Rollouts = g.States()
	}
	s.Due, s.Longest = make(map[slo.Kind]map[string]slo.Count), maps.Clone(c.term.longest)
	for _, k := range slo.Kinds() {
		s.Due[k] = c.term.served.Counts(k)
	}
	s.Hosts, s.Waiting, s.Running = make(map[string]int), make(map[string]int), make(map[string]int)
	for _, h := range c.term.book.Hosts() {
		s.Hosts[h.State.String()]++
		if h.FromRecord && !h.Reconciled {
			s.Unproven++
		}
	}
	for _, j := range c.term.book.Jobs() {
		if j.State == state.JobBlocked {
			s.Awaiting++
		}
		if j.State != state.JobActive {
			continue
		}
		if j.QueuedTasks > 0 {
			s.Waiting[j.Spec.Class]++
		}
		s.Running[j.Spec.Class] += j.RunningTasks
	}
	return s
}

// later answers that a call can't be taken now, at once, and counts why.
func (c *Controller) later(to Address, why string, after micros) {
	if c.stats.Refused == nil {
		c.stats.Refused = make(map[string]uint64)
	}
	c.stats.Refused[why]++
	c.reply(to, 503, protocol.ErrorBody(why), after)
}

// refusalsEvery is how often the log says what was refused.
const refusalsEvery = 5 * protocol.Second

// logRefusals tells what was refused since it last did.
func (c *Controller) logRefusals() {
	if c.at.Steady < c.refusalLog {
		return
	}
	c.refusalLog = c.at.Steady + refusalsEvery
	for _, why := range slices.Sorted(maps.Keys(c.stats.Refused)) {
		if n := c.stats.Refused[why]; n > c.refusalsTold[why] {
			if c.refusalsTold == nil {
				c.refusalsTold = make(map[string]uint64)
			}
			c.log.Info("refused for now", "why", why, "count", n-c.refusalsTold[why], "role", c.role.String())
			c.refusalsTold[why] = n
		}
	}
}

// Reach is whether a service outside answers.
type Reach uint8

// States of a service outside.
const (
	Answering   Reach = iota
	Failing           // the last calls failed, for too short a time to say so
	Unreachable       // told in the log
)

func (r Reach) String() string { return [...]string{"answering", "failing", "unreachable"}[r] }

// reach is what is known of a service outside.
type reach struct {
	name   string
	state  Reach
	since  micros
	failed int
}

// A service counts as unreachable after that many calls have failed in a row,
// over at least that time: single answers are lost now and then.
const (
	unreachableCalls = 3
	unreachableAfter = protocol.Second
)

// to is the one place where what is known of a service changes its state.
func (r *reach) to(s Reach, at micros) { r.state, r.since, r.failed = s, at, 0 }

// heard takes the end of a call. A call that this node did not send says nothing.
func (c *Controller) heard(r *reach, d CallDone) {
	at := c.at.Steady
	if d.unmade() {
		return
	}
	why := ""
	switch {
	case d.Refused:
		why = "refused"
	case d.Status == 0:
		why = "no answer"
	case d.Status == 503:
		why = "503"
	}
	if why == "" || why == "503" && r == &c.cloudReach && noCapacity(d.Body) {
		if r.state == Unreachable {
			c.log.Info(r.name+" answers again", "after_ms", int64((at-r.since)/protocol.Millisecond))
		}
		r.to(Answering, at)
		return
	}
	switch r.state {
	case Answering:
		r.to(Failing, at)
		r.failed = 1
	case Failing:
		if r.failed++; r.failed >= unreachableCalls && at-r.since >= unreachableAfter {
			since := r.since
			r.to(Unreachable, since)
			c.log.Warn(r.name+" can't be reached", "why", why, "calls", unreachableCalls)
		}
	}
}

// noCapacity is the cloud's answer that it has no such machines left: it answers.
func noCapacity(body []byte) bool { return bytes.Contains(body, []byte("no capacity")) }
