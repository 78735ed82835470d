package statestore

import (
	"errors"
	"io"
	"log/slog"
	"math"
	"testing"

	"mapleslip/internal/protocol"
)

// fakeEnvironment records calls and timers. A test answers the calls and runs the timers.
type fakeEnvironment struct {
	now    micros
	calls  []Call
	timers []fakeTimer
}

type fakeTimer struct {
	at  micros
	run func()
}

func (e *fakeEnvironment) Now() micros { return e.now }

func (e *fakeEnvironment) After(delay micros, run func()) {
	e.timers = append(e.timers, fakeTimer{e.now + delay, run})
}

func (e *fakeEnvironment) Call(c Call) { e.calls = append(e.calls, c) }

// takeCalls returns the calls since it was last called.
func (e *fakeEnvironment) takeCalls() []Call {
	calls := e.calls
	e.calls = nil
	return calls
}

// advance moves the clock forward and runs the timers that are due.
func (e *fakeEnvironment) advance(span micros) {
	e.now += span
	timers := e.timers
	e.timers = nil
	for _, t := range timers {
		if t.at <= e.now {
			t.run()
		} else {
			e.timers = append(e.timers, t)
		}
	}
}

// fakeObserver records the notifications of a client.
type fakeObserver struct {
	malformed, limitsLowered int
	rates                    []float64
}

func (o *fakeObserver) Malformed(error)                       { o.malformed++ }
func (o *fakeObserver) LimitsLowered(TxnLimits)               { o.limitsLowered++ }
func (o *fakeObserver) WriteRateChanged(rate float64, _ bool) { o.rates = append(o.rates, rate) }

func newTestClient() (*Client, *fakeEnvironment, *fakeObserver) {
	env, observer := &fakeEnvironment{now: 1000 * protocol.Second}, &fakeObserver{}
	p := &protocol.Platform{MaxValueBytes: 8192, MaxTxnChanges: 12, StateWriteRate: 40}
	return New(p, env, observer, slog.New(slog.NewTextHandler(io.Discard, nil))), env, observer
}

// A transaction that is refused as malformed must not be sent again, unless the reason was its
// lease. One that is refused for the rate must be retried after a delay, at a lower write rate.
func TestRefusedTransactions(t *testing.T) {
	c, env, _ := newTestClient()
	var errs []error
	write := func(value string) []Call {
		c.CompareAndSwap(0, nil, []protocol.Change{{Key: "k", Value: []byte(value)}}, func(_ uint64, err error) { errs = append(errs, err) })
		return env.takeCalls()
	}
	respond := func(call Call, status int, body string) { call.Done(Result{Status: status, Body: []byte(body)}) }
	commitsAfter := func(span micros) (commits []Call) {
		env.advance(span)
		for _, call := range env.takeCalls() {
			if call.Path == "/commit" {
				commits = append(commits, call)
			}
		}
		return commits
	}
	sent := write(`"a"`)
	respond(sent[0], 400, `{}`)
	if again := append(write(`"a"`), commitsAfter(protocol.Second/20)...); len(again) > 0 || len(errs) != 2 || !errors.Is(errs[1], ErrMalformed) {
		t.Fatalf("sent again: %+v, errors %v", again, errs)
	}
	sent = write(`"b"`)
	respond(sent[0], 400, `{"error":"no such lease"}`)
	if sent = write(`"b"`); len(sent) != 1 || !errors.Is(errs[2], ErrNotExecuted) {
		t.Fatalf("sent %+v, errors %v: want one call, since the lease may be another one", sent, errs)
	}
	rate := c.WriteRate()
	respond(sent[0], 429, `{}`)
	again := commitsAfter(rateLimitedRetry)
	if len(again) != 1 || string(again[0].Body) != string(sent[0].Body) || len(errs) != 3 || c.WriteRate() >= rate {
		t.Fatalf("sent again: %+v, errors %v, rate %g", again, errs, c.WriteRate())
	}
	respond(again[0], 200, `{"generation":3}`)
	if len(errs) != 4 || errs[3] != nil {
		t.Fatalf("errors %v", errs)
	}
}

// A client that may use only a share of the write rate must raise the rate until its share equals
// the published rate, since the other controllers write little. When its share becomes the whole
// rate, it must return to the published rate.
func TestProbeWriteRateFollowsShare(t *testing.T) {
	c, env, observer := newTestClient()
	const share = 0.75
	for range 60 {
		env.advance(2 * protocol.Second)
		c.ProbeWriteRate(share)
	}
	if got := c.limits.writeRate * share; math.Abs(got-c.limits.publishedRate) > 1e-6 {
		t.Errorf("share of the write rate is %g, want %g", got, c.limits.publishedRate)
	}
	observer.rates = nil
	c.ProbeWriteRate(1)
	if c.limits.writeRate != c.limits.publishedRate || len(observer.rates) != 1 {
		t.Errorf("write rate %g, want %g; observed rates %v", c.limits.writeRate, c.limits.publishedRate, observer.rates)
	}
}

// Each answer to a transaction must lead to one result, with the error for that answer. A
// transaction that may have been executed must not count as not executed.
func TestTransactionResults(t *testing.T) {
	conflict := `{"failed":["lead"],"generation":9}`
	for _, test := range []struct {
		name    string
		result  Result
		isError func(error) bool
	}{
		{"committed", Result{Status: 200, Body: []byte(`{"generation":3}`)}, func(err error) bool { return err == nil }},
		{"conflict", Result{Status: 409, Body: []byte(conflict)}, func(err error) bool { return ConflictsOn(err, "lead") && !NotExecuted(err) }},
		{"conflict on another key", Result{Status: 409, Body: []byte(conflict)}, func(err error) bool { return IsConflict(err) && !ConflictsOn(err, "epoch") }},
		{"not sent", Result{NotSent: true}, NotExecuted},
		{"unavailable", Result{Status: 503}, NotExecuted},
		{"no answer", Result{}, func(err error) bool { return errors.Is(err, ErrOutcomeUnknown) && !NotExecuted(err) }},
		{"unreadable answer", Result{Status: 200, Body: []byte(`{`)}, func(err error) bool { return errors.Is(err, ErrOutcomeUnknown) }},
	} {
		c, env, _ := newTestClient()
		calls := 0
		c.CompareAndSwap(0, nil, []protocol.Change{{Key: "k"}}, func(_ uint64, err error) {
			calls++
			if !test.isError(err) {
				t.Errorf("%s: %v", test.name, err)
			}
		})
		env.takeCalls()[0].Done(test.result)
		if calls != 1 {
			t.Errorf("%s: %d results", test.name, calls)
		}
	}
}
