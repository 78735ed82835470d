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

// What an operator's request may take, microseconds: a wait is kept for a second and a half.
const configTry = 4 * second

// mostNotes is how many refusals are said with their reasons.
const mostNotes = 3

// changeLog is what operators have asked for and were told.
type changeLog struct {
	mu       sync.Mutex
	sent     map[string]bool
	accepted map[string]uint64
	refused  int
}

// operate plays the operators: each makes its changes one after the other, in the order
// in which they are due. Whether one is in force is asked beside the next one.
func (l *load) operate(all []*change, over chan struct{}) {
	log := &changeLog{sent: make(map[string]bool), accepted: make(map[string]uint64)}
	queues := make([]chan *change, l.plan.Operators.Operators)
	for i := range queues {
		queues[i] = make(chan *change, len(all)/len(queues)+1)
		go func() {
			for {
				select {
				case <-over:
					return
				case c := <-queues[i]:
					l.change(c, log, over)
				}
			}
		}()
	}
	for _, c := range all {
		l.at(c.due, func(due int64) {
			l.mu.Lock()
			l.lag = append(l.lag, wire.Now()-due)
			l.mu.Unlock()
			l.count("config_due")
			queues[c.operator] <- c
		})
	}
	l.at(l.plan.BeginUS+l.plan.DurationUS+l.plan.SettleUS/3, func(int64) { l.checkHistory(log, len(all)) })
}

// change makes a change, and has somebody wait for it.
func (l *load) change(drawn *change, log *changeLog, over chan struct{}) {
	c := drawn.begin(wire.Now())
	log.mu.Lock()
	log.sent[c.id] = true
	log.mu.Unlock()
	l.pursue(c, waiting, over)
	switch c.state {
	case refused:
		l.count("config_refused")
		log.mu.Lock()
		log.refused++
		say := log.refused <= mostNotes
		log.mu.Unlock()
		if say {
			l.pipe.Note("%s was refused: %v: %s", c.id, c.set, c.why)
		}
		return
	case waiting:
	default:
		l.count("config_given_up")
		return
	}
	if !c.changed {
		l.count("config_unchanged")
	} else {
		l.count("config_made")
		log.mu.Lock()
		log.accepted[c.id] = c.revision
		log.mu.Unlock()
	}
	made := c.since
	l.told(c, "made", made, made)
	go func() {
		l.pursue(c, inForce, over)
		if c.state != inForce {
			l.count("config_wait_given_up")
			return
		}
		l.count("config_in_force")
		l.told(c, "in_force", made, wire.Now())
	}()
}

// pursue makes requests for a change until it has come to a state, or is over.
func (l *load) pursue(c *changing, until changeState, over chan struct{}) {
	for c.state < until && !c.state.over() {
		method, path, body := c.request()
		op := [...]string{"config", "config_change", "config_wait"}[c.state]
		conflicts := c.conflicts
		a := l.sites[c.region].call(method, path, body, configTry)
		pause := c.answered(a, wire.Now())
		l.count("requests_" + op)
		l.count("status_" + op + "_" + strconv.Itoa(a.status))
		if c.conflicts > conflicts {
			l.count("config_conflicts")
		}
		select {
		case <-over:
			return
		case <-time.After(time.Duration(pause) * time.Microsecond):
		}
	}
}

// told says how long a change took: Run is when it was made.
func (l *load) told(c *changing, phase string, made, at int64) {
	_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Answer, Op: "config", Ref: c.id, Region: c.region, Status: 200, Phase: phase, Due: c.due, Run: made, At: at})
}

// checkHistory reads the history when the load is over, and judges it.
func (l *load) checkHistory(log *changeLog, drawn int) {
	log.mu.Lock()
	accepted := make(map[string]uint64, len(log.accepted))
	for id, revision := range log.accepted {
		accepted[id] = revision
	}
	log.mu.Unlock()
	l.mu.Lock()
	summary := fmt.Sprintf("configuration: %d changes drawn, %.0f made, %.0f were so already, %.0f refused, %.0f given up; %.0f in force, %.0f waits given up; %.0f conflicts", drawn,
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
	problems := judgeHistory(history, sent, accepted)
	for _, p := range problems {
		_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Broken, Name: "lost_change", Text: p, At: wire.Now()})
	}
	l.pipe.Note("%s; a history of %d revisions was judged, %d problems", summary, len(history), len(problems))
}

// readHistory reads all of the history, the oldest entry first.
func (l *load) readHistory(until int64) (list []configuration.Entry, err error) {
	path := "/api/config/history"
	for turn := 0; ; turn++ {
		a := l.sites[l.plan.Regions[turn%len(l.plan.Regions)]].call("GET", path, nil, configTry)
		if a.status != 200 {
			pause := max(leastRetry, min(a.retryAfter, mostRetry))
			if wire.Now()+pause > until {
				return nil, fmt.Errorf("%s: status %d", path, a.status)
			}
			time.Sleep(time.Duration(pause) * time.Microsecond)
			continue
		}
		v, err := fastjson.ParseBytes(a.body)
		if err != nil {
			return nil, err
		}
		for _, it := range v.GetArray("history") {
			e, err := configuration.DecodeEntry(it)
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
