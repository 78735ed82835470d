package coordination

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"mapleslip/internal/bookkeeping"
	"mapleslip/internal/configuration"
	"mapleslip/internal/coordination/slottable"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/served"
	"mapleslip/internal/upgrade"
)

// term is what a leader knows and does during one epoch.
type term struct {
	book      *bookkeeping.Book
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
	rows  map[*bookkeeping.Host]*slottable.Machine
	pass  *pass // over the queue, cut short or not

	hostPages    *pages // records of hosts, bookings and completions
	bookingPages *pages
	donePages    *pages
	launchPages  *pages
	launches     map[string]*bookkeeping.Attempt // by task, those that a record names or will
	launchesSent micros                          // when a record of launches was last sent
	finals       finalWriter
	memory       remembering
	yields       []protocol.Yield   // leases that were given back lately
	yielding     bool               // this one is being given back
	served       served.Window      // which part of each class and team is served
	longest      map[string]micros  // for which a largest job has waited to begin, by class
	verdict      leadership.Verdict // last found
	unlisted     bool               // earlier launches may be in no record, see EncodeEpoch
	chunks       chunkWriter

	toCall  []*bookkeeping.Host // hosts that commands wait for
	calling int                 // direct commands on their way
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
	t := &term{book: bookkeeping.NewBook(), epoch: c.seat.epoch, started: c.at.Steady,
		submits: make(map[string][]Address), cancels: make(map[string][]Address), gone: make(map[string]micros),
		classes: make(map[string]*class), others: make(map[string]stand), cutSeen: make(map[string]micros), rows: make(map[*bookkeeping.Host]*slottable.Machine)}
	t.rental.init()
	t.chains = newChains()
	t.probes.init()
	t.hostPages = c.newPages(bookkeeping.HostPages, c.hostRecord)
	t.bookingPages = c.newPages(bookkeeping.BookingPages, c.bookingRecord)
	t.donePages = c.newPages(bookkeeping.CompletionPages, c.doneRecord)
	t.launchPages = c.newPages(bookkeeping.LaunchPages, c.launchRecord)
	t.longest = make(map[string]micros)
	t.launches = make(map[string]*bookkeeping.Attempt)
	t.unlisted, t.yields = c.seat.unlisted, c.seat.yields
	c.initRollouts(t)
	c.initConfig(t)
	return t
}

// loadStep is what a new leader does with the records under a prefix.
type loadStep struct {
	prefix string
	each   func(protocol.Entry)
}

