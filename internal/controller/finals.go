package controller

import "mapleslip/internal/protocol"

// final is the last phase of a job that is over.
type final struct {
	phase protocol.Phase
	tasks int
}

// mostFinals is how many jobs that are over are remembered.
const mostFinals = 50_000

// finals remembers jobs that are over, the latest at least for as long as half of
// mostFinals take to end after it: a message that says the job is live may still be on its
// way, and would put it into the book once more. The state service has them all.
type finals struct {
	recent, older map[string]final
}

func newFinals() finals {
	return finals{recent: make(map[string]final), older: make(map[string]final)}
}

// find returns how a job ended, if that is remembered.
func (f *finals) find(ref string) (final, bool) {
	if last, ok := f.recent[ref]; ok {
		return last, true
	}
	last, ok := f.older[ref]
	return last, ok
}

// keep remembers how a job ended.
func (f *finals) keep(ref string, last final) {
	if len(f.recent) >= mostFinals/2 {
		f.older, f.recent = f.recent, make(map[string]final)
	}
	f.recent[ref] = last
}

// full reports whether there is no room for jobs that ended long ago.
func (f *finals) full() bool { return len(f.recent) >= mostFinals/2-1 }
