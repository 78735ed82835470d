package coordination

import (
	"sort"
	"strconv"
	"strings"

	"mapleslip/internal/bookkeeping"
	"mapleslip/internal/protocol"
)

// term is what a leader knows and does during one epoch.
type term struct {
	book      *bookkeeping.Book
	epoch     uint64
	started   micros
	recovered bool // every recorded host has reported or is proven empty
	dirty     bool // something changed that a round should look at
	lastRound micros
	attempts  uint64 // counter for attempt numbers
	claims    uint64 // counter for claim names

	submits map[string][]Address // submissions whose record is on its way
	cancels map[string][]Address
	gone    map[string]bool // machines that are certainly gone
	rental  rental
	cutSeen map[string]micros // when a zone last looked cut off
	chunks  chunkWriter
	classes map[string]*class
	booked  []string // bookings to be recorded

	orphans []string // keys of jobs that are over

	nextRecord micros
	nextImages micros
}

// load reads the records of jobs, hosts and bookings.
func (c *Controller) load() {
	c.become(Loading)
	c.seat.nextRenew = c.at.Steady
	t := &term{book: bookkeeping.NewBook(), epoch: c.seat.epoch, started: c.at.Steady,
		submits: make(map[string][]Address), cancels: make(map[string][]Address), gone: make(map[string]bool),
		classes: make(map[string]*class), cutSeen: make(map[string]micros)}
	t.rental.init()
	c.term = t
	bookings := make(map[string]micros)
	chunks := make(map[string][]protocol.Entry)
	steps := []struct {
		prefix string
		each   func(protocol.Entry)
	}{
		{bookkeeping.KeyTypes, func(e protocol.Entry) {
			if e.Key == bookkeeping.KeyTypes {
				c.tookTypes(e.Value)
			}
		}},
		{bookkeeping.HostPrefix, func(e protocol.Entry) {
			name := strings.TrimPrefix(e.Key, bookkeeping.HostPrefix)
			h, err := bookkeeping.DecodeHost(c.at.Steady, name, e.Value)
			if err != nil {
				c.malformed("state", err)
				return
			}
			h.Answered = c.seat.predAnswers
			h.Heard = c.at.Steady
			t.book.Hosts[name] = h
		}},
		{bookkeeping.BookingPrefix, func(e protocol.Entry) {
			at, err := strconv.ParseInt(string(e.Value), 10, 64)
			if err != nil {
				c.malformed("state", err)
				return
			}
			bookings[strings.TrimPrefix(e.Key, bookkeeping.BookingPrefix)] = micros(at)
		}},
		{bookkeeping.ChunkPrefix, func(e protocol.Entry) {
			ref, _, _ := strings.Cut(strings.TrimPrefix(e.Key, bookkeeping.ChunkPrefix), "/")
			chunks[ref] = append(chunks[ref], e)
		}},
		{bookkeeping.JobPrefix, func(e protocol.Entry) { c.learnJob(e) }},
	}
	var step func(i int)
	step = func(i int) {
		s := steps[i]
		c.list(prioLeadership, s.prefix, s.each, func(rev uint64, ok bool) {
			if c.term != t {
				return
			}
			if !ok {
				c.after(300*protocol.Millisecond, func() {
					if c.term == t {
						step(i)
					}
				})
				return
			}
			if i+1 < len(steps) {
				step(i + 1)
				return
			}
			for ref, at := range bookings {
				if j := t.book.Jobs[ref]; j != nil {
					j.Booked, j.BookingKept = c.steadyOf(at), true
				} else {
					t.orphans = append(t.orphans, bookkeeping.BookingPrefix+ref)
				}
			}
			for ref, list := range chunks {
				j := t.book.Jobs[ref]
				for _, e := range list {
					if j == nil {
						t.orphans = append(t.orphans, e.Key)
					}
					k, err := strconv.Atoi(e.Key[strings.LastIndexByte(e.Key, '/')+1:])
					if j != nil && err == nil {
						if j.Chunks == nil {
							j.Chunks = make(map[int]bool)
						}
						j.Chunks[k] = true
						err = bookkeeping.ApplyChunk(j, k, e.Value)
					}
					if err != nil {
						c.malformed("state", err)
					}
				}
			}
			c.loaded(rev)
		})
	}
	step(0)
}

