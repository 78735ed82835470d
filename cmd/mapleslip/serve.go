package main

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"mapleslip/internal/configuration"
	"mapleslip/internal/controller"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/stepwatch"
	"mapleslip/internal/telemetry"
	"mapleslip/internal/transport"
)

// driver connects the controller, which does no I/O itself, to the transport. It passes events to
// the controller and executes the effects that the controller returns.
type driver struct {
	log      *slog.Logger
	platform *protocol.Platform
	ctl      *controller.Controller
	server   *transport.Server
	started  time.Time
	events   chan any // a transport.Inbound, a decoded or an answered
	decoders *decoders
	watch    *stepwatch.Watch
	meters   map[controller.Target]*transport.Meter
	dialers  map[controller.Target]*transport.Dialer
	addrs    map[controller.Target]string
	recorder *telemetry.Recorder // nil if telemetry is disabled

	level      *slog.LevelVar // current log level
	startLevel slog.Level     // log level at the start of the process
}

const (
	tickInterval     = 50 * time.Millisecond
	eventQueueLength = 2048
	// bindTimeout is how long binding an address that is in use is retried: the previous process
	// of this controller may still be shutting down.
	bindTimeout = 2 * time.Second
	// Incomplete messages may take one in heldDivisor bytes of the memory together, and minHeldBytes
	// in any case.
	heldDivisor  = 16
	minHeldBytes = 4 << 20
)

// features contains the settings of the optional features, nil for each that is disabled.
type features struct {
	telemetry     *telemetry.Settings
	rollouts      *rollout.Settings
	configuration *configuration.Options
}

// checkAddresses checks that the addresses of a controller can be bound.
func checkAddresses(p *protocol.Platform, o protocol.OperatorSettings) error {
	for _, l := range []struct{ key, address string }{{"client_listen", p.ClientListen}, {"cluster_listen", p.ClusterListen}} {
		if err := transport.CanListen(l.address, bindTimeout); err != nil {
			return fmt.Errorf("%s: %w", l.key, err)
		}
	}
	if !o.SourceAddress.IsValid() {
		return nil
	}
	if err := transport.CanListen(netip.AddrPortFrom(o.SourceAddress, 0).String(), 0); err != nil {
		return fmt.Errorf("source_address: %w", err)
	}
	return nil
}

// serve runs a controller until the process is killed. It returns only if startup fails.
func serve(p *protocol.Platform, o protocol.OperatorSettings, f features, log *slog.Logger, level *slog.LevelVar) error {
	if err := checkAddresses(p, o); err != nil {
		return err
	}
	t, r := f.telemetry, f.rollouts
	seed := rand.Uint64()
	d := &driver{
		log: log, platform: p, ctl: controller.New(p, o, seed, log), started: time.Now(), events: make(chan any, eventQueueLength),
		level: level, startLevel: level.Level(),
		meters: map[controller.Target]*transport.Meter{
			controller.ToState: transport.NewMeter(p.StateRequestRate, p.StateWriteRate, 1, p.MaxTxnChanges),
			controller.ToCloud: transport.NewMeter(p.CloudRate, 0, 2, 0),
		},
		addrs: map[controller.Target]string{controller.ToState: p.StateAddr, controller.ToCloud: p.CloudAddr},
	}
	plan := planSockets(p.MaxConnections, len(p.Peers), r != nil)
	d.dialers = map[controller.Target]*transport.Dialer{
		controller.ToState:  {MaxOpen: plan.state, MaxPer: plan.state, KeepIdle: 20 * time.Second},
		controller.ToCloud:  {MaxOpen: plan.cloud, MaxPer: plan.cloud, KeepIdle: 20 * time.Second},
		controller.ToPeer:   {MaxOpen: plan.peers, MaxPer: plan.perPeer, KeepIdle: 20 * time.Second},
		controller.ToWorker: {MaxOpen: plan.workers, MaxPer: 2, KeepIdle: 20 * time.Second},
	}
	d.ctl.SetFeatureRange(featuregate.Build, version)
	if r != nil {
		// Connections for health checks are not reused: an instance may terminate at any time.
		d.dialers[controller.ToInstance] = &transport.Dialer{MaxOpen: plan.instances, MaxPer: 4}
		d.ctl.EnableRollouts(*r)
		log.Info("roll-outs are enabled", "checks_per_s", r.ChecksPerS)
	}
	if f.configuration != nil {
		d.ctl.EnableConfiguration(*f.configuration)
		log.Info("configuration changes are enabled", "history_pages", f.configuration.HistoryPages)
	}
	for _, dialer := range d.dialers {
		dialer.Source = o.SourceAddress
	}
	d.decoders = startDecoders(func(m decoded) { d.events <- m })
	d.server = &transport.Server{
		Split: protocol.SplitPeer, Deliver: d.deliver,
		MaxOpen: plan.inbound, MaxCluster: plan.peers, MaxHeld: int(max(minHeldBytes, p.MemoryBytes/heldDivisor)),
		Idle: 5 * time.Minute,
		// When all connections are in use, one without traffic for this time is closed for a new
		// one. Workers that send heartbeats and clients that poll send again within this time.
		Quiet: max(20*time.Second, 3*time.Duration(p.HeartbeatInterval)*time.Microsecond),
	}
	if t != nil {
		recorder, err := telemetry.Start(*t, p.ControllerName, version, log)
		if err != nil {
			return fmt.Errorf("telemetry: %w", err)
		}
		d.recorder = recorder
		if recorder.Spans() {
			d.ctl.EnableTracing()
		}
		log.Info("telemetry", "metrics", recorder.Addr(), "traces", t.Traces)
	}
	d.setRateShare(false)
	go d.server.Run(p.ClientListen, p.ClusterListen)
	log.Info("started", "node", p.ControllerName, "zone", p.Zone, "version", version)
	d.loop()
	return nil
}