// load reads the records of jobs, hosts and bookings.
func (c *Controller) load() {
	c.become(Loading)
	c.seat.nextRenew = c.at.Steady
	t := c.newTerm()
	launches := make(map[string]recordedLaunch)
	c.term = t
	bookings := make(map[string]micros)
	done := make(map[string][][]byte)
	chunks := make(map[string][]protocol.Entry)
	host := func(h *bookkeeping.Host) {
		h.Answered = c.seat.predAnswers
		h.Heard = c.at.Steady
		if t.book.Host(h.Name) == nil {
			t.book.AddHost(h)
		}
	}
	// A record that can't be read is named, and never taken for an empty one.
	damaged := c.damaged
	refused := false
	steps := []loadStep{
		{bookkeeping.KeyTypes, func(e protocol.Entry) {
			if e.Key == bookkeeping.KeyTypes {
				c.tookKeptTypes(e.Value)
			}
		}},
		{bookkeeping.KeyMemory, func(e protocol.Entry) {
			if e.Key != bookkeeping.KeyMemory {
				return
			}
			m, err := bookkeeping.DecodeMemory(e.Value)
			if err != nil {
				damaged(e, err) // what it says is found out again
				return
			}
			c.memory = leadership.Newer(c.memory, m)
		}},
		{bookkeeping.HostPages, func(e protocol.Entry) {
			hosts, err := bookkeeping.DecodeHosts(c.at.Steady, e.Value)
			if err != nil {
				// Tasks may be on its hosts, which nobody else names.
				damaged(e, err)
				refused = true
				return
			}
			g := t.hostPages.load(e)
			for _, h := range hosts {
				host(h)
				t.hostPages.adopt(g, h.Name, hostBytes(h))
			}
		}},
		{bookkeeping.OldHostPrefix, func(e protocol.Entry) {
			h, err := bookkeeping.DecodeHost(c.at.Steady, strings.TrimPrefix(e.Key, bookkeeping.OldHostPrefix), e.Value)
			if err != nil {
				damaged(e, err)
				refused = true
				return
			}
			h.OldRecord = true
			host(h)
		}},
		{bookkeeping.BookingPages, func(e protocol.Entry) {
			at, err := bookkeeping.DecodeBookings(e.Value)
			if err != nil {
				damaged(e, err) // a booking is found again by planning
				t.bookingPages.skip(e.Key)
				return
			}
			g := t.bookingPages.load(e)
			for ref, at := range at {
				t.bookingPages.adopt(g, ref, bookingBytes(ref))
				bookings[ref] = at
			}
		}},
		{bookkeeping.OldBookingPrefix, func(e protocol.Entry) {
			t.orphans = append(t.orphans, e.Key)
			at, err := strconv.ParseInt(string(e.Value), 10, 64)
			if err != nil {
				damaged(e, err)
				return
			}
			bookings[strings.TrimPrefix(e.Key, bookkeeping.OldBookingPrefix)] = micros(at)
		}},
		{bookkeeping.CompletionPages, func(e protocol.Entry) {
			list, err := bookkeeping.DecodeCompletions(e.Value)
			if err != nil {
				damaged(e, err) // its tasks run again
				t.donePages.skip(e.Key)
				return
			}
			g := t.donePages.load(e)
			for ref, bits := range list {
				t.donePages.adopt(g, ref, len(ref)+len(bits)+8)
				done[ref] = append(done[ref], bits) // two records name it while one is divided
			}
		}},
		{bookkeeping.LaunchPages, func(e protocol.Entry) {
			list, err := bookkeeping.DecodeLaunches(e.Value)
			if err != nil {
				damaged(e, err)
				refused = true
				return
			}
			g := t.launchPages.load(e)
			for _, l := range list {
				// A record that was not written again may still name where a task
				// was before: the one that was written later is right.
				name := l.Name.TaskName.String()
				if old, ok := launches[name]; !ok || old.page.stamp < g.stamp {
					launches[name] = recordedLaunch{l, g}
				}
			}
		}},
		{bookkeeping.ChunkPrefix, func(e protocol.Entry) {
			ref, _, _ := strings.Cut(strings.TrimPrefix(e.Key, bookkeeping.ChunkPrefix), "/")
			chunks[ref] = append(chunks[ref], e)
		}},
		{bookkeeping.JobPrefix, func(e protocol.Entry) { c.learnJob(e) }},
	}
	if c.levels != nil {
		steps = append(steps, loadStep{upgrade.KeyLevel, c.loadLevel(&refused)})
	}
	if t.rollouts.manager != nil {
		steps = append(steps, loadStep{rollout.Prefix, c.loadRollout})
	}
	if c.config != nil {
		steps = append(steps, loadStep{configuration.KeyHead, c.loadHead})
	}
	// All are read at once: one after the other they took as many round trips, three
	// seconds of a slow state service, and with leaders that ended every few seconds
	// nobody led for long enough. Only the jobs' revision has to be the first page's.
	waiting := len(steps)
	var jobsFrom uint64
	var read func(s loadStep)
	read = func(s loadStep) {
		began := c.at.Steady
		each := func(e protocol.Entry) {
			if c.term == t { // an answer may come when the lease has ended meanwhile
				s.each(e)
			}
		}
		c.list(prioLeadership, s.prefix, each, func(rev uint64, ok bool) {
			if c.term != t {
				return
			}
			if refused {
				// Placing without knowing where tasks may be would run them twice.
				c.followIn(unreadableAgain)
				return
			}
			if !ok {
				c.after(300*protocol.Millisecond, func() {
					if c.term == t {
						read(s)
					}
				})
				return
			}
			t.stages = append(t.stages, SpanStage{"read " + s.prefix, began, c.at.Steady})
			if s.prefix == bookkeeping.JobPrefix {
				jobsFrom = rev
			}
			if waiting--; waiting > 0 {
				return
			}
			for ref, at := range bookings {
				if j := t.book.Job(ref); j != nil {
					j.Booked, j.BookingKept = c.steadyOf(at), true
					t.bookingPages.put(ref, bookingBytes(ref), c.room(), protocol.Forever, false)
				} else {
					t.bookingPages.drop(ref, protocol.Forever)
				}
			}
			for ref, bits := range done {
				j := t.book.Job(ref)
				if j == nil {
					t.donePages.drop(ref, protocol.Forever)
					continue
				}
				for _, b := range bits {
					if err := bookkeeping.ApplyChunk(j, 0, b); err != nil {
						c.log.Error("damaged record", "key", t.donePages.of[ref].key, "job", ref, "err", err)
					}
				}
			}
			for ref, list := range chunks {
				j := t.book.Job(ref)
				for _, e := range list {
					if j == nil {
						t.orphans = append(t.orphans, e.Key)
					}
					k, err := strconv.Atoi(e.Key[strings.LastIndexByte(e.Key, '/')+1:])
					if j != nil && err == nil {
						j.KeepChunk(k, e.Stamp)
						err = bookkeeping.ApplyChunk(j, k, e.Value)
					}
					if err != nil {
						damaged(e, err)
					}
				}
			}
			c.loaded(jobsFrom, launches)
		})
	}
	for _, s := range steps {
		read(s)
	}
}

