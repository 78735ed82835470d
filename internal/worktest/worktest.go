// Package worktest checks in tests that the work which one message causes is in proportion to the
// message's size.
package worktest

import (
	"fmt"
	"runtime"
	"testing"

	"mapleslip/internal/costlyform"
)

// Limits of the work that one message may cause, as allocated memory in bytes: so many for each byte of
// the message, and so many for any. Parsed values and their errors have to fit.
const (
	workPerByte   = 256
	workOfMessage = 256 << 10
)

// AllowedWork returns how many bytes the handling of a message of so many bytes may allocate.
func AllowedWork(size int) uint64 { return uint64(size)*workPerByte + workOfMessage }

// Work returns how many bytes a function allocates. Nothing else may allocate much meanwhile.
func Work(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Excess is a body whose handling took more work than its size allows.
type Excess struct {
	Body          costlyform.Body
	Work, Allowed uint64 // allocated memory, in bytes
}

func (e *Excess) String() string {
	return fmt.Sprintf("%s, %d bytes: allocated %d bytes, at most %d are allowed", e.Body.Name, len(e.Body.Text), e.Work, e.Allowed)
}

// Measure handles a body and returns its excess, nil if there is none.
func Measure(body costlyform.Body, handle func(text []byte)) *Excess {
	e := &Excess{Body: body, Work: Work(func() { handle(body.Text) }), Allowed: AllowedWork(len(body.Text))}
	if e.Work <= e.Allowed {
		return nil
	}
	return e
}

// AddSeeds adds the bodies of the smallest size, with costly values in the given members too, to the
// seeds of a fuzz target.
func AddSeeds(f *testing.F, members ...string) {
	for _, body := range costlyform.Bodies(costlyform.MinSize, members...) {
		f.Add(body.Text)
	}
}

// CheckFuzzed fails a fuzz test if the handling of its input takes more work than the size allows.
func CheckFuzzed(t *testing.T, input []byte, handle func(text []byte)) {
	t.Helper()
	if e := Measure(costlyform.Body{Name: "the input", Text: input}, handle); e != nil {
		t.Errorf("%q: %v", input, e)
	}
}

// FindExcesses handles bodies of 1 KiB, 2 KiB and so on up to limit bytes, with costly values in the
// given members too, and returns the smallest of each kind that takes more work than is allowed. Larger
// ones of that kind are left out, since they may take minutes.
func FindExcesses(limit int, members []string, handle func(body []byte)) (excesses []*Excess) {
	exceeded := make(map[string]bool)
	for size := costlyform.MinSize; size <= limit; size *= 2 {
		for _, body := range costlyform.Bodies(size, members...) {
			if exceeded[body.Name] {
				continue
			}
			if e := Measure(body, handle); e != nil {
				exceeded[body.Name] = true
				excesses = append(excesses, e)
			}
		}
	}
	return excesses
}
