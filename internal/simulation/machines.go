package simulation

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

// machine is a rented machine with its worker.
type machine struct {
	name, typ, zone string
	spot            bool
	rented, up      micros
	phase           string // booting, running, failed
	slow            bool   // answers of the controllers come too late
	answered        bool   // somebody that no test sees renews its lease
	hung            bool
	deaf            bool            // its reports arrive; answers to them and direct commands are lost
	mute            bool            // it reaches no controller; direct commands reach it
	spoilt          bool            // every task on it fails
	apart           map[string]bool // controllers that it can't reach, nor they it
	held            bool            // reports are held back on the way
	heldReports     []func()
	holdCalls       bool
	heldCalls       []func() // direct commands that come once it goes on
	node            int
	session, tick   uint64
	epoch           uint64
	leaseFrom       micros
	inFlight        bool
	next            micros
	changed         bool
	images          map[string]micros
	tasks           map[string]*runningTask
	inOrder         []*runningTask // by key, nil: to be put in order
}

// runningTask is an attempt on a machine.
type runningTask struct {
	job           *userJob
	index         int
	try           uint64
	state, reason string
	saved         bool
	ready, ends   micros
	started       micros
	on            bool
}

func (m *machine) sorted() []*runningTask {
	if len(m.inOrder) == len(m.tasks) {
		return m.inOrder
	}
	keys := make([]string, 0, len(m.tasks))
	for k := range m.tasks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	list := make([]*runningTask, len(keys))
	for i, k := range keys {
		list[i] = m.tasks[k]
	}
	m.inOrder = list
	return list
}

func (w *World) typeOf(m *machine) *protocol.MachineType {
	for _, t := range w.Types {
		if t.Name == m.typ {
			return t
		}
	}
	return nil
}

func (w *World) report(m *machine) string {
	m.tick++
	b := make([]byte, 0, 200+90*len(m.tasks))
	text := func(name, value string) { b = append(append(append(append(b, name...), '"'), value...), '"') }
	text(`{"host":`, m.name)
	text(`,"addr":`, w.workerAddr(m))
	text(`,"flavor":`, m.typ)
	text(`,"region":`, m.zone)
	b = strconv.AppendBool(append(b, `,"reclaimable":`...), m.spot)
	b = strconv.AppendUint(append(b, `,"tenure":`...), m.session, 10)
	b = strconv.AppendUint(append(b, `,"tick":`...), m.tick, 10)
	b = strconv.AppendUint(append(b, `,"epoch":`...), m.epoch, 10)
	b = append(b, `,"reclaimInS":null,"shards":[`...)
	for i, t := range m.sorted() {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, `{"shard":"`...), t.job.spec.Ref...), '/')
		b = strconv.AppendInt(b, int64(t.index), 10)
		b = strconv.AppendUint(append(b, `","try":`...), t.try, 10)
		text(`,"phase":`, t.state)
		if t.state == "exited" {
			text(`,"exitReason":`, t.reason)
			b = strconv.AppendBool(append(b, `,"saved":`...), t.saved)
		}
		b = append(b, '}')
	}
	return string(append(b, "]}"...))
}

// workerAddr is where a machine's worker is reached.
func (w *World) workerAddr(m *machine) string {
	if w.live != nil {
		return w.live.ipOf(m) + ":9000"
	}
	return m.name + ":9000"
}

// nodeNames lists the controllers that workers know.
func (w *World) nodeNames() []string {
	if w.live != nil {
		return w.live.names
	}
	names := make([]string, len(w.nodes))
	for i, n := range w.nodes {
		names[i] = n.name
	}
	return names
}

// tickMachine does what is due on one machine.
func (w *World) tickMachine(m *machine) {
	if m.phase == "booting" && m.up <= w.now {
		m.phase, m.session, m.leaseFrom = "running", 1, w.now
	}
	if m.phase != "running" {
		return
	}
	lease := w.Platform.WorkerLease
	if m.answered {
		m.leaseFrom = w.now
	}
	if w.now > m.leaseFrom+lease { // a machine that hangs can't go on with its tasks after this
		for _, t := range m.sorted() {
			w.leave(m, t)
		}
		m.tasks, m.inOrder = map[string]*runningTask{}, nil
		m.session++
		m.tick = 0
		m.leaseFrom = w.now
	}
	if m.hung {
		return
	}
	for _, t := range m.sorted() {
		w.tickTask(m, t)
	}
	if !m.inFlight && (w.now >= m.next || m.changed && w.now >= m.next-w.Platform.HeartbeatInterval+protocol.Second/2) {
		w.sendReport(m)
	}
}

