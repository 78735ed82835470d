package simulation

import "strings"

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
