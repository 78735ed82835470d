package rollout

import (
	"net/http"

	"mapleslip/internal/protocol"
)

// JobState is the state of a job, as far as roll-outs distinguish it.
type JobState uint8

// States of a job.
const (
	JobAbsent    JobState = iota // unknown: not accepted yet, or ended and deleted
	JobLive                      // accepted
	JobCancelled                 // cancelled; its tasks may still be on hosts
)

// Job is the leader's state of a job.
type Job struct {
	State   JobState
	Settled bool // no task of the job can be on a host
	Service bool // the job is a daemon job
	Spec    *protocol.JobSpec
}

// Instance is the leader's state of a task of a job.
type Instance struct {
	Index       int
	Running     bool
	Unconfirmed bool // launched under an earlier leader, and its host has not reported yet
	Attempt     uint64
	IP          string // IP address of the host
}

// JobSource provides the leader's state of jobs. If visit is not nil, Job calls it for every task
// of a job that is known.
type JobSource interface {
	Job(ref string, visit func(Instance)) Job
}

// retryDelay is the time after which a submission or cancellation is repeated if it was not
// answered.
const retryDelay = 3 * protocol.Second

// reconcileJobs carries out the durable record: it submits jobs that do not exist yet and cancels
// jobs that are leaving. A submission that may still be applied is repeated until it is answered,
// even if the job is leaving, because otherwise the job could be created after its cancellation.
// While the roll-out is paused, only requests that were made before are repeated.
func (m *Manager) reconcileJobs(sv *service) {
	certainlyHealthy := sv.oldTally.certainlyHealthy + sv.newTally.certainlyHealthy
	for _, part := range []struct {
		version  *Version
		tally    tally
		retained bool // its jobs must not be cancelled
	}{{&sv.record.Old, sv.oldTally, sv.record.State == Reverting}, {&sv.record.New, sv.newTally, false}} {
		for _, b := range part.version.Batches {
			ref := b.Ref
			if m.now < sv.retryAt[ref] || sv.cancelConfirmed[ref] || sv.cancelledByUser[ref] || sv.refused[ref] != "" && !b.Leaving {
				continue
			}
			if b.Leaving && (sv.known[ref] || !sv.submitPending[ref]) {
				if !m.cancelBatch(sv, ref, part.retained, part.tally.byBatch[ref], &certainlyHealthy) {
					continue
				}
			} else if !m.submitBatch(sv, part.version, b) {
				continue
			}
			sv.retryAt[ref] = m.now + retryDelay + micros(m.rng.Int64N(int64(protocol.Second)))
		}
	}
}

// cancelBatch requests the cancellation of a leaving job if it is permitted now, and reports
// whether it did. certainlyHealthy is the number of certainly healthy instances of the service,
// which it reduces by those of the job.
func (m *Manager) cancelBatch(sv *service, ref string, retained bool, bt batchTally, certainlyHealthy *int) bool {
	if !sv.cancelRequested[ref] {
		if sv.record.State == Paused || sv.known[ref] && (retained || !sv.mayCancel(*certainlyHealthy, bt)) {
			return false
		}
		sv.cancelRequested[ref] = true
		*certainlyHealthy -= bt.certainlyHealthy
	}
	m.emit(Cancel{ref})
	return true
}

// submitBatch submits a job that is not known yet, and reports whether it did. While the roll-out
// is paused, it only repeats submissions that were made before.
func (m *Manager) submitBatch(sv *service, v *Version, b Batch) bool {
	if sv.known[b.Ref] || sv.record.State == Paused && !sv.submitPending[b.Ref] {
		return false
	}
	sv.submitPending[b.Ref] = true
	m.emit(Submit{v.job(b)})
	return true
}

// onSubmitted handles the answer to a submission.
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