func (w *World) tickTask(m *machine, t *runningTask) {
	switch t.state {
	case "fetching":
		if w.now < t.ready {
			return
		}
		m.images[t.job.spec.Image] = 0
		w.enter(m, t)
		m.changed = true
		if t.job.results[t.index] {
			w.exit(m, t, "done")
			return
		}
		if t.job.fails || m.spoilt {
			w.exit(m, t, "error")
			return
		}
		if t.job.spec.Kind == protocol.Gang {
			t.state, t.started = "waiting", w.now
			w.tryGang(t.job, t.try)
			return
		}
		t.state, t.started, t.ends = "running", w.now, w.now+t.job.run
		if w.live != nil && t.job.spec.Kind == protocol.Service {
			w.live.run(m, t)
		}
	case "waiting":
		if w.now > t.started+w.Platform.GangWaitTimeout {
			w.exit(m, t, "incomplete")
		}
	case "running":
		if t.job.spec.Kind == protocol.Gang && !w.gangWhole(t.job, t.try) {
			w.exit(m, t, "peers")
			return
		}
		if b := w.behaviourOf(t.job.spec.Image); t.job.spec.Kind == protocol.Service && b.what == "crashes" && w.now-t.started >= b.after {
			w.exit(m, t, "error")
			return
		}
		if t.job.spec.Kind != protocol.Service && w.now >= t.ends {
			if t.job.spec.Kind == protocol.Gang {
				for i := range t.job.results {
					t.job.results[i] = true
				}
			}
			t.job.results[t.index] = true
			w.exit(m, t, "done")
		}
	}
}

func (w *World) attemptsOf(j *userJob, try uint64) (list []*runningTask, hosts []*machine) {
	for _, m := range w.sortedMachines() {
		for _, t := range m.tasks {
			if t.job == j && t.try == try && t.on {
				list, hosts = append(list, t), append(hosts, m)
			}
		}
	}
	return list, hosts
}

func (w *World) tryGang(j *userJob, try uint64) {
	list, hosts := w.attemptsOf(j, try)
	waiting := 0
	for _, t := range list {
		if t.state == "waiting" {
			waiting++
		}
	}
	if waiting < j.spec.Tasks {
		return
	}
	for i, t := range list {
		t.state, t.ends = "running", w.now+j.run
		hosts[i].changed = true
	}
}

func (w *World) gangWhole(j *userJob, try uint64) bool {
	list, _ := w.attemptsOf(j, try)
	for i := range j.results {
		if j.results[i] {
			return true
		}
	}
	return len(list) == j.spec.Tasks
}

// enter notes that a task is on its machine, and checks the rules for it.
func (w *World) enter(m *machine, t *runningTask) {
	t.on = true
	w.started++
	s := t.job.spec
	name := fmt.Sprintf("%s/%d", s.Ref, t.index)
	w.note("%s starts on %s", name, m.name)
	w.checkEarly(t.job, name)
	typ := w.typeOf(m)
	if !s.AllowsType(m.typ) || s.Zone != "" && s.Zone != m.zone || m.spot && !s.AllowSpot || !typ.Capacity.Covers(s.TaskResources) {
		w.broken("wrong_place: %s on %s", name, m.name)
	}
	zones := map[string]int{}
	var used protocol.Resources
	for _, o := range w.sortedMachines() {
		for _, x := range o.tasks {
			if !x.on {
				continue
			}
			if x != t && x.job == t.job && x.index == t.index {
				w.broken("ran_twice: %s on %s and %s", name, m.name, o.name)
			}
			if x.job == t.job {
				zones[o.zone]++
			}
			if x.job.spec.Team == s.Team {
				used = used.Add(x.job.spec.TaskResources, 1)
			}
		}
	}
	if s.SingleZone && len(zones) > 1 {
		w.broken("wrong_place: %s is not with the others", name)
	}
	if s.SpreadZones && zones[m.zone] > (s.Tasks+1)/2 {
		w.broken("wrong_place: %s, too many in zone %s", name, m.zone)
	}
	limit := w.Platform.Teams[s.Team].Limit
	if limit.GPU > 0 && used.GPU > limit.GPU || limit.CPU > 0 && used.CPU > limit.CPU {
		w.broken("quota: %s with %s", s.Team, name)
	}
	w.startsCancelled(t)
	if t.job.toldCancelled > 0 && w.now > t.job.toldCancelled+w.Platform.CancelTimeout {
		w.broken("ran_cancelled: %s", name)
	}
	w.checkStart("starts", m, t)
}

func (w *World) leave(m *machine, t *runningTask) {
	if t.on {
		t.on = false
		if w.live != nil {
			w.live.leave(m, t)
		}
		w.note("%s leaves %s", fmt.Sprintf("%s/%d", t.job.spec.Ref, t.index), m.name)
	}
}

