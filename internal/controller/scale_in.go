package controller

import (
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// scaleIn releases machines on which nothing runs and that the last plan does not need. While
// submissions are refused because of overload, the plans do not include the refused jobs, so idle
// times count only from the end of the overload. Without this, 1,700 of 4,200 machines were
// released in the first seconds of a deployment, and others rented once the jobs were accepted.
func (as *autoscaler) scaleIn() {
	now := as.now.Steady
	if !as.cloud.listAvailable {
		// A release request without a response leaves a machine that can neither be used nor
		// be considered gone.
		return
	}
	if as.submitQueue.isOverloaded(now) {
		as.overloadedAt = now
	}
	for _, h := range as.cluster.Hosts() {
		if !as.isUnneeded(h) || now-max(h.IdleSince, as.overloadedAt) <= as.operator.IdleScaleInDelay {
			continue
		}
		if h.Empty() {
			as.cloud.releaseHost(h, "idle for "+strconv.FormatInt(int64((now-h.IdleSince)/protocol.Second), 10)+" s")
		} else {
			as.scheduler.evictAll(h)
		}
	}
}

// isUnneeded reports whether a host is ready, has no work that retains it, and is not needed by the
// last plan.
func (as *autoscaler) isUnneeded(h *state.Host) bool {
	return h.State == state.HostReady && h.Reconciled && !as.scheduler.hasRetainingWork(h) && !as.neededMachines[as.scheduler.machines[h]]
}
