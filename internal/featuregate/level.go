// Package featuregate decides when a cluster whose controllers run different versions starts to use
// what only the newer versions support. It does no I/O and has no clock; the leader of the cluster
// reads and writes the records (internal/controller/feature_activation.go).
package featuregate

// Level is a feature level. It determines which stored state, messages and behaviour may be used. A
// level includes everything that lower levels include.
type Level uint64

// Feature is a feature that may be used from a level on.
type Feature struct {
	Name string
	From Level // first level at which the feature may be used
}

// ChainedJobs is the feature of jobs that wait for other jobs.
var ChainedJobs = Feature{Name: "chained jobs", From: 1}

// Range is the range of feature levels that a build serves.
type Range struct{ Low, High Level }

// Build is the range that this program serves. Level 0 is that of versions without feature levels.
var Build = Range{Low: 0, High: 1}

// Serves reports whether a build with the range may lead and accept jobs while a level is active.
func (r Range) Serves(l Level) bool { return r.Low <= l && l <= r.High }
