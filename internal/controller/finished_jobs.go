package controller

import "mapleslip/internal/protocol"

// finishedJob is the last phase and the size of a finished job.
type finishedJob struct {
	phase protocol.Phase
	tasks int
}

// maxFinishedJobs limits how many finished jobs are cached.
const maxFinishedJobs = 50_000

// finishedJobCache caches the jobs that finished last. A job is kept at least until half of
// maxFinishedJobs have finished after it: a delayed message may still report it as active, and
// would otherwise add it again. The state service has the records of all finished jobs.
type finishedJobCache struct {
	recent, older map[string]finishedJob
}

func newFinishedJobCache() finishedJobCache {
	return finishedJobCache{recent: make(map[string]finishedJob), older: make(map[string]finishedJob)}
}

// find returns a finished job, if it is cached.
func (c *finishedJobCache) find(ref string) (finishedJob, bool) {
	if f, ok := c.recent[ref]; ok {
		return f, true
	}
	f, ok := c.older[ref]
	return f, ok
}

// add caches a finished job. When half of the cache is filled with recent jobs, the older half is
// discarded.
func (c *finishedJobCache) add(ref string, f finishedJob) {
	if len(c.recent) >= maxFinishedJobs/2 {
		c.older, c.recent = c.recent, make(map[string]finishedJob)
	}
	c.recent[ref] = f
}

// full reports whether there is no room for jobs that finished long ago: adding more of them would
// soon discard older entries.
func (c *finishedJobCache) full() bool { return len(c.recent) >= maxFinishedJobs/2-1 }
