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

// changes judges what is done about a configuration that changes, by what the state
// service has and what operators were told.
type changes struct {
	options  configuration.Options
	settings map[uint64]*configuration.Settings // by revision, as they were committed
	last     uint64                             // the newest that was committed
	reported uint64                             // the newest that an operator was told is in force
	ids      map[string]uint64                  // requests, by the revision that they made
	told     map[string]uint64                  // requests that an operator was told were made
	launched map[string]bool                    // launches that were recorded
	writes   int                                // puts for changes
	made     int                                // revisions
	asked    int                                // requests that were given up or refused, and those that were made
	newest   uint64                             // revision that an operator's last request made
	level    map[string]string                  // of the log, by node
	spoilt   bool                               // somebody else wrote the head: a process that has just begun can't know it
}

// judgeChanges switches changes on.
func (w *World) judgeChanges() {
	w.changes = &changes{
		options: configuration.Options{HistoryPages: 3}, settings: make(map[uint64]*configuration.Settings), ids: make(map[string]uint64),
		told: make(map[string]uint64), launched: make(map[string]bool), level: make(map[string]string),
	}
	w.changes.settings[0] = configuration.Resolve(w.configBounds(), nil)
}

func (w *World) configBounds() *configuration.Baseline {
	return &configuration.Baseline{Teams: w.Platform.Teams, Zones: w.Platform.Zones, Operator: w.Operator, ValueBytes: w.Platform.MaxValueBytes}
}

// allowed reports whether some revision from one on allows something.
func (g *changes) allowed(from uint64, by func(*configuration.Settings) bool) bool {
	for r := from; r <= g.last; r++ {
		if s := g.settings[r]; s != nil && by(s) {
			return true
		}
	}
	return false
}

func within(limit, amount protocol.Resources) bool {
	return (limit.CPU == 0 || amount.CPU <= limit.CPU) && (limit.GPU == 0 || amount.GPU <= limit.GPU)
}

// there is what the tasks of a team that are on machines take, told to start at least.
func (w *World) there(team string) (sum protocol.Resources) {
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.job.spec.Team == team && t.state != "exited" {
				sum = sum.Add(t.job.spec.TaskResources, 1)
			}
		}
	}
	return sum
}

// committed looks at what a transaction wrote.
func (w *World) committed(then []*fastjson.Value) {
	w.carriedOut(then)
	w.recorded.took(then)
	w.committedLevels(then)
	g := w.changes
	if g == nil {
		return
	}
	for _, c := range then {
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
			if err == nil && w.jobs[j.Spec.Ref] != nil && !w.jobs[j.Spec.Ref].accepted && g.settings[g.last].Teams[j.Spec.Team].Retired {
				w.broken("old revision: %s accepted, its team is retired by revision %d", j.Spec.Ref, g.last)
			}
		case strings.HasPrefix(key, records.LaunchShardPrefix):
			w.committedLaunches(value)
		}
	}
}

func (w *World) committedHead(value []byte) {
	g := w.changes
	g.writes++
	h, err := configuration.DecodeHead(value)
	if err != nil {
		w.broken("configuration: a head that can't be read was written: %v", err)
		return
	}
	e := h.Entries[len(h.Entries)-1]
	if h.Revision != g.last+1 && (h.FirstRevision != h.Revision || h.Revision <= g.last) {
		w.broken("configuration: revision %d after %d", h.Revision, g.last)
	}
	if r, twice := g.ids[e.ID]; twice {
		w.broken("configuration: request %s applied twice, as %d and %d", e.ID, r, h.Revision)
	}
	g.ids[e.ID], g.last = h.Revision, h.Revision
	g.made++
	g.settings[h.Revision] = configuration.Resolve(w.configBounds(), h.Document)
	for name, t := range g.settings[h.Revision].Teams {
		if p := w.Platform.Teams[name].Limit; !within(p, t.Limit) || p.GPU > 0 && t.Limit.GPU == 0 || p.CPU > 0 && t.Limit.CPU == 0 {
			w.broken("configuration: the limit of %s is above the platform's", name)
		}
	}
	w.note("revision %d: %s", h.Revision, configuration.AppendChanges(nil, e.Changes))
}

