package simulation

import "strings"

// lateness selects messages to delay or copy. Of the messages that contain a text, the field with,
// it selects each n-th, n being the field every, until there were as many as the field limit. The
// delay is the time in the field by, plus up to 3/8 of it.
type lateness struct {
	every, limit     int
	by               micros
	with             string
	toLeader         bool   // copies of heartbeats go to the node that leads when they are delivered
	atOnce           bool   // transactions are carried out at once and only their answer is lost
	forNext          bool   // copies of heartbeats are kept for the next leader
	onRole           string // role at the entry of which they are delivered then, see actLate
	matched, delayed int
}

// next counts a message and returns whether it is delayed, and by how much. Only messages for which
// kind is true count.
func (l *lateness) next(kind bool, body string) (bool, micros) {
	if l.every == 0 || !kind || !strings.Contains(body, l.with) || l.delayed >= l.limit {
		return false, 0
	}
	l.matched++
	if l.matched%l.every != 0 {
		return false, 0
	}
	l.delayed++
	return true, l.by + l.by*micros(l.delayed%4)/8
}

// copyReport delivers a copy of a worker's heartbeat, even if the machine is gone, and discards the
// answer. The copy goes to the leader, if there is one, instead of n if toLeader is set.
func (w *World) copyReport(n *node, toLeader bool, body string) {
	if toLeader && w.leader() != nil {
		n = w.leader()
	}
	if n.alive && !n.cut {
		w.request(n, "hello", body, func(int, []byte) {})
	}
}

// deliverOrHold delivers a message between the controllers n and other, or holds it while one of
// them is disconnected.
func deliverOrHold(n, other *node, deliver func()) {
	switch {
	case n.disconnected:
		n.heldMessages = append(n.heldMessages, deliver)
	case other.disconnected:
		other.heldMessages = append(other.heldMessages, deliver)
	default:
		deliver()
	}
}

// reconnect reconnects a node that was disconnected and delivers the messages that were held.
func (w *World) reconnect(n *node) {
	n.disconnected = false
	messages := n.heldMessages
	n.heldMessages = nil
	for _, deliver := range messages {
		w.after(w.delay(), deliver)
	}
}
