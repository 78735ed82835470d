// Package statestore is the client of the state service, a consensus-backed key-value store:
// reads, watches, leases and compare-and-swap transactions, within limits that the service may
// lower while this runs.
//
// A Client does no I/O and has no clock. It asks its Environment to make calls and to run
// timers, and is called back with the results, always from the goroutine that owns it.
package statestore

import "mapleslip/internal/protocol"

type micros = protocol.Micros
