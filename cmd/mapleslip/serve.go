package main

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"mapleslip/internal/configuration"
	"mapleslip/internal/controller"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/telemetry"
	"mapleslip/internal/transport"
)

// driver joins the controller, which does no I/O, to the transport.
type driver struct {
	log      *slog.Logger
	platform *protocol.Platform
	ctl      *controller.Controller
	server   *transport.Server
	started  time.Time
	in       chan any // transport.Inbound or controller.CallResult
	meters   map[controller.Target]*transport.Meter
	dialers  map[controller.Target]*transport.Dialer
	addrs    map[controller.Target]string
	shown    *telemetry.Recorder // nil: telemetry is off

	level      *slog.LevelVar // of the log
	startLevel slog.Level
}

const (
	tickEvery   = 50 * time.Millisecond
	queueLength = 2048
	// bindWait is how long an address may be in use: the process before this one
	// may still be on its way out.
	bindWait = 2 * time.Second
)

var targetNames = map[controller.Target]string{
	controller.ToState: "state", controller.ToCloud: "cloud",
	controller.ToPeer: "controller", controller.ToWorker: "worker", controller.ToInstance: "instance",
}

// features are what operators' files switch on, nil where they don't.
type features struct {
	telemetry     *telemetry.Settings
	rollouts      *rollout.Settings
	configuration *configuration.Options
}