// steadyOf turns a time of day into the steady clock's.
func (c *Controller) steadyOf(wall micros) micros { return c.at.Steady + wall - c.at.Wall }

func (c *Controller) loaded(rev uint64) {
	t := c.term
	c.become(Leading)
	for _, h := range t.book.Hosts {
		h.Heard = c.at.Steady
		h.Type = c.typeByName[h.TypeName]
	}
	for _, j := range t.jobs() {
		c.checkFinished(j)
	}
	c.log.Info("leading", "epoch", t.epoch, "jobs", len(t.book.Jobs), "hosts", len(t.book.Hosts), "load_ms", int64((c.at.Steady-t.started)/protocol.Millisecond))
	c.followJobs(t, rev)
	for _, h := range t.hosts() {
		c.probe(t, h)
	}
	// What belongs to jobs that are over: the transaction that ends a job has
	// room for some of its records only.
	sort.Strings(t.orphans)
	for len(t.orphans) > 0 {
		n := min(len(t.orphans), c.platform.TxnOps)
		var then []protocol.Change
		for _, key := range t.orphans[:n] {
			then = append(then, protocol.Change{Key: key})
		}
		t.orphans = t.orphans[n:]
		c.dropRecords(t, then)
	}
	c.pollTypes(t)
	c.pollMachines(t)
	t.dirty = true
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
	c.watch(bookkeeping.JobPrefix, rev, gone, take, reread)
}

// learnJob takes a job's record into the book, unless it is there.
func (c *Controller) learnJob(e protocol.Entry) *bookkeeping.Job {
	t := c.term
	ref := strings.TrimPrefix(e.Key, bookkeeping.JobPrefix)
	if j := t.book.Jobs[ref]; j != nil {
		return j
	}
	if _, over := c.finals[ref]; over {
		return nil
	}
	j, err := bookkeeping.DecodeJob(e.Value)
	if err != nil || j.Spec.Ref != ref {
		c.malformed("state", err)
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
	t.book.Jobs[j.Spec.Ref] = j
	// An attempt of a job that was not known yet may have been reported.
	for _, h := range t.book.Hosts {
		for _, a := range h.Attempts {
			if a.Job == nil && a.Name.Job == j.Spec.Ref {
				c.rebind(a, j)
			}
		}
	}
	c.class(j.Spec.Class).arrived(c.at.Steady, j)
	c.log.Debug("job", "ref", j.Spec.Ref, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", j.Spec.Tasks, "estimate_ms", int64(j.Spec.Estimate/protocol.Millisecond))
	t.dirty = true
}

// rebind gives an attempt seen earlier to its job.
func (c *Controller) rebind(a *bookkeeping.Attempt, j *bookkeeping.Job) {
	t := c.term
	state := a.State
	h := a.Host
	delete(h.Attempts, a.Name)
	if state == bookkeeping.AttemptExited || a.Name.Index >= len(j.Tasks) {
		return // comes again with the next report
	}
	n := t.book.Attach(c.at.Steady, j, h, a.Name)
	n.Adopted = true
	t.book.Move(c.at.Steady, n, state)
}

func (t *term) jobs() []*bookkeeping.Job {
	list := make([]*bookkeeping.Job, 0, len(t.book.Jobs))
	for _, j := range t.book.Jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Spec.Ref < list[b].Spec.Ref })
	return list
}

