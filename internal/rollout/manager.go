package rollout

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"text/template"

	"mapleslip/internal/protocol"
)

// Settings bound what roll-outs may cost.
type Settings struct {
	ChecksPerS       float64            // of all services; beyond it checks are made less often
	MaxInFlight      int                // checks on their way
	MaxServices      int                // that may have a record
	ValueBytes       int                // that a record may have
	OtherControllers int                // that can confirm a failed check
	Message          *template.Template // for operators, of a change of state; nil: none
}

// Manager has the roll-outs of all services.
type Manager struct {
	settings Settings
	jobs     JobSource
	rng      *rand.Rand
	now      micros
	effects  []Effect
	services map[string]*service
	owners   map[string]*service   // by job
	waiting  map[*service][]func() // what is done once a record is durable

	nextService    int // whose checks come first
	checks         map[uint64]*checkInFlight
	checkSeq       uint64
	checkBudget    float64 // checks that may begin now
	checkBudgetAt  micros
	lastObservedAt micros
}

// observationInterval is how often the jobs of a service are looked at.
const observationInterval = 500 * protocol.Millisecond

// SetValueBytes tells how long a record may be from now on.
func (m *Manager) SetValueBytes(n int) { m.settings.ValueBytes = n }

// seedStream keeps the random numbers apart from those of others that are seeded alike.
const seedStream = 0x726f6c6c

// NewManager makes a manager without services. seed spreads the checks.
func NewManager(s Settings, jobs JobSource, seed uint64) *Manager {
	return &Manager{
		settings: s, jobs: jobs, rng: rand.New(rand.NewPCG(seed, seedStream)), services: make(map[string]*service),
		owners: make(map[string]*service), waiting: make(map[*service][]func()), checks: make(map[uint64]*checkInFlight),
	}
}

// Load takes a service's record, before any event.
func (m *Manager) Load(now micros, value []byte) error {
	rec, err := Decode(value)
	if err != nil {
		return err
	}
	sv, err := newService(rec, now)
	if err != nil {
		return fmt.Errorf("record of a roll-out: %w", err)
	}
	m.services[rec.Service] = sv
	m.addOwner(sv)
	return nil
}

// States counts the roll-outs by state.
func (m *Manager) States() map[string]int {
	by := make(map[string]int)
	for _, sv := range m.services {
		by[sv.record.State.String()]++
	}
	return by
}

// addOwner notes which jobs are a service's.
func (m *Manager) addOwner(sv *service) {
	for _, v := range []*Version{&sv.record.Old, &sv.record.New} {
		for _, b := range v.Batches {
			m.owners[b.Ref] = sv
		}
	}
}

// Step handles one event.
func (m *Manager) Step(now micros, ev Event) []Effect {
	m.now = max(m.now, now)
	switch e := ev.(type) {
	case Tick:
		m.tick()
	case Saved:
		m.onSaved(e)
	case Submitted:
		m.onSubmitted(e)
	case CancelDone:
		if sv := m.owners[e.Ref]; sv != nil && (e.Status == 200 || e.Status == 404 && !sv.submitPending[e.Ref]) {
			sv.cancelConfirmed[e.Ref] = true
		}
	case Checked:
		m.onChecked(e)
	case TaskFailed:
		if sv := m.owners[e.Ref]; sv != nil && !sv.record.State.Ended() {
			for _, b := range sv.record.New.Batches {
				if b.Ref == e.Ref && !b.Leaving {
					sv.faults[slot{e.Ref, e.Index}] = "crashed"
				}
			}
		}
	case Request:
		m.onRequest(e)
	}
	list := m.effects
	m.effects = nil
	return list
}

func (m *Manager) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Manager) names() []string { return slices.Sorted(maps.Keys(m.services)) }

func (m *Manager) tick() {
	if m.now-m.lastObservedAt >= observationInterval || m.lastObservedAt == 0 {
		m.lastObservedAt = m.now
		for _, name := range m.names() {
			if sv := m.services[name]; sv.needsWork() {
				m.advance(sv, m.checkRoundTime(sv))
			}
		}
	}
	m.startDueChecks()
}

// advance looks at a service, does what its durable record says, and decides.
func (m *Manager) advance(sv *service, checkRoundTime micros) {
	sv.observe(m.now, m.jobs, checkRoundTime, m.scheduleCheck)
	m.reconcileJobs(sv)
	if sv.pending == nil {
		if n := sv.decide(m.now, checkRoundTime); n != nil {
			m.save(sv, n)
		}
	}
}

// checkRoundTime is how long it takes to check all instances of a service once, with its
// part of the checks.
func (m *Manager) checkRoundTime(sv *service) micros {
	n := 0
	for _, o := range m.services {
		if len(o.instances) > 0 {
			n++
		}
	}
	return protocol.FromSeconds(float64(len(sv.instances)*n) / m.settings.ChecksPerS)
}

// save asks for a record to be written. Until it is, nothing else is decided.
func (m *Manager) save(sv *service, n *Record) {
	sv.dropClearedBatches(n).Changes++
	sv.pending = n
	m.emit(Save{n.Service, n.Encode()})
}

func (m *Manager) onSaved(e Saved) {
	sv := m.services[e.Service]
	if sv == nil || sv.pending == nil {
		return
	}
	was := sv.record
	sv.record, sv.pending = sv.pending, nil
	if was.New.Spec != sv.record.New.Spec || was.Old.Spec != sv.record.Old.Spec {
		if err := sv.compileTargets(); err != nil { // it was compiled before
			panic(err)
		}
	}
	for _, v := range []*Version{&was.Old, &was.New} {
		for _, b := range v.Batches {
			delete(m.owners, b.Ref)
		}
	}
	m.addOwner(sv)
	if sv.record.State == Soaking || sv.record.State == Checking {
		sv.healthySince = 0
	}
	if was.State != sv.record.State {
		m.emitStateChange(sv, was)
	}
	if sv.record.State.Ended() {
		sv.dropInstances()
	}
	// The record may have taken a minute: what it says is done as things are now.
	sv.observe(m.now, m.jobs, m.checkRoundTime(sv), m.scheduleCheck)
	m.reconcileJobs(sv)
	waiting := m.waiting[sv]
	delete(m.waiting, sv)
	for _, fn := range waiting {
		fn()
	}
}

func (m *Manager) emitStateChange(sv *service, was *Record) {
	e := StateChanged{Service: sv.record.Service, ID: sv.record.New.Spec.ID, From: was.State, To: sv.record.State, Reason: sv.record.Reason}
	if m.settings.Message != nil {
		var b bytes.Buffer
		if err := m.settings.Message.Execute(&b, messageOf(e)); err == nil {
			e.Text = b.String()
		}
	}
	m.emit(e)
}

// messageOf is what the operators' template of a message may use.
func messageOf(e StateChanged) any {
	return struct{ Service, ID, From, To, Reason string }{e.Service, e.ID, e.From.String(), e.To.String(), e.Reason}
}
