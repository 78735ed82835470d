package controller

import (
	"maps"
	"net/http"
	"slices"

	"mapleslip/internal/protocol"
)

// refusal is why a user's request, or a worker's heartbeat, can't be served now. Its text is
// part of the answer, and a label of a metric.
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

// defaultRetryAfter is when a request that can't be served now may be repeated.
const defaultRetryAfter = protocol.Second

// refuse answers that a request can't be served now.
func (env *environment) refuse(to ReplyAddress, why refusal) {
	env.refuseUntil(to, why, defaultRetryAfter)
}

// refuseUntil answers that a request can't be served now, and when it may be repeated.
func (env *environment) refuseUntil(to ReplyAddress, why refusal, retryAfter micros) {
	if env.stats.Refused == nil {
		env.stats.Refused = make(map[string]uint64)
	}
	env.stats.Refused[string(why)]++
	env.replyAfter(to, http.StatusServiceUnavailable, protocol.ErrorBody(string(why)), retryAfter)
}

// refusalLogInterval is how often the log says what was refused.
const refusalLogInterval = 5 * protocol.Second

// refusalLog logs how much was refused, now and then.
type refusalLog struct {
	next   micros
	logged map[string]uint64 // counts that were logged, by reason
}

// logRefusals logs what was refused since it last did.
func (c *Controller) logRefusals() {
	l := &c.refusalLog
	if c.now.Steady < l.next {
		return
	}
	l.next = c.now.Steady + refusalLogInterval
	for _, why := range slices.Sorted(maps.Keys(c.stats.Refused)) {
		count := c.stats.Refused[why]
		if count == l.logged[why] {
			continue
		}
		if l.logged == nil {
			l.logged = make(map[string]uint64)
		}
		c.log.Info("requests refused", "reason", why, "count", count-l.logged[why], "role", c.election.role.String())
		l.logged[why] = count
	}
}
