package simulation

import (
	"bufio"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"mapleslip/internal/controller"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/rollout"
	"mapleslip/internal/slo"
)

// A trace is a text that people read: what a deployment has, what happens to
// it and when, and what is expected. Lines that start with "at" or "every"
// carry an instant in seconds; the others set the scene. "#" begins a comment.
//
//	nodes 2
//	team red gpus=4 max=6
//	type small cpus=8 gpus=2 mem=64 boot=10 fetch=1 zones=a,b
//	machine n-000001 small a
//	at 2 submit req-000001 array tasks=2 run=10
//	at 9 kill leader
//	at 9 expect req-000001 running
//
// Whatever a trace expects, the rules of the protocol are checked throughout.

// RunTrace plays a trace and returns the world as it was at its end.
func RunTrace(text string, prepare func(*World)) (*World, error) {
	w := NewWorld(mostNodes)
	w.nodes = w.nodes[:3] // unless the trace says otherwise
	if prepare != nil {
		prepare(w)
	}
	err := w.play(text)
	if len(w.Broken) > 0 {
		return w, fmt.Errorf("rules broken: %s", strings.Join(w.Broken, "; "))
	}
	return w, err
}

// mostNodes is how many controllers a trace may have.
const mostNodes = 7

// play does what the lines of a trace say.
func (w *World) play(text string) error {
	started := false
	sc := bufio.NewScanner(strings.NewReader(text))
	for no := 1; sc.Scan(); no++ {
		line, _, _ := strings.Cut(sc.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		fail := func(format string, args ...any) error {
			return fmt.Errorf("line %d (%s): %s", no, strings.TrimSpace(line), fmt.Sprintf(format, args...))
		}
		if words[0] != "at" {
			if err := w.scene(words); err != nil {
				return fail("%v", err)
			}
			continue
		}
		if !started {
			w.Start()
			started = true
		}
		if len(words) < 3 {
			return fail("too short")
		}
		at, err := strconv.ParseFloat(words[1], 64)
		if err != nil {
			return fail("%v", err)
		}
		w.Run(protocol.FromSeconds(at))
		if err := w.act(words[2:]); err != nil {
			return fail("%v", err)
		}
	}
	return nil
}

// options reads words of the form name=value.
func options(words []string) map[string]string {
	o := map[string]string{}
	for _, word := range words {
		k, v, _ := strings.Cut(word, "=")
		o[k] = v
	}
	return o
}

func number(o map[string]string, name string, def float64) float64 {
	if v, err := strconv.ParseFloat(o[name], 64); err == nil {
		return v
	}
	return def
}

func thousandths(v float64) int64 { return int64(v * 1000) }

func (w *World) scene(words []string) error {
	switch words[0] {
	case "nodes":
		n, err := strconv.Atoi(words[1])
		if err != nil || n < 1 || n > cap(w.nodes) {
			return fmt.Errorf("one to %d nodes", cap(w.nodes))
		}
		w.nodes = w.nodes[:n]
		for i, zone := range words[2:] { // nodes 2 a b
			if i < n {
				w.nodes[i].zone = zone
			}
		}
	case "team":
		o := options(words[2:])
		w.Platform.Teams[words[1]] = protocol.Team{
			Name:      words[1],
			Guarantee: protocol.Resources{GPU: thousandths(number(o, "gpus", 0))}, Limit: protocol.Resources{GPU: thousandths(number(o, "max", 0))},
		}
	case "type":
		o := options(words[2:])
		w.Types = append(w.Types, &protocol.MachineType{
			Name:      words[1],
			Capacity:  protocol.Resources{CPU: thousandths(number(o, "cpus", 8)), GPU: thousandths(number(o, "gpus", 2)), Memory: thousandths(number(o, "mem", 64))},
			CacheSize: thousandths(number(o, "cache", 100)), FetchRate: number(o, "fetch", 1) / 1000, Price: number(o, "price", 1), SpotPrice: number(o, "price", 1) / 2,
			BootTime: protocol.FromSeconds(number(o, "boot", 10)), Zones: strings.Split(o["zones"], ","),
		})
	case "machine":
		m := w.addMachine(words[1], words[2], words[3], len(words) > 4 && words[4] == "spot")
		if w.typeOf(m) == nil {
			return fmt.Errorf("unknown type %s", words[2])
		}
	case "fleet": // so many machines: fleet 400 big a
		count, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		for range count {
			w.addMachine(fmt.Sprintf("n-%06d", len(w.machines)+1), words[2], words[3], false)
		}
	case "aim": // aim wait CLASS within=15
		o := options(words[3:])
		w.Platform.Objectives = append(w.Platform.Objectives, protocol.Objective{Kind: words[1], Class: words[2], Within: protocol.FromSeconds(number(o, "within", 10))})
	case "record": // is in the state service from the start: record KEY VALUE
		w.store.revision++
		w.store.set(words[1], &entry{value: words[2], stamp: w.store.revision})
	case "workers": // workers report=2.5 lease=16 cancel=46
		o := options(words[1:])
		w.Platform.HeartbeatInterval = protocol.FromSeconds(number(o, "report", w.Platform.HeartbeatInterval.Seconds()))
		w.Platform.WorkerLease = protocol.FromSeconds(number(o, "lease", w.Platform.WorkerLease.Seconds()))
		w.Platform.CancelTimeout = protocol.FromSeconds(number(o, "cancel", w.Platform.CancelTimeout.Seconds()))
	case "operator": // operator cut-keep=600: the operators' settings
		w.Operator.PartitionRetention = protocol.FromSeconds(number(options(words[1:]), "cut-keep", 0))
	case "limits": // of the state service are held: limits changes=35
		w.limited, w.Platform.StateWriteRate = true, number(options(words[1:]), "changes", 35)
	case "connections": // to other controllers are bounded: connections peers=24
		w.peerCalls = int(number(options(words[1:]), "peers", 24))
	case "capacity": // the cloud has no more than this: capacity big/a=3 big/a/spot=1
		w.capacity = make(map[string]int)
		for kind := range options(words[1:]) {
			w.capacity[kind] = int(number(options(words[1:]), kind, 0))
		}
	case "value-bytes": // that a value of the state service may take
		n, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		w.Platform.MaxValueBytes = n
	case "next":
		return w.sceneNext(words[1:])
	case "txn-changes": // that a transaction of the state service may carry
		n, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		w.Platform.MaxTxnChanges = n
	case "no-capacity":
		w.noCapacity = true
	case "changes": // of the configuration are on
		w.judgeChanges()
	case "production": // production N: so many controllers run the version in production
		return w.sceneProduction(words)
	case "rollouts": // are on
		w.rollouts = &rollout.Settings{ChecksPerS: 50, MaxInFlight: 20, MaxServices: 4}
	default:
		return fmt.Errorf("unknown word %s", words[0])
	}
	return nil
}

func (w *World) leader() *node {
	for _, n := range w.nodes {
		if r := n.ctl.Role().String(); n.alive && (r == "leading" || r == "doubtful") {
			return n
		}
	}
	return nil
}

func (w *World) nodeNamed(name string) *node {
	if name == "leader" {
		return w.leader()
	}
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *World) act(words []string) error {
	w.note("-- %s", strings.Join(words, " "))
	switch words[0] {
	case "submit":
		return w.actSubmit(words)
	case "burst": // burst COUNT FIRST KIND ...: as many jobs, numbered on from FIRST
		count, err := strconv.Atoi(words[1])
		first, err2 := strconv.Atoi(strings.TrimPrefix(words[2], "req-"))
		if err != nil || err2 != nil {
			return fmt.Errorf("burst COUNT FIRST")
		}
		for i := range count {
			if err := w.actSubmit(append([]string{"submit", fmt.Sprintf("req-%06d", first+i)}, words[3:]...)); err != nil {
				return err
			}
		}
		return nil
	case "submit-at": // the user's connection is to that node
		if w.sticky = w.nodeNamed(words[1]); w.sticky == nil {
			return fmt.Errorf("no such node")
		}
		defer func() { w.sticky = nil }()
		return w.actSubmit(words[1:])
	case "late-writes", "late-reports", "late-commands":
		return w.actLate(words)
	case "ends-on":
		return w.actEndsOn(words)
	case "in-zone", "cancel-now", "cancel-at-end", "cancel-asked", "odd-requests":
		return w.actTrouble(words)
	case "close-looks": // close-looks on|off [cancel=N]: see closelooks.go
		return w.actCloseLooks(words)
	case "look":
		return w.actLook(words)
	case "when":
		return w.actWhen(words)
	case "late-answers": // see handover.go
		return w.actLateAnswers(words)
	case "link", "unlink":
		return w.actLink(words)
	case "ask-at": // ask-at NODE REF: one question
		n := w.nodeNamed(words[1])
		if n == nil {
			return fmt.Errorf("no such node")
		}
		w.request(n, "query", words[2], func(int, []byte) {})
	case "cancel-at":
		return w.actCancelAt(words)
	case "old-reports":
		return w.actOldReports(words)
	case "lose-answers-of":
		return w.loseAnswersOf(words)
	case "balance": // users keep to the node that they came to, as long as the balancer has it
		w.sticks = true
	case "cancel":
		j := w.jobs[words[1]]
		if j == nil {
			return fmt.Errorf("no such job")
		}
		w.cancel(j)
	case "kill", "start", "restart", "cut", "join", "freeze", "thaw", "deny", "admit", "deafen", "undeafen", "away", "back":
		names := []string{words[1]}
		if words[1] == "all" {
			names = nil
			for _, n := range w.nodes {
				names = append(names, n.name)
			}
		}
		for _, name := range names {
			n := w.nodeNamed(name)
			if n == nil && name == "leader" && words[0] == "restart" {
				continue // nobody leads just then
			}
			if n == nil {
				return fmt.Errorf("no such node")
			}
			switch words[0] {
			case "kill":
				w.end(n, 0)
			case "restart": // restart NODE [after=0.05]: it ends, and is there again that soon
				if n.alive {
					w.end(n, protocol.FromSeconds(number(options(words[2:]), "after", 0.05)))
				}
			case "start":
				w.startNode(n)
			case "deafen": // it and the workers can't reach each other
				n.deaf = true
			case "undeafen":
				n.deaf = false
			case "deny":
				n.denied = true
			case "admit":
				n.denied = false
			case "freeze":
				n.frozen = true
			case "thaw":
				w.thaw(n)
			case "cut":
				n.cut = true
			case "join":
				n.cut = false
			case "away":
				n.away = true
			case "back":
				w.comesBack(n)
			}
		}
	case "upgrade", "downgrade": // upgrade NODE [after=3]: it is killed and comes back with this version
		return w.actUpgrade(words)
	case "image": // image NAME passes|fails|hangs|flaps|crashes [after=SECONDS]: what its services do from now on
		o := options(words[3:])
		w.behaviours[words[1]] = behaviour{what: words[2], after: protocol.FromSeconds(number(o, "after", 0))}
	case "config", "config-back": // config KEY=VALUE ... [via=NODE] [expect=N], config-back REVISION
		return w.actConfig(words)
	case "spoil-record": // spoil-record KEY VALUE: somebody else writes it; without a value, drops it
		if w.changes != nil {
			w.changes.spoilt = true
		}
		w.store.revision++
		if len(words) == 2 {
			w.store.drop(words[1])
			return nil
		}
		w.store.set(words[1], &entry{value: words[2], stamp: w.store.revision})
	case "rollout", "rollout-pause", "rollout-resume", "rollout-revert":
		return w.actRollout(words)
	case "submit-again": // submit-again REF: its user repeats the submission
		w.submit(w.jobs[words[1]])
	case "announce": // to controllers that start from now on: announce value=2048 ops=4 changes=24
		return w.sceneNext(words[1:])
	case "limits-fall":
		return w.actLimitsFall(words[1:])
	case "count": // from here on: changes written, workers asked, users without an answer
		w.written, w.asked, w.led = w.store.written, w.questions, w.leaders
		w.unanswered = 0
		w.countWaiting()
		for _, j := range w.jobs {
			j.answeredAt = w.now
		}
	case "backlog": // so many events wait at every node
		n, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		w.backlog = n
	case "evict": // evict IMAGE: no machine has it any more
		for _, m := range w.machines {
			delete(m.images, words[1])
		}
	case "boots": // boots FACTOR: of machines rented from now on; 0: they never come up
		w.boots = number(options([]string{"x=" + words[1]}), "x", 1)
	case "cloud-slow": // rental requests are answered so many seconds later
		w.cloudSlow = protocol.FromSeconds(number(options([]string{"x=" + words[1]}), "x", 0))
	case "state-slow": // the state service answers so many seconds later
		w.stateSlow = protocol.FromSeconds(number(options([]string{"x=" + words[1]}), "x", 0))
	case "ends-loading": // ends-loading COUNT SECONDS: so many nodes that come to lead end that long after they began to read the records
		count, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		w.endsRole, w.endsBack = controller.RoleRecovering, 0
		w.endsLoading, w.endsAfter = count, protocol.FromSeconds(number(options([]string{"x=" + words[2]}), "x", 0))
	case "ends-in": // ends-in ROLE COUNT [after=0] [back=0.05]: so many nodes that come into a role end that long after, and are back
		count, err := strconv.Atoi(words[2])
		if err != nil {
			return err
		}
		known := false
		for r := controller.RoleFollower; r <= controller.RoleLeaseUncertain; r++ {
			if r.String() == words[1] {
				w.endsRole, known = r, true
			}
		}
		if !known {
			return fmt.Errorf("unknown role")
		}
		o := options(words[3:])
		w.endsLoading, w.endsAfter, w.endsBack = count, protocol.FromSeconds(number(o, "after", 0)), protocol.FromSeconds(number(o, "back", 0.05))
	case "copies": // copies SECONDS: so long after a request was carried out a copy of it comes; 0: no more
		w.copies = protocol.FromSeconds(number(options([]string{"x=" + words[1]}), "x", 0))
	case "list-lag":
		w.listLag = protocol.FromSeconds(number(options([]string{"x=" + words[1]}), "x", 0))
	case "storm": // storm COUNT: so many questions at once, to one node after another, about
		// all jobs and as many that nobody submitted
		count, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		w.storm(count)
	case "cut-zone": // cut-zone a b: zones, together, from everything outside; messages are held
		w.cutZones = words[1:]
	case "heal-zone":
		w.heal()
	case "forget-launches": // the records become those of form 1: an epoch that is a number, no launches
		epoch, err := records.DecodeEpoch([]byte(w.store.keys[records.KeyEpoch].value))
		if err != nil {
			return err
		}
		w.store.keys[records.KeyEpoch].value = strconv.FormatUint(epoch.Number, 10)
		w.versions.active = 0
		for _, key := range slices.Clone(w.store.order) {
			if strings.HasPrefix(key, records.LaunchShardPrefix) || key == featuregate.KeyLevel {
				w.store.drop(key)
			}
		}
	case "state":
		w.store.setDown(words[1] == "down")
	case "cloud":
		w.cloudDown = words[1] == "down"
	case "part", "rejoin": // part MACHINE NODE: neither reaches the other
		m, n := w.machines[words[1]], w.nodeNamed(words[2])
		if m == nil || n == nil {
			return fmt.Errorf("no such machine or node")
		}
		if m.apart == nil {
			m.apart = make(map[string]bool)
		}
		m.apart[n.name] = words[0] == "part"
	case "if-leads": // if-leads WORD: the leader, if there is one just then
		if n := w.leader(); n != nil {
			return w.act([]string{words[1], n.name})
		}
	case "if-here": // if-here MACHINE WORD: unless it is gone
		if m := w.machines[words[1]]; m != nil {
			w.actMachine(words[2], m)
		}
	case "hang", "wake", "die", "spoil", "deaf", "hears", "lose-answers", "pass-answers", "hold-reports", "deliver-reports", "hold-calls", "deliver-calls", "cut-off", "reach", "answer-behind", "answer-no-more":
		m := w.machines[words[1]]
		if m == nil {
			return fmt.Errorf("no such machine")
		}
		w.actMachine(words[0], m)
	case "cancel-once":
		return w.cancelOnce(words[1])
	case "ask-everywhere":
		return w.askEverywhere(words[1])
	case "mute", "unmute":
		return w.actMute(words)
	case "expect":
		return w.expect(words[1:])
	default:
		return w.actChains(words)
	}
	return nil
}

func (w *World) actMachine(what string, m *machine) {
	switch what {
	case "hang":
		m.hung = true
	case "spoil":
		m.spoilt = true
	case "deaf", "hears":
		m.deaf = what == "deaf"
	case "hold-calls":
		m.holdCalls = true
	case "wake", "deliver-calls":
		m.hung, m.holdCalls = false, false
		for _, f := range m.heldCalls {
			f()
		}
		m.heldCalls = nil
	case "die":
		for _, t := range m.sorted() {
			w.leave(m, t)
		}
		m.tasks, m.inOrder = map[string]*runningTask{}, nil
		m.phase = "failed"
	case "cut-off": // what either side sends is held on the way
		m.held, m.holdCalls, m.slow = true, true, true
	case "reach":
		m.slow = false
		w.actMachine("deliver-calls", m)
		w.actMachine("deliver-reports", m)
	case "answer-behind": // a controller behind the cut goes on answering it
		m.answered = true
	case "answer-no-more":
		m.answered = false
	case "lose-answers":
		m.slow = true
	case "pass-answers":
		m.slow = false
	case "hold-reports":
		m.held = true
	case "deliver-reports":
		m.held = false
		for _, f := range m.heldReports {
			w.after(w.delay(), f)
		}
		m.heldReports = nil
	}
}

var (
	kindWords = map[string]protocol.JobKind{"array": protocol.Array, "gang": protocol.Gang, "service": protocol.Service}
	rankWords = map[string]protocol.Priority{"critical": protocol.PriorityCritical, "high": protocol.PriorityHigh, "standard": protocol.PriorityStandard, "low": protocol.PriorityLow}
)

func (w *World) actSubmit(words []string) error {
	if len(words) < 3 {
		return fmt.Errorf("submit REF KIND")
	}
	o := options(words[3:])
	has := func(k string) bool { _, ok := o[k]; return ok }
	text := func(k, def string) string {
		if has(k) {
			return o[k]
		}
		return def
	}
	kind, ok := kindWords[words[2]]
	rank, ok2 := rankWords[text("rank", "standard")]
	if !ok || !ok2 {
		return fmt.Errorf("unknown kind or rank")
	}
	run := protocol.FromSeconds(number(o, "run", 10))
	s := &protocol.JobSpec{
		Ref: words[1], Class: text("class", "work"), Team: text("team", "red"), Kind: kind, Priority: rank, Tasks: int(number(o, "tasks", 1)),
		TaskResources: protocol.Resources{CPU: thousandths(number(o, "cpus", 1)), GPU: thousandths(number(o, "gpus", 1)), Memory: thousandths(number(o, "mem", 1))},
		Image:         text("image", "img-1"), ImageSize: thousandths(number(o, "size", 2)), Zone: o["zone"], SingleZone: has("one-zone"), SpreadZones: has("spread"), AllowSpot: has("spot"),
		EstimatedRuntime: protocol.FromSeconds(number(o, "estimate", run.Seconds())), CheckpointInterval: protocol.FromSeconds(number(o, "checkpoint", 0)),
		Deadline: protocol.FromSeconds(number(o, "deadline", 0)),
	}
	if has("awaits") {
		s.DependsOn = strings.Split(o["awaits"], ",")
	}
	if has("types") {
		s.MachineTypes = strings.Split(o["types"], ",")
	}
	j := &userJob{spec: s, body: protocol.AppendJob(nil, s), run: run, fails: has("fails"), results: make([]bool, s.Tasks)}
	w.submit(j)
	return nil
}

// expect checks one expectation.
func (w *World) expect(words []string) error {
	differs := func(got, want string) error {
		if got != want {
			return fmt.Errorf("got %s", got)
		}
		return nil
	}
	switch words[0] {
	case "level", "level-waits":
		return w.expectLevel(words)
	case "leader":
		name := "none"
		if n := w.leader(); n != nil {
			name = n.name
		}
		if words[1] == "some" && name != "none" {
			return nil
		}
		return differs(name, words[1])
	case "role":
		n := w.nodeNamed(words[1])
		return differs(n.ctl.Role().String(), words[2])
	case "on": // on TASK MACHINE[,MACHINE] or nowhere, or somewhere
		got := w.hostsOf(words[1])
		if words[2] == "somewhere" && got != "nowhere" {
			return nil
		}
		return differs(got, words[2])
	case "machines-of": // machines-of TYPE N
		n := 0
		for _, m := range w.machines {
			if m.typ == words[1] {
				n++
			}
		}
		return differs(strconv.Itoa(n), words[2])
	case "machines":
		return differs(strconv.Itoa(len(w.machines)), words[1])
	case "machine":
		got := "here"
		if w.machines[words[1]] == nil {
			got = "gone"
		}
		return differs(got, words[2])
	case "at-most", "at-least": // at-most N changes|questions|leaders|starts, since the count began
		most, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		got := w.store.written - w.written
		switch words[2] {
		case "questions":
			got = w.questions - w.asked
		case "leaders":
			got = w.leaders - w.led
		case "refusals": // of odd requests, in all
			got = w.refusals
		case "refused": // transactions, in all
			got = w.store.refused
		case "rented": // machines, in all
			got = w.rented
		case "starts": // in all
			got = w.started
		case "looks": // answers of close looks that were compared, in all
			got = w.looks.answers
		case "cancelled": // jobs
			got = 0
			for _, j := range w.jobs {
				if j.toldCancelled > 0 {
					got++
				}
			}
		case "in-vain": // questions of storms that got no answer
			got = w.inVain
		case "tries": // at-most N tries REF
			got = w.jobs[words[3]].tries
		}
		if words[0] == "at-most" && got > most || words[0] == "at-least" && got < most {
			return fmt.Errorf("%d", got)
		}
		return nil
	case "all": // all N PHASE: so many jobs are in a phase
		n := 0
		for _, j := range w.jobs {
			if j.phase == words[2] {
				n++
			}
		}
		return differs(strconv.Itoa(n), words[1])
	case "ended-loading": // ended-loading COUNT: so many nodes did since ends-loading
		return differs(strconv.Itoa(w.endedLoading), words[1])
	case "config":
		return w.expectConfig(words[1:])
	case "rollout": // rollout SERVICE STATE [healthy=N] [reason=TEXT]
		return w.expectRollout(words[1:])
	case "due": // due class|team|largest NAME SERVED MISSED, as the leader counts
		kind := map[string]slo.Kind{"class": slo.Class, "team": slo.Team, "largest": slo.Largest}[words[1]]
		got := w.leader().ctl.Snapshot().Objectives[kind][words[2]]
		return differs(fmt.Sprintf("%d %d", got.Served, got.Missed), words[3]+" "+words[4])
	case "over": // over REF: its user was told that it is done or cancelled
		if j := w.jobs[words[1]]; j.accepted && !j.toldDone && j.toldCancelled == 0 {
			return fmt.Errorf("it is %q", j.phase)
		}
		return nil
	case "nothing-stuck": // whatever was accepted runs or is over
		for ref, j := range w.jobs {
			if j.accepted && !j.toldDone && j.toldCancelled == 0 && (j.phase != "running" || j.spec.Kind != protocol.Service || j.asked) {
				return fmt.Errorf("%s is %q, done %d, running %d", ref, j.phase, j.done, j.running)
			}
		}
		return nil
	case "unanswered": // unanswered SECONDS: no job's user was left without an answer for longer
		if most := protocol.FromSeconds(number(options([]string{"x=" + words[1]}), "x", 0)); w.unanswered > most {
			return fmt.Errorf("%.1f s", w.unanswered.Seconds())
		}
		return nil
	case "cancelled-within": // cancelled-within SECONDS: each user of cancel-at was answered that soon
		if most := protocol.FromSeconds(number(options([]string{"x=" + words[1]}), "x", 0)); w.cancelLongest > most {
			return fmt.Errorf("%.1f s", w.cancelLongest.Seconds())
		}
		return nil
	case "waits-beside-room": // waits-beside-room SECONDS: no job has, since the count began, for longer
		return w.expectWaits(protocol.FromSeconds(number(options([]string{"x=" + words[1]}), "x", 0)))
	case "health": // health NODE STATUS, as the balancer sees it
		got := 0
		w.request(w.nodeNamed(words[1]), "health", "", func(status int, _ []byte) { got = status })
		return differs(strconv.Itoa(got), words[2])
	case "old-reports":
		return w.expectOldReports(words)
	case "lost-answers", "conflicts", "written-again":
		return w.expectLost(words)
	case "starts":
		return differs(strconv.Itoa(w.started), words[1])
	case "kept": // kept KEY yes|no
		got := "no"
		if w.store.keys[words[1]] != nil {
			got = "yes"
		}
		return differs(got, words[2])
	case "fits", "unfit":
		return w.expectLimits(words)
	case "submitted": // submitted REF STATUS
		return differs(strconv.Itoa(w.jobs[words[1]].status), words[2])
	}
	j := w.jobs[words[0]]
	if j == nil {
		return fmt.Errorf("no such job")
	}
	if j.phase != words[1] {
		return fmt.Errorf("it is %q, done %d, running %d", j.phase, j.done, j.running)
	}
	o := options(words[2:])
	for name, got := range map[string]int{"done": j.done, "running": j.running} {
		if want, ok := o[name]; ok && want != strconv.Itoa(got) {
			return fmt.Errorf("%s is %d", name, got)
		}
	}
	return nil
}
