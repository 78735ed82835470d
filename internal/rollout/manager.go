package rollout

import (
	"bytes"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"text/template"

	"mapleslip/internal/protocol"
)

// Event is something that happened outside.
type Event interface{ event() }

// Tick is the passing of time.
type Tick struct{}

// Saved says that a service's record is durable as it was last asked for.
type Saved struct{ Service string }

// Submitted is the answer to a job's submission.
type Submitted struct {
	Ref    string
	Status int
	Phase  protocol.Phase // of a job that was accepted
	Why    string         // it was refused for good
}

// CancelDone is the answer to a job's cancellation; 404: there is no such job.
type CancelDone struct {
	Ref    string
	Status int
}

// Checked is the end of a check.
type Checked struct {
	ID   uint64
	Made bool // false: nobody could make it
	OK   bool
	By   string // the controller that made it
	Why  string // it failed
}

// Crashed says that a task of a job ended with an error.
type Crashed struct {
	Ref   string
	Index int
}

// Op is what an operator asks.
type Op uint8

// What operators ask.
const (
	Start Op = iota
	Show
	List
	Pause
	Resume
	Revert
)

// Request is an operator's.
type Request struct {
	To      uint64 // the answer names it
	Op      Op
	Service string
	Spec    *protocol.RolloutSpec // of Start
}

func (Tick) event()       {}
func (Saved) event()      {}
func (Submitted) event()  {}
func (CancelDone) event() {}
func (Checked) event()    {}
func (Crashed) event()    {}
func (Request) event()    {}

// Effect is something to be done outside.
type Effect interface{ effect() }

// Save asks for a service's record to be made durable, under the leader's stamp.
// It is tried until it is, or until the leader is another.
type Save struct {
	Service string
	Value   []byte
}

// Submit asks for a job to be submitted as a user's would be.
type Submit struct{ Job *protocol.JobSpec }

// Cancel asks for a job to be cancelled as its user would.
type Cancel struct{ Ref string }

// Check asks for an instance to be checked by some controller that is not in Not.
type Check struct {
	ID         uint64
	Kind       protocol.CheckKind
	Addr, Path string
	Timeout    micros
	Not        []string
}

// Answer answers a request. Status 202: accepted, but not yet durable, so nobody
// is told; another answer comes once it is.
type Answer struct {
	To     uint64
	Status int
	Body   []byte
}

// Moved tells of a change of state, once it is durable.
type Moved struct {
	Service, ID string
	From, To    State
	Reason      string
	Text        string // as the operators' template has it
}

// Disputed tells that a controller found an instance failing that another one
// found well: its own links are more likely at fault.
type Disputed struct{ By, Against string }

func (Save) effect()     {}
func (Submit) effect()   {}
func (Cancel) effect()   {}
func (Check) effect()    {}
func (Answer) effect()   {}
func (Moved) effect()    {}
func (Disputed) effect() {}

// Settings bound what roll-outs may cost.
type Settings struct {
	ChecksPerS float64 // of all services; beyond it checks are made less often
	AtOnce     int     // checks on their way
	Services   int     // that may have a record
	ValueBytes int     // that a record may have
	Others     int     // other controllers
	Message    *template.Template
}

// Manager has the roll-outs of all services.
type Manager struct {
	set      Settings
	fleet    JobSource
	rng      *rand.Rand
	now      micros
	effects  []Effect
	services map[string]*machine
	owners   map[string]*machine // by job
	waiting  map[*machine][]func()

	turn     int // of the services, whose check comes first
	checks   map[uint64]*check
	checkSeq uint64
	room     float64 // checks that may begin now
	roomAt   micros
	looked   micros
}

// check is one that is on its way.
type check struct {
	i       *instance
	attempt uint64
	began   micros
	failed  []string // the controllers that found it failing before
	why     string
}

// lookEvery is how often the jobs of a service are looked at.
const lookEvery = 500 * protocol.Millisecond

// repeatAfter is when a submission or cancellation without an answer is repeated.
const repeatAfter = 3 * protocol.Second

// SetValueBytes tells how long a record may be from now on.
func (g *Manager) SetValueBytes(n int) { g.set.ValueBytes = n }