// unreadableAgain is how long a node that found records which it can't read waits
// before it tries to lead again: nothing but a person will have mended them.
const unreadableAgain = 5 * protocol.Second

// damaged reports a record that can't be read, once as it stands. It is kept.
func (c *Controller) damaged(e protocol.Entry, err error) {
	if c.unread == nil {
		c.unread = make(map[string]uint64)
	}
	if was, told := c.unread[e.Key]; told && was == e.Stamp {
		return
	}
	c.unread[e.Key] = e.Stamp
	c.log.Error("damaged record", "key", e.Key, "err", err)
}

// recordedLaunch is a launch and the record that names it.
type recordedLaunch struct {
	bookkeeping.Launch
	page *page
}

// pin notes where a launch of an earlier epoch may have put a task. The host's
// first report under this epoch says what came of it; until then the task stays
// there, and counts.
func (c *Controller) pin(l recordedLaunch) {
	t := c.term
	j, h := t.book.Job(l.Name.Job), t.book.Host(l.Host)
	if j == nil || h == nil || l.Name.Index >= len(j.Tasks) {
		return // over, or gone with its host
	}
	c.began(j)
	a := t.book.Attach(c.at.Steady, j, h, l.Name)
	a.Adopted, a.Recorded = true, true
	j.BeginCounted = true // by an earlier leader, which knew whether it began in time
	t.book.Move(c.at.Steady, a, bookkeeping.AttemptLaunched)
	if j.Spec.Kind == protocol.Gang {
		j.GangAttempt = max(j.GangAttempt, l.Name.Number)
	}
	a.Stop = j.State != bookkeeping.JobLive
	// It stays in the record that names it for as long as it may be there.
	name := l.Name.TaskName.String()
	t.launchPages.enter(l.page, name, launchBytes(a))
	t.launches[name] = a
}

// launchBytes is what a launch may take in a record. Tasks of a job come
// together mostly; a record that comes out too long is split.
func launchBytes(a *bookkeeping.Attempt) int { return len(a.Host.Name) + 24 }

// recordLaunch asks for the record of a launch.
func (c *Controller) recordLaunch(a *bookkeeping.Attempt, due micros) {
	t := c.term
	name := a.Name.TaskName.String()
	t.launches[name] = a
	t.launchPages.put(name, launchBytes(a), c.room(), due, due < protocol.Forever)
}

const (
	// mostLaunchWait is how long a launch waits for others to share its record.
	mostLaunchWait = protocol.Second
	// endingsLately is how long what the last final record took says anything.
	endingsLately = 3 * protocol.Second
)

// finalWriter has the final records written in the order in which the jobs ended. Few are
// on their way at a time: of more some would not get their turn before they expire, and
// begin again behind those of jobs that ended later.
type finalWriter struct {
	line    []waitingFinal
	writing int
	took    micros // what the last one took, which is mostly its wait in line
	at      micros // when that was
}

type waitingFinal struct {
	job   *bookkeeping.Job
	since micros
}

// mostFinalsWritten is how many final records are on their way at a time: what the leader
// may write in half a second, and as many as keep a small rate in use.
func (c *Controller) mostFinalsWritten() int { return max(4, int(c.writeRate()/4)) }

// wrote counts a final record that is not on its way any more.
func (w *finalWriter) wrote(at, since micros) {
	w.writing--
	w.took, w.at = at-since, at
}

