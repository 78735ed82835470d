package statestore

import (
	"log/slog"
	"net/http"
	"strconv"

	"mapleslip/internal/protocol"
)

// Timeouts and delays of calls.
const (
	callTimeout  = 1500 * protocol.Millisecond
	listTimeout  = 3 * protocol.Second
	watchTimeout = 25 * protocol.Second

	watchBatchDelay  = 200 * protocol.Millisecond // before the next watch call, to batch changes
	watchRetry       = 500 * protocol.Millisecond
	rateLimitedRetry = 100 * protocol.Millisecond // before a rate-limited transaction is retried
)

const (
	listPageSize   = "500"
	watchBlockTime = "20000" // milliseconds
	// noSuchLease is the error in the answer to a put with a lease that has ended.
	noSuchLease = "no such lease"
)

// Priority orders the calls of a controller, the lowest value first. The client only passes it to
// the environment.
type Priority uint8

// Call is an outbound call to the state service.
type Call struct {
	Priority     Priority
	Method, Path string
	Body         []byte
	Timeout      protocol.Micros
	Changes      int // number of puts and deletes
	Done         func(Result)
}

// Result is the result of a call.
type Result struct {
	Status  int // HTTP status, 0 if there was no answer
	Body    []byte
	NotSent bool // the call was certainly not executed
	// ConnectionRefused reports whether the call was not sent because no connection to the service
	// could be opened. A call that was not sent for another reason shows nothing about the service.
	ConnectionRefused bool
}

// Environment provides the clock, the timers and the calls for a client.
type Environment interface {
	// Now returns the time of the event that is being handled, on the steady clock.
	Now() protocol.Micros
	// After calls a function after a delay.
	After(delay protocol.Micros, run func())
	// Call makes an outbound call.
	Call(c Call)
}

// Observer is notified of faults and changed limits of the state service.
type Observer interface {
	// Malformed is called with the parse error of an answer that does not follow the protocol.
	Malformed(err error)
	// LimitsLowered is called with the new limits under which records have to be written.
	LimitsLowered(target TxnLimits)
	// WriteRateChanged is called with the rate of changes that the service seems to accept now
	// from all controllers together. lowered reports whether the service has just refused a
	// transaction for its rate.
	WriteRateChanged(perSecond float64, lowered bool)
}

// Client is a client of the state service.
type Client struct {
	env      Environment
	observer Observer
	log      *slog.Logger
	limits   limits
}

// New returns a client that starts with the limits that the platform publishes.
func New(p *protocol.Platform, env Environment, observer Observer, log *slog.Logger) *Client {
	return &Client{env: env, observer: observer, log: log, limits: newLimits(p)}
}

// Target returns the limits under which records should be written.
func (c *Client) Target() TxnLimits { return c.limits.target }

// Accepted returns the largest limits that the service may still accept. Records that can't be
// split are written up to these limits.
func (c *Client) Accepted() TxnLimits { return c.limits.accepted }

// WriteRate returns the number of changes a second that the service seems to accept from all
// controllers together.
func (c *Client) WriteRate() float64 { return c.limits.writeRate }

// ProbeWriteRate raises the write rate if a higher one is due to be tried. share is the part of the
// write rate that this controller may use. The write rate may exceed the published one until this
// part equals it, since the other controllers write little.
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

// List reads all keys with a prefix, page by page, and calls each for every entry. revision is
// that of the first page, so that a watch from this revision misses no change.
func (c *Client) List(priority Priority, prefix string, each func(protocol.Entry), done func(revision uint64, err error)) {
	c.listPage(priority, prefix, "", 0, each, done)
}

// listPage reads the page after a key and the following ones. firstRevision is the revision of the
// first page, 0 if this is the first page.
func (c *Client) listPage(priority Priority, prefix, afterKey string, firstRevision uint64, each func(protocol.Entry), done func(uint64, error)) {
	path := "/store?under=" + prefix + "&page=" + listPageSize
	if afterKey != "" {
		path += "&since=" + afterKey
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
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		for _, e := range page.Entries {
			each(e)
		}
		if page.More && len(page.Entries) > 0 {
			c.listPage(priority, prefix, page.Entries[len(page.Entries)-1].Key, firstRevision, each, done)
			return
		}
		done(firstRevision, nil)
	}
	c.env.Call(call)
}

