package controller

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"mapleslip/internal/configuration"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// How a new leader reads the records and what it does with them first.

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
	host := func(h *state.Host) {
		h.LeaseRenewedAt = c.seat.predAnswers
		h.LastContact = c.at.Steady
		if t.book.Host(h.Name) == nil {
			t.book.AddHost(h)
		}
	}
	// A record that can't be read is named, and never taken for an empty one.
	damaged := c.damaged
	refused := false
	steps := []loadStep{
		{state.KeyTypes, func(e protocol.Entry) {
			if e.Key == state.KeyTypes {
				c.tookKeptTypes(e.Value)
			}
		}},
		{state.KeyHandover, func(e protocol.Entry) {
			if e.Key != state.KeyHandover {
				return
			}
			m, err := state.DecodeHandoverState(e.Value)
			if err != nil {
				damaged(e, err) // what it says is found out again
				return
			}
			c.memory = leadership.Newest(c.memory, m)
		}},
		{state.HostShardPrefix, func(e protocol.Entry) {
			hosts, err := state.DecodeHosts(c.at.Steady, e.Value)
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
		{state.LegacyHostPrefix, func(e protocol.Entry) {
			h, err := state.DecodeLegacyHost(c.at.Steady, strings.TrimPrefix(e.Key, state.LegacyHostPrefix), e.Value)
			if err != nil {
				damaged(e, err)
				refused = true
				return
			}
			h.LegacyRecord = true
			host(h)
		}},
		{state.BookingShardPrefix, func(e protocol.Entry) {
			at, err := state.DecodeBookings(e.Value)
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
		{state.LegacyBookingPrefix, func(e protocol.Entry) {
			t.orphans = append(t.orphans, e.Key)
			at, err := strconv.ParseInt(string(e.Value), 10, 64)
			if err != nil {
				damaged(e, err)
				return
			}
			bookings[strings.TrimPrefix(e.Key, state.LegacyBookingPrefix)] = micros(at)
		}},
		{state.CompletionShardPrefix, func(e protocol.Entry) {
			list, err := state.DecodeCompletions(e.Value)
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
		{state.LaunchShardPrefix, func(e protocol.Entry) {
			list, err := state.DecodeLaunches(e.Value)
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
		{state.ChunkPrefix, func(e protocol.Entry) {
			ref, _, _ := strings.Cut(strings.TrimPrefix(e.Key, state.ChunkPrefix), "/")
			chunks[ref] = append(chunks[ref], e)
		}},
		{state.JobPrefix, func(e protocol.Entry) { c.learnJob(e) }},
	}
	if c.levels != nil {
		steps = append(steps, loadStep{featuregate.KeyLevel, c.loadLevel(&refused)})
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
			if s.prefix == state.JobPrefix {
				jobsFrom = rev
			}
			if waiting--; waiting > 0 {
				return
			}
			for ref, at := range bookings {
				if j := t.book.Job(ref); j != nil {
					j.BookedStart, j.BookingPersisted = c.steadyOf(at), true
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
					if err := state.ApplyChunk(j, 0, b); err != nil {
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
						j.SetChunkRevision(k, e.Revision)
						err = state.ApplyChunk(j, k, e.Value)
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
	if was, told := c.unread[e.Key]; told && was == e.Revision {
		return
	}
	c.unread[e.Key] = e.Revision
	c.log.Error("damaged record", "key", e.Key, "err", err)
}

// recordedLaunch is a launch and the record that names it.
type recordedLaunch struct {
	state.Launch
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
	j.StartSLOCounted = true // by an earlier leader, which knew whether it began in time
	t.book.SetAttemptState(c.at.Steady, a, state.AttemptLaunched)
	if j.Spec.Kind == protocol.Gang {
		j.GangAttempt = max(j.GangAttempt, l.Name.Number)
	}
	a.StopRequested = j.State != state.JobActive
	// It stays in the record that names it for as long as it may be there.
	name := l.Name.TaskName.String()
	t.launchPages.enter(l.page, name, launchBytes(a))
	t.launches[name] = a
}

func (c *Controller) loaded(rev uint64, launches map[string]recordedLaunch) {
	t := c.term
	c.become(Leading)
	t.led = c.at.Steady
	c.inherit()
	for _, h := range t.book.Hosts() {
		h.Type = c.typeByName[h.TypeName]
		if h.LegacyRecord {
			t.hostPages.put(h.Name, hostBytes(h), c.hostRoom(), c.at.Steady, true)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(launches)) {
		c.pin(launches[name])
	}
	for _, j := range slices.Clone(t.book.Jobs()) {
		if j.CompletedTasks > 0 {
			c.began(j)
		}
		c.checkFinished(j)
	}
	c.log.Info("leading", "epoch", t.epoch, "jobs", len(t.book.Jobs()), "hosts", len(t.book.Hosts()), "load_ms", int64((c.at.Steady-t.started)/protocol.Millisecond))
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
	value := state.EncodeEpoch(state.EpochRecord{Epoch: t.epoch, Transfers: t.yields, Level: c.level()})
	c.lead(prioUrgent, c.underLevel(nil), []protocol.Change{{Key: state.KeyEpoch, Value: value}}, func(o txnOutcome, r protocol.TxnResult) {
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
	c.list(prioNormal, state.FinalPrefix, func(e protocol.Entry) {
		if p, n, err := state.DecodeFinal(e.Value); err == nil && !c.finals.full() {
			c.remember(strings.TrimPrefix(e.Key, state.FinalPrefix), final{p, n})
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