// writeFinals writes the final records whose turn it is.
func (c *Controller) writeFinals() {
	w := &c.term.finals
	for c.role == Leading && len(w.line) > 0 && w.writing < c.mostFinalsWritten() {
		next := w.line[0]
		w.line[0] = waitingFinal{}
		w.line = w.line[1:]
		w.writing++
		c.writeFinal(next.job, next.since)
	}
}

// launchDue is when the record of a launch has to be written: at once, unless final records
// wait in line. Then one of launches does not follow the last one sooner than that takes, up
// to a second. Jobs of one task that come several a second had one written for each, a
// quarter of all changes, while others' launches and their own ends had to wait. A class
// with an aim on starting does not wait.
func (c *Controller) launchDue(s *protocol.JobSpec) micros {
	t, at := c.term, c.at.Steady
	if c.startWithin(s.Class) > 0 || at-t.finals.at > endingsLately {
		return at
	}
	return max(at, t.launchesSent+min(t.finals.took, mostLaunchWait))
}

// launchRecord makes the record that some launches share. What is over falls
// out of it.
func (c *Controller) launchRecord(names []string) ([]byte, func()) {
	t := c.term
	var list []bookkeeping.Launch
	var attempts []*bookkeeping.Attempt
	for _, name := range names {
		a := t.launches[name]
		if a == nil || !a.State.Occupies() {
			delete(t.launches, name)
			t.launchPages.drop(name, protocol.Forever)
			continue
		}
		list, attempts = append(list, bookkeeping.Launch{Name: a.Name, Host: a.Host.Name}), append(attempts, a)
	}
	return bookkeeping.EncodeLaunches(list), func() {
		for _, a := range attempts {
			if !a.Recorded {
				a.Recorded = true
				c.wantCall(a.Host)
			}
		}
	}
}

// steadyOf turns a time of day into the steady clock's.
func (c *Controller) steadyOf(wall micros) micros { return c.at.Steady + wall - c.at.Wall }

func (c *Controller) loaded(rev uint64, launches map[string]recordedLaunch) {
	t := c.term
	c.become(Leading)
	t.led = c.at.Steady
	c.inherit()
	for _, h := range t.book.Hosts() {
		h.Type = c.typeByName[h.TypeName]
		if h.OldRecord {
			t.hostPages.put(h.Name, hostBytes(h), c.hostRoom(), c.at.Steady, true)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(launches)) {
		c.pin(launches[name])
	}
	for _, j := range slices.Clone(t.book.Line()) {
		if j.Done > 0 {
			c.began(j)
		}
		c.checkFinished(j)
	}
	c.log.Info("leading", "epoch", t.epoch, "jobs", len(t.book.Line()), "hosts", len(t.book.Hosts()), "load_ms", int64((c.at.Steady-t.started)/protocol.Millisecond))
	c.loadedConfig(t)
	c.followJobs(t, rev)
	c.readFinals(t)
	for _, h := range t.book.Hosts() {
		c.probe(t, h)
	}
	c.askOthers(t)
	sort.Strings(t.orphans)
	c.pollTypes(t)
	c.pollMachines(t)
	t.dirty = true
}

// allListed notes in the epoch's record that every launch that may be on a host
// is in a record. Until then a successor must not rely on that: a leader of form 1
// may have made launches that nobody recorded, on hosts not heard of since.
func (c *Controller) allListed(t *term) {
	if !t.unlisted || c.term != t {
		return
	}
	for _, a := range t.launches {
		if !a.Recorded && a.State.MayRun() {
			c.after(protocol.Second, func() { c.allListed(t) })
			return
		}
	}
	value := bookkeeping.EncodeEpoch(bookkeeping.Epoch{N: t.epoch, Yields: t.yields, Level: c.level()})
	c.lead(prioUrgent, c.underLevel(nil), []protocol.Change{{Key: bookkeeping.KeyEpoch, Value: value}}, func(o txnOutcome, r protocol.TxnResult) {
		c.otherLevel(o, r)
		if o != txnApplied {
			c.after(protocol.Second, func() { c.allListed(t) })
			return
		}
		t.unlisted = false
	})
}

// readFinals reads which jobs are over, so that questions about them need no
// lookup each: many users still ask when a leader is new.
func (c *Controller) readFinals(t *term) {
	c.list(prioNormal, bookkeeping.FinalPrefix, func(e protocol.Entry) {
		if p, n, err := bookkeeping.DecodeFinal(e.Value); err == nil && !c.finals.full() {
			c.remember(strings.TrimPrefix(e.Key, bookkeeping.FinalPrefix), final{p, n})
		}
	}, func(_ uint64, ok bool) {
		if !ok && c.term == t {
			c.after(5*protocol.Second, func() {
				if c.term == t {
					c.readFinals(t)
				}
			})
		}
	})
}

// dropOrphans removes records that belong to nothing, a transaction at a time.
// One that is left over only costs its reader a look.
func (c *Controller) dropOrphans() {
	t := c.term
	if t.dropping || len(t.orphans) == 0 {
		return
	}
	n := min(len(t.orphans), c.limits.target.changes)
	var then []protocol.Change
	for _, key := range t.orphans[:n] {
		then = append(then, protocol.Change{Key: key})
	}
	t.dropping = true
	c.lead(prioNormal, nil, then, func(o txnOutcome, _ protocol.TxnResult) {
		if o == txnApplied {
			t.orphans = t.orphans[n:]
			t.dropping = false
			return
		}
		c.after(2*protocol.Second, func() { t.dropping = false })
	})
}

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
		c.list(prioUrgent, bookkeeping.JobPrefix, take, func(rev uint64, ok bool) {
			switch {
			case gone():
			case ok:
				c.followJobs(t, rev)
			default:
				c.after(protocol.Second, reread)
			}
		})
	}
	c.watch(prioUrgent, bookkeeping.JobPrefix, rev, gone, take, reread)
}

