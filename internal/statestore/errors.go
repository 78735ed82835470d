package statestore

import (
	"errors"
	"fmt"
	"slices"
)

var (
	// ErrKeyNotFound is returned for a read of a key that does not exist.
	ErrKeyNotFound = errors.New("key not found")
	// ErrUnavailable is returned for a read, or a request for a lease, without a usable answer.
	ErrUnavailable = errors.New("the state service did not answer")

	// ErrNotExecuted is returned for a transaction that was certainly not executed and can be
	// sent again.
	ErrNotExecuted = errors.New("transaction not executed")
	// ErrTooLarge is returned for a transaction that was not executed because it exceeds the
	// service's limits. The client has lowered its limits, so the same changes fit when they are
	// split according to these.
	ErrTooLarge = errors.New("transaction exceeds the limits of the state service")
	// ErrMalformed is returned for a transaction that was refused as malformed, for another reason
	// than the limits, and not executed. The same transaction must not be sent again.
	ErrMalformed = errors.New("transaction refused as malformed")
	// ErrOutcomeUnknown is returned for a call that may have been executed, or may be later.
	ErrOutcomeUnknown = errors.New("outcome unknown")

	// ErrLeaseExpired is returned for the renewal of a lease that has expired.
	ErrLeaseExpired = errors.New("lease expired")
)

// ConflictError is returned for a transaction that was not executed because a condition did not
// hold.
type ConflictError struct {
	Keys []string // keys of the conditions that did not hold
}

func (e *ConflictError) Error() string { return fmt.Sprintf("transaction conflicts on %q", e.Keys) }

// IsConflict reports whether a transaction was not executed because a condition did not hold.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// ConflictsOn reports whether a transaction was not executed because a condition on a key did not
// hold.
func ConflictsOn(err error, key string) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) && slices.Contains(conflict.Keys, key)
}

// NotExecuted reports whether a transaction was certainly not executed, for another reason than a
// conflict.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrMalformed)
}
