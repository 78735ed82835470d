package controller

import "mapleslip/internal/protocol"

// What shows that a node falls behind: it was not run for that long, or that
// many events wait.
const (
	lagGap     = 1 * protocol.Second
	lagBacklog = 256
)

// watchLag notices that this node falls behind. What it has not heard then may
// wait in its own queue, so for a while silence says nothing.
func (env *environment) watchLag(backlog int) {
	at := env.now.Steady
	if gap := at - env.lastTick; env.lastTick > 0 && gap > lagGap || backlog > lagBacklog {
		env.lastLag = at
		if at-env.lastLagLog > 5*protocol.Second {
			env.lastLagLog = at
			env.log.Info("falling behind", "not_run_ms", int64(gap/protocol.Millisecond), "events_waiting", backlog)
		}
	}
	env.lastTick = at
}

// isLagging reports whether this node fell behind within a span.
func (env *environment) isLagging(within micros) bool {
	return env.lastLag > 0 && env.now.Steady-env.lastLag < within
}
