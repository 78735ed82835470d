package records

import (
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// EncodeJob encodes the record of a job in its current state. For a job that is being cancelled the
// record contains the time of the user's request, so that a new leader continues the cancellation.
// The job counts as cancelled, and the user gets a confirmation, only once none of its tasks can be
// on any host. A controller of a version without this field treats the job as active: the user has
// got no confirmation yet and requests the cancellation again.
func EncodeJob(j *state.Job) []byte {
	b := strconv.AppendInt([]byte(`{"at":`), int64(j.SubmittedWall), 10)
	b = strconv.AppendUint(append(b, `,"epoch":`...), j.LeaderEpoch, 10)
	switch j.State {
	case state.JobCancelling:
		b = strconv.AppendInt(append(b, `,"cancelAskedAt":`...), int64(j.Cancellation.RequestedWall), 10)
	case state.JobCancelledLegacy:
		b = strconv.AppendInt(append(b, `,"cancelled":true,"cancelledAt":`...), int64(j.Cancellation.RequestedWall), 10)
	case state.JobActive, state.JobBlocked, state.JobFinishing, state.JobDone, state.JobClosed:
	}
	b = protocol.AppendJob(append(b, `,"job":`...), j.Spec)
	return append(b, '}')
}

// DecodeJob decodes the record of a job.
func DecodeJob(value []byte) (*state.Job, error) {
	var j *state.Job
	err := parse(value, func(v *fastjson.Value) error {
		object := protocol.Member(v, "job")
		if object.Type() != fastjson.TypeObject {
			return &FieldError{Record: "job", Field: "job"}
		}
		spec, err := protocol.JobFromJSON(object)
		if err != nil {
			return &FieldError{"job", "job", err}
		}
		j = state.NewJob(spec)
		j.SubmittedWall = micros(v.GetInt64("at"))
		j.LeaderEpoch = v.GetUint64("epoch")
		readCancellation(j, v)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return j, nil
}

func readCancellation(j *state.Job, v *fastjson.Value) {
	if v.GetBool("cancelled") {
		j.State = state.JobCancelledLegacy
		j.Cancellation.RequestedWall = micros(v.GetInt64("cancelledAt"))
		return
	}
	if at := v.GetInt64("cancelAskedAt"); at > 0 {
		j.State = state.JobCancelling
		j.Cancellation.RequestedWall, j.Cancellation.Persisted = micros(at), true
	}
}

// EncodeFinal encodes the final record of a finished job: its last phase and number of tasks.
func EncodeFinal(phase protocol.Phase, tasks int) []byte {
	return append(strconv.AppendInt([]byte(`{"phase":"`+string(phase)+`","n":`), int64(tasks), 10), '}')
}

// DecodeFinal decodes the final record of a finished job.
func DecodeFinal(value []byte) (phase protocol.Phase, tasks int, err error) {
	err = parse(value, func(v *fastjson.Value) error {
		phase, tasks = protocol.Phase(v.GetStringBytes("phase")), v.GetInt("n")
		if phase != protocol.PhaseDone && phase != protocol.PhaseCancelled {
			return &FieldError{Record: "final", Field: "phase"}
		}
		return nil
	})
	if err != nil {
		return "", 0, err
	}
	return phase, tasks, nil
}
