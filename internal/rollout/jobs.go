package rollout

import (
	"net/http"

	"mapleslip/internal/protocol"
)

// JobState is how a job stands.
type JobState uint8

// How a job stands.
const (
	JobAbsent    JobState = iota // not known: not accepted yet, or over and gone
	JobLive                      // accepted
	JobCancelled                 // cancelled; tasks may still be on machines
)

// Job is what the leader knows of a job.
type Job struct {
	State   JobState
	Settled bool // none of its tasks can be on a machine
	Service bool // it is a daemon job
	Spec    *protocol.JobSpec
}

// Instance is a task of a job as the leader knows it.
type Instance struct {
	Index       int
	Running     bool
	Unconfirmed bool // an earlier leader launched it, and its machine has not been heard of since
	Attempt     uint64
	IP          string // of its machine
}

// JobSource is what the leader knows of jobs. each, if it is not nil, is called for
// every task of a job that is known.
type JobSource interface {
	Job(ref string, each func(Instance)) Job
}

// retryDelay is when a submission or cancellation without an answer is repeated.
const retryDelay = 3 * protocol.Second

// reconcileJobs does what the durable record says: what is not there yet is submitted, what
// leaves is cancelled. A submission that may still be applied is repeated until it
// is answered, also for a job that leaves: cancelled too early it would come after.
// While a roll-out is paused only what was begun is repeated.
func (m *Manager) reconcileJobs(sv *service) {
	sure := sv.oldTally.certainlyHealthy + sv.newTally.certainlyHealthy
	for _, part := range []struct {
		version *Version
		tally   tally
		held    bool // its jobs don't go
	}{{&sv.record.Old, sv.oldTally, sv.record.State == Reverting}, {&sv.record.New, sv.newTally, false}} {
		for _, b := range part.version.Batches {
			ref := b.Ref
			if m.now < sv.retryAt[ref] || sv.cancelConfirmed[ref] || sv.cancelledByUser[ref] || sv.refused[ref] != "" && !b.Leaving {
				continue
			}
			if b.Leaving && (sv.known[ref] || !sv.submitPending[ref]) {
				if !m.cancelBatch(sv, ref, part.held, part.tally.byBatch[ref], &sure) {
					continue
				}
			} else if !m.submitBatch(sv, part.version, b) {
				continue
			}
			sv.retryAt[ref] = m.now + retryDelay + micros(m.rng.Int64N(int64(protocol.Second)))
		}
	}
}

// cancelBatch cancels a job that leaves, if it may go. sure is how many instances are surely
// healthy.
func (m *Manager) cancelBatch(sv *service, ref string, held bool, bt batchTally, sure *int) bool {
	if !sv.cancelRequested[ref] {
		if sv.record.State == Paused || sv.known[ref] && (held || !sv.mayCancel(*sure, bt)) {
			return false
		}
		sv.cancelRequested[ref] = true
		*sure -= bt.certainlyHealthy
	}
	m.emit(Cancel{ref})
	return true
}

// submitBatch submits a job that is not known yet. While a roll-out is paused only what was tried
// is.
func (m *Manager) submitBatch(sv *service, v *Version, b Batch) bool {
	if sv.known[b.Ref] || sv.record.State == Paused && !sv.submitPending[b.Ref] {
		return false
	}
	sv.submitPending[b.Ref] = true
	m.emit(Submit{v.job(b)})
	return true
}

// onSubmitted takes the answer to a submission.
func (m *Manager) onSubmitted(e Submitted) {
	sv := m.owners[e.Ref]
	if sv == nil {
		return
	}
	switch e.Status {
	case http.StatusOK, http.StatusCreated:
		sv.known[e.Ref] = true
		sv.submitPending[e.Ref] = false
		sv.retryAt[e.Ref] = 0
		if e.Phase == protocol.PhaseCancelled {
			sv.cancelConfirmed[e.Ref], sv.cancelledByUser[e.Ref] = true, true
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		sv.submitPending[e.Ref] = false
		sv.refused[e.Ref] = e.Refusal
	}
}