// NewManager makes a manager without services. seed spreads the checks.
func NewManager(s Settings, fleet JobSource, seed uint64) *Manager {
	return &Manager{
		set: s, fleet: fleet, rng: rand.New(rand.NewPCG(seed, 0x726f6c6c)), services: make(map[string]*machine),
		owners: make(map[string]*machine), waiting: make(map[*machine][]func()), checks: make(map[uint64]*check),
	}
}

// Load takes a service's record, before any event.
func (g *Manager) Load(now micros, value []byte) error {
	rec, err := Decode(value)
	if err != nil {
		return err
	}
	m, err := newMachine(rec, now)
	if err != nil {
		return fmt.Errorf("record of a roll-out: %w", err)
	}
	g.services[rec.Service] = m
	g.own(m)
	return nil
}

// States counts the roll-outs by state.
func (g *Manager) States() map[string]int {
	by := make(map[string]int)
	for _, m := range g.services {
		by[m.rec.State.String()]++
	}
	return by
}

// own notes which jobs are a service's.
func (g *Manager) own(m *machine) {
	for _, v := range []*Version{&m.rec.Old, &m.rec.New} {
		for _, b := range v.Batches {
			g.owners[b.Ref] = m
		}
	}
}

// Step handles one event.
func (g *Manager) Step(now micros, ev Event) []Effect {
	g.now = max(g.now, now)
	switch e := ev.(type) {
	case Tick:
		g.tick()
	case Saved:
		g.saved(e)
	case Submitted:
		g.submitted(e)
	case CancelDone:
		if m := g.owners[e.Ref]; m != nil && (e.Status == 200 || e.Status == 404 && !m.tried[e.Ref]) {
			m.out[e.Ref] = true
		}
	case Checked:
		g.checked(e)
	case Crashed:
		if m := g.owners[e.Ref]; m != nil && !m.rec.State.Ended() {
			for _, b := range m.rec.New.Batches {
				if b.Ref == e.Ref && !b.Leaving {
					m.faults[slot{e.Ref, e.Index}] = "crashed"
				}
			}
		}
	case Request:
		g.request(e)
	}
	list := g.effects
	g.effects = nil
	return list
}

func (g *Manager) emit(e Effect) { g.effects = append(g.effects, e) }

func (g *Manager) names() []string { return slices.Sorted(maps.Keys(g.services)) }

func (g *Manager) tick() {
	if g.now-g.looked >= lookEvery || g.looked == 0 {
		g.looked = g.now
		for _, name := range g.names() {
			if m := g.services[name]; m.active() {
				g.goOn(m, g.stretched(m))
			}
		}
	}
	g.check()
}

// goOn looks at a service, does what its durable record says, and decides.
func (g *Manager) goOn(m *machine, stretched micros) {
	m.look(g.now, g.fleet, stretched, g.wantCheck)
	g.act(m)
	if m.next == nil {
		if n := m.decide(g.now, stretched); n != nil {
			g.save(m, n)
		}
	}
}

// stretched is how long it takes to check all instances of a service once, with its
// part of the checks.
func (g *Manager) stretched(m *machine) micros {
	n := 0
	for _, o := range g.services {
		if len(o.instances) > 0 {
			n++
		}
	}
	return protocol.FromSeconds(float64(len(m.instances)*n) / g.set.ChecksPerS)
}

// save asks for a record to be written. Until it is, nothing else is decided.
func (g *Manager) save(m *machine, n *Record) {
	m.tidy(n).Changes++
	m.next = n
	g.emit(Save{n.Service, n.Encode()})
}

func (g *Manager) saved(e Saved) {
	m := g.services[e.Service]
	if m == nil || m.next == nil {
		return
	}
	was := m.rec
	m.rec, m.next = m.next, nil
	if was.New.Spec != m.rec.New.Spec || was.Old.Spec != m.rec.Old.Spec {
		if err := m.compile(); err != nil { // it was compiled before
			panic(err)
		}
	}
	for _, v := range []*Version{&was.Old, &was.New} {
		for _, b := range v.Batches {
			delete(g.owners, b.Ref)
		}
	}
	g.own(m)
	if m.rec.State == Soaking || m.rec.State == Checking {
		m.soak = 0
	}
	if was.State != m.rec.State {
		g.moved(m, was)
	}
	if m.rec.State.Ended() {
		m.forget()
	}
	// The record may have taken a minute: what it says is done as things are now.
	m.look(g.now, g.fleet, g.stretched(m), g.wantCheck)
	g.act(m)
	waiting := g.waiting[m]
	delete(g.waiting, m)
	for _, fn := range waiting {
		fn()
	}
}

