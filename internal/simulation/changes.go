package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/configuration"
	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// changes checks how the controllers apply changes of the configuration, by the records in the
// state service and the answers that operators got.
type changes struct {
	options         configuration.Options
	settings        map[uint64]*configuration.Settings // by revision, as committed
	lastCommitted   uint64                             // the newest committed revision
	reportedInForce uint64                             // the newest one reported as in force
	ids             map[string]uint64                  // revision that each request made, by ID
	confirmed       map[string]uint64                  // the same, as reported to operators
	launched        map[string]bool                    // launches that were in a record, by attempt
	writes          int                                // puts of the head and of history pages
	revisions       int                                // committed revisions
	completed       int                                // requests that were made, refused or given up
	lastMade        uint64                             // revision made by the last request
	logLevel        map[string]string                  // log level by node, "" as at its start
	// recordOverwritten is set once the trace has overwritten a record. A controller that has just
	// started can then have a revision older than the one reported as in force, so that is not
	// checked any more.
	recordOverwritten bool
}

// enableConfigChanges enables changes of the configuration, and their checks.
func (w *World) enableConfigChanges() {
	w.changes = &changes{
		options: configuration.Options{HistoryPages: 3}, settings: make(map[uint64]*configuration.Settings), ids: make(map[string]uint64),
		confirmed: make(map[string]uint64), launched: make(map[string]bool), logLevel: make(map[string]string),
	}
	w.changes.settings[0] = configuration.Resolve(w.configBounds(), nil)
}

func (w *World) configBounds() *configuration.Baseline {
	return &configuration.Baseline{Teams: w.Platform.Teams, Zones: w.Platform.Zones, Operator: w.Operator, ValueBytes: w.Platform.MaxValueBytes}
}

// allowedSince reports whether any committed revision, beginning with from, permits something.
func (g *changes) allowedSince(from uint64, permits func(*configuration.Settings) bool) bool {
	for r := from; r <= g.lastCommitted; r++ {
		if s := g.settings[r]; s != nil && permits(s) {
			return true
		}
	}
	return false
}

// withinLimit reports whether an amount is within a limit. A limit of 0 means unlimited.
func withinLimit(limit, amount protocol.Resources) bool {
	return (limit.CPU == 0 || amount.CPU <= limit.CPU) && (limit.GPU == 0 || amount.GPU <= limit.GPU)
}

// teamUsage is the resources of a team's tasks on all machines. It includes those that were
// launched and have not started yet.
func (w *World) teamUsage(team string) (sum protocol.Resources) {
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.job.spec.Team == team && t.state != "exited" {
				sum = sum.Add(t.job.spec.TaskResources, 1)
			}
		}
	}
	return sum
}

// handleCommit is called with the changes of each committed transaction. It carries out the lines
// of the trace that wait for them and checks the records that they write.
func (w *World) handleCommit(writes []*fastjson.Value) {
	w.runTriggers(writes)
	w.recorded.update(writes)
	w.committedLevels(writes)
	g := w.changes
	if g == nil {
		return
	}
	for _, c := range writes {
		if c.Exists("drop") {
			continue
		}
		key := string(c.GetStringBytes("set"))
		value := c.Get("data").MarshalTo(nil)
		switch {
		case key == configuration.KeyHead:
			w.committedHead(value)
		case strings.HasPrefix(key, configuration.PagePrefix):
			g.writes++
		case strings.HasPrefix(key, records.JobPrefix):
			j, err := records.DecodeJob(value)
			if err == nil && w.jobs[j.Spec.Ref] != nil && !w.jobs[j.Spec.Ref].accepted && g.settings[g.lastCommitted].Teams[j.Spec.Team].Retired {
				w.reportViolation("old revision: %s accepted, its team is retired by revision %d", j.Spec.Ref, g.lastCommitted)
			}
		case strings.HasPrefix(key, records.LaunchShardPrefix):
			w.committedLaunches(value)
		}
	}
}

