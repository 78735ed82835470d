package simulation

import (
	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

// copies decides when a copy of a message that was delivered arrives at its receiver again. In drawn
// histories and in TestTracesWithCopies a copy of every message arrives, unless it is one of these:
//
//   - Replies. "Commands in a report response are not executed late, because the worker drops
//     responses after 4 s" (PROTOCOL, Delayed messages). A controller drops a late reply to a call
//     in the same way.
//   - Reads from the state service and the cloud, watches and health checks. A GET changes nothing at
//     the receiver ("Controller nodes -> state service", "Controller nodes -> cloud").
type copies struct {
	mixed bool   // the delays of copyDelays in turn
	fixed micros // delay of each copy, 0 if none is set
	made  int
}

// copyDelays are the delays of copies: within a heartbeat interval, about the time after which a
// task that failed is started elsewhere, and longer than a worker's lease.
var copyDelays = [...]micros{
	protocol.Second / 10, 4 * protocol.Second, 1500 * protocol.Millisecond, 12 * protocol.Second, 45 * protocol.Second,
}

// next returns the delay after which a copy of the next message arrives. ok is false if there is
// none.
func (c *copies) next() (delay micros, ok bool) {
	if !c.mixed {
		return c.fixed, c.fixed > 0
	}
	c.made++
	return copyDelays[c.made%len(copyDelays)], true
}

// actDuplicateRequests: duplicate-requests SECONDS: copies arrive that long after the message;
// with 0 there are none, with "mixed" the delays differ.
func (w *World) actDuplicateRequests(words []string) error {
	w.copies.fixed = seconds(words[1])
	w.copies.mixed = words[1] == "mixed"
	return nil
}

// isCopied reports whether a copy of a controller's call may arrive, see copies.
func isCopied(c controller.Call) bool { return c.Method != "GET" || c.Target == controller.ToWorker }

// copyCall delivers a copy of a call later, even if the sender has ended by then.
func (w *World) copyCall(c controller.Call) {
	if !isCopied(c) {
		return
	}
	if delay, ok := w.copies.next(); ok {
		w.after(delay, func() { w.deliverCopy(c) })
	}
}

// copyUserRequest sends a user's request once more later. The copy's answer has no effect but is
// compared with those before.
func (w *World) copyUserRequest(send func()) {
	if delay, ok := w.copies.next(); ok {
		w.after(delay, send)
	}
}

// copyHeartbeat delivers a copy of a worker's heartbeat later to the controller that it was sent to.
func (w *World) copyHeartbeat(n *node, body string) {
	if delay, ok := w.copies.next(); ok {
		w.after(delay, func() { w.copyReport(n, false, body) })
	}
}