func (g *Manager) moved(m *machine, was *Record) {
	e := Moved{Service: m.rec.Service, ID: m.rec.New.Spec.ID, From: was.State, To: m.rec.State, Reason: m.rec.Reason}
	if g.set.Message != nil {
		var b bytes.Buffer
		if err := g.set.Message.Execute(&b, messageOf(e)); err == nil {
			e.Text = b.String()
		}
	}
	g.emit(e)
}

// act does what the durable record says: what is not there yet is submitted, what
// leaves is cancelled. A submission that may still be applied is repeated until it
// is answered, also for a job that leaves: cancelled too early it would come after.
// While a roll-out is paused only what was begun is repeated.
func (g *Manager) act(m *machine) {
	sure := m.oldTally.sure + m.newTally.sure
	for _, part := range []struct {
		version *Version
		tally   tally
		held    bool // its jobs don't go
	}{{&m.rec.Old, m.oldTally, m.rec.State == Reverting}, {&m.rec.New, m.newTally, false}} {
		for _, b := range part.version.Batches {
			ref := b.Ref
			if g.now < m.sent[ref] || m.out[ref] || m.gone[ref] || m.refused[ref] != "" && !b.Leaving {
				continue
			}
			if b.Leaving && (m.known[ref] || !m.tried[ref]) {
				if !g.cancelBatch(m, ref, part.held, part.tally.byBatch[ref], &sure) {
					continue
				}
			} else if !g.submitBatch(m, part.version, b) {
				continue
			}
			m.sent[ref] = g.now + repeatAfter + micros(g.rng.Int64N(int64(protocol.Second)))
		}
	}
}

// cancelBatch cancels a job that leaves, if it may go. sure is how many instances are surely
// healthy.
func (g *Manager) cancelBatch(m *machine, ref string, held bool, bt batchTally, sure *int) bool {
	if !m.asked[ref] {
		if m.rec.State == Paused || m.known[ref] && (held || !m.mayGo(*sure, bt)) {
			return false
		}
		m.asked[ref] = true
		*sure -= bt.sure
	}
	g.emit(Cancel{ref})
	return true
}

// submitBatch submits a job that is not known yet. While a roll-out is paused only what was tried
// is.
func (g *Manager) submitBatch(m *machine, v *Version, b Batch) bool {
	if m.known[b.Ref] || m.rec.State == Paused && !m.tried[b.Ref] {
		return false
	}
	m.tried[b.Ref] = true
	g.emit(Submit{v.job(b)})
	return true
}

