package protocol

import (
	"fmt"
	"math"
)

// The smallest limits of the state service that the records and transactions of this
// version fit. A claim, a yield and a final record take two changes, a configuration
// revision three; records that entries share are divided to any size above that of a
// few entries, and the largest that are not shared, completions of 8,192 tasks, take
// 1,368 bytes.
const (
	MinTxnChanges = 4
	MinValueBytes = 2048
	MinWriteRate  = 2
)

// StateLimits are limits of the state service that are announced: from some moment on it
// holds them, without notice. What is stored stays readable.
type StateLimits struct {
	WriteRate                    float64 // changes a second
	MaxValueBytes, MaxTxnChanges int
}

// check refuses limits that no deployment of this version can keep to.
func (l *StateLimits) check() error {
	if l == nil {
		return nil
	}
	for _, n := range []struct {
		key            string
		v, least, most float64
	}{
		{"facts.state.next.write_rps", l.WriteRate, MinWriteRate, 1e9},
		{"facts.state.next.value_kb", float64(l.MaxValueBytes) / 1024, MinValueBytes / 1024, 1e6},
		{"facts.state.next.txn_ops", float64(l.MaxTxnChanges), MinTxnChanges, 1e6},
	} {
		if math.IsNaN(n.v) || n.v < n.least || n.v > n.most {
			return &KeyError{n.key, fmt.Sprintf("missing or impossible: must be from %g to %g", n.least, n.most)}
		}
	}
	return nil
}
