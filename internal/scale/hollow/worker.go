package hollow

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/transport"
)

const (
	patience   = int64(4 * protocol.Second) // for an answer to a report
	pause      = int64(protocol.Second)     // until the next controller is tried
	changesGap = int64(protocol.Second / 2) // between reports of changes
	// noticing is the part of gang_peer_s after which a gang has noticed that the machine
	// of one of its tasks hangs.
	noticing = 4
)

// worker is one machine's worker. Its state is its lock's holder's.
type worker struct {
	p   *process
	m   wire.Machine
	typ *protocol.MachineType

	mu        sync.Mutex
	up, gone  bool
	session   uint64
	tick      uint64
	epoch     uint64
	leaseFrom int64 // when the session began, or the last answered report was sent

	tasks  []*task
	used   protocol.Resources // by tasks that have not exited
	images images
	head   string // of its reports
	list   []byte // of its tasks, as in reports
	stale  bool   // list has to be made anew

	hungFrom, hungUntil int64         // 0: it doesn't hang
	held                []func(int64) // what waits until it goes on
	goesOn              chan struct{} // closed then

	node      int   // controller that it reports to
	sent      int64 // when the last report was
	due       int64 // of the next one
	notBefore int64
	changed   bool
	noticed   int64 // when a higher token last counted as a change
	inFlight  bool
	armed     int64 // first timer that looks whether a report is due
	send      chan struct{}
	body      []byte
	rng       *rand.Rand

	server *httpconn.Server
	client *httpconn.Client
}

// starts brings a worker up.
func (w *worker) starts(now int64, spread bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || w.up {
		return nil
	}
	server, err := httpconn.Listen(w.m.Listen, nil, w.handle)
	if err != nil {
		return err
	}
	w.up, w.server = true, server
	w.session, w.leaseFrom, w.due = 1, now, now
	if spread { // a fleet that is there from the beginning doesn't report all at once
		w.due += w.rng.Int64N(int64(w.p.platform.HeartbeatInterval) + 1)
	}
	w.notBefore = w.due
	w.stale = true
	w.p.up.Add(1)
	w.armLease()
	w.arm(now)
	go w.report()
	return nil
}

// ends takes a worker away for good, with all that is on it.
func (w *worker) ends(now int64, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.kill(now, why)
	w.gone = true
	if w.goesOn != nil {
		close(w.goesOn)
		w.goesOn = nil
	}
	close(w.send)
	w.client.Abort()
	if w.up {
		w.server.Close()
		w.p.up.Add(-1)
	}
}

// kill takes all tasks off the machine and forgets them.
func (w *worker) kill(now int64, why string) {
	for _, t := range w.tasks {
		t.leave(now, why, false)
		t.turn++
		t.state = protocol.TaskExited
	}
	clear(w.tasks)
	w.tasks = w.tasks[:0]
	w.touch(now)
}

// nextSession begins a session without tasks.
func (w *worker) nextSession(now int64, why string) {
	w.kill(now, why)
	w.session++
	w.leaseFrom = now
	w.armLease()
}

// restarts begins anew: without tasks, images and token. The session is a new one all the
// same, since the controllers take an earlier one for an older message.
func (w *worker) restarts(now int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.gone {
		return
	}
	w.nextSession(now, "restarted")
	w.images.list, w.images.fetches = make(map[string]*image), nil
	w.epoch = 0
	w.client.Close()
	w.server.Drop()
}

// hangs has a machine stand still until an instant.
func (w *worker) hangs(now, until int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.gone || until <= now {
		return
	}
	if w.hungUntil == 0 {
		w.hungFrom, w.goesOn = now, make(chan struct{})
	}
	w.hungUntil = max(w.hungUntil, until)
	w.p.timers.at(w.hungUntil, w.resumes)
	if notice := int64(w.p.platform.GangPeerTimeout) / noticing; until-now > notice {
		from := w.hungFrom
		w.p.timers.at(now+notice, func(now int64) { w.missed(now, from) })
	}
}

// missed tells that the gangs with a task here notice that the machine hangs.
func (w *worker) missed(now, from int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || w.hungUntil == 0 || w.hungFrom != from {
		return
	}
	for _, t := range w.tasks {
		if t.on && t.job.spec.Kind == protocol.Gang && (t.state == protocol.TaskRunning || t.state == protocol.TaskCheckpointing) {
			w.p.tell(&wire.Message{Kind: wire.Peers, Task: t.name, Name: w.m.Name, At: now})
		}
	}
}

