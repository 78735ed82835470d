// Package statestore implements a client of the state service, a consensus-backed key-value store.
// The client supports reads, watches, leases and compare-and-swap transactions, and adapts to the
// service's limits, which the service may lower at run time.
//
// A Client does no I/O and has no clock. It makes calls and sets timers through its Environment,
// which invokes the callbacks on the goroutine that owns the client.
package statestore

import "mapleslip/internal/protocol"

type micros = protocol.Micros
