package statestore

import (
	"errors"
	"fmt"
	"slices"
)

var (
	// ErrKeyNotFound is that of a read of a key that does not exist.
	ErrKeyNotFound = errors.New("key not found")
	// ErrUnavailable is that of a read that got no usable answer.
	ErrUnavailable = errors.New("the state service did not answer")

	// ErrNotExecuted is that of a transaction that was certainly not executed. It can be sent
	// again.
	ErrNotExecuted = errors.New("transaction not executed")
	// ErrTooLarge is that of a transaction that was not executed because it is beyond the
	// limits, which are known to be lower now. The same changes fit once they are divided.
	ErrTooLarge = errors.New("transaction beyond the limits of the state service")
	// ErrMalformed is that of a transaction that was not executed, and not for the limits. It
	// must not be sent again as it is.
	ErrMalformed = errors.New("transaction refused as malformed")
	// ErrOutcomeUnknown is that of a call that may have been executed, or may still be.
	ErrOutcomeUnknown = errors.New("outcome unknown")

	// ErrLeaseExpired is that of a renewal of a lease that has expired.
	ErrLeaseExpired = errors.New("lease expired")
)

// ConflictError is that of a transaction of which a condition did not hold. Nothing was
// executed.
type ConflictError struct {
	Keys []string // whose conditions did not hold
}

func (e *ConflictError) Error() string { return fmt.Sprintf("transaction conflicts on %q", e.Keys) }

// IsConflict reports whether a condition of a transaction did not hold.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// ConflictsOn reports whether a transaction's condition on a key did not hold.
func ConflictsOn(err error, key string) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) && slices.Contains(conflict.Keys, key)
}

// NotExecuted reports whether a transaction was certainly not executed, for another reason
// than a conflict.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrMalformed)
}
