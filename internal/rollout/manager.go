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

// Settings limit the load that roll-outs cause.
type Settings struct {
	ChecksPerS       float64            // of all services; above it, checks become less frequent
	MaxInFlight      int                // concurrent checks
	MaxServices      int                // services that may have a record
	ValueBytes       int                // maximum size of a record
	OtherControllers int                // controllers that can confirm a failed check
	Message          *template.Template // to operators about a change of state, nil for none
}

// Manager runs the roll-outs of all services.
type Manager struct {
	settings  Settings
	jobs      JobSource
	rng       *rand.Rand
	now       micros
	effects   []Effect
	services  map[string]*service   // by name
	owners    map[string]*service   // services by the names of their jobs
	afterSave map[*service][]func() // called once the pending record of a service is durable

	nextService    int // position of the service whose due checks are started first
	checks         map[uint64]*checkInFlight
	checkSeq       uint64
	checkBudget    float64 // checks that may be started now
	checkBudgetAt  micros
	lastObservedAt micros
}

// observationInterval is the time between two observations of the jobs of a service.
const observationInterval = 500 * protocol.Millisecond

// SetValueBytes sets the maximum size of a record from now on.
func (m *Manager) SetValueBytes(n int) { m.settings.ValueBytes = n }

// seedStream makes the random numbers differ from those of other generators with the same seed.
const seedStream = 0x726f6c6c

// NewManager creates a manager without services. seed determines the random times of checks.
func NewManager(s Settings, jobs JobSource, seed uint64) *Manager {
	return &Manager{
		settings: s, jobs: jobs, rng: rand.New(rand.NewPCG(seed, seedStream)), services: make(map[string]*service),
		owners: make(map[string]*service), afterSave: make(map[*service][]func()), checks: make(map[uint64]*checkInFlight),
	}
}

// Load adds a service from its stored record. It must be called before the first Step.
func (m *Manager) Load(now micros, value []byte) error {
	record, err := Decode(value)
	if err != nil {
		return err
	}
	sv, err := newService(record, now)
	if err != nil {
		return fmt.Errorf("record of a roll-out: %w", err)
	}
	m.services[record.Service] = sv
	m.registerOwner(sv)
	return nil
}

// States counts the services by the state of their roll-out.
func (m *Manager) States() map[string]int {
	counts := make(map[string]int)
	for _, sv := range m.services {
		counts[sv.record.State.String()]++
	}
	return counts
}

// registerOwner registers a service as the owner of the jobs in its record.
func (m *Manager) registerOwner(sv *service) {
	for _, v := range []*Version{&sv.record.Old, &sv.record.New} {
		for _, b := range v.Batches {
			m.owners[b.Ref] = sv
		}
	}
}

// Step handles one event and returns the effects that the caller has to carry out.
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
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Manager) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Manager) serviceNames() []string { return slices.Sorted(maps.Keys(m.services)) }

func (m *Manager) tick() {
	if m.now-m.lastObservedAt >= observationInterval || m.lastObservedAt == 0 {
		m.lastObservedAt = m.now
		for _, name := range m.serviceNames() {
			if sv := m.services[name]; sv.needsWork() {
				m.advance(sv, m.checkRoundTime(sv))
			}
		}
	}
	m.startDueChecks()
}

// advance observes a service, carries out its durable record and decides its next change.
func (m *Manager) advance(sv *service, checkRoundTime micros) {
	sv.observe(m.now, m.jobs, checkRoundTime, m.scheduleCheck)
	m.reconcileJobs(sv)
	if sv.pending == nil {
		if next := sv.decide(m.now, checkRoundTime); next != nil {
			m.save(sv, next)
		}
	}
}

// checkRoundTime returns how long it takes to check all instances of a service once, with its share
// of the check rate.
func (m *Manager) checkRoundTime(sv *service) micros {
	n := 0
	for _, other := range m.services {
		if len(other.instances) > 0 {
			n++
		}
	}
	return protocol.FromSeconds(float64(len(sv.instances)*n) / m.settings.ChecksPerS)
}

// save requests that a record be written. No further change is decided until it is durable.
func (m *Manager) save(sv *service, next *Record) {
	sv.dropClearedBatches(next).Changes++
	sv.pending = next
	m.emit(Save{next.Service, next.Encode()})
}

func (m *Manager) onSaved(e Saved) {
	sv := m.services[e.Service]
	if sv == nil || sv.pending == nil {
		return
	}
	previous := sv.record
	sv.record, sv.pending = sv.pending, nil
	if previous.New.Spec != sv.record.New.Spec || previous.Old.Spec != sv.record.Old.Spec {
		if err := sv.compileTargets(); err != nil { // the checks were compiled before saving
			panic(err)
		}
	}
	for _, v := range []*Version{&previous.Old, &previous.New} {
		for _, b := range v.Batches {
			delete(m.owners, b.Ref)
		}
	}
	m.registerOwner(sv)
	if sv.record.State == Soaking || sv.record.State == Checking {
		sv.healthySince = 0
	}
	if previous.State != sv.record.State {
		m.emitStateChange(sv, previous)
	}
	if sv.record.State.Ended() {
		sv.dropInstances()
	}
	// Saving the record may have taken as long as a minute, so the jobs are observed again before
	// the record is carried out.
	sv.observe(m.now, m.jobs, m.checkRoundTime(sv), m.scheduleCheck)
	m.reconcileJobs(sv)
	callbacks := m.afterSave[sv]
	delete(m.afterSave, sv)
	for _, callback := range callbacks {
		callback()
	}
}

func (m *Manager) emitStateChange(sv *service, previous *Record) {
	e := StateChanged{Service: sv.record.Service, ID: sv.record.New.Spec.ID, From: previous.State, To: sv.record.State, Reason: sv.record.Reason}
	if m.settings.Message != nil {
		var b bytes.Buffer
		if err := m.settings.Message.Execute(&b, messageData(e)); err == nil {
			e.Text = b.String()
		}
	}
	m.emit(e)
}

// messageData returns the data available to the operators' message template.
func messageData(e StateChanged) any {
	return struct{ Service, ID, From, To, Reason string }{e.Service, e.ID, e.From.String(), e.To.String(), e.Reason}
}
