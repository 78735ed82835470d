package controller

import (
	"maps"
	"slices"

	"mapleslip/internal/protocol"
)

// Reasons for which a user's call, or a worker's report, is refused for now.
const (
	refusalNoLeader        = "no leader can be reached"
	refusalStateService    = "the state service can't be reached"
	refusalMachineTypes    = "machine types are not known yet"
	refusalSubmitRate      = "too many submissions"
	refusalLookupLimit     = "too many questions"
	refusalRecovering      = "not ready"
	refusalHostReleased    = "the machine is gone"
	refusalIsolated        = "this node hears nobody"
	refusalRevisionPending = "the revision is not in force everywhere yet"
	refusalFeatureLevel    = "this version does not serve the active feature level"
	refusalFeatureDisabled = "not every controller has the version for this yet"
	refusalTasksStopping   = "tasks of the job may still be on machines"
)

// later answers that a call can't be taken now, at once, and counts why.
func (env *environment) replyUnavailableAfter(to ReplyAddress, why string, after micros) {
	if env.stats.Refused == nil {
		env.stats.Refused = make(map[string]uint64)
	}
	env.stats.Refused[why]++
	env.reply(to, 503, protocol.ErrorBody(why), after)
}

// refusalLogInterval is how often the log says what was refused.
const refusalLogInterval = 5 * protocol.Second

// logRefusals tells what was refused since it last did.
func (c *Controller) logRefusals() {
	if c.now.Steady < c.nextRefusalLog {
		return
	}
	c.nextRefusalLog = c.now.Steady + refusalLogInterval
	for _, why := range slices.Sorted(maps.Keys(c.stats.Refused)) {
		if n := c.stats.Refused[why]; n > c.refusalsLogged[why] {
			if c.refusalsLogged == nil {
				c.refusalsLogged = make(map[string]uint64)
			}
			c.log.Info("refused for now", "why", why, "count", n-c.refusalsLogged[why], "role", c.election.role.String())
			c.refusalsLogged[why] = n
		}
	}
}
