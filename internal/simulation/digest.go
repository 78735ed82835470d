package simulation

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"

	"mapleslip/internal/controller"
)

// effectDigest is a running hash of all calls, replies and other effects that the controllers of a
// World emit, each with its controller and time. Two versions of the program that behave alike on a
// trace have the same digest. It depends neither on log text nor on names of Go types.
type effectDigest struct{ sum hash.Hash }

// RecordDigest starts a digest of the effects that the controllers emit from now on.
func (w *World) RecordDigest() { w.digest = &effectDigest{sum: sha256.New()} }

// Digest returns the digest of the effects that the controllers emitted since RecordDigest was
// called, or "" if it was not.
func (w *World) Digest() string {
	if w.digest == nil {
		return ""
	}
	return hex.EncodeToString(w.digest.sum.Sum(nil))
}

// add adds one effect of a controller to the digest. It does nothing if d is nil.
func (d *effectDigest) add(now micros, node string, effect controller.Effect) {
	if d == nil {
		return
	}
	fmt.Fprintf(d.sum, "%d %q ", now, node)
	switch e := effect.(type) {
	case controller.Reply:
		fmt.Fprintf(d.sum, "reply %d %t %d %d %t %q\n", e.To.Conn, e.To.Peer, e.Status, e.RetryAfter, e.Frame, e.Body)
	case controller.Call:
		fmt.Fprintf(d.sum, "call %d %q %q %q %d %d %d %q\n", e.Target, e.Addr, e.Method, e.Path, e.Timeout, e.Priority, e.Changes, e.Body)
	case controller.RateShare:
		fmt.Fprintf(d.sum, "share %t\n", e.Leads)
	case controller.WriteRate:
		fmt.Fprintf(d.sum, "write rate %v %t\n", e.PerSecond, e.Lowered)
	case controller.SetLogLevel:
		fmt.Fprintf(d.sum, "log level %q\n", e.Level)
	}
}
