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
	name, typ, zone    string
	spot               bool
	rentedAt, bootEnds micros
	phase              string          // booting, running, failed, or gone once released
	answersLost        bool            // answers to its heartbeats and to direct commands are lost
	leaseRenewed       bool            // a controller outside the simulation renews the worker's lease
	hung               bool            // the worker does nothing; direct commands wait until it resumes
	inboundCut         bool            // heartbeats arrive; answers to them and direct commands are lost
	outboundCut        bool            // the worker can't connect to controllers; direct commands reach it
	failsTasks         bool            // every task on the machine fails
	unreachableNodes   map[string]bool // controllers that can't exchange messages with the worker
	holdReports        bool            // heartbeats are held on the way
	heldReports        []func()
	holdCalls          bool     // direct commands are held on the way
	heldCalls          []func() // direct commands that are delivered later
	nodeIndex          int      // controller that gets the next heartbeat
	session, reportSeq uint64
	epoch              uint64
	leaseStart         micros
	inFlight           bool // a heartbeat has been sent and is neither answered nor timed out
	nextReport         micros
	stateChanged       bool              // the next heartbeat is due early
	images             map[string]micros // time from which each image is on the machine
	tasks              map[string]*runningTask
	sortedTasks        []*runningTask // tasks, sorted by key; nil if they have to be sorted again
}

// runningTask is an attempt to run a task on a machine.
type runningTask struct {
	job               *userJob
	index             int
	attempt           uint64
	state, exitReason string
	checkpointed      bool
	imageReady, ends  micros
	started           micros
	onMachine         bool // the task occupies the machine: it has started and not exited
}

// sorted returns the tasks of a machine, sorted by key.
func (m *machine) sorted() []*runningTask {
	if len(m.sortedTasks) == len(m.tasks) {
		return m.sortedTasks
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
	m.sortedTasks = list
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

// report returns the body of the next heartbeat of a worker.
func (w *World) report(m *machine) string {
	m.reportSeq++
	b := make([]byte, 0, 200+90*len(m.tasks))
	text := func(name, value string) { b = append(append(append(append(b, name...), '"'), value...), '"') }
	text(`{"host":`, m.name)
	text(`,"addr":`, w.workerAddr(m))
	text(`,"flavor":`, m.typ)
	text(`,"region":`, m.zone)
	b = strconv.AppendBool(append(b, `,"reclaimable":`...), m.spot)
	b = strconv.AppendUint(append(b, `,"tenure":`...), m.session, 10)
	b = strconv.AppendUint(append(b, `,"tick":`...), m.reportSeq, 10)
	b = strconv.AppendUint(append(b, `,"epoch":`...), m.epoch, 10)
	b = append(b, `,"reclaimInS":null,"shards":[`...)
	for i, t := range m.sorted() {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, `{"shard":"`...), t.job.spec.Ref...), '/')
		b = strconv.AppendInt(b, int64(t.index), 10)
		b = strconv.AppendUint(append(b, `","try":`...), t.attempt, 10)
		text(`,"phase":`, t.state)
		if t.state == "exited" {
			text(`,"exitReason":`, t.exitReason)
			b = strconv.AppendBool(append(b, `,"saved":`...), t.checkpointed)
		}
		b = append(b, '}')
	}
	w.largestReport = max(w.largestReport, len(b)+len("]}"))
	return string(append(b, "]}"...))
}

// workerAddr returns the address of a machine's worker.
func (w *World) workerAddr(m *machine) string {
	if w.live != nil {
		return w.live.ipOf(m) + ":9000"
	}
	return m.name + ":9000"
}

// nodeNames lists the controllers that workers are configured with.
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

// tickMachine advances a machine to the current time: it finishes booting, its worker drops all
// tasks once the lease has expired, the tasks proceed, and a heartbeat is sent if one is due.
func (w *World) tickMachine(m *machine) {
	if m.phase == "booting" && m.bootEnds <= w.now {
		m.phase, m.session, m.leaseStart = "running", 1, w.now
	}
	if m.phase != "running" {
		return
	}
	lease := w.Platform.WorkerLease
	if m.leaseRenewed {
		m.leaseStart = w.now
	}
	if w.now > m.leaseStart+lease { // also a machine that hangs loses its tasks
		for _, t := range m.sorted() {
			w.taskStopped(m, t)
		}
		m.tasks, m.sortedTasks = map[string]*runningTask{}, nil
		m.session++
		m.reportSeq = 0
		m.leaseStart = w.now
	}
	if m.hung {
		return
	}
	for _, t := range m.sorted() {
		w.tickTask(m, t)
	}
	if !m.inFlight && (w.now >= m.nextReport || m.stateChanged && w.now >= m.nextReport-w.Platform.HeartbeatInterval+protocol.Second/2) {
		w.sendReport(m)
	}
}

