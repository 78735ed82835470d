package users

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"mapleslip/internal/configuration"
	"mapleslip/internal/scale/wire"
)

// configTimeout limits a request of an operator, microseconds. A controller holds a request to
// wait for a revision for up to 1.5 s.
const configTimeout = 4 * second

// maxRefusalNotes is how many refusals are reported with their reasons.
const maxRefusalNotes = 3

// changeLog records the changes that operators have requested and the answers to them.
type changeLog struct {
	mu       sync.Mutex
	sent     map[string]bool   // by change id
	accepted map[string]uint64 // revision by change id
	refused  int
}

// runOperators simulates the operators. Each makes its changes one after the other, in the
// order in which they are due. It waits for a change to be in force while it makes the next one.
func (l *load) runOperators(all []*change, stop chan struct{}) {
	log := &changeLog{sent: make(map[string]bool), accepted: make(map[string]uint64)}
	queues := make([]chan *change, l.plan.Operators.Operators)
	for i := range queues {
		queues[i] = make(chan *change, len(all)/len(queues)+1)
		go func() {
			for {
				select {
				case <-stop:
					return
				case c := <-queues[i]:
					l.makeChange(c, log, stop)
				}
			}
		}()
	}
	for _, c := range all {
		l.schedule(c.due, func(due int64) {
			l.mu.Lock()
			l.lags = append(l.lags, wire.Now()-due)
			l.mu.Unlock()
			l.count("config_due")
			queues[c.operator] <- c
		})
	}
	l.schedule(l.plan.BeginUS+l.plan.DurationUS+l.plan.SettleUS/3, func(int64) { l.checkHistory(log, len(all)) })
}

// makeChange makes a change, and starts a goroutine that waits until the change is in force.
func (l *load) makeChange(planned *change, log *changeLog, stop chan struct{}) {
	c := planned.start(wire.Now())
	log.mu.Lock()
	log.sent[c.id] = true
	log.mu.Unlock()
	l.requestUntil(c, waiting, stop)
	switch c.state {
	case refused:
		l.count("config_refused")
		log.mu.Lock()
		log.refused++
		note := log.refused <= maxRefusalNotes
		log.mu.Unlock()
		if note {
			l.pipe.Note("%s was refused: %v: %s", c.id, c.set, c.refusal)
		}
		return
	case waiting:
	default:
		l.count("config_given_up")
		return
	}
	if !c.newRevision {
		l.count("config_unchanged")
	} else {
		l.count("config_made")
		log.mu.Lock()
		log.accepted[c.id] = c.revision
		log.mu.Unlock()
	}
	madeAt := c.retryStart
	l.reportChange(c, "made", madeAt, madeAt)
	go func() {
		l.requestUntil(c, inForce, stop)
		if c.state != inForce {
			l.count("config_wait_given_up")
			return
		}
		l.count("config_in_force")
		l.reportChange(c, "in_force", madeAt, wire.Now())
	}()
}

// requestUntil sends requests for a change until the change has reached the target state or a
// final one.
func (l *load) requestUntil(c *pendingChange, target changeState, stop chan struct{}) {
	for c.state < target && !c.state.final() {
		method, path, body := c.request()
		op := [...]string{"config", "config_change", "config_wait"}[c.state]
		conflicts := c.conflicts
		a := l.clients[c.region].call(method, path, body, configTimeout)
		pause := c.handleAnswer(a, wire.Now())
		l.count("requests_" + op)
		l.count("status_" + op + "_" + strconv.Itoa(a.status))
		if c.conflicts > conflicts {
			l.count("config_conflicts")
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(pause) * time.Microsecond):
		}
	}
}

// reportChange reports to the supervisor that a change has reached a phase. The message contains
// the times at which the change was due (Due), was made (Run) and reached the phase (At).
func (l *load) reportChange(c *pendingChange, phase string, madeAt, at int64) {
	_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Answer, Op: "config", Ref: c.id, Region: c.region, Status: 200, Phase: phase, Due: c.due, Run: madeAt, At: at})
}

// checkHistory reads the configuration's history after the load has ended, and reports each
// problem in it to the supervisor.
func (l *load) checkHistory(log *changeLog, planned int) {
	log.mu.Lock()
	accepted := make(map[string]uint64, len(log.accepted))
	for id, revision := range log.accepted {
		accepted[id] = revision
	}
	log.mu.Unlock()
	l.mu.Lock()
	summary := fmt.Sprintf("configuration: %d changes drawn, %.0f made, %.0f were so already, %.0f refused, %.0f given up; %.0f in force, %.0f waits given up; %.0f conflicts", planned,
		l.counts["config_made"], l.counts["config_unchanged"], l.counts["config_refused"], l.counts["config_given_up"], l.counts["config_in_force"], l.counts["config_wait_given_up"], l.counts["config_conflicts"])
	l.mu.Unlock()
	history, err := l.readHistory(l.plan.BeginUS + l.plan.DurationUS + l.plan.SettleUS)
	if err != nil {
		l.pipe.Note("%s; the history was not judged: %v", summary, err)
		return
	}
	log.mu.Lock()
	sent := make(map[string]bool, len(log.sent))
	for id := range log.sent {
		sent[id] = true
	}
	log.mu.Unlock()
	problems := findHistoryProblems(history, sent, accepted)
	for _, p := range problems {
		_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Broken, Name: "lost_change", Text: p, At: wire.Now()})
	}
	l.pipe.Note("%s; a history of %d revisions was judged, %d problems", summary, len(history), len(problems))
}

// readHistory reads the whole history and returns it with the oldest entry first.
func (l *load) readHistory(deadline int64) (list []configuration.Entry, err error) {
	path := "/api/config/history"
	for attempt := 0; ; attempt++ {
		a := l.clients[l.plan.Regions[attempt%len(l.plan.Regions)]].call("GET", path, nil, configTimeout)
		if a.status != 200 {
			pause := max(minRetryDelay, min(a.retryAfter, maxRetryDelay))
			if wire.Now()+pause > deadline {
				return nil, fmt.Errorf("%s: status %d", path, a.status)
			}
			time.Sleep(time.Duration(pause) * time.Microsecond)
			continue
		}
		v, err := fastjson.ParseBytes(a.body)
		if err != nil {
			return nil, err
		}
		for _, item := range v.GetArray("history") {
			e, err := configuration.DecodeEntry(item)
			if err != nil {
				return nil, err
			}
			list = append(list, e)
		}
		if !v.GetBool("more") || len(list) == 0 {
			slices.Reverse(list)
			return list, nil
		}
		path = fmt.Sprintf("/api/config/history?before=%d", list[len(list)-1].Revision)
	}
}