func (t *term) hosts() []*bookkeeping.Host {
	list := make([]*bookkeeping.Host, 0, len(t.book.Hosts))
	for _, h := range t.book.Hosts {
		list = append(list, h)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}

// pulse does what is due while this node leads.
func (c *Controller) pulse() {
	t := c.term
	if c.role != Leading && c.role != Doubtful {
		return
	}
	c.watchHosts()
	if c.role != Leading {
		return
	}
	c.recordHosts()
	c.writeChunks()
	c.writeBookings()
	c.closeJobs()
	since := c.at.Steady - t.lastRound
	if since >= c.operator.RoundEvery || (t.dirty && since >= c.operator.RoundGap) {
		c.round()
	}
	if c.term == t && c.mayStart() {
		c.callHosts()
		c.manageRental()
	}
}

// recordHosts writes the records of hosts that have none. Nothing is launched
// on a host before: a successor must know where tasks may be.
func (c *Controller) recordHosts() {
	t := c.term
	if c.at.Steady < t.nextRecord {
		return
	}
	var batch []*bookkeeping.Host
	for _, h := range t.hosts() {
		// Only once it reports: a successor waits for every recorded host, and
		// one that still boots has nothing to tell.
		if !h.Recorded && !h.Recording && h.State == bookkeeping.HostReady {
			batch = append(batch, h)
			if len(batch) == c.platform.TxnOps {
				break
			}
		}
	}
	if c.at.Steady >= t.nextImages {
		// Which images a host has is worth knowing after a take-over, but it
		// need not be recorded at once.
		t.nextImages = c.at.Steady + 3*protocol.Second
		for _, h := range t.hosts() {
			if len(batch) < c.platform.TxnOps && h.Recorded && !h.Recording && h.ImagesNew && h.State == bookkeeping.HostReady {
				batch = append(batch, h)
			}
		}
	}
	if len(batch) == 0 {
		return
	}
	var then []protocol.Change
	for _, h := range batch {
		if !h.Recorded {
			h.RecordedWall = c.at.Wall
		}
		h.Recording, h.ImagesNew = true, false
		then = append(then, protocol.Change{Key: bookkeeping.HostPrefix + h.Name, Value: bookkeeping.EncodeHost(h)})
	}
	c.lead(prioUrgent, nil, then, func(o txnOutcome, _ protocol.TxnResult) {
		for _, h := range batch {
			h.Recording = false
			if o == txnApplied {
				h.Recorded = true
				t.dirty = true
			} else {
				h.ImagesNew = true
			}
		}
		if o != txnApplied {
			t.nextRecord = c.at.Steady + 300*protocol.Millisecond
		}
	})
}

// chunkWriter batches the records of arrays' completed tasks.
type chunkWriter struct {
	dirty   map[chunkKey]bool
	writing bool
	next    micros
}

type chunkKey struct {
	ref   string
	chunk int
}

func (c *Controller) markChunk(j *bookkeeping.Job, index int) {
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
		j := t.book.Jobs[k.ref]
		if j == nil || j.State != bookkeeping.JobLive {
			delete(w.dirty, k) // its final record covers it
			continue
		}
		if len(then) == c.platform.TxnOps {
			break
		}
		cv := covered{j: j, chunk: k.chunk}
		for i := k.chunk * bookkeeping.ChunkTasks; i < min(len(j.Tasks), (k.chunk+1)*bookkeeping.ChunkTasks); i++ {
			if j.Tasks[i].State == bookkeeping.TaskDone && !j.Tasks[i].Durable {
				cv.tasks = append(cv.tasks, i)
			}
		}
		delete(w.dirty, k)
		batch = append(batch, cv)
		when = append(when, protocol.Condition{Key: bookkeeping.JobPrefix + k.ref, Stamp: j.Stamp})
		then = append(then, protocol.Change{Key: bookkeeping.ChunkPrefix + k.ref + "/" + strconv.Itoa(k.chunk), Value: bookkeeping.EncodeChunk(j, k.chunk)})
	}
	if len(then) == 0 {
		return
	}
	w.writing = true
	c.lead(prioUrgent, when, then, func(o txnOutcome, _ protocol.TxnResult) {
		w.writing = false
		w.next = c.at.Steady + 500*protocol.Millisecond
		for _, cv := range batch {
			if o == txnApplied {
				if cv.j.Chunks == nil {
					cv.j.Chunks = make(map[int]bool)
				}
				cv.j.Chunks[cv.chunk] = true
				for _, i := range cv.tasks {
					cv.j.Tasks[i].Durable = true
				}
			} else if cv.j.State == bookkeeping.JobLive {
				w.dirty[chunkKey{cv.j.Spec.Ref, cv.chunk}] = true
			}
		}
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
	ref := j.Spec.Ref
	phase := protocol.Done
	if j.State == bookkeeping.JobCancelled {
		phase = protocol.Cancelled
	}
	then := []protocol.Change{{Key: bookkeeping.JobPrefix + ref},
		{Key: bookkeeping.FinalPrefix + ref, Value: bookkeeping.EncodeFinal(phase, len(j.Tasks))}}
	if j.BookingKept {
		then = append(then, protocol.Change{Key: bookkeeping.BookingPrefix + ref})
	}
	chunks := make([]int, 0, len(j.Chunks))
	for k := range j.Chunks {
		chunks = append(chunks, k)
	}
	sort.Ints(chunks)
	for _, k := range chunks {
		if len(then) < c.platform.TxnOps {
			then = append(then, protocol.Change{Key: bookkeeping.ChunkPrefix + ref + "/" + strconv.Itoa(k)})
		}
	}
	when := []protocol.Condition{{Key: bookkeeping.JobPrefix + ref, Stamp: j.Stamp}}
	c.lead(prioUrgent, when, then, func(o txnOutcome, r protocol.TxnResult) {
		switch o {
		case txnApplied:
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
				c.after(protocol.Second, func() { c.finishAgain(t, j) })
			})
		default:
			c.after(400*protocol.Millisecond, func() { c.finishAgain(t, j) })
		}
	})
}