// tickTask advances a task to the current time.
func (w *World) tickTask(m *machine, t *runningTask) {
	switch t.state {
	case "fetching":
		if w.now < t.imageReady {
			return
		}
		m.images[t.job.spec.Image] = 0
		w.taskStarted(m, t)
		m.stateChanged = true
		if t.job.results[t.index] {
			w.exitTask(m, t, "done")
			return
		}
		if t.job.fails || m.failsTasks {
			w.exitTask(m, t, "error")
			return
		}
		if t.job.spec.Kind == protocol.Gang {
			t.state, t.started = "waiting", w.now
			w.startGangIfComplete(t.job, t.attempt)
			return
		}
		t.state, t.started, t.ends = "running", w.now, w.now+t.job.run
		if w.live != nil && t.job.spec.Kind == protocol.Service {
			w.live.startInstance(m, t)
		}
	case "waiting":
		if w.now > t.started+w.Platform.GangWaitTimeout {
			w.exitTask(m, t, "incomplete")
		}
	case "running":
		if t.job.spec.Kind == protocol.Gang && !w.gangComplete(t.job, t.attempt) {
			w.exitTask(m, t, "peers")
			return
		}
		if b := w.behaviourOf(t.job.spec.Image); t.job.spec.Kind == protocol.Service && b.what == "crashes" && w.now-t.started >= b.after {
			w.exitTask(m, t, "error")
			return
		}
		if t.job.spec.Kind != protocol.Service && w.now >= t.ends {
			if t.job.spec.Kind == protocol.Gang {
				for i := range t.job.results {
					t.job.results[i] = true
				}
			}
			t.job.results[t.index] = true
			w.exitTask(m, t, "done")
		}
	}
}

// tasksOfAttempt returns the tasks of an attempt that occupy a machine, and their machines.
func (w *World) tasksOfAttempt(j *userJob, attempt uint64) (list []*runningTask, hosts []*machine) {
	for _, m := range w.sortedMachines() {
		for _, t := range m.tasks {
			if t.job == j && t.attempt == attempt && t.onMachine {
				list, hosts = append(list, t), append(hosts, m)
			}
		}
	}
	return list, hosts
}

// startGangIfComplete starts the tasks of a gang once all of them wait on their machines.
func (w *World) startGangIfComplete(j *userJob, attempt uint64) {
	list, hosts := w.tasksOfAttempt(j, attempt)
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
		hosts[i].stateChanged = true
	}
}

// gangComplete reports whether all tasks of a gang are on their machines, or one has completed.
func (w *World) gangComplete(j *userJob, attempt uint64) bool {
	list, _ := w.tasksOfAttempt(j, attempt)
	for i := range j.results {
		if j.results[i] {
			return true
		}
	}
	return len(list) == j.spec.Tasks
}

// taskStarted records that a task occupies its machine and checks the rules for its start:
// placement, that it runs nowhere else, the limit of its team, and that its job is not cancelled.
func (w *World) taskStarted(m *machine, t *runningTask) {
	t.onMachine = true
	w.started++
	spec := t.job.spec
	name := fmt.Sprintf("%s/%d", spec.Ref, t.index)
	w.note("%s starts on %s", name, m.name)
	w.checkDependenciesDone(t.job, name)
	typ := w.typeOf(m)
	if !spec.AllowsType(m.typ) || spec.Zone != "" && spec.Zone != m.zone || m.spot && !spec.AllowSpot || !typ.Capacity.Covers(spec.TaskResources) {
		w.reportViolation("wrong_place: %s on %s", name, m.name)
	}
	zones := map[string]int{}
	var used protocol.Resources
	for _, other := range w.sortedMachines() {
		for _, running := range other.tasks {
			if !running.onMachine {
				continue
			}
			if running != t && running.job == t.job && running.index == t.index {
				w.reportViolation("ran_twice: %s on %s and %s", name, m.name, other.name)
			}
			if running.job == t.job {
				zones[other.zone]++
			}
			if running.job.spec.Team == spec.Team {
				used = used.Add(running.job.spec.TaskResources, 1)
			}
		}
	}
	if spec.SingleZone && len(zones) > 1 {
		w.reportViolation("wrong_place: %s is not with the others", name)
	}
	if spec.SpreadZones && zones[m.zone] > (spec.Tasks+1)/2 {
		w.reportViolation("wrong_place: %s, too many in zone %s", name, m.zone)
	}
	limit := w.Platform.Teams[spec.Team].Limit
	if limit.GPU > 0 && used.GPU > limit.GPU || limit.CPU > 0 && used.CPU > limit.CPU {
		w.reportViolation("quota: %s with %s", spec.Team, name)
	}
	w.checkStartAfterCancel(t)
	if t.job.cancelReportedAt > 0 && w.now > t.job.cancelReportedAt+w.Platform.CancelTimeout {
		w.reportViolation("ran_cancelled: %s", name)
	}
	w.checkStart("starts", m, t)
}