// committedLaunches checks launches that are new in a record: they are decided by the
// newest revision there is.
func (w *World) committedLaunches(value []byte) {
	g := w.changes
	list, err := records.DecodeLaunches(value)
	if err != nil {
		return
	}
	s := g.settings[g.last]
	fresh := make(map[string]protocol.Resources)
	for _, l := range list {
		name := fmt.Sprint(l.Name)
		j := w.jobs[l.Name.Job]
		if g.launched[name] || j == nil {
			continue
		}
		g.launched[name] = true
		if m := w.machines[l.Host]; m != nil && m.tasks[fmt.Sprintf("%s/%d#%d", l.Name.Job, l.Name.Index, l.Name.Number)] != nil {
			continue // it was launched by an earlier leader
		}
		fresh[j.spec.Team] = fresh[j.spec.Team].Add(j.spec.TaskResources, 1)
		if m := w.machines[l.Host]; m != nil && s.DrainOf(m.name, m.zone, w.workerAddr(m)) != configuration.NotDrained {
			w.broken("old revision: launch of %s on %s recorded, which revision %d drains", name, m.name, g.last)
		}
	}
	for team, sum := range fresh {
		if used := w.there(team).Add(sum, 1); !within(s.Teams[team].Limit, used) {
			w.broken("old revision: launches of %s recorded up to %v, the limit of revision %d is %v", team, used, g.last, s.Teams[team].Limit)
		}
	}
}

// sends looks at commands that leave for a machine. What is launched is allowed by a
// revision at least as new as the one that an operator was told is in force.
func (w *World) sends(m *machine, body []byte) {
	w.checkRecorded(m, body)
	g := w.changes
	if g == nil || g.reported == 0 || !strings.Contains(string(body), `"launch"`) {
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
		used := w.there(j.spec.Team).Add(j.spec.TaskResources, 1)
		if !g.allowed(g.reported, func(s *configuration.Settings) bool {
			return within(s.Teams[j.spec.Team].Limit, used) && s.DrainOf(m.name, m.zone, w.workerAddr(m)) == configuration.NotDrained
		}) {
			w.broken("old revision: launch of %s on %s, which no revision since %d allows", name, m.name, g.reported)
		}
	}
}

// rents looks at a request for machines that leaves.
func (w *World) rents(body []byte) {
	g := w.changes
	if g == nil || g.reported == 0 {
		return
	}
	k := configuration.MachineKind{Type: fastjson.GetString(body, "flavor"), Zone: fastjson.GetString(body, "region")}
	n := fastjson.GetInt(body, "count")
	if _, repeated := w.claims[fastjson.GetString(body, "claim")]; repeated {
		return
	}
	for _, m := range w.machines {
		if m.typ == k.Type && m.zone == k.Zone {
			n++
		}
	}
	if !g.allowed(g.reported, func(s *configuration.Settings) bool { most, ok := s.Ceilings[k]; return !ok || n <= most }) {
		w.broken("old revision: %d machines of %v with those asked for, which no revision since %d allows", n, k, g.reported)
	}
}

// decides looks at a controller after a step.
func (w *World) decides(n *node) {
	g := w.changes
	if g == nil {
		return
	}
	if r, ok := n.ctl.EffectiveRevision(); ok && r < g.reported && !g.spoilt {
		w.broken("old revision: %s goes by %d, and %d was told to be in force", n.name, r, g.reported)
	}
}

// operator asks a controller about the configuration, one after another, until it is
// answered for good or for a minute.
func (w *World) operator(via *node, op protocol.UserOp, ref string, body []byte, done func(status int, answer []byte)) {
	var try func(left int)
	try = func(left int) {
		n := via
		if n == nil {
			n = w.upNode()
		}
		answered := false
		take := func(status int, answer []byte) {
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
			take(0, nil)
			return
		}
		w.nextConn++
		w.answers[w.nextConn] = take
		w.after(5*protocol.Second, func() { take(0, nil) })
		w.step(n, controller.UserRequest{Reply: controller.ReplyAddress{Conn: w.nextConn}, Op: op, Ref: ref, Body: body})
	}
	try(50)
}

