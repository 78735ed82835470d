// Package duplicate decides when a copy of a message that was delivered arrives at its receiver
// again. The simulation and the fakes of a scale run share it.
//
// A copy of every message may arrive, unless it is one of these:
//
//   - Replies. "Commands in a report response are not executed late, because the worker drops
//     responses after 4 s" (PROTOCOL, Delayed messages). A controller drops a late reply to a call
//     in the same way.
//   - Reads from the state service and the cloud, watches and health checks. A GET changes nothing at
//     the receiver ("Controller nodes -> state service", "Controller nodes -> cloud").
//
// Not copied yet: operators' requests, and in a scale run also users' requests and messages between
// controllers.
package duplicate

import (
	"sync/atomic"

	"mapleslip/internal/protocol"
)

// delays are the delays of copies: within a heartbeat interval, about the time after which a task
// that failed is started elsewhere, and longer than a worker's lease.
var delays = [...]protocol.Micros{
	protocol.Second / 10, 4 * protocol.Second, 1500 * protocol.Millisecond, 12 * protocol.Second, 45 * protocol.Second,
}

// Sequence returns different delays in turn. It is safe for concurrent use.
type Sequence struct{ made atomic.Uint64 }

// Next returns the delay of the next copy.
func (s *Sequence) Next() protocol.Micros {
	return delays[s.made.Add(1)%uint64(len(delays))]
}