// resumes goes on after a hang.
func (w *worker) resumes(now int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || w.hungUntil == 0 || now < w.hungUntil {
		return
	}
	for _, t := range w.tasks {
		t.longer(now - w.hungFrom)
	}
	held, goesOn := w.held, w.goesOn
	w.hungFrom, w.hungUntil, w.held, w.goesOn = 0, 0, nil, nil
	for _, fn := range held {
		fn(now)
	}
	close(goesOn)
	w.arm(now)
}

// later has fn called with the lock at an instant, or when the machine goes on after it.
func (w *worker) later(at int64, fn func(now int64)) {
	w.p.timers.at(at, func(now int64) { w.locked(now, fn) })
}

// locked calls fn with the lock, once the machine doesn't hang.
func (w *worker) locked(now int64, fn func(now int64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.gone:
	case w.hungUntil > 0:
		w.held = append(w.held, fn)
	default:
		fn(now)
	}
}

// armLease looks when the lease may be over. A machine that hangs loses its lease too.
func (w *worker) armLease() {
	session := w.session
	w.p.timers.at(w.leaseFrom+int64(w.p.platform.WorkerLease)+1, func(now int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.gone || w.session != session {
			return
		}
		if now <= w.leaseFrom+int64(w.p.platform.WorkerLease) {
			w.armLease()
			return
		}
		w.p.expiries.Add(1)
		w.nextSession(now, "lease")
	})
}

// touch notes that the next report says something new.
func (w *worker) touch(now int64) {
	w.stale, w.changed = true, true
	w.arm(now)
}

// reportDue is when the next report goes out.
func (w *worker) reportDue() int64 {
	due := w.due
	if w.changed {
		due = min(due, w.sent+changesGap)
	}
	return max(due, w.notBefore)
}

// arm looks after the next report.
func (w *worker) arm(now int64) {
	if !w.up || w.gone || w.inFlight || w.hungUntil > 0 {
		return
	}
	due := w.reportDue()
	if w.armed > now && w.armed <= due {
		return
	}
	w.armed = max(due, now)
	w.p.timers.at(w.armed, func(now int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.gone || w.inFlight || w.hungUntil > 0 {
			return
		}
		if now < w.reportDue() {
			w.arm(now)
			return
		}
		w.inFlight = true
		w.send <- struct{}{} // there is room: only one is in flight
	})
}

// report sends reports, each when it is due.
func (w *worker) report() {
	for range w.send {
		addr, sent, session := w.composes()
		if addr == "" {
			return
		}
		r, err := w.client.Post(addr, "/hello", w.body, time.Now().Add(time.Duration(patience)*time.Microsecond))
		w.answered(sent, session, r, err)
	}
}

// composes writes the next report. No address: the machine is gone.
func (w *worker) composes() (addr string, sent int64, session uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return "", 0, 0
	}
	sent = w.p.now()
	w.sent, w.changed, w.armed = sent, false, 0
	every := int64(w.p.platform.HeartbeatInterval)
	w.due = sent + every*3/4 + w.rng.Int64N(every/2+1)
	w.notBefore = 0
	w.body = w.append(w.body[:0])
	return w.p.config.Controllers[w.node].Public[w.m.Region], sent, w.session
}

// answered takes what became of a report.
func (w *worker) answered(sent int64, session uint64, r *transport.Response, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.standsStill()
	if w.gone {
		return
	}
	now := w.p.now()
	w.inFlight = false
	if err == nil && now-sent > patience {
		err = errors.New("too late")
		w.client.Close()
	}
	w.p.answered(now-sent, err != nil || r.Status != 200 && r.Status != 421)
	if err != nil {
		w.next(now)
	} else {
		w.take(now, sent, session, r)
	}
	w.arm(now)
}

// standsStill waits until the machine doesn't hang; the lock is given back meanwhile.
func (w *worker) standsStill() {
	for w.hungUntil > 0 && !w.gone {
		goesOn := w.goesOn
		w.mu.Unlock()
		<-goesOn
		w.mu.Lock()
	}
}