// taskStopped records that a task no longer occupies its machine.
func (w *World) taskStopped(m *machine, t *runningTask) {
	if t.onMachine {
		t.onMachine = false
		if w.live != nil {
			w.live.stopInstance(m, t)
		}
		w.note("%s leaves %s", fmt.Sprintf("%s/%d", t.job.spec.Ref, t.index), m.name)
	}
}

// exitTask ends a task with an exit reason.
func (w *World) exitTask(m *machine, t *runningTask, reason string) {
	w.taskStopped(m, t)
	if reason == "done" {
		w.jobEnded(t.job)
	}
	t.state, t.exitReason = "exited", reason
	m.stateChanged = true
}

// sendReport sends a heartbeat to the controller at nodeIndex. If no answer arrives within 4 s, the
// worker tries the next controller a second later.
func (w *World) sendReport(m *machine) {
	m.inFlight, m.stateChanged = true, false
	sent := w.now
	m.nextReport = w.now + w.Platform.HeartbeatInterval
	body := w.report(m)
	w.keepReport(body)
	session := m.session
	answered := false
	fail := func() {
		if !answered {
			answered = true
			m.inFlight = false
			m.nodeIndex++
			m.nextReport = w.now + protocol.Second
		}
	}
	if w.live != nil { // the controllers are real processes
		w.live.openWorker(m)
		w.live.sendHeartbeat(m.nodeIndex, body, func(status int, resp []byte) {
			if m.answersLost || m.hung || answered || m.phase != "running" {
				return
			}
			answered = true
			m.inFlight = false
			w.handleHeartbeatReply(m, session, sent, status, resp)
		})
		w.live.copyRequest(func() { w.live.sendHeartbeat(m.nodeIndex, body, func(int, []byte) {}) })
		w.after(4*protocol.Second, fail)
		return
	}
	if m.outboundCut {
		w.failToConnect(m)
		return
	}
	node := w.nodes[m.nodeIndex%len(w.nodes)]
	deliver := func() {
		if node.workersUnreachable || m.unreachableNodes[node.name] {
			return
		}
		if !node.alive || node.cut {
			w.after(w.delay(), fail)
			return
		}
		w.request(node, "hello", body, func(status int, resp []byte) {
			// An answer that another node passes on is checked at the leader that made it.
			if node.ctl.Role() == controller.RoleLeader {
				w.checkCommands(m, resp)
			}
			if m.answersLost || m.hung || m.inboundCut {
				return // the answer is lost
			}
			w.after(w.delay(), func() {
				w.deliverAcrossZones(node.zone, m.zone, func() {
					if answered || m.phase != "running" {
						return
					}
					answered = true
					m.inFlight = false
					w.handleHeartbeatReply(m, session, sent, status, resp)
				})
			})
		})
	}
	send := func() { w.deliverAcrossZones(m.zone, node.zone, deliver) }
	if copied, delay := w.lateReports.next(true, body); copied && w.lateReports.forNext {
		w.keepForNext(body)
	} else if copied {
		toLeader := w.lateReports.toLeader
		w.after(delay, func() { w.copyReport(node, toLeader, body) })
	}
	w.copyHeartbeat(node, body)
	if m.holdReports {
		m.heldReports = append(m.heldReports, send)
	} else {
		w.after(w.delay(), send)
	}
	w.after(4*protocol.Second, fail)
}

// handleHeartbeatReply handles the answer to a heartbeat: it turns to the leader that a redirect
// names, or to the next controller on failure, or renews the lease and executes the commands.
func (w *World) handleHeartbeatReply(m *machine, session uint64, sent micros, status int, resp []byte) {
	if status == 421 {
		leader := fastjson.GetString(resp, "leader")
		names := w.nodeNames()
		for i, name := range names {
			if name == leader && i != m.nodeIndex%len(names) {
				m.nodeIndex = i
				m.nextReport = w.now + 100*protocol.Millisecond
				return
			}
		}
	}
	if status != 200 {
		m.nodeIndex++
		m.nextReport = w.now + protocol.Second
		return
	}
	epoch := uint64(fastjson.GetInt(resp, "epoch"))
	if epoch < m.epoch || epoch == 0 || session != m.session {
		return
	}
	if epoch > m.epoch {
		m.epoch = epoch
		m.stateChanged = true
	}
	m.leaseStart = sent
	w.executeCommands(m, resp)
}

