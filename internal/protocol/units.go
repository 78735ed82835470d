// Package protocol holds the typed messages of every interface, their
// validation, and the settings. Names and units of the wire stop here: inside
// the program times are whole microseconds and amounts whole thousandths.
package protocol

import (
	"math"
	"strconv"
)

// Micros is a duration or an instant in whole microseconds.
type Micros int64

// Commonly used spans.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Forever     Micros = math.MaxInt64 / 4
)

// Now is the time at which an event is handled: the steady clock, and the
// time of day, which may be off by a bound that the settings give.
type Now struct {
	Steady Micros
	Wall   Micros
}

// FromSeconds turns seconds of the wire into microseconds.
func FromSeconds(s float64) Micros {
	us := s * 1e6
	if us >= float64(Forever) {
		return Forever
	}
	if us <= -float64(Forever) {
		return -Forever
	}
	return Micros(math.Round(us))
}

// Seconds turns microseconds into seconds for the wire.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// End is when a span that begins at an instant is over, at most Forever.
func End(from, span Micros) Micros {
	if span >= Forever-from {
		return Forever
	}
	return from + span
}

// Resources is an amount of what machines offer and tasks take, in
// thousandths (of a processor, of a GPU, of a GB).
type Resources struct {
	CPU, GPU, Memory int64
}

// Add returns r plus o taken n times.
func (r Resources) Add(o Resources, n int64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Memory + n*o.Memory}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return o.CPU <= r.CPU && o.GPU <= r.GPU && o.Memory <= r.Memory
}

// MaxCopies says how many times o fits into r.
func (r Resources) MaxCopies(o Resources) int64 {
	n := int64(math.MaxInt32)
	for _, p := range [][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Memory, o.Memory}} {
		if p[1] > 0 {
			n = min(n, max(p[0], 0)/p[1])
		}
	}
	return n
}

// Needs round up and offers round down, so a rounding never overfills.
func needThousandths(v float64) int64  { return int64(math.Ceil(v*1000 - 1e-6)) }
func offerThousandths(v float64) int64 { return int64(math.Floor(v*1000 + 1e-6)) }

func appendThousandths(b []byte, v int64) []byte {
	return strconv.AppendFloat(b, float64(v)/1000, 'f', -1, 64)
}

func appendSeconds(b []byte, m Micros) []byte {
	return strconv.AppendFloat(b, m.Seconds(), 'f', -1, 64)
}

// WholeSeconds rounds a span up to the whole seconds that Retry-After takes.
func WholeSeconds(m Micros) int { return int((m + Second - 1) / Second) }