// next has the worker report to the next controller.
func (w *worker) next(now int64) {
	w.node = (w.node + 1) % len(w.p.config.Controllers)
	w.due = now + pause
	w.notBefore = w.due
}

// take takes the answer to a report.
func (w *worker) take(now, sent int64, session uint64, r *transport.Response) {
	if r.Status != 200 && r.Status != 421 {
		w.next(now)
		return
	}
	parser := protocol.Parsers.Get()
	defer protocol.Parsers.Put(parser)
	v, err := parser.ParseBytes(r.Body)
	if err != nil {
		w.next(now)
		return
	}
	if r.Status == 421 {
		w.p.redirects.Add(1)
		leader := string(v.GetStringBytes("leader"))
		for i, c := range w.p.config.Controllers {
			if c.Name == leader && i != w.node {
				w.client.Close()
				w.node = i
				w.due = now + w.rng.Int64N(int64(protocol.Second/2))
				w.notBefore = w.due
				return
			}
		}
		w.next(now)
		return
	}
	if token := v.GetUint64("epoch"); token == 0 || token < w.epoch || session != w.session {
		w.p.dropped.Add(1)
		return
	} else if token > w.epoch {
		w.sees(now, token)
	}
	w.leaseFrom = sent
	for _, c := range v.GetArray("orders") {
		w.execute(now, string(c.GetStringBytes("verb")), string(c.GetStringBytes("shard")), c.GetUint64("try"), c.GetFloat64("drainS"))
	}
}

// sees takes a higher token.
func (w *worker) sees(now int64, token uint64) {
	w.epoch = token
	if now-w.noticed >= int64(w.p.platform.WorkerLease)/2 {
		w.noticed = now
		w.changed = true
	}
}

// execute carries out a command.
func (w *worker) execute(now int64, verb, name string, try uint64, grace float64) {
	ref, number, _ := strings.Cut(name, "/")
	index, err := strconv.Atoi(number)
	if err != nil || index < 0 {
		return
	}
	var known *task
	busy := false
	for _, t := range w.tasks {
		if t.index == index && t.ref == ref {
			if t.try == try {
				known = t
			} else if t.state != protocol.TaskExited {
				busy = true
			}
		}
	}
	switch verb {
	case "launch":
		if known == nil {
			w.launch(now, ref, index, try, busy)
		}
	case "stop":
		if known != nil {
			known.stop(now, protocol.FromSeconds(grace))
		}
	case "forget":
		if known != nil && known.state == protocol.TaskExited {
			for i, t := range w.tasks {
				if t == known {
					w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
					break
				}
			}
			w.touch(now)
		}
	}
}

// launch takes a task in; what it is, the supervisor says.
func (w *worker) launch(now int64, ref string, index int, try uint64, busy bool) {
	t := &task{w: w, ref: ref, index: index, try: try, began: now}
	t.name = ref + "/" + strconv.Itoa(index) + "#" + strconv.FormatUint(try, 10)
	w.tasks = append(w.tasks, t)
	w.touch(now)
	if busy {
		t.exit(now, protocol.ExitBusy, false)
		return
	}
	j := w.p.job(ref)
	if j != nil && !w.admit(now, t, j) {
		return
	}
	ask := &wire.Message{Kind: wire.Jobs, Task: t.name, Name: w.m.Name, At: now}
	if j == nil {
		ask.Ref = ref
	}
	w.p.tell(ask)
}

// admit takes what a task needs of the machine and has its image fetched, or refuses it.
func (w *worker) admit(now int64, t *task, j *job) bool {
	if t.index >= j.spec.Tasks {
		t.exit(now, protocol.ExitUnknown, false)
		return false
	}
	used := w.used.Add(j.spec.TaskResources, 1)
	if !w.typ.Capacity.Covers(used) {
		t.exit(now, protocol.ExitFull, false)
		return false
	}
	w.used, t.job, t.left = used, j, max(j.run, 0)
	t.image = w.images.want(now, j.spec.Image, j.spec.ImageSize)
	t.image.waiters++
	w.armFetch()
	return true
}

// described takes what the supervisor says of a task.
func (w *worker) described(m *wire.Message) {
	w.locked(w.p.now(), func(now int64) {
		for _, t := range w.tasks {
			if t.name != m.Task || t.state != protocol.TaskFetching || t.told {
				continue
			}
			j := w.p.job(t.ref)
			if m.Status == 404 || j == nil {
				t.exit(now, protocol.ExitUnknown, false)
				return
			}
			if t.job == nil && !w.admit(now, t, j) {
				return
			}
			t.told, t.kept = true, m.Phase == "done"
			if m.For > 0 {
				t.left = m.For
			}
			t.safe = t.left
			t.ready(now)
			return
		}
	})
}