// learnJob takes a job's record into the book, unless it is there.
func (c *Controller) learnJob(e protocol.Entry) *bookkeeping.Job {
	t := c.term
	ref := strings.TrimPrefix(e.Key, bookkeeping.JobPrefix)
	if j := t.book.Job(ref); j != nil {
		return j
	}
	if _, over := c.finals.find(ref); over {
		return nil
	}
	j, err := bookkeeping.DecodeJob(e.Value)
	if err != nil || j.Spec.Ref != ref {
		c.damaged(e, err)
		return nil
	}
	j.Stamp = e.Stamp
	c.enter(j)
	return j
}

// enter puts a job into the book.
func (c *Controller) enter(j *bookkeeping.Job) {
	t := c.term
	j.Submitted = min(c.at.Steady, c.steadyOf(j.SubmittedWall))
	t.book.AddJob(j)
	c.link(j)
	// An attempt of a job that was not known yet may have been reported.
	for _, a := range t.book.Rebind(c.at.Steady, j) {
		c.began(j)
		c.recordLaunch(a, c.at.Steady)
	}
	if len(j.Spec.Awaits) == 0 {
		c.class(j.Spec.Class).arrived(c.at.Steady, j)
	}
	c.log.Debug("job", "ref", j.Spec.Ref, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", j.Spec.Tasks, "rank", int(j.Spec.Rank),
		"cpus", float64(j.Spec.Need.CPU)/1000, "gpus", float64(j.Spec.Need.GPU)/1000, "mem_gb", float64(j.Spec.Need.Mem)/1000, "saves", j.Spec.Checkpoints(), "estimate_ms", int64(j.Spec.Estimate/protocol.Millisecond))
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
	if t.pass != nil || since >= c.operator.RoundEvery || (t.dirty && since >= c.operator.RoundGap) {
		c.round()
	}
	if c.term == t && c.mayStart() {
		c.callHosts()
		c.manageRental()
		c.stepRollouts(rollout.Tick{})
	}
}

// Bytes that entries may take in the records they share.
func hostBytes(h *bookkeeping.Host) int {
	return len(h.Name) + len(h.Addr) + len(h.TypeName) + len(h.Zone) + 40
}
func bookingBytes(ref string) int { return len(ref) + 24 }

// room is how much of a record entries may take; in a host's some is left for
// images, which are written as far as they fit.
func (c *Controller) room() int     { return c.limits.target.valueBytes - 200 }
func (c *Controller) hostRoom() int { return c.limits.target.valueBytes * 6 / 10 }

// record asks for a host's record. Nothing is launched on a host before: a
// successor must know where tasks may be.
func (c *Controller) record(h *bookkeeping.Host) {
	if !h.Recorded {
		c.term.hostPages.put(h.Name, hostBytes(h), c.hostRoom(), c.at.Steady, true)
	}
}

