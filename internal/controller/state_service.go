package controller

import "mapleslip/internal/statestore"

// storeEnvironment provides the state service's client with the clock, timers and outbound calls.
type storeEnvironment struct{ env *environment }

// Now is part of statestore.Environment.
func (s storeEnvironment) Now() micros { return s.env.now.Steady }

// After is part of statestore.Environment.
func (s storeEnvironment) After(delay micros, run func()) { s.env.after(delay, run) }

// Call is part of statestore.Environment.
func (s storeEnvironment) Call(c statestore.Call) {
	call := Call{
		Target: ToState, Priority: c.Priority, Method: c.Method, Path: c.Path, Body: c.Body,
		Timeout: c.Timeout, Changes: c.Changes,
	}
	s.env.send(call, func(r CallResult) {
		c.Done(statestore.Result{Status: r.Status, Body: r.Body, NotSent: r.NotSent, ConnectionRefused: r.ConnectionRefused})
	})
}

// storeObserver passes the observations of the state service's client to the components that use
// them.
type storeObserver struct{ c *Controller }

// Malformed is part of statestore.Observer.
func (o storeObserver) Malformed(err error) { o.c.logMalformed("state", err) }

// LimitsLowered is part of statestore.Observer.
func (o storeObserver) LimitsLowered(target statestore.TxnLimits) {
	if config := o.c.config.state; config != nil {
		config.bounds.ValueBytes = target.MaxValueBytes
	}
	if settings := o.c.rollouts.settings; settings != nil {
		settings.ValueBytes = target.MaxValueBytes
		if t := o.c.term; t != nil && t.rollouts.manager != nil {
			t.rollouts.manager.SetValueBytes(target.MaxValueBytes)
		}
	}
}

// WriteRateChanged is part of statestore.Observer.
func (o storeObserver) WriteRateChanged(perSecond float64, lowered bool) {
	o.c.emit(WriteRate{PerSecond: perSecond, Lowered: lowered})
}
