package controller

import "mapleslip/internal/protocol"

// finishedJob is the last phase of a job that is over.
type finishedJob struct {
	phase protocol.Phase
	tasks int
}

// maxFinishedJobs is how many jobs that are over are remembered.
const maxFinishedJobs = 50_000

// finishedJobCache remembers jobs that are over, the latest at least for as long as half of
// maxFinishedJobs take to end after it: a message that says a job is active may still be on its
// way, and would add it once more. The state service has them all.
type finishedJobCache struct {
	recent, older map[string]finishedJob
}

func newFinishedJobCache() finishedJobCache {
	return finishedJobCache{recent: make(map[string]finishedJob), older: make(map[string]finishedJob)}
}

// find returns how a job ended, if that is remembered.
func (c *finishedJobCache) find(ref string) (finishedJob, bool) {
	if f, ok := c.recent[ref]; ok {
		return f, true
	}
	f, ok := c.older[ref]
	return f, ok
}

// add remembers how a job ended.
func (c *finishedJobCache) add(ref string, f finishedJob) {
	if len(c.recent) >= maxFinishedJobs/2 {
		c.older, c.recent = c.recent, make(map[string]finishedJob)
	}
	c.recent[ref] = f
}

// full reports whether there is no room for jobs that ended long ago.
func (c *finishedJobCache) full() bool { return len(c.recent) >= maxFinishedJobs/2-1 }