// hostRecord makes the record that some hosts share.
func (c *Controller) hostRecord(names []string) ([]byte, func()) {
	t := c.term
	var hosts []*bookkeeping.Host
	for _, name := range names {
		if h := t.book.Host(name); h != nil {
			if h.RecordedWall == 0 {
				h.RecordedWall = c.at.Wall
			}
			h.ImagesNew = false
			hosts = append(hosts, h)
		}
	}
	value := bookkeeping.EncodeHosts(hosts, true)
	if len(value) > c.limits.target.valueBytes {
		value = bookkeeping.EncodeHosts(hosts, false)
	}
	return value, func() {
		for _, h := range hosts {
			if !h.Recorded {
				h.Recorded = true
				t.dirty = true
				c.wantCall(h)
			}
			if h.OldRecord {
				h.OldRecord = false
				t.orphans = append(t.orphans, bookkeeping.OldHostPrefix+h.Name)
			}
		}
	}
}

// imagesEvery is how often the images of hosts are recorded anew where they take few records. Which ones a
// host has is worth knowing after a take-over, but nothing depends on it.
const imagesEvery = 10 * protocol.Second

// imagesShare is the part of the rate of changes that records of hosts may take for that.
// Small records are many, and with each machine's images changing all the time they took a
// fifth of 24 changes a second.
const imagesShare = 0.1

// imagesAfter is how long after one time the images are recorded the next time, so that all
// records of hosts take no more than their part of a rate.
func imagesAfter(records int, rate float64) micros {
	return max(imagesEvery, protocol.FromSeconds(float64(records)/(rate*imagesShare)))
}

func (c *Controller) recordImages() {
	t := c.term
	if c.at.Steady < t.nextImages {
		return
	}
	t.nextImages = c.at.Steady + imagesAfter(len(t.hostPages.list), c.writeRate())
	for _, h := range t.book.Hosts() {
		if h.Recorded && h.ImagesNew && h.State == bookkeeping.HostReady {
			t.hostPages.put(h.Name, hostBytes(h), c.hostRoom(), c.at.Steady, false)
		}
	}
}

// bookingRecord makes the record that some bookings share.
func (c *Controller) bookingRecord(refs []string) ([]byte, func()) {
	t := c.term
	return bookkeeping.EncodeBookings(refs, func(ref string) micros {
		if j := t.book.Job(ref); j != nil {
			return j.Booked - c.at.Steady + c.at.Wall
		}
		return 0
	}), nil
}

// doneRecord makes the record of completions that some arrays share.
func (c *Controller) doneRecord(refs []string) ([]byte, func()) {
	t := c.term
	var jobs []*bookkeeping.Job
	var tasks [][]int
	for _, ref := range refs {
		j := t.book.Job(ref)
		if j == nil || j.State != bookkeeping.JobLive {
			t.donePages.drop(ref, protocol.Forever) // its final record covers it
			continue
		}
		jobs, tasks = append(jobs, j), append(tasks, j.Undurable(0, len(j.Tasks)))
	}
	return bookkeeping.EncodeCompletions(jobs), func() {
		for i, j := range jobs {
			for _, k := range tasks[i] {
				j.Tasks[k].Durable = true
			}
		}
	}
}

// chunkWriter batches the records of arrays' completed tasks. Each write depends on the
// record's own stamp: one that got no answer and is carried out after the next one would
// take back completions that are durable, and that their workers were told to forget.
type chunkWriter struct {
	dirty   map[chunkKey]bool
	lost    map[chunkKey]bool // a write of it may have been applied or not: its stamp has to be read
	writing bool
	next    micros
}

type chunkKey struct {
	ref   string
	chunk int
}

// record is the key of the record.
func (k chunkKey) record() string {
	return bookkeeping.ChunkPrefix + k.ref + "/" + strconv.Itoa(k.chunk)
}

// Completions of arrays up to this size share records; larger ones have some
// for themselves. They are let come together for a while.
const (
	sharedTasks = 2048
	doneEvery   = 700 * protocol.Millisecond
)

func (c *Controller) markChunk(j *bookkeeping.Job, index int) {
	if len(j.Tasks) <= sharedTasks {
		size := len(j.Spec.Ref) + 8 + (len(j.Tasks)+23)/24*4 + 2
		c.term.donePages.put(j.Spec.Ref, size, c.room(), c.at.Steady+doneEvery, true)
		return
	}
	w := &c.term.chunks
	if w.dirty == nil {
		w.dirty = make(map[chunkKey]bool)
	}
	if len(w.dirty) == 0 && w.next < c.at.Steady {
		w.next = c.at.Steady + 700*protocol.Millisecond // let some more come together
	}
	w.dirty[chunkKey{j.Spec.Ref, index / bookkeeping.ChunkTasks}] = true
}

