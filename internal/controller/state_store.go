package controller

import (
	"strconv"

	"mapleslip/internal/protocol"
)

// stateStore is the client of the state service: reads, watches and compare-and-swap
// transactions. It owns the limits that the service holds, as far as its answers show them.
type stateStore struct {
	*environment
	config   *configManager
	election *election
	rollouts *rolloutDriver

	limits     stateLimits
	health     serviceHealth
	answeredAt micros // when the service last answered
}

const stateTimeout = 1500 * protocol.Millisecond

func (s *stateStore) getKey(prio uint8, key string, done func(e protocol.Entry, found, ok bool)) {
	s.call(ToState, prio, "GET", "/store/"+key, nil, stateTimeout, 0, func(r CallResult) {
		switch r.Status {
		case 200:
			e, err := protocol.ParseEntry(r.Body)
			if err != nil {
				s.logMalformed("state", err)
				done(e, false, false)
				return
			}
			done(e, true, true)
		case 404:
			done(protocol.Entry{}, false, true)
		default:
			done(protocol.Entry{}, false, false)
		}
	})
}

// txnOutcome is how a transaction ended.
type txnOutcome uint8

const (
	txnCommitted   txnOutcome = iota
	txnConflict               // a condition did not hold
	txnNotExecuted            // certainly not executed
	txnTooLarge               // certainly not executed: beyond the limits, which are known to be lower now
	txnMalformed              // certainly not executed, and not for the limits: it is not sent again
	txnUnknown                // may have been executed, or may still be
)

// notExecuted reports whether a transaction was certainly not executed.
func (o txnOutcome) notExecuted() bool {
	return o == txnNotExecuted || o == txnTooLarge || o == txnMalformed
}

func (s *stateStore) compareAndSwap(prio uint8, when []protocol.Condition, then []protocol.Change, done func(o txnOutcome, r protocol.TxnResult)) {
	body := protocol.AppendTxn(nil, when, then)
	if s.limits.wasRefused(body) {
		s.after(0, func() { done(txnMalformed, protocol.TxnResult{}) })
		return
	}
	s.sendTransaction(prio, body, then, s.now.Steady+stateTimeout, done)
}

// sendTransaction sends a transaction. One that is refused for the rate was not executed and is sent
// again until a time: it would else be what a user waits for another second.
func (s *stateStore) sendTransaction(prio uint8, body []byte, then []protocol.Change, until micros, done func(o txnOutcome, r protocol.TxnResult)) {
	s.call(ToState, prio, "POST", "/commit", body, stateTimeout, len(then), func(r CallResult) {
		if r.NotSent {
			done(txnNotExecuted, protocol.TxnResult{})
			return
		}
		switch r.Status {
		case 200, 409:
			res, err := protocol.ParseTxn(r.Body)
			if err != nil {
				s.logMalformed("state", err)
				done(txnUnknown, res)
				return
			}
			if r.Status == 200 {
				done(txnCommitted, res)
			} else {
				done(txnConflict, res)
			}
		case 400:
			done(s.onMalformedTransaction(body, r.Body, then), protocol.TxnResult{})
		case 429:
			s.onRateLimited()
			if s.now.Steady+rateLimitedRetry >= until {
				done(txnNotExecuted, protocol.TxnResult{})
				return
			}
			s.after(rateLimitedRetry, func() { s.sendTransaction(prio, body, then, until, done) })
		case 503:
			done(txnNotExecuted, protocol.TxnResult{})
		default:
			done(txnUnknown, protocol.TxnResult{})
		}
	})
}

// listPrefix reads all keys with a prefix, page by page.
func (s *stateStore) listPrefix(prio uint8, prefix string, each func(protocol.Entry), done func(revision uint64, ok bool)) {
	var first uint64
	var page func(since string)
	page = func(since string) {
		path := "/store?under=" + prefix + "&page=500"
		if since != "" {
			path += "&since=" + since
		}
		s.call(ToState, prio, "GET", path, nil, 3*protocol.Second, 0, func(r CallResult) {
			if r.Status != 200 {
				done(0, false)
				return
			}
			p, err := protocol.ParsePage(r.Body)
			if err != nil {
				s.logMalformed("state", err)
				done(0, false)
				return
			}
			if first == 0 {
				first = p.Revision
			}
			for _, e := range p.Entries {
				each(e)
			}
			if p.More && len(p.Entries) > 0 {
				page(p.Entries[len(p.Entries)-1].Key)
				return
			}
			done(first, true)
		})
	}
	page("")
}

// watch follows a prefix from a revision until stop says so. lost is called
// when changes were missed and the keys have to be read again.
func (s *stateStore) watchPrefix(prio uint8, prefix string, from uint64, stop func() bool, each func(protocol.Entry), lost func()) {
	var next func(rev uint64)
	next = func(rev uint64) {
		if stop() {
			return
		}
		path := "/follow?under=" + prefix + "&since=" + strconv.FormatUint(rev, 10) + "&blockMs=20000"
		s.call(ToState, prio, "GET", path, nil, 25*protocol.Second, 0, func(r CallResult) {
			if stop() {
				return
			}
			switch r.Status {
			case 200:
				entries, revision, err := protocol.ParseWatch(r.Body)
				if err != nil {
					s.logMalformed("state", err)
					s.after(protocol.Second, lost)
					return
				}
				for _, e := range entries {
					each(e)
				}
				// Changes that come together are read together.
				s.after(200*protocol.Millisecond, func() { next(max(rev, revision)) })
			case 410:
				lost()
			default:
				s.after(500*protocol.Millisecond, func() { next(rev) })
			}
		})
	}
	next(from)
}