// Watch calls each for every change of a key with a prefix after a revision, until stop returns
// true. The entry of a deleted key has no value. If changes may have been missed, the watch ends
// and lost is called: the keys have to be read again.
func (c *Client) Watch(priority Priority, prefix string, from uint64, stop func() bool, each func(protocol.Entry), lost func()) {
	if stop() {
		return
	}
	resume := func(revision uint64) { c.Watch(priority, prefix, revision, stop, each, lost) }
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
			c.env.After(watchBatchDelay, func() { resume(max(from, revision)) })
		case http.StatusGone:
			lost()
		default:
			c.env.After(watchRetry, func() { resume(from) })
		}
	}
	c.env.Call(call)
}

// CompareAndSwap executes changes in one transaction if all conditions hold. revision is that of
// the changes. The error is nil, a *ConflictError, or one of ErrNotExecuted, ErrTooLarge,
// ErrMalformed and ErrOutcomeUnknown.
func (c *Client) CompareAndSwap(priority Priority, conditions []protocol.Condition, changes []protocol.Change, done func(revision uint64, err error)) {
	body := protocol.AppendTxn(nil, conditions, changes)
	if c.limits.wasRefused(body) {
		c.env.After(0, func() { done(0, ErrMalformed) })
		return
	}
	c.sendTransaction(priority, body, changes, c.env.Now()+callTimeout, done)
}

// sendTransaction sends a transaction. If the service refuses it for its rate, it was not executed
// and is retried until a deadline; otherwise a user could have to wait another second for it.
func (c *Client) sendTransaction(priority Priority, body []byte, changes []protocol.Change, deadline micros, done func(uint64, error)) {
	call := Call{Priority: priority, Method: http.MethodPost, Path: "/commit", Body: body, Timeout: callTimeout, Changes: len(changes)}
	call.Done = func(r Result) {
		if r.NotSent {
			done(0, ErrNotExecuted)
			return
		}
		switch r.Status {
		case http.StatusOK, http.StatusConflict:
			done(c.transactionResult(r))
		case http.StatusBadRequest:
			done(0, c.onMalformedTransaction(body, r.Body, changes))
		case http.StatusTooManyRequests:
			c.onRateLimited()
			if c.env.Now()+rateLimitedRetry >= deadline {
				done(0, ErrNotExecuted)
				return
			}
			c.env.After(rateLimitedRetry, func() { c.sendTransaction(priority, body, changes, deadline, done) })
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

// onMalformedTransaction handles a transaction that the service refused as malformed, and returns
// its error. The same transaction is never sent again, unless it named a lease that has ended:
// either the limits are lower now and the caller splits it, or its changes are not made. A
// transaction that is not JSON was refused for that, and shows nothing about the limits.
func (c *Client) onMalformedTransaction(body, answer []byte, changes []protocol.Change) error {
	if protocol.TextMember(answer, "error") == noSuchLease {
		return ErrNotExecuted
	}
	c.limits.rememberRefused(body)
	largest := 0
	for _, change := range changes {
		largest = max(largest, len(change.Value))
	}
	previous := c.limits
	if !protocol.IsJSON(body) || !c.limits.learnFromMalformed(len(changes), largest) {
		c.log.Error("the state service refused a transaction as malformed", "body", string(body))
		return ErrMalformed
	}
	if previous.target != c.limits.target || previous.accepted != c.limits.accepted {
		c.log.Warn("state service limits lowered after a refused transaction", "refused_changes", len(changes), "refused_bytes", largest,
			"max_changes", c.limits.target.MaxChanges, "max_value_bytes", c.limits.target.MaxValueBytes,
			"max_description_bytes", c.limits.accepted.MaxValueBytes)
		c.observer.LimitsLowered(c.limits.target)
	}
	return ErrTooLarge
}

// onRateLimited lowers the write rate after the service refused a transaction for its rate.
func (c *Client) onRateLimited() {
	if c.limits.learnFromRateLimit(c.env.Now()) {
		c.log.Warn("state service rate limit reached, write rate lowered", "a_second", c.limits.writeRate, "published", c.limits.publishedRate)
		c.observer.WriteRateChanged(c.limits.writeRate, true)
	}
}
