package users

import "mapleslip/internal/costlyform"

// submitCostlyBody has a user submit a body that is costly to parse and names no job, and schedules the
// next one.
func (l *load) submitCostlyBody(due int64) {
	if next := due + costlyInterval; next < l.plan.BeginUS+l.plan.DurationUS {
		l.schedule(next, l.submitCostlyBody)
	}
	l.mu.Lock()
	size := 1 + l.rng.IntN(maxCostlyBytes)
	bodies := costlyform.Bodies(size, "awaits", "flavors")
	body := bodies[l.rng.IntN(len(bodies))]
	region := l.plan.Regions[l.rng.IntN(len(l.plan.Regions))]
	l.mu.Unlock()
	l.submitUntilRefused(region, body, due)
}

// submitUntilRefused submits a costly body as users do, until it is refused for good. It is a broken rule
// if that does not happen in time, or if it is accepted.
func (l *load) submitUntilRefused(region string, body costlyform.Body, start int64) {
	var try func(due int64)
	try = func(int64) {
		a := l.clients[region].call("POST", "/api/jobs", body.Text, submitTimeout)
		switch a.status {
		case 400, 422:
			l.count("costly_refused")
		case 200, 201: // it names no job
			l.pipe.Malformed("a costly body (%s) was accepted with %d", body.Name, a.status)
		default:
			if l.retry(a, start, try) {
				l.pipe.Malformed("a costly body (%s, %d bytes) got no final answer in %d s", body.Name, len(body.Text), retryLimit/second)
			}
		}
	}
	try(start)
}