// checkAddresses checks that the addresses of a controller can be bound.
func checkAddresses(p *protocol.Platform, o protocol.OperatorSettings) error {
	for _, l := range []struct{ key, address string }{{"client_listen", p.ClientListen}, {"cluster_listen", p.ClusterListen}} {
		if err := transport.CanListen(l.address, bindWait); err != nil {
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

// serve runs a controller until the process is killed. It returns only if that can't begin.
func serve(p *protocol.Platform, o protocol.OperatorSettings, f features, log *slog.Logger, level *slog.LevelVar) error {
	if err := checkAddresses(p, o); err != nil {
		return err
	}
	t, r := f.telemetry, f.rollouts
	seed := rand.Uint64()
	d := &driver{
		log: log, platform: p, ctl: controller.New(p, o, seed, log), started: time.Now(), in: make(chan any, queueLength),
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
		// Connections of checks are not kept: an instance may be gone at any time.
		d.dialers[controller.ToInstance] = &transport.Dialer{MaxOpen: plan.instances, MaxPer: 4}
		d.ctl.EnableRollouts(*r)
		log.Info("roll-outs are on", "checks_per_s", r.ChecksPerS)
	}
	if f.configuration != nil {
		d.ctl.EnableConfiguration(*f.configuration)
		log.Info("the configuration may change", "history_pages", f.configuration.HistoryPages)
	}
	for _, by := range d.dialers {
		by.Source = o.SourceAddress
	}
	d.server = &transport.Server{
		Split: protocol.SplitPeer, Deliver: d.deliver,
		MaxOpen: plan.inbound, Idle: 5 * time.Minute,
		// Whoever reports or polls is heard again before that.
		Quiet: max(20*time.Second, 3*time.Duration(p.HeartbeatInterval)*time.Microsecond),
	}
	if t != nil {
		shown, err := telemetry.Start(*t, p.ControllerName, version, log)
		if err != nil {
			return fmt.Errorf("telemetry: %w", err)
		}
		d.shown = shown
		if shown.Spans() {
			d.ctl.EnableTracing()
		}
		log.Info("telemetry", "metrics", shown.Addr(), "traces", t.Traces)
	}
	d.share(false)
	go d.server.Run(p.ClientListen, p.ClusterListen)
	log.Info("started", "node", p.ControllerName, "zone", p.Zone, "version", version)
	d.loop()
	return nil
}

// share keeps to this node's part of the rates that all controllers share.
func (d *driver) share(leads bool) {
	nodes := len(d.platform.Peers) + 1
	writes := controller.WriteShare(nodes, leads)
	d.meters[controller.ToState].SetShare(controller.ReadShare(nodes, leads), writes, controller.MaxTxnChanges(d.platform.MaxTxnChanges, leads))
	d.meters[controller.ToCloud].SetShare(writes, 0, 0)
}

func (d *driver) deliver(m transport.Inbound) bool {
	select {
	case d.in <- m:
		return true
	default:
		return false
	}
}

func (d *driver) now() protocol.Now {
	t := time.Now()
	return protocol.Now{Steady: protocol.Micros(t.Sub(d.started) / time.Microsecond), Wall: protocol.Micros(t.UnixMicro())}
}

// batch is how many events are handled before it is seen whether a tick is due:
// however many wait, renewal and rounds get their turn.
const batch = 64

func (d *driver) loop() {
	d.perform(d.ctl.Start(d.now()))
	ticker := time.NewTicker(tickEvery)
	var ticked protocol.Micros
	for {
		select {
		case m := <-d.in:
			d.handle(m)
		case <-ticker.C:
		}
		for n := 1; n < batch && len(d.in) > 0; n++ {
			d.handle(<-d.in)
		}
		if now := d.now(); now.Steady-ticked >= protocol.Micros(tickEvery/time.Microsecond)*9/10 {
			ticked = now.Steady
			backlog := len(d.in)
			d.step("tick", controller.Tick{Backlog: backlog})
			for _, m := range d.meters {
				m.Run(ticked)
			}
			if d.shown != nil {
				d.shown.Waiting(backlog, map[string]int{"state": d.meters[controller.ToState].Waiting(), "cloud": d.meters[controller.ToCloud].Waiting()})
				d.shown.Snapshot(now.Steady, d.ctl.Snapshot)
			}
		}
	}
}

func (d *driver) handle(m any) {
	switch e := m.(type) {
	case controller.CallResult:
		d.step("answer", e)
	case transport.Inbound:
		if e.HTTP != nil {
			d.route(e)
			return
		}
		to := controller.ReplyAddress{Conn: uint64(e.Conn), Peer: true}
		msg, err := protocol.ParsePeer(e.Frame)
		ev := controller.PeerEvent(to, msg)
		if err != nil || ev == nil {
			d.log.Info("malformed message", "from", "controller", "err", err)
			d.reply(controller.Reply{To: to})
			return
		}
		d.step("controller", ev)
	}
}

// step has the controller handle an event, and does what follows.
func (d *driver) step(kind string, ev controller.Event) {
	if d.shown == nil {
		d.perform(d.ctl.Step(d.now(), ev))
		return
	}
	began := time.Now()
	effects := d.ctl.Step(d.now(), ev)
	d.shown.Step(kind, time.Since(began))
	d.perform(effects)
}

// configOps are what is asked about the configuration, by path and method.
var configOps = map[string]struct {
	method string
	op     protocol.UserOp
	arg    string // of the query
}{
	"/api/config":          {"GET", protocol.OpConfig, ""},
	"/api/config/apply":    {"POST", protocol.OpConfigApply, ""},
	"/api/config/history":  {"GET", protocol.OpConfigHistory, "before"},
	"/api/config/rollback": {"POST", protocol.OpConfigRollback, ""},
	"/api/config/wait":     {"GET", protocol.OpConfigWait, "revision"},
	"/api/config/status":   {"GET", protocol.OpConfigStatus, ""},
}

// argument is one argument of a query, "" where it is not there.
func argument(query, name string) string {
	for _, part := range strings.Split(query, "&") {
		if k, v, _ := strings.Cut(part, "="); k == name {
			return v
		}
	}
	return ""
}

var rolloutOps = map[string]protocol.UserOp{
	"": protocol.OpRolloutShow, "pause": protocol.OpRolloutPause, "resume": protocol.OpRolloutResume,
	"revert": protocol.OpRolloutRevert,
}

// route finds what an HTTP request asks for.
func (d *driver) route(e transport.Inbound) {
	to := controller.ReplyAddress{Conn: uint64(e.Conn)}
	r := e.HTTP
	var ev controller.Event
	want, kind := "POST", "user"
	switch {
	case r.Path == "/healthz":
		want, kind = "GET", "health"
		ev = controller.HealthzRequest{Reply: to}
	case r.Path == "/hello":
		kind = "report"
		ev = controller.WorkerHeartbeat{Reply: to, Body: r.Body}
	case r.Path == "/api/jobs":
		ev = controller.UserRequest{Reply: to, Op: protocol.OpSubmit, Body: r.Body}
	case strings.HasPrefix(r.Path, "/api/jobs/"):
		ref := strings.TrimPrefix(r.Path, "/api/jobs/")
		if id, ok := strings.CutSuffix(ref, "/cancel"); ok {
			ev = controller.UserRequest{Reply: to, Op: protocol.OpCancel, Ref: id}
		} else {
			want = "GET"
			ev = controller.UserRequest{Reply: to, Op: protocol.OpQuery, Ref: ref}
		}
	case configOps[r.Path].op > 0:
		o := configOps[r.Path]
		if r.Path == "/api/config" && r.Method == "POST" {
			o = configOps["/api/config/apply"]
		}
		want, ev = o.method, controller.UserRequest{Reply: to, Op: o.op, Ref: argument(r.Query, o.arg), Body: r.Body}
	case r.Path == "/api/rollouts":
		ev = controller.UserRequest{Reply: to, Op: protocol.OpRollout, Body: r.Body}
		if r.Method == "GET" {
			want, ev = "GET", controller.UserRequest{Reply: to, Op: protocol.OpRollouts}
		}
	case strings.HasPrefix(r.Path, "/api/rollouts/"):
		service, what, _ := strings.Cut(strings.TrimPrefix(r.Path, "/api/rollouts/"), "/")
		op, known := rolloutOps[what]
		if !known {
			d.reply(controller.Reply{To: to, Status: 404, Body: protocol.ErrorBody("no such path")})
			return
		}
		if what == "" {
			want = "GET"
		}
		ev = controller.UserRequest{Reply: to, Op: op, Ref: service}
	default:
		d.reply(controller.Reply{To: to, Status: 404, Body: protocol.ErrorBody("no such path")})
		return
	}
	if r.Method != want {
		d.reply(controller.Reply{To: to, Status: 405, Body: protocol.ErrorBody("method not allowed")})
		return
	}
	d.step(kind, ev)
}

func (d *driver) perform(effects []controller.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case controller.Reply:
			d.reply(e)
		case controller.Call:
			d.call(e)
		case controller.RateShare:
			d.share(e.Leads)
		case controller.WriteRate:
			d.meters[controller.ToState].SetWrites(e.PerSecond, e.Lowered)
		case controller.SetLogLevel:
			d.setLevel(e.Level)
		case controller.Span:
			d.shown.Span(e, d.started)
		}
	}
}

// updateLogLevel sets the level of the log; "" is the one that the process was started with.
func (d *driver) setLevel(name string) {
	level := d.startLevel
	if name != "" {
		level, _ = levelNamed(name)
	}
	if was := d.level.Level(); level != was {
		d.level.Set(slog.LevelInfo)
		d.log.Info("level of the log", "from", was.String(), "to", level.String())
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

// call makes an outbound call, in its turn where the service is metered.
func (d *driver) call(c controller.Call) {
	send := func() { go d.send(c) }
	m := d.meters[c.Target]
	if m == nil {
		send()
		return
	}
	changes := c.Changes
	if c.Target == controller.ToCloud {
		changes = 0
	}
	m.Add(transport.Metered{
		Priority: transport.Priority(c.Priority), Changes: changes, Expires: d.now().Steady + c.Timeout, Send: send,
		Expire: func() {
			go func() { d.in <- controller.CallResult{ID: c.ID, NotSent: true} }()
		},
	})
	m.Run(d.now().Steady)
}

func (d *driver) send(c controller.Call) {
	addr := c.Addr
	if addr == "" {
		addr = d.addrs[c.Target]
	}
	began := time.Now()
	done := d.exchange(c, addr)
	d.shown.Call(targetNames[c.Target], c.Method, c.Path, done, began)
	d.in <- done
}

// mostCheckAnswer is how long the answer to a check may be.
const mostCheckAnswer = 64 << 10

// exchange sends a call to an address and waits for the answer. A check of an instance
// is a connection that is accepted, or the answer to a GET: the time-out covers all of
// it, an answer that comes a byte at a time too, and the socket is closed with it.
func (d *driver) exchange(c controller.Call, addr string) controller.CallResult {
	done := controller.CallResult{ID: c.ID}
	dialer, timeout := d.dialers[c.Target], time.Duration(c.Timeout)*time.Microsecond
	var err error
	switch {
	case dialer == nil:
		err = transport.ErrSockets // roll-outs are off here
	case c.Target == controller.ToInstance && c.Method == "":
		err = dialer.Probe(addr, timeout)
		done.Status = 200
	case c.Target == controller.ToPeer:
		err = dialer.Do(addr, c.Body, timeout, func(buf []byte, _ bool) (int, bool, error) {
			frame, used, err := protocol.SplitPeer(buf)
			if used > 0 {
				done.Status, done.Body = 200, frame
			}
			return used, true, err
		})
	default:
		check := c.Target == controller.ToInstance
		payload := transport.AppendRequest(nil, c.Method, addr, c.Path, c.Body)
		err = dialer.Do(addr, payload, timeout, func(buf []byte, eof bool) (int, bool, error) {
			if check && len(buf) > mostCheckAnswer {
				return 0, false, transport.ErrTooLong
			}
			r, used, err := transport.ParseResponse(buf, eof)
			if err != nil || used == 0 {
				return 0, false, err
			}
			done.Status, done.Body = r.Status, r.Body
			return used, !r.Close && !check, nil
		})
	}
	if err != nil {
		done.Status, done.Body = 0, nil
		done.ConnectionRefused = errors.Is(err, transport.ErrRefused)
		done.NotSent = done.ConnectionRefused || errors.Is(err, transport.ErrSockets)
	}
	return done
}