// committedHead checks a written head: its revision follows the last one, its request was not
// applied before, and its limits are not above the platform's.
func (w *World) committedHead(value []byte) {
	g := w.changes
	g.writes++
	h, err := configuration.DecodeHead(value)
	if err != nil {
		w.reportViolation("configuration: a head that can't be read was written: %v", err)
		return
	}
	e := h.Entries[len(h.Entries)-1]
	if h.Revision != g.lastCommitted+1 && (h.FirstRevision != h.Revision || h.Revision <= g.lastCommitted) {
		w.reportViolation("configuration: revision %d after %d", h.Revision, g.lastCommitted)
	}
	if r, twice := g.ids[e.ID]; twice {
		w.reportViolation("configuration: request %s applied twice, as %d and %d", e.ID, r, h.Revision)
	}
	g.ids[e.ID], g.lastCommitted = h.Revision, h.Revision
	g.revisions++
	g.settings[h.Revision] = configuration.Resolve(w.configBounds(), h.Document)
	for name, t := range g.settings[h.Revision].Teams {
		if p := w.Platform.Teams[name].Limit; !withinLimit(p, t.Limit) || p.GPU > 0 && t.Limit.GPU == 0 || p.CPU > 0 && t.Limit.CPU == 0 {
			w.reportViolation("configuration: the limit of %s is above the platform's", name)
		}
	}
	w.note("revision %d: %s", h.Revision, configuration.AppendChanges(nil, e.Changes))
}

// committedLaunches checks the launches that are new in a record: the newest committed revision
// must allow them.
func (w *World) committedLaunches(value []byte) {
	g := w.changes
	list, err := records.DecodeLaunches(value)
	if err != nil {
		return
	}
	s := g.settings[g.lastCommitted]
	newUsage := make(map[string]protocol.Resources)
	for _, l := range list {
		name := fmt.Sprint(l.Name)
		j := w.jobs[l.Name.Job]
		if g.launched[name] || j == nil {
			continue
		}
		g.launched[name] = true
		if m := w.machines[l.Host]; m != nil && m.tasks[fmt.Sprintf("%s/%d#%d", l.Name.Job, l.Name.Index, l.Name.Number)] != nil {
			continue // already launched, by an earlier leader
		}
		newUsage[j.spec.Team] = newUsage[j.spec.Team].Add(j.spec.TaskResources, 1)
		if m := w.machines[l.Host]; m != nil && s.DrainOf(m.name, m.zone, w.workerAddr(m)) != configuration.NotDrained {
			w.reportViolation("old revision: launch of %s on %s recorded, which revision %d drains", name, m.name, g.lastCommitted)
		}
	}
	for team, sum := range newUsage {
		if used := w.teamUsage(team).Add(sum, 1); !withinLimit(s.Teams[team].Limit, used) {
			w.reportViolation("old revision: launches of %s recorded up to %v, the limit of revision %d is %v", team, used, g.lastCommitted, s.Teams[team].Limit)
		}
	}
}

// checkCommands checks commands that a controller sends to a machine. Each launch must be allowed
// by a revision at least as new as the one reported to an operator as in force.
func (w *World) checkCommands(m *machine, body []byte) {
	w.checkRecorded(m, body)
	g := w.changes
	if g == nil || g.reportedInForce == 0 || !strings.Contains(string(body), `"launch"`) {
		return
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return
	}
	stopped := make(map[string]bool)
	attempt := func(o *fastjson.Value) string {
		return fmt.Sprintf("%s#%d", o.GetStringBytes("shard"), o.GetUint64("try"))
	}
	for _, o := range v.GetArray("orders") {
		if string(o.GetStringBytes("verb")) == "stop" {
			stopped[attempt(o)] = true
		}
	}
	for _, o := range v.GetArray("orders") {
		name := attempt(o)
		ref, _, _ := strings.Cut(name, "/")
		j := w.jobs[ref]
		if string(o.GetStringBytes("verb")) != "launch" || stopped[name] || m.tasks[name] != nil || j == nil {
			continue
		}
		used := w.teamUsage(j.spec.Team).Add(j.spec.TaskResources, 1)
		if !g.allowedSince(g.reportedInForce, func(s *configuration.Settings) bool {
			return withinLimit(s.Teams[j.spec.Team].Limit, used) && s.DrainOf(m.name, m.zone, w.workerAddr(m)) == configuration.NotDrained
		}) {
			w.reportViolation("old revision: launch of %s on %s, which no revision since %d allows", name, m.name, g.reportedInForce)
		}
	}
}

// checkRental checks a rental request that a controller sends to the cloud: the machines of that
// kind, with the requested ones, must be allowed by a revision at least as new as the one reported
// to an operator as in force.
func (w *World) checkRental(body []byte) {
	g := w.changes
	if g == nil || g.reportedInForce == 0 {
		return
	}
	kind := configuration.MachineKind{Type: fastjson.GetString(body, "flavor"), Zone: fastjson.GetString(body, "region")}
	total := fastjson.GetInt(body, "count")
	if _, repeated := w.claims[fastjson.GetString(body, "claim")]; repeated {
		return
	}
	for _, m := range w.machines {
		if m.typ == kind.Type && m.zone == kind.Zone {
			total++
		}
	}
	if !g.allowedSince(g.reportedInForce, func(s *configuration.Settings) bool { ceiling, ok := s.Ceilings[kind]; return !ok || total <= ceiling }) {
		w.reportViolation("old revision: %d machines of %v with those asked for, which no revision since %d allows", total, kind, g.reportedInForce)
	}
}