func (c *Controller) finishAgain(t *term, j *bookkeeping.Job) {
	if c.term == t && (j.State == bookkeeping.JobFinishing || j.State == bookkeeping.JobCancelled) {
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
	} else if j.State == bookkeeping.JobCancelled {
		j.To(bookkeeping.JobClosed)
	}
	for i := range j.Tasks {
		j.Tasks[i].Durable = true
	}
	for _, a := range t.cancels[j.Spec.Ref] {
		c.reply(a, 200, protocol.JobAnswer(j.Spec.Ref, p, j.Done, 0), 0)
	}
	delete(t.cancels, j.Spec.Ref)
	t.dirty = true
}

// remember keeps the last phase of a job that is over.
func (c *Controller) remember(ref string, f final) {
	if len(c.finals) > 50000 {
		for k := range c.finals { // any of them: the state service has them all
			delete(c.finals, k)
			if len(c.finals) < 45000 {
				break
			}
		}
	}
	c.finals[ref] = f
}

// closeJobs lets go of jobs that are over and of which no attempt is left.
func (c *Controller) closeJobs() {
	t := c.term
	var over []*bookkeeping.Job
	for _, j := range t.book.Jobs {
		if j.State == bookkeeping.JobDone || j.State == bookkeeping.JobClosed || j.State == bookkeeping.JobCancelled {
			over = append(over, j)
		}
	}
	sort.Slice(over, func(a, b int) bool { return over[a].Spec.Ref < over[b].Spec.Ref })
	for _, j := range over {
		ref := j.Spec.Ref
		switch j.State {
		case bookkeeping.JobDone, bookkeeping.JobClosed:
			if j.Settled() {
				delete(t.book.Jobs, ref)
				for _, h := range t.book.Hosts {
					for _, a := range h.Attempts {
						if a.Job == j {
							a.Job = nil
						}
					}
				}
			}
		case bookkeeping.JobCancelled:
			if j.Settled() && t.recovered && j.Held == 0 && len(t.cancels[ref]) == 0 {
				j.Held = protocol.Forever // its record is being moved
				c.finish(j)
			}
		}
	}
}