func (c *Controller) writeChunks() {
	t := c.term
	w := &t.chunks
	if w.writing || len(w.dirty) == 0 || c.at.Steady < w.next {
		return
	}
	keys := make([]chunkKey, 0, len(w.dirty))
	for k := range w.dirty {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(a, b int) bool {
		return keys[a].ref < keys[b].ref || keys[a].ref == keys[b].ref && keys[a].chunk < keys[b].chunk
	})
	var when []protocol.Condition
	var then []protocol.Change
	type covered struct {
		j     *bookkeeping.Job
		chunk int
		tasks []int
	}
	var batch []covered
	for _, k := range keys {
		j := t.book.Job(k.ref)
		if j == nil || j.State != bookkeeping.JobLive {
			delete(w.dirty, k) // its final record covers it
			continue
		}
		if len(then) == c.limits.target.changes {
			break
		}
		if w.lost[k] {
			c.restampChunk(j, k)
			return
		}
		cv := covered{j: j, chunk: k.chunk, tasks: j.Undurable(k.chunk*bookkeeping.ChunkTasks, (k.chunk+1)*bookkeeping.ChunkTasks)}
		batch = append(batch, cv)
		when = append(when, protocol.Condition{Key: bookkeeping.JobPrefix + k.ref, Stamp: j.Stamp}, protocol.Condition{Key: k.record(), Stamp: j.Chunks[k.chunk]})
		then = append(then, protocol.Change{Key: k.record(), Value: bookkeeping.EncodeChunk(j, k.chunk)})
	}
	for _, cv := range batch {
		delete(w.dirty, chunkKey{cv.j.Spec.Ref, cv.chunk})
	}
	if len(then) == 0 {
		return
	}
	w.writing = true
	c.lead(prioUrgent, when, then, func(o txnOutcome, r protocol.TxnResult) {
		w.writing = false
		w.next = c.at.Steady + 500*protocol.Millisecond
		for _, cv := range batch {
			if o == txnApplied {
				cv.j.KeepChunk(cv.chunk, r.Stamp)
				for _, i := range cv.tasks {
					cv.j.Tasks[i].Durable = true
				}
				continue
			}
			k := chunkKey{cv.j.Spec.Ref, cv.chunk}
			if cv.j.State == bookkeeping.JobLive {
				w.dirty[k] = true
			}
			if o == txnUnknown || o == txnRefused && slices.Contains(r.Failed, k.record()) {
				if w.lost == nil {
					w.lost = make(map[chunkKey]bool)
				}
				w.lost[k] = true
			}
		}
	})
}

// restampChunk reads the stamp of a record of completions after a write without an answer.
func (c *Controller) restampChunk(j *bookkeeping.Job, k chunkKey) {
	t := c.term
	t.chunks.writing = true
	c.get(prioUrgent, k.record(), func(e protocol.Entry, found, ok bool) {
		if c.term != t {
			return
		}
		t.chunks.writing = false
		if !ok {
			t.chunks.next = c.at.Steady + 300*protocol.Millisecond
			return
		}
		delete(t.chunks.lost, k)
		j.KeepChunk(k.chunk, e.Stamp) // 0 where there is none
	})
}

// checkFinished writes the final record of a job whose tasks are all done.
// Only after it is durable are users told.
func (c *Controller) checkFinished(j *bookkeeping.Job) {
	if j.State != bookkeeping.JobLive || j.Done < len(j.Tasks) {
		return
	}
	j.To(bookkeeping.JobFinishing)
	c.finish(j)
}

// finish moves a job's record to where jobs that are over are kept.
func (c *Controller) finish(j *bookkeeping.Job) {
	t := c.term
	if c.role != Leading {
		// It would be refused: the state service is not there, or this node's lease.
		c.after(400*protocol.Millisecond, func() { c.finishAgain(t, j) })
		return
	}
	t.finals.line = append(t.finals.line, waitingFinal{j, c.at.Steady})
	c.writeFinals()
}