// submitted takes the answer to a submission.
func (g *Manager) submitted(e Submitted) {
	m := g.owners[e.Ref]
	if m == nil {
		return
	}
	switch e.Status {
	case http.StatusOK, http.StatusCreated:
		m.known[e.Ref] = true
		m.tried[e.Ref] = false
		m.sent[e.Ref] = 0
		if e.Phase == protocol.PhaseCancelled {
			m.out[e.Ref], m.gone[e.Ref] = true, true
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		m.tried[e.Ref] = false
		m.refused[e.Ref] = e.Why
	}
}

// wantCheck has an instance checked in its turn. The first one comes at some time
// within the interval, so that the checks of instances that start together, or that
// a new leader finds, don't come together.
func (g *Manager) wantCheck(i *instance) {
	if i.busy || i.place >= 0 {
		return
	}
	every := g.healthCheck(i).Interval
	i.due = g.now + micros(g.rng.Int64N(int64(every)))
	heap.Push(&i.m.due, i)
}

func (g *Manager) healthCheck(i *instance) *protocol.HealthCheck {
	if i.fresh {
		return &i.m.rec.New.Spec.Check
	}
	return &i.m.rec.Old.Spec.Check
}

// check begins the checks that are due, within the bounds. Services take turns, and
// each has its part of those on their way: one whose instances all hang until a long
// time-out must not hold up the checks of the others.
func (g *Manager) check() {
	g.room = min(max(1, g.set.ChecksPerS), g.room+g.set.ChecksPerS*(g.now-g.roomAt).Seconds())
	g.roomAt = g.now
	var list []*machine
	for _, name := range g.names() {
		if m := g.services[name]; len(m.due) > 0 || m.flying > 0 {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return
	}
	part := max(1, g.set.AtOnce/len(list))
	for idle := 0; idle < len(list) && g.room >= 1 && len(g.checks) < g.set.AtOnce; g.turn++ {
		m := list[g.turn%len(list)]
		if i := m.nextDue(g.now); i != nil && m.flying < part {
			heap.Pop(&m.due)
			g.begin(i, nil, "")
			idle = 0
			continue
		}
		idle++
	}
}

// nextDue is the instance whose check is due first, nil: none is. Those that are gone,
// or that nobody asks about any more, are left out.
func (m *machine) nextDue(now micros) *instance {
	for len(m.due) > 0 && m.due[0].due <= now {
		if i := m.due[0]; i.running && !m.rec.State.Ended() {
			return i
		}
		heap.Pop(&m.due)
	}
	return nil
}

// begin begins a check; failed: of the controllers that found it failing.
func (g *Manager) begin(i *instance, failed []string, why string) {
	m := i.m
	t, v := m.old, &m.rec.Old
	if i.fresh {
		t, v = m.new, &m.rec.New
	}
	addr, path, err := t.of(Place{IP: i.ip, Job: i.ref, Number: Number(i.ref), Index: i.index, Attempt: i.attempt, Service: m.rec.Service, Version: v.Hash})
	if err != nil {
		i.took(g.now, false, "", err.Error(), t.spec)
		i.due = g.now + t.spec.Interval
		heap.Push(&m.due, i)
		return
	}
	g.room--
	m.flying++
	g.checkSeq++
	i.busy = true
	g.checks[g.checkSeq] = &check{i: i, attempt: i.attempt, began: g.now, failed: failed, why: why}
	g.emit(Check{ID: g.checkSeq, Kind: t.spec.Kind, Addr: addr, Path: path, Timeout: t.spec.Timeout, Not: failed})
}

// confirmations is how many other controllers have to find an instance failing too,
// as far as there are so many. One would do against one whose links are cut; two of
// three may be cut off together.
const confirmations = 2

// checked takes a check's end. A fail counts once others found the same: else it may
// be the link of the one that made it that is cut.
func (g *Manager) checked(e Checked) {
	c := g.checks[e.ID]
	if c == nil {
		return
	}
	delete(g.checks, e.ID)
	i := c.i
	i.busy = false
	i.m.flying--
	current := i.running && i.attempt == c.attempt && !i.m.rec.State.Ended()
	if current {
		h := g.healthCheck(i)
		switch {
		case e.Made && e.OK:
			against := ""
			for _, against = range c.failed {
				g.emit(Disputed{By: e.By, Against: against})
			}
			i.took(c.began, true, against, c.why, h)
		case e.Made && len(c.failed) < min(confirmations, g.set.Others):
			i.suspect = true
			g.begin(i, append(c.failed, e.By), e.Why)
			return
		case e.Made:
			i.took(c.began, false, "", e.Why, h)
		case len(c.failed) > 1:
			i.took(c.began, false, "", c.why, h) // the others can't be asked
		case len(c.failed) > 0:
			// Nobody else can be asked: it counts as neither.
			i.doubted++
			i.why, i.suspect = c.why, false
		}
	}
	if i.running && i.place < 0 {
		every := g.healthCheck(i).Interval
		i.due = max(g.now, c.began+every*9/10+micros(g.rng.Int64N(int64(every/5)+1)))
		heap.Push(&i.m.due, i)
	}
}

// messageOf is what the operators' template of a message may use.
func messageOf(e Moved) any {
	return struct{ Service, ID, From, To, Reason string }{e.Service, e.ID, e.From.String(), e.To.String(), e.Reason}
}
