package controller

import (
	"net/http"

	"mapleslip/internal/state"
)

// answerSource is where the status of a job in an answer to a user comes from. It is a label of a
// metric.
type answerSource string

// Sources of the status of a job.
const (
	answerLeaderMemory answerSource = "leader's memory"
	answerFromLeader   answerSource = "answer of the leader"
	answerRecord       answerSource = "record of an active job"
	answerFinalRecord  answerSource = "final record"
	answerNewRecord    answerSource = "record written for the submission"
)

// replyStatus answers a user with the status of a job.
func (d *jobDirectory) replyStatus(to ReplyAddress, ref string, source answerSource, body []byte) {
	d.observeAnswer(ref, source, body)
	d.reply(to, http.StatusOK, body)
}

// replyTracked answers a user, as the leader, with the status of a job in the cluster state.
func (d *jobDirectory) replyTracked(to ReplyAddress, j *state.Job) {
	d.replyStatus(to, j.Spec.Ref, answerLeaderMemory, d.trackedJobStatus(j))
}

// observeAnswer counts and logs the status of a job in an answer to a user.
func (d *jobDirectory) observeAnswer(ref string, source answerSource, body []byte) {
	if d.stats.Answers == nil {
		d.stats.Answers = make(map[string]uint64)
	}
	d.stats.Answers[string(source)]++
	d.log.Debug("user answered", "ref", ref, "source", string(source), "answer", body, "role", d.election.role.String(),
		"leader", d.election.leader.Controller, "leader_epoch", d.election.leader.Epoch)
}
