package controller

import "mapleslip/internal/protocol"

// What shows that a controller falls behind: it was not run for that long, or that many events
// wait.
const (
	lagGap         = 1 * protocol.Second
	lagBacklog     = 256
	lagLogInterval = 5 * protocol.Second
)

// lagDetector notices that this controller falls behind.
type lagDetector struct {
	lastTick   micros // when the last tick was handled
	lastLag    micros // when this controller was last found to fall behind
	lastLagLog micros
}

// detectLag notices that this controller falls behind. What it has not heard then may wait in
// its own queue, so for a while the silence of others proves nothing.
func (env *environment) detectLag(backlog int) {
	at := env.now.Steady
	gap := at - env.lastTick
	if env.lastTick > 0 && gap > lagGap || backlog > lagBacklog {
		env.lastLag = at
		if at-env.lastLagLog > lagLogInterval {
			env.lastLagLog = at
			env.log.Info("falling behind", "not_run_ms", int64(gap/protocol.Millisecond), "events_waiting", backlog)
		}
	}
	env.lastTick = at
}

// isLagging reports whether this controller fell behind within a span.
func (env *environment) isLagging(within micros) bool {
	return env.lastLag > 0 && env.now.Steady-env.lastLag < within
}
