package users

import (
	"encoding/json"
	"fmt"
	"sync"

	"mapleslip/internal/oddform"
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

func (l *load) submit(j *job) {
	body := protocol.AppendJob(nil, j.spec)
	_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Submit, Ref: j.spec.Ref, Region: j.region, Due: j.due, At: wire.Now(), Run: j.run, Specs: []json.RawMessage{body}})
	var try func(due int64)
	try = func(due int64) {
		a := l.request(j.region, "submit", j.spec.Ref, due, "POST", "/api/jobs", oddform.Body(body, l.form()), submitTimeout)
		switch a.status {
		case 200, 201:
			l.followJob(j)
		case 400, 422:
			l.count("refused")
		default:
			if l.retry(a, j.due, try) {
				l.count("given_up_submit")
			}
		}
	}
	try(j.due)
}

// followJob polls a job and cancels it if its user does that.
func (l *load) followJob(j *job) {
	now := wire.Now()
	end := l.plan.BeginUS + l.plan.DurationUS + l.plan.SettleUS
	// The polls and the cancellation run concurrently and share these variables.
	var cancelling, finished bool
	var mu sync.Mutex
	var poll func(due int64)
	poll = func(due int64) {
		a := l.request(j.region, "query", j.spec.Ref, due, "GET", "/api/jobs/"+j.spec.Ref, nil, pollTimeout)
		if a.status == 200 && (a.phase == "done" || a.phase == "cancelled") {
			mu.Lock()
			firstTime := !finished
			finished = true
			mu.Unlock()
			// About half of the users poll once more, later.
			if l.jitter(100) < 100 && firstTime {
				l.schedule(wire.Now()+l.jitter(laterPollDelay), poll)
			}
			return
		}
		if next := wire.Now() + l.jitter(l.plan.PollUS); next < end {
			l.schedule(next, poll)
		}
	}
	l.schedule(now+l.jitter(l.plan.PollUS), poll)
	if j.cancelAt == 0 || max(now, j.due+j.cancelAt) >= l.plan.BeginUS+l.plan.DurationUS {
		return
	}
	cancelDue := max(now, j.due+j.cancelAt)
	var cancel func(due int64)
	cancel = func(due int64) {
		mu.Lock()
		skip := finished
		begin := !cancelling
		cancelling = true
		mu.Unlock()
		if skip {
			return
		}
		if begin {
			_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Cancel, Ref: j.spec.Ref, Region: j.region, Due: due, At: wire.Now()})
		}
		a := l.request(j.region, "cancel", j.spec.Ref, due, "POST", "/api/jobs/"+j.spec.Ref+"/cancel", nil, submitTimeout)
		if a.status != 200 && l.retry(a, cancelDue, cancel) {
			l.count("given_up_cancel")
		}
	}
	l.schedule(cancelDue, cancel)
}

// queryUnknownJob queries a job that was never submitted: its name has twelve digits, those of
// submitted jobs have nine.
func (l *load) queryUnknownJob(due int64) {
	l.mu.Lock()
	ref := fmt.Sprintf("req-%012d", 1_000_000_000_0+l.rng.Int64N(1_000_000_000))
	region := l.plan.Regions[l.rng.IntN(len(l.plan.Regions))]
	wait := int64(l.rng.ExpFloat64() / l.plan.Strangers * second)
	l.mu.Unlock()
	if due+wait < l.plan.BeginUS+l.plan.DurationUS {
		l.schedule(due+wait, l.queryUnknownJob)
	}
	l.request(region, "query", ref, due, "GET", "/api/jobs/"+ref, nil, pollTimeout)
}
