// Package featuregate decides when a cluster of controllers of several versions begins to use
// what only the newer ones know. It does no I/O and has no clock; the leader of the cluster
// reads and writes the records (internal/controller/feature_activation.go).
package featuregate

// Level is a feature level: what stored state, messages and behaviour may be. A level
// includes all that the ones below it have.
type Level uint64

// Feature is something that may be used from a level on.
type Feature struct {
	Name string
	From Level
}

// ChainedJobs are jobs that await other jobs.
var ChainedJobs = Feature{Name: "chained jobs", From: 1}

// Range is the feature levels that a build serves.
type Range struct{ Low, High Level }

// Build is what this program serves. Level 0 is that of the programs that know of no levels.
var Build = Range{Low: 0, High: 1}

// Serves reports whether a build with the range may lead and accept at a level.
func (r Range) Serves(l Level) bool { return r.Low <= l && l <= r.High }
