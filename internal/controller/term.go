package controller

import (
	"strings"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// term is what a leader knows and does during one epoch.
type term struct {
	book      *state.Cluster
	epoch     uint64
	started   micros
	led       micros      // when the records were read
	stages    []SpanStage // of the take-over, for tracing
	recovered bool        // every recorded host has reported or is proven empty
	dirty     bool        // something changed that a round should look at
	lastRound micros
	lastSweep micros
	attempts  uint64 // counter for attempt numbers
	claims    uint64 // counter for claim names

	submits            map[string][]Address // submissions whose record is on its way
	admitted, pressing admission            // lines of submissions: of most jobs, and of those that have to start at once
	cancels            map[string][]Address
	gone               map[string]micros // machines that are certainly gone, and since when
	rental             rental
	others             map[string]stand  // what the other controllers said of themselves
	stood              bool              // each has said that it answers nobody under an earlier epoch
	cutSeen            map[string]micros // when a zone last looked cut off
	classes            map[string]*class

	table slottable.Table
	rows  map[*state.Host]*slottable.Machine
	pass  *pass // over the queue, cut short or not

	hostPages    *pages // records of hosts, bookings and completions
	bookingPages *pages
	donePages    *pages
	launchPages  *pages
	launches     map[string]*state.Attempt // by task, those that a record names or will
	launchesSent micros                    // when a record of launches was last sent
	finals       finalWriter
	memory       remembering
	yields       []protocol.LeadershipTransfer   // leases that were given back lately
	yielding     bool               // this one is being given back
	served       slo.Window         // which part of each class and team is served
	longest      map[string]micros  // for which a largest job has waited to begin, by class
	verdict      leadership.Decision // last found
	unlisted     bool               // earlier launches may be in no record, see EncodeEpoch
	chunks       chunkWriter

	toCall  []*state.Host // hosts that commands wait for
	calling int           // direct commands on their way
	probes  prober

	chains chains // jobs that await others

	orphans  []string // keys to be dropped
	dropping bool

	nextImages micros

	rollouts rolloutTerm
	config   configTerm
	levels   levelTerm

	cutLog, budgetLog micros // when what they are about was last logged
}

// newTerm is what a leader of the seat's epoch knows before it has read anything.
func (c *Controller) newTerm() *term {
	t := &term{
		book: state.NewCluster(), epoch: c.seat.epoch, started: c.at.Steady,
		submits: make(map[string][]Address), cancels: make(map[string][]Address), gone: make(map[string]micros),
		classes: make(map[string]*class), others: make(map[string]stand), cutSeen: make(map[string]micros), rows: make(map[*state.Host]*slottable.Machine),
	}
	t.rental.init()
	t.chains = newChains()
	t.probes.init()
	t.hostPages = c.newPages(state.HostShardPrefix, c.hostRecord)
	t.bookingPages = c.newPages(state.BookingShardPrefix, c.bookingRecord)
	t.donePages = c.newPages(state.CompletionShardPrefix, c.doneRecord)
	t.launchPages = c.newPages(state.LaunchShardPrefix, c.launchRecord)
	t.longest = make(map[string]micros)
	t.launches = make(map[string]*state.Attempt)
	t.unlisted, t.yields = c.seat.unlisted, c.seat.yields
	c.initRollouts(t)
	c.initConfig(t)
	return t
}

// steadyOf turns a time of day into the steady clock's.
func (c *Controller) steadyOf(wall micros) micros { return c.at.Steady + wall - c.at.Wall }

// followJobs notices the jobs that other nodes took while this one could not
// be reached. After changes were missed it reads them all again.
func (c *Controller) followJobs(t *term, rev uint64) {
	gone := func() bool { return c.term != t }
	take := func(e protocol.Entry) {
		if e.Value != nil && !gone() {
			c.learnJob(e)
		}
	}
	var reread func()
	reread = func() {
		if gone() {
			return
		}
		c.list(prioUrgent, state.JobPrefix, take, func(rev uint64, ok bool) {
			switch {
			case gone():
			case ok:
				c.followJobs(t, rev)
			default:
				c.after(protocol.Second, reread)
			}
		})
	}
	c.watch(prioUrgent, state.JobPrefix, rev, gone, take, reread)
}

// learnJob takes a job's record into the book, unless it is there.
func (c *Controller) learnJob(e protocol.Entry) *state.Job {
	t := c.term
	ref := strings.TrimPrefix(e.Key, state.JobPrefix)
	if j := t.book.Job(ref); j != nil {
		return j
	}
	if _, over := c.finals.find(ref); over {
		return nil
	}
	j, err := state.DecodeJob(e.Value)
	if err != nil || j.Spec.Ref != ref {
		c.damaged(e, err)
		return nil
	}
	j.Revision = e.Revision
	c.enter(j)
	return j
}

// enter puts a job into the book.
func (c *Controller) enter(j *state.Job) {
	t := c.term
	j.Submitted = min(c.at.Steady, c.steadyOf(j.SubmittedWall))
	t.book.AddJob(j)
	c.link(j)
	// An attempt of a job that was not known yet may have been reported.
	for _, a := range t.book.BindAttempts(c.at.Steady, j) {
		c.began(j)
		c.recordLaunch(a, c.at.Steady)
	}
	if len(j.Spec.DependsOn) == 0 {
		c.class(j.Spec.Class).arrived(c.at.Steady, j)
	}
	c.log.Debug("job", "ref", j.Spec.Ref, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", j.Spec.Tasks, "rank", int(j.Spec.Priority),
		"cpus", float64(j.Spec.TaskResources.CPU)/1000, "gpus", float64(j.Spec.TaskResources.GPU)/1000, "mem_gb", float64(j.Spec.TaskResources.Memory)/1000, "saves", j.Spec.CanCheckpoint(), "estimate_ms", int64(j.Spec.EstimatedRuntime/protocol.Millisecond))
	t.dirty = true
}

// sweepEvery is how often everything is looked at that only time changes.
const sweepEvery = 200 * protocol.Millisecond

// pulse does what is due while this node leads. It comes with ticks only, so
// that an event costs what it is about and nothing else.
func (c *Controller) pulse() {
	t := c.term
	if c.role != Leading && c.role != Doubtful {
		return
	}
	sweep := c.at.Steady-t.lastSweep >= sweepEvery
	if sweep {
		t.lastSweep = c.at.Steady
		c.watchHosts()
		if c.term != t {
			return // it resigned
		}
	}
	c.runProbes()
	if c.role != Leading {
		c.callHosts()
		return
	}
	c.pulseConfig(t)
	c.pulseLevel(t)
	c.stepChains()
	if sweep {
		c.enforce()
		c.recordImages()
		c.closeJobs()
		c.dropOrphans()
		c.divideLarge()
	}
	c.writePages(t.hostPages)
	c.writePages(t.launchPages)
	c.writePages(t.donePages)
	c.writeChunks()
	c.writeFinals() // of jobs that ended while the lease was in doubt
	c.writePages(t.bookingPages)
	since := c.at.Steady - t.lastRound
	if t.pass != nil || since >= c.operator.MaxCycleInterval || (t.dirty && since >= c.operator.MinCycleInterval) {
		c.round()
	}
	if c.term == t && c.mayStart() {
		c.callHosts()
		c.manageRental()
		c.stepRollouts(rollout.Tick{})
	}
}