// writeFinal writes a job's final record, in its turn.
func (c *Controller) writeFinal(j *bookkeeping.Job, since micros) {
	t := c.term
	ref := j.Spec.Ref
	phase := protocol.Done
	if j.State == bookkeeping.JobCancelled || j.State == bookkeeping.JobCancelling {
		phase = protocol.Cancelled
	}
	then := []protocol.Change{{Key: bookkeeping.JobPrefix + ref},
		{Key: bookkeeping.FinalPrefix + ref, Value: bookkeeping.EncodeFinal(phase, len(j.Tasks))}}
	t.bookingPages.drop(ref, protocol.Forever)
	chunks := make([]int, 0, len(j.Chunks))
	for k := range j.Chunks {
		chunks = append(chunks, k)
	}
	sort.Ints(chunks)
	var rest []string // dropped once the job is over
	for _, k := range chunks {
		if key := (chunkKey{ref, k}).record(); len(then) < c.limits.target.changes {
			then = append(then, protocol.Change{Key: key})
		} else {
			rest = append(rest, key)
		}
	}
	when := []protocol.Condition{{Key: bookkeeping.JobPrefix + ref, Stamp: j.Stamp}}
	c.lead(prioEnding, when, then, func(o txnOutcome, r protocol.TxnResult) {
		t.finals.wrote(c.at.Steady, since)
		c.writeFinals()
		switch o {
		case txnApplied:
			t.orphans = append(t.orphans, rest...)
			c.over(j, phase)
		case txnRefused:
			// Our own earlier try may have been applied late.
			c.get(prioUrgent, bookkeeping.FinalPrefix+ref, func(e protocol.Entry, found, ok bool) {
				if c.term != t {
					return
				}
				if found {
					if p, _, err := bookkeeping.DecodeFinal(e.Value); err == nil {
						c.over(j, p)
						return
					}
				}
				// Or a write to the job's record was: its stamp is another.
				c.get(prioUrgent, bookkeeping.JobPrefix+ref, func(e protocol.Entry, found, ok bool) {
					if c.term != t {
						return
					}
					if found {
						j.Stamp = e.Stamp
					}
					c.after(500*protocol.Millisecond, func() { c.finishAgain(t, j) })
				})
			})
		default:
			c.after(400*protocol.Millisecond, func() { c.finishAgain(t, j) })
		}
	})
}

func (c *Controller) finishAgain(t *term, j *bookkeeping.Job) {
	if c.term == t && (j.State == bookkeeping.JobFinishing || j.State == bookkeeping.JobCancelled || j.State == bookkeeping.JobCancelling) {
		c.finish(j)
	}
}

// over notes that a job's final record is durable.
func (c *Controller) over(j *bookkeeping.Job, p protocol.Phase) {
	t := c.term
	c.remember(j.Spec.Ref, final{p, len(j.Tasks)})
	if p == protocol.Done {
		if j.State == bookkeeping.JobFinishing {
			j.To(bookkeeping.JobDone)
		}
	} else if j.State == bookkeeping.JobCancelled || j.State == bookkeeping.JobCancelling {
		j.To(bookkeeping.JobClosed)
		c.log.Debug("cancelled", "ref", j.Spec.Ref, "asked_ms_ago", int64((c.at.Wall-j.CancelledWall)/protocol.Millisecond), "told", len(t.cancels[j.Spec.Ref]))
	}
	delete(t.chains.writing, j)
	for i := range j.Tasks {
		j.Tasks[i].Durable = true
	}
	for _, a := range t.cancels[j.Spec.Ref] {
		c.reply(a, 200, protocol.JobAnswer(j.Spec.Ref, p, j.Done, 0), 0)
	}
	delete(t.cancels, j.Spec.Ref)
	t.dirty = true
}

// remember keeps the last phase of a job that is durably over, and takes it to the jobs
// that await it.
func (c *Controller) remember(ref string, f final) {
	c.finals.keep(ref, f)
	c.awaitedOver(ref, f.phase)
}

// closeJobs lets go of jobs that are over and of which no attempt is left.
func (c *Controller) closeJobs() {
	t := c.term
	var over []*bookkeeping.Job
	for _, j := range t.book.Line() {
		c.countServed(j)
		c.countBegun(j)
		switch j.State {
		case bookkeeping.JobDone, bookkeeping.JobClosed:
			if j.Settled() {
				over = append(over, j)
			}
		case bookkeeping.JobCancelling:
			c.endCancelled(j)
			c.keepAsk(j)
		case bookkeeping.JobCancelled: // by an earlier version
			if j.Settled() && t.recovered && !j.Closing && len(t.cancels[j.Spec.Ref]) == 0 {
				c.closing(j)
				c.finish(j)
			}
		}
	}
	t.book.RemoveJobs(over)
}