// callWorker delivers a direct command to a worker. A machine that hangs executes it when it
// resumes, if the epoch is not older than the worker's and the tenure is still that of its session.
func (w *World) callWorker(m *machine, c controller.Call, reply func(int, string)) {
	if m.phase != "running" {
		return
	}
	serve := func() {
		if m.phase != "running" {
			return // the machine failed or was released while the call was held
		}
		if c.Path == "/status" {
			reply(200, w.report(m))
			return
		}
		p := protocol.Parsers.Get()
		defer protocol.Parsers.Put(p)
		v, err := p.ParseBytes(c.Body)
		if err != nil {
			w.reportViolation("malformed commands: %v", err)
			return
		}
		status := 409
		if v.GetUint64("epoch") >= m.epoch && v.GetUint64("tenure") == m.session {
			status, m.epoch = 200, v.GetUint64("epoch")
			w.executeCommands(m, c.Body)
		}
		report := w.report(m)
		if !m.answersLost {
			reply(status, report)
		}
	}
	if m.hung || m.holdCalls {
		m.heldCalls = append(m.heldCalls, serve)
		return
	}
	serve()
}

// executeCommands carries out the commands of a heartbeat answer or of a direct command. Launch,
// stop and forget are idempotent.
func (w *World) executeCommands(m *machine, body []byte) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(body)
	if err != nil {
		w.reportViolation("malformed commands: %v", err)
		return
	}
	for _, c := range v.GetArray("orders") {
		ref, indexText, _ := strings.Cut(string(c.GetStringBytes("shard")), "/")
		index, _ := strconv.Atoi(indexText)
		attempt := c.GetUint64("try")
		j := w.findJob(ref)
		key := fmt.Sprintf("%s/%d#%d", ref, index, attempt)
		t := m.tasks[key]
		switch string(c.GetStringBytes("verb")) {
		case "launch":
			if t != nil || j == nil {
				continue
			}
			w.launchTask(m, j, index, attempt, key)
		case "stop":
			if t != nil && t.state != "exited" {
				t.checkpointed = j.spec.CanCheckpoint()
				w.exitTask(m, t, "stopped")
			}
		case "forget":
			if t != nil && t.state == "exited" {
				delete(m.tasks, key)
				m.sortedTasks = nil
				m.stateChanged = true
			}
		}
	}
}

// launchTask adds a task to a machine. It exits at once as busy if another attempt of it is there,
// or as full if the machine has no room; else it first fetches the image.
func (w *World) launchTask(m *machine, j *userJob, index int, attempt uint64, key string) {
	t := &runningTask{job: j, index: index, attempt: attempt, state: "fetching"}
	w.checkStart("is launched", m, t)
	j.launches++
	m.tasks[key], m.sortedTasks = t, nil
	m.stateChanged = true
	var used protocol.Resources
	for _, other := range m.tasks {
		if other.state != "exited" {
			used = used.Add(other.job.spec.TaskResources, 1)
		}
		if other != t && other.job == j && other.index == index && other.state != "exited" {
			t.state, t.exitReason = "exited", "busy"
			return
		}
	}
	if !w.typeOf(m).Capacity.Covers(used) {
		t.state, t.exitReason = "exited", "full"
		return
	}
	t.imageReady = w.now
	if ready, ok := m.images[j.spec.Image]; ok {
		t.imageReady = max(t.imageReady, ready)
	} else {
		t.imageReady += w.typeOf(m).FetchTime(j.spec.ImageSize)
		m.images[j.spec.Image] = t.imageReady
	}
}

// serveCloud carries out one request to the cloud.
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
			if w.now-m.rentedAt < w.listLag {
				continue
			}
			if b.Len() > len(`{"hosts":[`) {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"ref":%q,"addr":%q,"flavor":%q,"region":%q,"reclaimable":%t,"phase":%q,"heldS":%g}`,
				m.name, w.workerAddr(m), m.typ, m.zone, m.spot, m.phase, (w.now - m.rentedAt).Seconds())
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
			w.reportViolation("%d machines asked for at once", count)
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
			m := w.addMachine(fmt.Sprintf("n-%06d", 500000+len(w.machines)+w.released), fastjson.GetString(body, "flavor"), fastjson.GetString(body, "region"),
				fastjson.GetBool(body, "reclaimable"))
			m.phase, m.bootEnds = "booting", w.now+micros(float64(w.typeOf(m).BootTime)*w.bootFactor)
			if w.bootFactor == 0 {
				m.bootEnds = protocol.Forever
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
					w.taskStopped(m, t)
				}
				m.phase = "gone"
				delete(w.machines, name)
				w.sortedByName = nil
				w.released++
				w.note("%s is released", name)
			}
		}
		return 200, `{}`
	}
	return 400, `{}`
}
