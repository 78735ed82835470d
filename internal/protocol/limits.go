package protocol

import (
	"fmt"
	"math"
)

// The smallest limits of the state service within which the records and transactions of this
// version fit. Acquiring leadership, transferring it, and writing the final record of a job each
// take two changes in a transaction; a configuration revision takes three. Records that hold
// several entries are split to any size that holds a few entries. The largest record that can't be
// split, the completions of 8,192 tasks, takes 1,368 bytes.
const (
	MinTxnChanges = 4
	MinValueBytes = 2048
	MinWriteRate  = 2 // changes a second
)

// StateLimits are announced limits of the state service. The service begins to enforce them at an
// unspecified time, without further notice. Values stored before then stay readable.
type StateLimits struct {
	WriteRate                    float64 // changes a second, by all controllers together
	MaxValueBytes, MaxTxnChanges int
}

// check returns an error for limits that are too low for this version or impossibly high. No
// announced limits, a nil l, are valid.
func (l *StateLimits) check() error {
	if l == nil {
		return nil
	}
	for _, limit := range []struct {
		key                     string
		value, minimum, maximum float64
	}{
		{"facts.state.next.write_rps", l.WriteRate, MinWriteRate, 1e9},
		{"facts.state.next.value_kb", float64(l.MaxValueBytes) / 1024, MinValueBytes / 1024, 1e6},
		{"facts.state.next.txn_ops", float64(l.MaxTxnChanges), MinTxnChanges, 1e6},
	} {
		if math.IsNaN(limit.value) || limit.value < limit.minimum || limit.value > limit.maximum {
			return &KeyError{limit.key, fmt.Sprintf("missing or impossible: must be from %g to %g", limit.minimum, limit.maximum)}
		}
	}
	return nil
}
