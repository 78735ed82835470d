package controller

import (
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Chained jobs, as the leader sees them. A job that awaits others is waiting until each of
// them is known to be durably done, and is no part of any plan until then. Once one of them
// is durably cancelled the job is doomed: whoever answers for it says cancelled, since every
// reader comes to the same conclusion from the same records, and its own final record
// follows when there is room for it. Nothing else has to be written, or to be written in
// time, for the promise to hold.

// chains is what a leader knows of the jobs that await others.
type chains struct {
	dependants map[string][]*state.Job // jobs that wait, by each of the jobs that they await
	unknown    []string                // awaited jobs that this leader has to look up
	asked      map[string]bool         // those, and the ones that are being looked up
	looking    int
	doomed     []*state.Job        // whose final records are not on their way yet
	writing    map[*state.Job]bool // doomed jobs whose final records are
}

// mostLookups bounds the awaited jobs that are looked up at once, mostDoomedWrites the final
// records of doomed jobs on their way: others wait for the state service as well.
const (
	mostLookups      = 16
	mostDoomedWrites = 8
)

func newChains() chains {
	return chains{
		dependants: make(map[string][]*state.Job), asked: make(map[string]bool),
		writing: make(map[*state.Job]bool),
	}
}

// link takes a job that entered the book into the graph.
func (c *Controller) link(j *state.Job) {
	g := &c.term.chains
	j.EligibleAt = j.Submitted
	if len(j.UnmetDependencies) > 0 {
		c.linkAwaited(j)
	}
	// Jobs that await it may have entered before.
	for _, d := range g.dependants[j.Spec.Ref] {
		c.lend(d, j)
		if j.DependencyCancelled || j.State == state.JobCancelledLegacy {
			c.doom(d)
		} else {
			c.updateUnsure(d)
		}
	}
}

// linkAwaited finds out how the jobs stand that a job awaits.
func (c *Controller) linkAwaited(j *state.Job) {
	g := &c.term.chains
	doomed := false
	j.UnmetDependencies = slices.DeleteFunc(j.UnmetDependencies, func(ref string) bool {
		f, over := c.finals.find(ref)
		doomed = doomed || over && f.phase == protocol.PhaseCancelled
		return over && f.phase == protocol.PhaseDone
	})
	for _, ref := range j.UnmetDependencies {
		g.dependants[ref] = append(g.dependants[ref], j)
		o := c.term.book.Job(ref)
		switch {
		case o == nil:
			c.wantAwaited(ref)
		case o.DependencyCancelled || o.State == state.JobCancelledLegacy:
			doomed = true
		default:
			c.lend(j, o)
		}
	}
	switch {
	case doomed:
		c.doom(j)
	case len(j.UnmetDependencies) == 0:
		c.freeToStart(j)
	default:
		c.updateUnsure(j)
	}
}

// freeToStart lets a job start whose awaited jobs are all durably done.
func (c *Controller) freeToStart(j *state.Job) {
	if j.State != state.JobBlocked {
		return // its user asked to cancel it
	}
	t := c.term
	j.SetState(state.JobActive)
	j.EligibleAt = c.at.Steady
	if t.led > 0 {
		c.class(j.Spec.Class).arrived(c.at.Steady, j)
	}
	t.dirty = true
	c.log.Debug("job is free to start", "ref", j.Spec.Ref)
}

// began notes that a task of a job was launched, by an earlier leader if the job is still
// waiting here. No leader launches before it knows that all awaited jobs are durably done,
// and that never changes.
func (c *Controller) began(j *state.Job) {
	if j.State != state.JobBlocked {
		return
	}
	j.SetState(state.JobActive)
	j.UnmetDependencies, j.DependencyUncertain = nil, false
	for _, d := range c.term.chains.dependants[j.Spec.Ref] {
		c.updateUnsure(d)
	}
}

// awaitedOver takes the durable end of a job to those that await it.
func (c *Controller) awaitedOver(ref string, p protocol.Phase) {
	if c.term == nil {
		return
	}
	g := &c.term.chains
	list := g.dependants[ref]
	delete(g.dependants, ref)
	for _, j := range list {
		if p == protocol.PhaseCancelled {
			c.doom(j)
			continue
		}
		j.UnmetDependencies = slices.DeleteFunc(j.UnmetDependencies, func(r string) bool { return r == ref })
		if len(j.UnmetDependencies) == 0 {
			c.freeToStart(j)
		}
		c.updateUnsure(j)
	}
}

// doom cancels a job of which an awaited one is durably cancelled, and all that await it.
func (c *Controller) doom(first *state.Job) {
	g := &c.term.chains
	for work := []*state.Job{first}; len(work) > 0; {
		j := work[len(work)-1]
		work = work[:len(work)-1]
		if j.DependencyCancelled || j.State != state.JobBlocked && j.State != state.JobCancelling {
			continue
		}
		if j.State == state.JobBlocked {
			j.SetState(state.JobCancelling)
			j.CancelRequestedWall = c.at.Wall
		}
		j.DependencyCancelled, j.DependencyUncertain = true, false
		c.takeBack(j)
		if !j.FinalWriteInFlight {
			g.doomed = append(g.doomed, j)
		}
		ref := j.Spec.Ref
		for _, to := range c.term.cancels[ref] {
			c.reply(to, 200, c.jobAnswer(j), 0)
		}
		delete(c.term.cancels, ref)
		work = append(work, g.dependants[ref]...)
		delete(g.dependants, ref)
	}
}

// updateUnsure finds out whether a waiting job may be durably cancelled without this leader
// knowing it, and the same for those that await it. It is so while the final record of a
// job before it is on its way, or is still to be read.
func (c *Controller) updateUnsure(first *state.Job) {
	g := &c.term.chains
	for work := []*state.Job{first}; len(work) > 0; {
		j := work[len(work)-1]
		work = work[:len(work)-1]
		unsure := !j.DependencyCancelled && slices.ContainsFunc(j.UnmetDependencies, c.mayBeCancelled)
		if unsure != j.DependencyUncertain {
			j.DependencyUncertain = unsure
			work = append(work, g.dependants[j.Spec.Ref]...)
		}
	}
}

// mayBeCancelled reports whether an awaited job may be durably cancelled without this
// leader knowing it.
func (c *Controller) mayBeCancelled(ref string) bool {
	o := c.term.book.Job(ref)
	return o == nil || o.FinalWriteInFlight || o.DependencyUncertain
}

// closing notes that the final record of a cancelled job is on its way.
func (c *Controller) closing(j *state.Job) {
	j.FinalWriteInFlight = true
	c.takeBack(j)
	for _, d := range c.term.chains.dependants[j.Spec.Ref] {
		c.updateUnsure(d)
	}
}

// wantAwaited has an awaited job looked up that is not in the book.
func (c *Controller) wantAwaited(ref string) {
	g := &c.term.chains
	if !g.asked[ref] {
		g.asked[ref] = true
		g.unknown = append(g.unknown, ref)
	}
}

// awaitedAgain is after how long a lookup is tried again that failed.
const awaitedAgain = 500 * protocol.Millisecond

// stepChains goes on with lookups and with the final records of doomed jobs.
func (c *Controller) stepChains() {
	g := &c.term.chains
	for g.looking < mostLookups && len(g.unknown) > 0 {
		ref := g.unknown[0]
		g.unknown = g.unknown[1:]
		c.lookUpAwaited(ref)
	}
	for len(g.writing) < mostDoomedWrites && len(g.doomed) > 0 {
		j := g.doomed[0]
		g.doomed = g.doomed[1:]
		if !j.FinalWriteInFlight && !j.CancelWriteInFlight && c.nowhere(j) {
			g.writing[j] = true
			j.FinalWriteInFlight = true
			c.finish(j)
		} else if !j.FinalWriteInFlight {
			g.doomed = append(g.doomed, j)
			return
		}
	}
}

// lookUpAwaited reads how an awaited job stands that is not in the book.
func (c *Controller) lookUpAwaited(ref string) {
	t := c.term
	g := &t.chains
	if len(g.dependants[ref]) == 0 || t.book.Job(ref) != nil {
		delete(g.asked, ref)
		return // it is known meanwhile
	}
	g.looking++
	c.find(prioUrgent, ref, func(_ *state.Job, _ final, found, ok bool) {
		if c.term != t {
			return
		}
		g.looking--
		if ok && found {
			delete(g.asked, ref) // finding it told those that await it
			return
		}
		if ok {
			c.log.Error("an awaited job has no record", "ref", ref)
		}
		c.after(awaitedAgain, func() {
			if c.term == t {
				g.unknown = append(g.unknown, ref)
			}
		})
	})
}

// lend has a job be served as one that needs it: with its rank, if that is higher, and so
// that it is done by when the other has to start to meet its deadline. So it goes back
// through the chain, to whatever can start now.
func (c *Controller) lend(from, to *state.Job) {
	neededBy := c.startBy(from)
	rises := from.Priority < to.Priority
	hastens := neededBy > 0 && (to.InheritedDeadline == 0 || neededBy < to.InheritedDeadline)
	if !rises && !hastens {
		return
	}
	to.Priority = min(to.Priority, from.Priority)
	if hastens {
		to.InheritedDeadline = neededBy
	}
	c.servedAnew(to)
	for _, ref := range to.UnmetDependencies {
		if o := c.term.book.Job(ref); o != nil {
			c.lend(to, o)
		}
	}
}

// servedAnew has the next round plan with a job's new rank, and around what runs of it.
func (c *Controller) servedAnew(j *state.Job) {
	for _, a := range j.ActiveAttempts() {
		a.Host.Stale = true
	}
	c.term.dirty = true
}

// takeBack ends what a job lends that is being cancelled: those that it awaits are served by
// the others that need them.
func (c *Controller) takeBack(j *state.Job) {
	for _, ref := range j.UnmetDependencies {
		o := c.term.book.Job(ref)
		if o == nil {
			continue
		}
		rank, neededBy := o.Priority, o.InheritedDeadline
		o.Priority, o.InheritedDeadline = o.Spec.Priority, 0
		for _, d := range c.term.chains.dependants[ref] {
			if d.State == state.JobBlocked {
				c.lend(d, o)
			}
		}
		if o.Priority != rank || o.InheritedDeadline != neededBy {
			c.servedAnew(o)
			c.takeBack(o)
		}
	}
}

// startBy is when a job has to be free to start for it, and those that need it, to meet
// their deadlines: by its estimate, and a fetch of its image. 0: nobody has a deadline.
func (c *Controller) startBy(j *state.Job) micros {
	due := deadlineOf(j)
	if due == 0 || j.Spec.Kind == protocol.Service {
		return 0
	}
	var fetch micros
	for _, t := range c.types {
		if j.Spec.AllowsType(t.Name) {
			fetch = max(fetch, c.fetchTime(t, j.Spec.ImageSize))
		}
	}
	return max(1, due-c.class(j.Spec.Class).length(j.Spec)-fetch)
}

// deadlineOf is when a job has to be done by its own deadline and those of the jobs that
// need it, 0: there is none.
func deadlineOf(j *state.Job) micros {
	var due micros
	if j.Spec.Deadline > 0 {
		due = j.Submitted + j.Spec.Deadline
	}
	if j.InheritedDeadline > 0 && (due == 0 || j.InheritedDeadline < due) {
		due = j.InheritedDeadline
	}
	return due
}