// armFetch looks when the next image is there.
func (w *worker) armFetch() {
	due := w.images.due()
	if due == 0 {
		return
	}
	w.later(due, func(now int64) {
		if next := w.images.due(); next == 0 || next > now {
			return // the fetches have changed, and with them the timer
		}
		list := w.images.arrived(now)
		for _, i := range list {
			for _, t := range w.tasks {
				if t.image == i && t.state == protocol.TaskFetching {
					t.fetched = now - t.began
					t.ready(now)
				}
			}
		}
		w.armFetch()
	})
}

// append writes a report; the tasks are written anew only if they have changed.
func (w *worker) append(b []byte) []byte {
	w.tick++
	if w.stale {
		w.stale = false
		w.list = appendTasks(w.list[:0], w.tasks)
	}
	b = append(b, w.head...)
	b = strconv.AppendUint(b, w.session, 10)
	b = strconv.AppendUint(append(b, `,"tick":`...), w.tick, 10)
	b = strconv.AppendUint(append(b, `,"epoch":`...), w.epoch, 10)
	b = append(b, `,"reclaimInS":null,"shards":[`...)
	b = append(b, w.list...)
	return append(b, "]}"...)
}

// reportHead is what all reports of a machine begin with.
func reportHead(m *wire.Machine) string {
	b := protocol.AppendQuoted([]byte(`{"host":`), m.Name)
	b = protocol.AppendQuoted(append(b, `,"addr":`...), m.Public)
	b = protocol.AppendQuoted(append(b, `,"flavor":`...), m.Type)
	b = protocol.AppendQuoted(append(b, `,"region":`...), m.Zone)
	b = strconv.AppendBool(append(b, `,"reclaimable":`...), m.Spot)
	return string(append(b, `,"tenure":`...))
}

var stateNames = [...]string{protocol.TaskFetching: "fetching", protocol.TaskWaiting: "waiting", protocol.TaskRunning: "running", protocol.TaskCheckpointing: "saving", protocol.TaskExited: "exited"}

func appendTasks(b []byte, tasks []*task) []byte {
	for i, t := range tasks {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, `{"shard":"`...), t.ref...), '/')
		b = strconv.AppendInt(b, int64(t.index), 10)
		b = strconv.AppendUint(append(b, `","try":`...), t.try, 10)
		b = append(append(append(b, `,"phase":"`...), stateNames[t.state]...), '"')
		if t.state == protocol.TaskExited {
			b = append(append(append(b, `,"exitReason":"`...), t.reason...), '"')
			if t.saved {
				b = append(b, `,"saved":true`...)
			}
		}
		b = append(b, '}')
	}
	return b
}

// handle answers what controllers ask of the worker directly.
func (w *worker) handle(c *httpconn.Conn, r *transport.Request) (int, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.standsStill()
	if w.gone {
		return 0, nil
	}
	c.Traffic = &w.p.status
	switch {
	case r.Method == "GET" && r.Path == "/status":
		return 200, w.append(nil)
	case r.Method == "POST" && r.Path == "/commands":
		c.Traffic = &w.p.commands
		parser := protocol.Parsers.Get()
		defer protocol.Parsers.Put(parser)
		v, err := parser.ParseBytes(r.Body)
		if err != nil || v.Get("epoch") == nil || v.Get("tenure") == nil {
			return 400, []byte(`{"error":"epoch and tenure are needed"}`)
		}
		token := v.GetUint64("epoch")
		if token < w.epoch || v.GetUint64("tenure") != w.session {
			return 409, w.append(nil)
		}
		now := w.p.now()
		if token > w.epoch {
			w.sees(now, token)
			w.arm(now)
		}
		for _, c := range v.GetArray("orders") {
			w.execute(now, string(c.GetStringBytes("verb")), string(c.GetStringBytes("shard")), c.GetUint64("try"), c.GetFloat64("drainS"))
		}
		return 200, w.append(nil)
	}
	return 404, []byte(`{"error":"unknown"}`)
}