// checkRevision checks, after a step of a controller, that its revision is not older than the one
// reported to an operator as in force.
func (w *World) checkRevision(n *node) {
	g := w.changes
	if g == nil {
		return
	}
	if r, ok := n.ctl.EffectiveRevision(); ok && r < g.reportedInForce && !g.recordOverwritten {
		w.reportViolation("old revision: %s goes by %d, and %d was told to be in force", n.name, r, g.reportedInForce)
	}
}

// operatorRequest sends a request about the configuration to a controller, or to one after
// another if via is nil. It retries up to 50 times, a second after each failure, until the
// answer is final. An answer that takes more than 5 s counts as a failure.
func (w *World) operatorRequest(via *node, op protocol.UserOp, ref string, body []byte, done func(status int, answer []byte)) {
	var try func(left int)
	try = func(left int) {
		n := via
		if n == nil {
			n = w.nextReachableNode()
		}
		answered := false
		finish := func(status int, answer []byte) {
			if answered {
				return
			}
			answered = true
			switch {
			case status == 200 || status == 400 || status == 404 || status == 409 || status == 422 || left == 0:
				done(status, answer)
			default:
				w.after(protocol.Second, func() { try(left - 1) })
			}
		}
		if n == nil || !n.alive || n.cut {
			finish(0, nil)
			return
		}
		w.nextConn++
		w.answers[w.nextConn] = finish
		w.after(5*protocol.Second, func() { finish(0, nil) })
		w.step(n, controller.NewUserRequest(controller.ReplyAddress{Conn: w.nextConn}, op, ref, body))
	}
	try(50)
}

// configAttempt is the change of an operator.
type configAttempt struct {
	w       *World
	request *configuration.Request
	op      protocol.UserOp
	via     *node  // nil for any
	expect  uint64 // the revision that the operator expects, 0 for the last one
}

// actConfig carries out config KEY=VALUE ... [via=NODE] [expect=N] [mend=true] or config-back
// REVISION, as an operator does: it reads the last revision, requests the change and waits until
// its own revision is in force. If another operator's change was faster, it starts again, up to
// 5 times, unless expect or mend is given.
func (w *World) actConfig(words []string) error {
	if w.changes == nil {
		return fmt.Errorf("changes are off")
	}
	a := &configAttempt{w: w, request: &configuration.Request{Who: "operator", Set: make(map[string]string)}, op: protocol.OpConfigApply}
	rest := words[1:]
	if words[0] == "config-back" {
		to, err := strconv.ParseUint(words[1], 10, 64)
		if err != nil {
			return err
		}
		a.request.Rollback, a.request.To, a.op, rest = true, to, protocol.OpConfigRollback, words[2:]
	}
	for _, word := range rest {
		if err := a.readOption(word); err != nil {
			return err
		}
	}
	const maxRetries = 5
	a.try(maxRetries)
	return nil
}

func (a *configAttempt) readOption(word string) error {
	key, value, err := configuration.ParseSet(word)
	if err != nil {
		return err
	}
	switch key {
	case "via":
		name, _ := strconv.Unquote(value)
		if a.via = a.w.nodeNamed(name); a.via == nil {
			return fmt.Errorf("no such node")
		}
	case "expect":
		a.expect, _ = strconv.ParseUint(value, 10, 64)
	case "mend":
		a.request.Repair = true
	default:
		a.request.Set[key] = value
	}
	return nil
}

// try reads the last revision and then requests the change. It may start again up to left times.
func (a *configAttempt) try(left int) {
	w, g := a.w, a.w.changes
	w.operatorRequest(a.via, protocol.OpConfig, "", nil, func(status int, answer []byte) {
		if status != 200 {
			g.completed++
			return
		}
		r := *a.request
		r.Expected, r.ID = uint64(fastjson.GetInt(answer, "revision")), fmt.Sprintf("c-%d-%d", w.now, w.seq)
		if a.expect > 0 {
			r.Expected = a.expect
		}
		if r.Expected < g.reportedInForce && a.expect == 0 {
			w.reportViolation("old revision: an operator was shown %d, and %d was told to be in force", r.Expected, g.reportedInForce)
		}
		w.operatorRequest(a.via, a.op, "", configuration.AppendRequest(nil, &r), func(status int, answer []byte) {
			a.onAnswer(r.ID, left, status, answer)
		})
	})
}

