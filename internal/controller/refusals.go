package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
)

// refusal is the reason why a user's request or a worker's heartbeat can't be served now. Its text
// is part of the reply and a label of a metric.
type refusal string

// Refusals.
const (
	refusalNoLeader        refusal = "no leader can be reached"
	refusalStateService    refusal = "the state service can't be reached"
	refusalMachineTypes    refusal = "machine types are not known yet"
	refusalSubmitRate      refusal = "too many submissions"
	refusalLookupLimit     refusal = "too many questions"
	refusalRecovering      refusal = "not ready"
	refusalHostReleased    refusal = "the machine is gone"
	refusalIsolated        refusal = "this node hears nobody"
	refusalRevisionPending refusal = "the revision is not in force everywhere yet"
	refusalFeatureLevel    refusal = "this version does not serve the active feature level"
	refusalFeatureDisabled refusal = "not every controller has the version for this yet"
	refusalTasksStopping   refusal = "tasks of the job may still be on machines"
)

// defaultRetryAfter is the time after which a refused request may be repeated.
const defaultRetryAfter = protocol.Second

// refuse answers that a request can't be served now and may be repeated after defaultRetryAfter.
func (env *environment) refuse(to ReplyAddress, reason refusal) {
	env.refuseUntil(to, reason, defaultRetryAfter)
}

// refuseUntil answers that a request can't be served now and may be repeated after retryAfter.
func (env *environment) refuseUntil(to ReplyAddress, reason refusal, retryAfter micros) {
	if env.stats.Refused == nil {
		env.stats.Refused = make(map[string]uint64)
	}
	env.stats.Refused[string(reason)]++
	env.replyAfter(to, http.StatusServiceUnavailable, protocol.ErrorBody(string(reason)), retryAfter)
}

// refusalLogInterval is how often the numbers of refusals are logged.
const refusalLogInterval = 5 * protocol.Second

// refusalLog is the state of the periodic log of refusals and rejections.
type refusalLog struct {
	nextLog           micros
	refused, rejected countLog
}

// logRefusals logs the numbers of refusals, and of submissions that were refused for good, since
// the last log lines, by reason.
func (c *Controller) logRefusals() {
	l := &c.refusalLog
	if c.now.Steady < l.nextLog {
		return
	}
	l.nextLog = c.now.Steady + refusalLogInterval
	role := c.election.role.String()
	l.refused.report(c.stats.Refused, func(reason string, count uint64) {
		c.log.Info("requests refused", "reason", reason, "count", count, "role", role)
	})
	l.rejected.report(c.stats.Rejected, func(reason string, count uint64) {
		c.log.Info("submissions rejected", "reason", reason, "count", count, "role", role)
	})
}
