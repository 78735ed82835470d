package controller

import "mapleslip/internal/protocol"

// Thresholds of lag. A controller lags if its last tick is longer ago than lagGap, or if more than
// lagBacklog events wait.
const (
	lagGap         = 1 * protocol.Second
	lagBacklog     = 256
	lagLogInterval = 5 * protocol.Second
)

// lagDetector records when this controller lags behind its events.
type lagDetector struct {
	lastTick   micros // time at which the last tick was handled
	lastLag    micros // time at which lag was last detected
	lastLagLog micros // time at which lag was last logged
}

// detectLag checks on a tick whether this controller lags. Messages of other processes may then
// still wait in its own queue, so for a while their silence does not prove that they have failed.
func (env *environment) detectLag(backlog int) {
	now := env.now.Steady
	gap := now - env.lastTick
	if env.lastTick > 0 && gap > lagGap || backlog > lagBacklog {
		env.lastLag = now
		if now-env.lastLagLog > lagLogInterval {
			env.lastLagLog = now
			env.log.Info("falling behind", "not_run_ms", int64(gap/protocol.Millisecond), "events_waiting", backlog)
		}
	}
	env.lastTick = now
}

// isLagging reports whether lag was detected within the last span.
func (env *environment) isLagging(within micros) bool {
	return env.lastLag > 0 && env.now.Steady-env.lastLag < within
}
