package statestore

import (
	"log/slog"
	"net/http"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Timeouts and pauses of calls.
const (
	callTimeout  = 1500 * protocol.Millisecond
	listTimeout  = 3 * protocol.Second
	watchTimeout = 25 * protocol.Second

	watchBatchDelay  = 200 * protocol.Millisecond // changes that come together are read together
	watchRetry       = 500 * protocol.Millisecond
	rateLimitedRetry = 100 * protocol.Millisecond // until a transaction beyond the rate is sent again
)

const (
	listPageSize   = "500"
	watchBlockTime = "20000" // milliseconds
	// noSuchLease is the error of a put with a lease that has ended.
	noSuchLease = "no such lease"
)

// Priority orders the calls of a controller, the lowest first. The client only hands it on.
type Priority uint8

// Call is an outbound call to the state service.
type Call struct {
	Priority     Priority
	Method, Path string
	Body         []byte
	Timeout      protocol.Micros
	Changes      int // puts and deletes
	Done         func(Result)
}

// Result is the end of a call. Status 0: there was no answer.
type Result struct {
	Status  int
	Body    []byte
	NotSent bool // certainly not executed
	// ConnectionRefused: the service could not be connected to. A call that was not sent for
	// another reason says nothing of the service.
	ConnectionRefused bool
}

// Environment is what a client works with.
type Environment interface {
	// Now is the steady clock's time of the event at hand.
	Now() protocol.Micros
	// After runs a function after a while.
	After(delay protocol.Micros, run func())
	// Call makes an outbound call.
	Call(c Call)
}

// Observer is told what a client has learnt.
type Observer interface {
	// Malformed is called with an answer that does not follow the protocol.
	Malformed(err error)
	// LimitsLowered is called with the limits that records are written under from now on.
	LimitsLowered(target TxnLimits)
	// WriteRateChanged is called when the service takes another rate of changes, of all
	// controllers together. lowered: it has just refused some.
	WriteRateChanged(perSecond float64, lowered bool)
}

// Client is the client of the state service.
type Client struct {
	env      Environment
	observer Observer
	log      *slog.Logger
	limits   limits
}

// New makes a client with the limits that the platform publishes.
func New(p *protocol.Platform, env Environment, observer Observer, log *slog.Logger) *Client {
	return &Client{env: env, observer: observer, log: log, limits: newLimits(p)}
}

// Target is what records are written under.
func (c *Client) Target() TxnLimits { return c.limits.target }

// Accepted is what the service may still take. What can't be divided is written up to that.
func (c *Client) Accepted() TxnLimits { return c.limits.accepted }

// WriteRate is how many changes a second the service takes, of all controllers together.
func (c *Client) WriteRate() float64 { return c.limits.writeRate }

// ProbeWriteRate tries a higher rate where it is time for that. share is the part of the
// published rate that this controller may use of it.
func (c *Client) ProbeWriteRate(share float64) {
	if c.limits.tryHigherRate(c.env.Now(), c.limits.publishedRate/share) {
		c.log.Debug("trying a higher write rate", "a_second", c.limits.writeRate)
		c.observer.WriteRateChanged(c.limits.writeRate, false)
	}
}

// Get reads a key.
func (c *Client) Get(priority Priority, key string, done func(e protocol.Entry, err error)) {
	call := Call{Priority: priority, Method: http.MethodGet, Path: "/store/" + key, Timeout: callTimeout}
	call.Done = func(r Result) {
		switch r.Status {
		case http.StatusOK:
			e, err := protocol.ParseEntry(r.Body)
			if err != nil {
				c.observer.Malformed(err)
				done(protocol.Entry{}, ErrUnavailable)
				return
			}
			done(e, nil)
		case http.StatusNotFound:
			done(protocol.Entry{}, ErrKeyNotFound)
		default:
			done(protocol.Entry{}, ErrUnavailable)
		}
	}
	c.env.Call(call)
}

// List reads all keys with a prefix, page by page. revision is that of the first page: a watch
// from there on misses nothing.
func (c *Client) List(priority Priority, prefix string, each func(protocol.Entry), done func(revision uint64, err error)) {
	c.listPage(priority, prefix, "", 0, each, done)
}

// listPage reads the page after a key, and those that follow.
func (c *Client) listPage(priority Priority, prefix, after string, first uint64, each func(protocol.Entry), done func(uint64, error)) {
	path := "/store?under=" + prefix + "&page=" + listPageSize
	if after != "" {
		path += "&since=" + after
	}
	call := Call{Priority: priority, Method: http.MethodGet, Path: path, Timeout: listTimeout}
	call.Done = func(r Result) {
		if r.Status != http.StatusOK {
			done(0, ErrUnavailable)
			return
		}
		page, err := protocol.ParsePage(r.Body)
		if err != nil {
			c.observer.Malformed(err)
			done(0, ErrUnavailable)
			return
		}
		if first == 0 {
			first = page.Revision
		}
		for _, e := range page.Entries {
			each(e)
		}
		if page.More && len(page.Entries) > 0 {
			c.listPage(priority, prefix, page.Entries[len(page.Entries)-1].Key, first, each, done)
			return
		}
		done(first, nil)
	}
	c.env.Call(call)
}

// Watch follows a prefix from a revision until stop says so. A deleted key has no value. lost
// is called when changes were missed and the keys have to be read again; the watch is over
// then.
func (c *Client) Watch(priority Priority, prefix string, from uint64, stop func() bool, each func(protocol.Entry), lost func()) {
	if stop() {
		return
	}
	next := func(revision uint64) { c.Watch(priority, prefix, revision, stop, each, lost) }
	path := "/follow?under=" + prefix + "&since=" + strconv.FormatUint(from, 10) + "&blockMs=" + watchBlockTime
	call := Call{Priority: priority, Method: http.MethodGet, Path: path, Timeout: watchTimeout}
	call.Done = func(r Result) {
		if stop() {
			return
		}
		switch r.Status {
		case http.StatusOK:
			entries, revision, err := protocol.ParseWatch(r.Body)
			if err != nil {
				c.observer.Malformed(err)
				c.env.After(protocol.Second, lost)
				return
			}
			for _, e := range entries {
				each(e)
			}
			c.env.After(watchBatchDelay, func() { next(max(from, revision)) })
		case http.StatusGone:
			lost()
		default:
			c.env.After(watchRetry, func() { next(from) })
		}
	}
	c.env.Call(call)
}

// CompareAndSwap executes changes if all conditions hold. revision is that of the changes. The
// error is nil, a *ConflictError, or one of ErrNotExecuted, ErrTooLarge, ErrMalformed and
// ErrOutcomeUnknown.
func (c *Client) CompareAndSwap(priority Priority, when []protocol.Condition, then []protocol.Change, done func(revision uint64, err error)) {
	body := protocol.AppendTxn(nil, when, then)
	if c.limits.wasRefused(body) {
		c.env.After(0, func() { done(0, ErrMalformed) })
		return
	}
	c.sendTransaction(priority, body, then, c.env.Now()+callTimeout, done)
}

// sendTransaction sends a transaction. One that is refused for the rate was not executed and
// is sent again until a deadline: it would else be what a user waits for another second.
func (c *Client) sendTransaction(priority Priority, body []byte, then []protocol.Change, deadline micros, done func(uint64, error)) {
	call := Call{Priority: priority, Method: http.MethodPost, Path: "/commit", Body: body, Timeout: callTimeout, Changes: len(then)}
	call.Done = func(r Result) {
		if r.NotSent {
			done(0, ErrNotExecuted)
			return
		}
		switch r.Status {
		case http.StatusOK, http.StatusConflict:
			done(c.transactionResult(r))
		case http.StatusBadRequest:
			done(0, c.onMalformedTransaction(body, r.Body, then))
		case http.StatusTooManyRequests:
			c.onRateLimited()
			if c.env.Now()+rateLimitedRetry >= deadline {
				done(0, ErrNotExecuted)
				return
			}
			c.env.After(rateLimitedRetry, func() { c.sendTransaction(priority, body, then, deadline, done) })
		case http.StatusServiceUnavailable:
			done(0, ErrNotExecuted)
		default:
			done(0, ErrOutcomeUnknown)
		}
	}
	c.env.Call(call)
}

func (c *Client) transactionResult(r Result) (revision uint64, err error) {
	result, err := protocol.ParseTxn(r.Body)
	if err != nil {
		c.observer.Malformed(err)
		return 0, ErrOutcomeUnknown
	}
	if r.Status == http.StatusConflict {
		return 0, &ConflictError{result.Conflicts}
	}
	return result.Revision, nil
}

// onMalformedTransaction handles a transaction that was refused as malformed. It is never sent
// again as it is: either the limits are lower now and it is divided, or it stays undone.
func (c *Client) onMalformedTransaction(body, answer []byte, then []protocol.Change) error {
	if fastjson.GetString(answer, "error") == noSuchLease {
		return ErrNotExecuted
	}
	c.limits.rememberRefused(body)
	largest := 0
	for _, change := range then {
		largest = max(largest, len(change.Value))
	}
	was := c.limits
	if !c.limits.learnFromMalformed(len(then), largest) {
		c.log.Error("the state service refused a transaction as malformed", "body", string(body))
		return ErrMalformed
	}
	if was.target != c.limits.target || was.accepted != c.limits.accepted {
		c.log.Warn("the state service's limits are lower", "refused_changes", len(then), "refused_bytes", largest,
			"max_changes", c.limits.target.MaxChanges, "max_value_bytes", c.limits.target.MaxValueBytes,
			"max_description_bytes", c.limits.accepted.MaxValueBytes)
		c.observer.LimitsLowered(c.limits.target)
	}
	return ErrTooLarge
}

// onRateLimited handles a transaction that was refused for the rate.
func (c *Client) onRateLimited() {
	if c.limits.learnFromRateLimit(c.env.Now()) {
		c.log.Warn("the state service takes fewer changes", "a_second", c.limits.writeRate, "published", c.limits.publishedRate)
		c.observer.WriteRateChanged(c.limits.writeRate, true)
	}
}