// setRateShare limits calls to the state service and the cloud to this controller's share of their
// rate limits, which apply to all controllers together.
func (d *driver) setRateShare(isLeader bool) {
	nodes := len(d.platform.Peers) + 1
	writes := controller.WriteShare(nodes, isLeader)
	d.meters[controller.ToState].SetShare(controller.ReadShare(nodes, isLeader), writes, controller.MaxTxnChanges(d.platform.MaxTxnChanges, isLeader))
	d.meters[controller.ToCloud].SetShare(writes, 0, 0)
}

func (d *driver) now() protocol.Now {
	t := time.Now()
	return protocol.Now{Steady: protocol.Micros(t.Sub(d.started) / time.Microsecond), Wall: protocol.Micros(t.UnixMicro())}
}

// maxEventBatch is the maximum number of events that are handled between two checks whether a tick
// is due, so that lease renewals and scheduling rounds also run while many events are queued.
const maxEventBatch = 64

func (d *driver) loop() {
	d.watch = stepwatch.New(d.log)
	go d.watch.Run()
	d.recorder.WatchSteps(d.watch.Kinds)
	d.perform(d.ctl.Start(d.now()))
	ticker := time.NewTicker(tickInterval)
	var lastTick protocol.Micros
	for {
		select {
		case m := <-d.events:
			d.handle(m)
		case <-ticker.C:
		}
		for n := 1; n < maxEventBatch && len(d.events) > 0; n++ {
			d.handle(<-d.events)
		}
		if now := d.now(); now.Steady-lastTick >= protocol.Micros(tickInterval/time.Microsecond)*9/10 {
			lastTick = now.Steady
			d.tick(lastTick)
		}
	}
}

// tick does the periodic work.
func (d *driver) tick(now protocol.Micros) {
	d.watch.Begin(stepwatch.Event{Kind: "tick", From: "timer"})
	defer d.watch.End()
	backlog := len(d.events) + d.decoders.waiting()
	d.step("tick", controller.Tick{Backlog: backlog})
	for _, m := range d.meters {
		m.Run(now)
	}
	d.record(now, backlog)
}

// handle handles an event of the queue.
func (d *driver) handle(m any) {
	d.watch.Begin(describe(m))
	defer d.watch.End()
	switch e := m.(type) {
	case answered:
		d.step("answer", e.CallResult)
	case transport.Inbound:
		d.dispatch(decode(e))
	case decoded:
		d.dispatch(e)
	}
}

// dispatch passes the event of a message to the controller, or sends the reply to a message that is no
// event.
func (d *driver) dispatch(m decoded) {
	if m.malformed != nil {
		d.log.Info("malformed message", "from", "controller", "err", m.malformed)
	}
	if m.event == nil {
		d.reply(m.reply)
		return
	}
	d.step(m.kind, m.event)
}

// record records the state of the process between two events. backlog is the number of events that
// wait.
func (d *driver) record(now protocol.Micros, backlog int) {
	if d.recorder == nil {
		return
	}
	d.recorder.Waiting(backlog, map[string]int{"state": d.meters[controller.ToState].Waiting(), "cloud": d.meters[controller.ToCloud].Waiting()})
	clients, cluster, counts := d.server.Connections()
	d.recorder.Connections(map[string]int{"clients": clients, "controllers": cluster}, counts.ByReason())
	d.recorder.Snapshot(now, d.ctl.Snapshot)
}

// step passes an event to the controller and executes the resulting effects.
func (d *driver) step(kind string, ev controller.Event) {
	if d.recorder == nil {
		d.perform(d.ctl.Step(d.now(), ev))
		return
	}
	began := time.Now()
	effects := d.ctl.Step(d.now(), ev)
	d.recorder.Step(kind, time.Since(began))
	d.perform(effects)
}

func (d *driver) perform(effects []controller.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case controller.Reply:
			d.reply(e)
		case controller.Call:
			d.call(e)
		case controller.RateShare:
			d.setRateShare(e.Leads)
		case controller.WriteRate:
			d.meters[controller.ToState].SetWrites(e.PerSecond, e.Lowered)
		case controller.SetLogLevel:
			d.setLevel(e.Level)
		case controller.Span:
			d.recorder.Span(e, d.started)
		}
	}
}

// setLevel sets the log level. An empty name restores the level at the start of the process. The
// change is logged at level info whatever the old and the new level are.
func (d *driver) setLevel(name string) {
	level := d.startLevel
	if name != "" {
		level, _ = parseLevel(name)
	}
	if previous := d.level.Level(); level != previous {
		d.level.Set(slog.LevelInfo)
		d.log.Info("log level changed", "from", previous.String(), "to", level.String())
		d.level.Set(level)
	}
}

func (d *driver) reply(r controller.Reply) {
	d.server.Answer(transport.ConnID(r.To.Conn), func(closing bool) []byte {
		if r.To.Peer && r.Frame {
			return r.Body
		}
		if r.To.Peer {
			return protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerResponse, Status: uint16(r.Status), RetryAfter: r.RetryAfter, Body: r.Body})
		}
		return transport.AppendResponse(nil, r.Status, r.Body, protocol.WholeSeconds(r.RetryAfter), closing)
	})
}
