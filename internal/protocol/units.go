// Package protocol defines typed messages for all external interfaces, their validation, and the
// settings. It converts the names and units of the wire formats: in the rest of the program, times
// are whole microseconds and amounts of resources are whole thousandths.
package protocol

import (
	"math"
	"strconv"
)

// Micros is a duration or an instant in whole microseconds.
type Micros int64

// Common durations. Forever is longer than any real duration, and sums of a few of them don't
// overflow.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Forever     Micros = math.MaxInt64 / 4
)

// Now is the time at which an event is handled, by the steady clock and by the time of day. The
// time of day may be wrong by up to Platform.MaxClockOffset.
type Now struct {
	Steady Micros
	Wall   Micros
}

// FromSeconds converts seconds, as used in messages and settings, to microseconds. The result is at
// most Forever and at least -Forever.
func FromSeconds(s float64) Micros {
	micros := s * 1e6
	if micros >= float64(Forever) {
		return Forever
	}
	if micros <= -float64(Forever) {
		return -Forever
	}
	return Micros(math.Round(micros))
}

// Seconds converts microseconds to seconds.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// End returns the end of a time span that begins at from, at most Forever.
func End(from, span Micros) Micros {
	if span >= Forever-from {
		return Forever
	}
	return from + span
}

// Resources is an amount of the resources that machines offer and tasks use, in thousandths of a
// CPU, of a GPU and of a GB of memory.
type Resources struct {
	CPU, GPU, Memory int64
}

// Add returns r plus n times o.
func (r Resources) Add(o Resources, n int64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Memory + n*o.Memory}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return o.CPU <= r.CPU && o.GPU <= r.GPU && o.Memory <= r.Memory
}

// MaxCopies returns how many times o fits into r, at most math.MaxInt32.
func (r Resources) MaxCopies(o Resources) int64 {
	n := int64(math.MaxInt32)
	for _, p := range [][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Memory, o.Memory}} {
		if p[1] > 0 {
			n = min(n, max(p[0], 0)/p[1])
		}
	}
	return n
}

// Resource requirements are rounded up and offered capacities down, so that rounding never
// overcommits a machine.
func needThousandths(v float64) int64  { return int64(math.Ceil(v*1000 - 1e-6)) }
func offerThousandths(v float64) int64 { return int64(math.Floor(v*1000 + 1e-6)) }

func appendThousandths(b []byte, v int64) []byte {
	return strconv.AppendFloat(b, float64(v)/1000, 'f', -1, 64)
}

func appendSeconds(b []byte, m Micros) []byte {
	return strconv.AppendFloat(b, m.Seconds(), 'f', -1, 64)
}

// WholeSeconds rounds a duration up to whole seconds, the unit of the Retry-After header.
func WholeSeconds(m Micros) int { return int((m + Second - 1) / Second) }
