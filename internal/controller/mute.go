package controller

import "mapleslip/internal/state"

// missesHeartbeats reports whether a machine's worker opens no connection to any controller, while
// direct commands reach it: no report of its has come for as long as its lease under this
// leader. Each question to it is answered, so it is not silent, and it has room; but direct
// commands renew no lease, so whatever is put there is gone within one. Tasks were launched
// on such machines once a lease, for as long as that lasted, beside others that were free.
// What is on one stays until its lease ends, and stops still go out as direct commands.
func (hm *hostMonitor) missesHeartbeats(h *state.Host) bool {
	return hm.now.Steady-max(h.HeartbeatAt, h.KnownSince, hm.recordsLoadedAt) > hm.platform.WorkerLease
}