// actConfig does what an operator does: config KEY=VALUE ... [via=NODE] [expect=N], or
// config-back REVISION. It looks at the last revision first, and again where another
// operator was faster; then it waits until its revision is in force.
func (w *World) actConfig(words []string) error {
	if w.changes == nil {
		return fmt.Errorf("changes are off")
	}
	g := w.changes
	r := &configuration.Request{Who: "operator", Set: make(map[string]string)}
	op := protocol.OpConfigApply
	var via *node
	expect := uint64(0)
	rest := words[1:]
	if words[0] == "config-back" {
		to, err := strconv.ParseUint(words[1], 10, 64)
		if err != nil {
			return err
		}
		r.Rollback, r.To, op, rest = true, to, protocol.OpConfigRollback, words[2:]
	}
	for _, word := range rest {
		key, value, err := configuration.ParseSet(word)
		switch {
		case err != nil:
			return err
		case key == "via":
			name, _ := strconv.Unquote(value)
			if via = w.nodeNamed(name); via == nil {
				return fmt.Errorf("no such node")
			}
		case key == "expect":
			expect, _ = strconv.ParseUint(value, 10, 64)
		case key == "mend":
			r.Repair = true
		default:
			r.Set[key] = value
		}
	}
	var try func(left int)
	try = func(left int) {
		w.operator(via, protocol.OpConfig, "", nil, func(status int, answer []byte) {
			if status != 200 {
				g.asked++
				return
			}
			q := *r
			q.Expected, q.ID = uint64(fastjson.GetInt(answer, "revision")), fmt.Sprintf("c-%d-%d", w.now, w.seq)
			if expect > 0 {
				q.Expected = expect
			}
			if q.Expected < g.reported && expect == 0 {
				w.broken("old revision: an operator was shown %d, and %d was told to be in force", q.Expected, g.reported)
			}
			w.operator(via, op, "", configuration.AppendRequest(nil, &q), func(status int, answer []byte) {
				if made := g.ids[q.ID]; status == 409 && made > 0 {
					w.broken("configuration: request %s is revision %d, and its operator was told that it was refused", q.ID, made)
				}
				switch {
				case status == 409 && left > 0 && expect == 0 && !r.Repair:
					try(left - 1)
					return
				case status != 200:
					w.note("an operator got %d %s", status, answer)
					g.asked++
					return
				}
				g.asked++
				revision := uint64(fastjson.GetInt(answer, "revision"))
				if fastjson.GetBool(answer, "changed") {
					g.told[q.ID], g.newest = revision, revision
					if g.ids[q.ID] != revision {
						w.broken("configuration: an operator was told that its request is revision %d, and it is %d", revision, g.ids[q.ID])
					}
				}
				w.awaitRevision(via, revision)
			})
		})
	}
	try(5)
	return nil
}

// awaitRevision waits until a revision is in force.
func (w *World) awaitRevision(via *node, revision uint64) {
	began := w.now
	w.operator(via, protocol.OpConfigWait, strconv.FormatUint(revision, 10), nil, func(status int, answer []byte) {
		if status == 200 {
			w.note("revision %d is in force after %.2f s", revision, (w.now - began).Seconds())
			w.changes.reported = max(w.changes.reported, revision)
		}
	})
}

// expectConfig checks an expectation about the configuration.
func (w *World) expectConfig(words []string) error {
	g := w.changes
	got := ""
	switch words[0] {
	case "revision": // committed
		got = strconv.FormatUint(g.last, 10)
	case "in-force": // as an operator was told
		got = strconv.FormatUint(g.reported, 10)
	case "writes": // puts of the state service for changes
		got = strconv.Itoa(g.writes)
	case "goes-by": // goes-by NODE REVISION, or nothing
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
	case "outdated": // outdated some|none: transactions of the leader that were refused for it
		got = "none"
		if w.leader().ctl.Snapshot().ConfigOutdated > 0 {
			got = "some"
		}
	case "log": // log NODE LEVEL, "-": as it was started
		got = w.changes.level[words[1]]
		if got == "" {
			got = "-"
		}
		words = words[1:]
	case "settled": // each controller goes by the last revision, and an operator was told so
		for _, n := range w.nodes {
			if r, ok := n.ctl.EffectiveRevision(); !ok || r != g.last || g.reported != g.last {
				return fmt.Errorf("%s goes by %d (%t), the last one is %d, in force %d", n.name, r, ok, g.last, g.reported)
			}
		}
		return nil
	case "history": // the history that is kept has no gaps, and ends with the last revision
		return w.checkHistory()
	default:
		return fmt.Errorf("unknown word %s", words[0])
	}
	if got != words[1] {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

// checkHistory checks the records of the history, and that no change that an operator was
// told of is lost.
func (w *World) checkHistory() error {
	e := w.store.keys[configuration.KeyHead]
	if e == nil {
		if len(w.changes.told) > 0 {
			return fmt.Errorf("there is no head, and %d changes were told to be made", len(w.changes.told))
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
			return fmt.Errorf("page %d of the history is not there", n)
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
	for id, r := range w.changes.told {
		if r >= list[0].Revision && !slices.ContainsFunc(list, func(e configuration.Entry) bool { return e.ID == id && e.Revision == r }) {
			return fmt.Errorf("request %s, told to be revision %d, is not in the history", id, r)
		}
	}
	return nil
}