func (w *World) exit(m *machine, t *runningTask, why string) {
	w.leave(m, t)
	if why == "done" {
		w.jobEnded(t.job)
	}
	t.state, t.reason = "exited", why
	m.changed = true
}

func (w *World) sendReport(m *machine) {
	m.inFlight, m.changed = true, false
	sent := w.now
	m.next = w.now + w.Platform.HeartbeatInterval
	body := w.report(m)
	w.keepReport(body)
	session := m.session
	answered := false
	fail := func() {
		if !answered {
			answered = true
			m.inFlight = false
			m.node++
			m.next = w.now + protocol.Second
		}
	}
	if w.live != nil { // controllers are processes
		w.live.openWorker(m)
		w.live.hello(m.node, body, func(status int, resp []byte) {
			if m.slow || m.hung || answered || m.phase != "running" {
				return
			}
			answered = true
			m.inFlight = false
			w.tookAnswer(m, session, sent, status, resp)
		})
		w.after(4*protocol.Second, fail)
		return
	}
	if m.mute {
		w.tryInVain(m)
		return
	}
	node := w.nodes[m.node%len(w.nodes)]
	deliver := func() {
		if node.deaf || m.apart[node.name] {
			return
		}
		if !node.alive || node.cut {
			w.after(w.delay(), fail)
			return
		}
		w.request(node, "hello", body, func(status int, resp []byte) {
			if node.ctl.Role() == controller.RoleLeader { // passed on, it is looked at where it is made
				w.sends(m, resp)
			}
			if m.slow || m.hung || m.deaf {
				return // lost on the way
			}
			w.after(w.delay(), func() {
				w.cross(node.zone, m.zone, func() {
					if answered || m.phase != "running" {
						return
					}
					answered = true
					m.inFlight = false
					w.tookAnswer(m, session, sent, status, resp)
				})
			})
		})
	}
	reach := func() { w.cross(m.zone, node.zone, deliver) }
	if late, by := w.lateReports.next(true, body); late && w.lateReports.forNext {
		w.keepForNext(body)
	} else if late {
		anywhere := w.lateReports.anywhere
		w.after(by, func() { w.copyReport(node, anywhere, body) })
	}
	if m.held {
		m.heldReports = append(m.heldReports, reach)
	} else {
		w.after(w.delay(), reach)
	}
	w.after(4*protocol.Second, fail)
}

func (w *World) tookAnswer(m *machine, session uint64, sent micros, status int, resp []byte) {
	if status == 421 {
		leader := fastjson.GetString(resp, "leader")
		names := w.nodeNames()
		for i, name := range names {
			if name == leader && i != m.node%len(names) {
				m.node = i
				m.next = w.now + 100*protocol.Millisecond
				return
			}
		}
	}
	if status != 200 {
		m.node++
		m.next = w.now + protocol.Second
		return
	}
	epoch := uint64(fastjson.GetInt(resp, "epoch"))
	if epoch < m.epoch || epoch == 0 || session != m.session {
		return
	}
	if epoch > m.epoch {
		m.epoch = epoch
		m.changed = true
	}
	m.leaseFrom = sent
	w.execute(m, resp)
}

// callWorker hands a direct command to a worker. A machine that hangs executes
// it when it goes on, if token and session still match.
func (w *World) callWorker(m *machine, c controller.Call, back func(int, string)) {
	if m.phase != "running" {
		return
	}
	serve := func() {
		if m.phase != "running" {
			return // it was released while the call was held
		}
		if c.Path == "/status" {
			back(200, w.report(m))
			return
		}
		p := protocol.Parsers.Get()
		defer protocol.Parsers.Put(p)
		v, err := p.ParseBytes(c.Body)
		if err != nil {
			w.broken("malformed commands: %v", err)
			return
		}
		status := 409
		if v.GetUint64("epoch") >= m.epoch && v.GetUint64("tenure") == m.session {
			status, m.epoch = 200, v.GetUint64("epoch")
			w.execute(m, c.Body)
		}
		report := w.report(m)
		if !m.slow {
			back(status, report)
		}
	}
	if m.hung || m.holdCalls {
		m.heldCalls = append(m.heldCalls, serve)
		return
	}
	serve()
}

