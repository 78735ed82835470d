package statestore

import (
	"net/http"
	"strconv"

	"mapleslip/internal/protocol"
)

func leasePath(id uint64) string { return "/leases/" + strconv.FormatUint(id, 10) }

// CreateLease requests a lease that lasts for ttl. The error is nil or ErrUnavailable.
func (c *Client) CreateLease(priority Priority, ttl protocol.Micros, done func(id uint64, err error)) {
	call := Call{Priority: priority, Method: http.MethodPost, Path: "/leases", Body: protocol.LeaseBody(ttl), Timeout: callTimeout}
	call.Done = func(r Result) {
		if r.Status != http.StatusOK {
			done(0, ErrUnavailable)
			return
		}
		id, err := protocol.ParseLease(r.Body)
		if err != nil {
			c.observer.Malformed(err)
			done(0, ErrUnavailable)
			return
		}
		done(id, nil)
	}
	c.env.Call(call)
}

// RenewLease renews a lease for its whole ttl. The call times out after ttl, since until then an
// answer still proves that the lease is held. The error is nil, ErrLeaseExpired, ErrOutcomeUnknown
// if there was no answer or no connection, or ErrUnavailable.
func (c *Client) RenewLease(priority Priority, id uint64, ttl protocol.Micros, done func(err error)) {
	call := Call{Priority: priority, Method: http.MethodPost, Path: leasePath(id) + "/extend", Timeout: ttl}
	call.Done = func(r Result) {
		switch {
		case r.Status == http.StatusOK:
			done(nil)
		case r.Status == http.StatusNotFound:
			done(ErrLeaseExpired)
		case r.Status == 0 && (!r.NotSent || r.ConnectionRefused):
			done(ErrOutcomeUnknown)
		default:
			done(ErrUnavailable)
		}
	}
	c.env.Call(call)
}

// RevokeLease ends a lease. The result is ignored: if the call fails, the lease expires by itself.
func (c *Client) RevokeLease(priority Priority, id uint64) {
	c.env.Call(Call{Priority: priority, Method: http.MethodDelete, Path: leasePath(id), Timeout: callTimeout, Done: func(Result) {}})
}