// onAnswer handles the answer to the request with an id.
func (a *configAttempt) onAnswer(id string, left, status int, answer []byte) {
	w, g := a.w, a.w.changes
	if made := g.ids[id]; status == 409 && made > 0 {
		w.reportViolation("configuration: request %s is revision %d, and its operator was told that it was refused", id, made)
	}
	if status == 409 && left > 0 && a.expect == 0 && !a.request.Repair {
		a.try(left - 1)
		return
	}
	g.completed++
	if status != 200 {
		w.note("an operator got %d %s", status, answer)
		return
	}
	revision := uint64(fastjson.GetInt(answer, "revision"))
	if fastjson.GetBool(answer, "changed") {
		g.confirmed[id], g.lastMade = revision, revision
		if g.ids[id] != revision {
			w.reportViolation("configuration: an operator was told that its request is revision %d, and it is %d", revision, g.ids[id])
		}
	}
	w.awaitRevision(a.via, revision)
}

// awaitRevision waits until a revision is in force.
func (w *World) awaitRevision(via *node, revision uint64) {
	began := w.now
	w.operatorRequest(via, protocol.OpConfigWait, strconv.FormatUint(revision, 10), nil, func(status int, answer []byte) {
		if status == 200 {
			w.note("revision %d is in force after %.2f s", revision, (w.now - began).Seconds())
			w.changes.reportedInForce = max(w.changes.reportedInForce, revision)
		}
	})
}

// expectConfig checks an expectation about the configuration.
func (w *World) expectConfig(words []string) error {
	g := w.changes
	got := ""
	switch words[0] {
	case "revision": // the last committed revision
		got = strconv.FormatUint(g.lastCommitted, 10)
	case "in-force": // the newest revision reported to an operator as in force
		got = strconv.FormatUint(g.reportedInForce, 10)
	case "writes": // puts in the state service for changes of the configuration
		got = strconv.Itoa(g.writes)
	case "applies-revision": // applies-revision NODE REVISION|nothing: the revision that a controller applies
		got = "nothing"
		if r, ok := w.nodeNamed(words[1]).ctl.EffectiveRevision(); ok {
			got = strconv.FormatUint(r, 10)
		}
		words = words[1:]
	case "damaged":
		got = "no"
		if s := w.leader().ctl.Snapshot().Config; s.Damaged {
			got = "yes"
		}
	case "outdated": // outdated some|none: the leader's transactions refused for a newer revision
		got = "none"
		if w.leader().ctl.Snapshot().ConfigOutdated > 0 {
			got = "some"
		}
	case "log": // log NODE LEVEL; "-": the level that the process was started with
		got = w.changes.logLevel[words[1]]
		if got == "" {
			got = "-"
		}
		words = words[1:]
	case "settled": // the last revision is applied by all controllers and reported as in force
		for _, n := range w.nodes {
			if r, ok := n.ctl.EffectiveRevision(); !ok || r != g.lastCommitted || g.reportedInForce != g.lastCommitted {
				return fmt.Errorf("%s applies revision %d (%t), the last one is %d, reported in force is %d", n.name, r, ok, g.lastCommitted, g.reportedInForce)
			}
		}
		return nil
	case "history": // see checkHistory
		return w.checkHistory()
	default:
		return fmt.Errorf("unknown word %s", words[0])
	}
	if got != words[1] {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

// checkHistory checks that the stored history has no gaps, and that it has each change reported
// to an operator as made, unless that is older than the history.
func (w *World) checkHistory() error {
	e := w.store.keys[configuration.KeyHead]
	if e == nil {
		if len(w.changes.confirmed) > 0 {
			return fmt.Errorf("there is no head, and %d changes were reported as made", len(w.changes.confirmed))
		}
		return nil
	}
	h, err := configuration.DecodeHead([]byte(e.value))
	if err != nil {
		return err
	}
	var list []configuration.Entry
	for n := h.FirstPage; n > 0 && n <= h.LastPage; n++ {
		page := w.store.keys[configuration.PageKey(n)]
		if page == nil {
			return fmt.Errorf("page %d of the history is missing", n)
		}
		entries, err := configuration.DecodePage([]byte(page.value))
		if err != nil {
			return err
		}
		list = append(list, entries...)
	}
	list = append(list, h.Entries...)
	for i, e := range list {
		if i > 0 && e.Revision != list[i-1].Revision+1 {
			return fmt.Errorf("revision %d follows %d", e.Revision, list[i-1].Revision)
		}
	}
	for id, r := range w.changes.confirmed {
		if r >= list[0].Revision && !slices.ContainsFunc(list, func(e configuration.Entry) bool { return e.ID == id && e.Revision == r }) {
			return fmt.Errorf("request %s, reported as revision %d, is not in the history", id, r)
		}
	}
	return nil
}
