package controller

import "mapleslip/internal/protocol"

// finishedJob is the last phase of a job that is over.
type finishedJob struct {
	phase protocol.Phase
	tasks int
}

// maxFinishedJobs is how many jobs that are over are remembered.
const maxFinishedJobs = 50_000

// finals remembers jobs that are over, the latest at least for as long as half of
// maxFinishedJobs take to end after it: a message that says the job is live may still be on its
// way, and would put it into the book once more. The state service has them all.
type finishedJobCache struct {
	recent, older map[string]finishedJob
}

func newFinishedJobCache() finishedJobCache {
	return finishedJobCache{recent: make(map[string]finishedJob), older: make(map[string]finishedJob)}
}

// find returns how a job ended, if that is remembered.
func (f *finishedJobCache) find(ref string) (finishedJob, bool) {
	if last, ok := f.recent[ref]; ok {
		return last, true
	}
	last, ok := f.older[ref]
	return last, ok
}

// keep remembers how a job ended.
func (f *finishedJobCache) add(ref string, last finishedJob) {
	if len(f.recent) >= maxFinishedJobs/2 {
		f.older, f.recent = f.recent, make(map[string]finishedJob)
	}
	f.recent[ref] = last
}

// full reports whether there is no room for jobs that ended long ago.
func (f *finishedJobCache) full() bool { return len(f.recent) >= maxFinishedJobs/2-1 }
