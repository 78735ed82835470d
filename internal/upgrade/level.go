// Package upgrade decides when a cluster of controllers of several versions begins to use
// what only the newer ones know.
package upgrade

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