// execute carries out commands.
func (w *World) execute(m *machine, body []byte) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(body)
	if err != nil {
		w.broken("malformed commands: %v", err)
		return
	}
	for _, c := range v.GetArray("orders") {
		ref, idx, _ := strings.Cut(string(c.GetStringBytes("shard")), "/")
		index, _ := strconv.Atoi(idx)
		try := c.GetUint64("try")
		j := w.describe(ref)
		key := fmt.Sprintf("%s/%d#%d", ref, index, try)
		t := m.tasks[key]
		switch string(c.GetStringBytes("verb")) {
		case "launch":
			if t != nil || j == nil {
				continue
			}
			w.launch(m, j, index, try, key)
		case "stop":
			if t != nil && t.state != "exited" {
				t.saved = j.spec.CanCheckpoint()
				w.exit(m, t, "stopped")
			}
		case "forget":
			if t != nil && t.state == "exited" {
				delete(m.tasks, key)
				m.inOrder = nil
				m.changed = true
			}
		}
	}
}

func (w *World) launch(m *machine, j *userJob, index int, try uint64, key string) {
	t := &runningTask{job: j, index: index, try: try, state: "fetching"}
	w.checkStart("is launched", m, t)
	j.tries++
	m.tasks[key], m.inOrder = t, nil
	m.changed = true
	var used protocol.Resources
	for _, x := range m.tasks {
		if x.state != "exited" {
			used = used.Add(x.job.spec.TaskResources, 1)
		}
		if x != t && x.job == j && x.index == index && x.state != "exited" {
			t.state, t.reason = "exited", "busy"
			return
		}
	}
	if !w.typeOf(m).Capacity.Covers(used) {
		t.state, t.reason = "exited", "full"
		return
	}
	t.ready = w.now
	if ready, ok := m.images[j.spec.Image]; ok {
		t.ready = max(t.ready, ready)
	} else {
		t.ready += w.typeOf(m).FetchTime(j.spec.ImageSize)
		m.images[j.spec.Image] = t.ready
	}
}

// serveCloud answers one request to the cloud.
func (w *World) serveCloud(method, target string, body []byte) (int, string) {
	if w.cloudDown {
		return 503, `{"error":"trouble"}`
	}
	path, _, _ := strings.Cut(target, "?")
	switch {
	case path == "/machine_types":
		return 200, string(protocol.AppendMachineTypes(nil, w.Types))
	case path == "/machines" && method == "GET":
		var b strings.Builder
		b.WriteString(`{"hosts":[`)
		for _, m := range w.sortedMachines() {
			if w.now-m.rented < w.listLag {
				continue
			}
			if b.Len() > len(`{"hosts":[`) {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"ref":%q,"addr":%q,"flavor":%q,"region":%q,"reclaimable":%t,"phase":%q,"heldS":%g}`,
				m.name, w.workerAddr(m), m.typ, m.zone, m.spot, m.phase, (w.now - m.rented).Seconds())
		}
		b.WriteString(`],"truncated":false}`)
		return 200, b.String()
	case path == "/machines":
		claim := fastjson.GetString(body, "claim")
		if old, ok := w.claims[claim]; ok {
			return 200, old
		}
		if w.noCapacity {
			return 503, `{"error":"no capacity"}`
		}
		var names []string
		count := fastjson.GetInt(body, "count")
		if count > 50 {
			w.broken("%d machines asked for at once", count)
		}
		if w.capacity != nil {
			kind := fastjson.GetString(body, "flavor") + "/" + fastjson.GetString(body, "region")
			if fastjson.GetBool(body, "reclaimable") {
				kind += "/spot"
			}
			if count = min(count, w.capacity[kind]); count == 0 {
				w.note("none left of %s", kind)
				return 503, `{"error":"no capacity"}`
			}
			w.capacity[kind] -= count
		}
		for range count {
			m := w.addMachine(fmt.Sprintf("n-%06d", 500000+len(w.machines)+w.removed), fastjson.GetString(body, "flavor"), fastjson.GetString(body, "region"),
				fastjson.GetBool(body, "reclaimable"))
			m.phase, m.up = "booting", w.now+micros(float64(w.typeOf(m).BootTime)*w.boots)
			if w.boots == 0 {
				m.up = protocol.Forever
			}
			names = append(names, fmt.Sprintf("%q", m.name))
		}
		w.rented += len(names)
		w.claims[claim] = `{"hosts":[` + strings.Join(names, ",") + `]}`
		return 200, w.claims[claim]
	case path == "/machines/release":
		for _, n := range fastjson.MustParseBytes(body).GetArray("hosts") {
			name := string(n.GetStringBytes())
			if m := w.machines[name]; m != nil {
				for _, t := range m.sorted() {
					w.leave(m, t)
				}
				m.phase = "gone"
				delete(w.machines, name)
				w.byName = nil
				w.removed++
				w.note("%s is released", name)
			}
		}
		return 200, `{}`
	}
	return 400, `{}`
}
