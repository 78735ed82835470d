package simulation

import (
	"mapleslip/internal/controller"
	"mapleslip/internal/duplicate"
)

// copies sets which messages arrive again. In drawn histories and in TestTracesWithCopies these are
// all that package duplicate names.
type copies struct {
	mixed bool   // the delays of package duplicate in turn
	fixed micros // delay of each copy, 0 if none is set
	duplicate.Sequence
}

// next returns the delay after which a copy of the next message arrives. ok is false if there is
// none.
func (c *copies) next() (delay micros, ok bool) {
	if c.mixed {
		return c.Next(), true
	}
	return c.fixed, c.fixed > 0
}

// actDuplicateRequests: duplicate-requests SECONDS: copies arrive that long after the message;
// with 0 there are none, with "mixed" the delays differ.
func (w *World) actDuplicateRequests(words []string) error {
	w.copies.fixed = seconds(words[1])
	w.copies.mixed = words[1] == "mixed"
	return nil
}

// isCopied reports whether a copy of a controller's call may arrive, see package duplicate.
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
