package simulation

import (
	"context"
	"log/slog"
	"strings"

	"mapleslip/internal/protocol"
)

// What the stand-ins know of messages that come late, and of users who keep to one
// controller: on real machines rules broke where such troubles met others.

// lateness is which messages come late: every so manyth of those that have a text in
// them, most of them at all, by so much and up to half as much again.
type lateness struct {
	every, most int
	by          micros
	with        string
	anywhere    bool   // copies of reports come to whoever leads then
	atOnce      bool   // transactions are carried out at once, only the answer is lost
	forNext     bool   // copies of reports are kept for the next leader
	on          string // the role at which it gets them, see actLate
	seen, late  int
}

// next counts a message and says whether it comes late, and by how much.
func (l *lateness) next(kind bool, body string) (bool, micros) {
	if l.every == 0 || !kind || !strings.Contains(body, l.with) || l.late >= l.most {
		return false, 0
	}
	l.seen++
	if l.seen%l.every != 0 {
		return false, 0
	}
	l.late++
	return true, l.by + l.by*micros(l.late%4)/8
}

// copyReport delivers a worker's report once more, whatever became of the machine.
// Nobody waits for the answer.
func (w *World) copyReport(n *node, anywhere bool, body string) {
	if anywhere && w.leader() != nil {
		n = w.leader()
	}
	if n.alive && !n.cut {
		w.request(n, "hello", body, func(int, []byte) {})
	}
}

// apart carries a message between controllers, or holds it while one of them is away.
func apart(n, o *node, deliver func()) {
	switch {
	case n.away:
		n.held = append(n.held, deliver)
	case o.away:
		o.held = append(o.held, deliver)
	default:
		deliver()
	}
}

// comesBack ends what a node is away for; what was held is delivered.
func (w *World) comesBack(n *node) {
	n.away = false
	held := n.held
	n.held = nil
	for _, deliver := range held {
		w.after(w.delay(), deliver)
	}
}

// balanced is what the load balancer knows of a node: it takes it out after two checks
// in a row that failed, and back in after two that did not and three seconds. Its users'
// connections are closed after it was out for five.
type balanced struct {
	failed, passed int
	out            bool
	since          micros
}

// balance has the load balancer check all nodes.
func (w *World) balance() {
	if !w.sticks {
		return
	}
	for _, n := range w.nodes {
		status := 0
		if w.reachable(n) && !n.frozen {
			w.request(n, "health", "", func(s int, _ []byte) { status = s })
		}
		if status == 200 {
			n.passed, n.failed = n.passed+1, 0
		} else {
			n.passed, n.failed = 0, n.failed+1
		}
		switch {
		case !n.out && n.failed >= 2:
			n.out, n.since = true, w.now
		case n.out && n.passed >= 2 && w.now-n.since >= 3*protocol.Second:
			n.out = false
		}
	}
}

// nodeOf is where a job's user asks: at one node after another, or where the connection
// is.
func (w *World) nodeOf(j *userJob) *node {
	if !w.sticks {
		return w.upNode()
	}
	if n := j.via; n != nil && w.reachable(n) && (!n.out || w.now-n.since < 5*protocol.Second) {
		return n
	}
	j.via = w.upNode()
	return j.via
}

// alarm takes an error in the log that must never be seen for a broken rule.
type alarm struct {
	slog.Handler
	w *World
}

// Enabled is part of slog.Handler.
func (a alarm) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelError }

// Handle is part of slog.Handler.
func (a alarm) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "task is on two hosts" {
		r.Attrs(func(at slog.Attr) bool {
			a.w.broken("%s: %s", r.Message, at)
			return false
		})
	}
	return nil
}

// WithAttrs is part of slog.Handler.
func (a alarm) WithAttrs([]slog.Attr) slog.Handler { return a }
