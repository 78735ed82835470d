package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"mapleslip/internal/protocol"
)

// machine is the roll-out of one service.
type machine struct {
	rec  *Record // durable
	next *Record // is being written; nothing is decided meanwhile

	old, new  *target
	instances map[slot]*instance
	due       dueHeap // checks to come
	flying    int     // checks on their way
	looks     uint64
	faults    map[slot]string   // new instances that are faulty, and why
	known     map[string]bool   // jobs that were seen, or accepted
	tried     map[string]bool   // jobs whose submission may have been applied, or may still be
	out       map[string]bool   // jobs whose cancellation was answered
	cleared   map[string]bool   // and of which nothing is left
	asked     map[string]bool   // jobs whose cancellation was asked for under this leader
	gone      map[string]bool   // jobs that their user cancelled
	sent      map[string]micros // until then a job's submission or cancellation is not repeated
	refused   map[string]string // jobs that can't run, and why
	clock     micros            // limits on time count from here at the earliest
	progress  micros            // when something last went on
	furthest  int               // stage and state that were reached
	soak      micros            // since when all new instances have been healthy
	blocked   string            // what it waits for

	oldTally, newTally tally
}

// tally counts the instances of a version.
type tally struct {
	live    int // asked for
	present int // asked for, or still on a machine
	running int
	unheard int // not known to run or not: see Instance
	healthy int
	sure    int // healthy, and no check failed that others are asked about now
	failing int // running, and their last check failed
	checked int // running, and known to pass or to fail, or unknown for too long
	byBatch map[string]batchTally
}

type batchTally struct {
	healthy int
	sure    int // healthy, and no check failed that others are asked about now
	maybe   int // that can't be taken for unhealthy
}

func newMachine(rec *Record, now micros) (*machine, error) {
	m := &machine{
		rec: rec, instances: make(map[slot]*instance), faults: make(map[slot]string), known: make(map[string]bool),
		tried: make(map[string]bool), out: make(map[string]bool), cleared: make(map[string]bool), asked: make(map[string]bool), gone: make(map[string]bool), sent: make(map[string]micros), refused: make(map[string]string),
	}
	m.anew(now)
	return m, m.compile()
}

// anew has nothing that was seen before count for what comes.
func (m *machine) anew(now micros) {
	clear(m.faults)
	clear(m.refused)
	m.clock, m.progress, m.furthest, m.soak = now, now, 0, 0
}

// compile makes the targets of the versions' checks.
func (m *machine) compile() (err error) {
	m.old, m.new = nil, nil
	if m.rec.Old.Spec != nil {
		if m.old, err = newTarget(&m.rec.Old.Spec.Check); err != nil {
			return err
		}
	}
	if m.rec.New.Spec != nil {
		m.new, err = newTarget(&m.rec.New.Spec.Check)
	}
	return err
}

func (m *machine) spec() *protocol.RolloutSpec { return m.rec.New.Spec }

// floor is how many instances have to be healthy at any time. The first version of
// a service begins with none.
func (m *machine) floor() int {
	if m.rec.OldCount == 0 {
		return 0
	}
	return m.spec().MinHealthy
}

// most is how many instances there may be at any time.
func (m *machine) most() int { return max(m.spec().Count, m.rec.OldCount) + m.spec().MaxSurge }

// step is how many instances a job has at most. So many go at once, so all others
// being healthy must be enough; and a later roll-out with less surge must be able to
// take them away: there are ten jobs or more, where there are ten instances.
func step(s *protocol.RolloutSpec) int {
	return max(1, min(s.MaxSurge+s.Count-s.MinHealthy, (s.Count+9)/10, mostInBatch))
}

// mostInBatch bounds what a single job takes with it when it goes.
const mostInBatch = 100

// good is how long a pass counts.
func (m *machine) good(v *Version, stretched micros) micros {
	return 3*max(v.Spec.Check.Interval, stretched) + 2*v.Spec.Check.Timeout
}

// look takes in how the jobs stand, and counts.
func (m *machine) look(now micros, fleet JobSource, stretched micros, due func(*instance)) {
	m.looks++
	m.oldTally = m.lookAt(now, fleet, &m.rec.Old, false, stretched, due)
	m.newTally = m.lookAt(now, fleet, &m.rec.New, true, stretched, due)
	for s, i := range m.instances {
		if i.seen != m.looks {
			i.running = false // a result that still comes is nobody's
			delete(m.instances, s)
		}
	}
}

// forget lets go of all instances.
func (m *machine) forget() {
	for _, i := range m.instances {
		i.running = false
	}
	clear(m.instances)
}

// mayGo reports whether a job may be taken away when so many instances are surely
// healthy: the floor holds without it, or all its instances are certainly not
// healthy, so that nothing is lost with it. On the way to a new version that is not
// taken for certain while nothing at all passes: then it may be the checks.
func (m *machine) mayGo(sure int, bt batchTally) bool {
	nothing := m.rec.State.forward() && m.oldTally.healthy+m.newTally.healthy == 0 && m.oldTally.running+m.newTally.running > 0
	return bt.maybe == 0 && !nothing || sure-bt.sure >= m.floor()
}

// observation is a look at the instances of a version.
type observation struct {
	*machine
	now     micros
	version *Version
	fresh   bool   // it is the new version
	good    micros // how old a check may be that still says that an instance is healthy
	due     func(*instance)
	tally   tally
}

// lookAt counts the instances of a version, and has due called for those that run.
func (m *machine) lookAt(now micros, jobs JobSource, v *Version, fresh bool, stretched micros, due func(*instance)) tally {
	o := observation{machine: m, now: now, version: v, fresh: fresh, due: due, tally: tally{byBatch: make(map[string]batchTally, len(v.Batches))}}
	if v.Spec == nil {
		return o.tally
	}
	o.good = m.good(v, stretched)
	for _, b := range v.Batches {
		o.lookAtBatch(jobs, b)
	}
	return o.tally
}

// lookAtBatch counts the instances of a job.
func (o *observation) lookAtBatch(jobs JobSource, b Batch) {
	var bt batchTally
	each := func(in Instance) {
		if in.Index < b.Tasks {
			o.lookAtInstance(b.Ref, in, &bt)
		}
	}
	if b.Leaving && o.asked[b.Ref] {
		each = nil
	}
	job := jobs.Job(b.Ref, each)
	if b.Leaving && job.Life == Cancelled {
		o.asked[b.Ref] = true // by the leader before, or by its user
	}
	switch {
	case job.Life == Live:
		o.known[b.Ref] = true
	case b.Leaving:
	case job.Life == Cancelled || o.known[b.Ref]:
		o.gone[b.Ref] = true
	}
	t := &o.tally
	if !b.Leaving {
		t.live += b.Tasks
	}
	left := o.out[b.Ref] && (job.Life == Absent || job.Settled)
	if !b.Leaving || !left {
		t.present += b.Tasks
	} else {
		o.cleared[b.Ref] = true
	}
	t.healthy += bt.healthy
	t.sure += bt.sure
	t.byBatch[b.Ref] = bt
}

// lookAtInstance counts an instance.
func (o *observation) lookAtInstance(ref string, in Instance, bt *batchTally) {
	i := o.observe(slot{ref, in.Index}, in)
	t := &o.tally
	if in.Unheard {
		t.unheard++
	}
	if !in.Running {
		return
	}
	t.running++
	o.due(i)
	if i.health != Unknown || o.now-max(i.since, o.clock) > o.version.Spec.HealthTimeout {
		t.checked++
	}
	if i.row < 0 {
		t.failing++
	}
	if i.healthy(o.now, o.good) {
		bt.healthy++
		if !i.suspect {
			bt.sure++
		}
	}
	if !i.unhealthy() {
		bt.maybe++
	}
}

// observe is the instance in a slot. One that runs anew begins anew.
func (o *observation) observe(s slot, in Instance) *instance {
	i := o.instances[s]
	switch {
	case i == nil:
		i = &instance{slot: s, m: o.machine, fresh: o.fresh, place: -1}
		o.instances[s] = i
		i.restart(o.now, in)
	case i.running != in.Running || in.Running && i.attempt != in.Attempt:
		i.restart(o.now, in)
	}
	i.seen = o.looks
	return i
}

// late lists what of a version waits for longer than it may: instances without a
// place, and instances that run and have not passed.
func (m *machine) late(now micros, fresh bool, s *protocol.RolloutSpec) (unplaced int, unhealthy, doubted []*instance) {
	for _, i := range m.instances {
		if i.fresh != fresh || i.seen != m.looks {
			continue
		}
		waited := now - max(i.since, m.clock)
		switch {
		case !i.running && waited > s.StartTimeout:
			unplaced++
		case i.running && !i.passing && waited > s.HealthTimeout && i.doubted > 0 && i.results == 0:
			doubted = append(doubted, i)
		case i.running && !i.passing && waited > s.HealthTimeout:
			unhealthy = append(unhealthy, i)
		}
	}
	order := func(a, b *instance) int { return a.compare(b.slot) }
	slices.SortFunc(unhealthy, order)
	slices.SortFunc(doubted, order)
	return unplaced, unhealthy, doubted
}

// blame notes new instances that are faulty.
func (m *machine) blame(i *instance, why string) {
	if i.fresh && m.faults[i.slot] == "" {
		m.faults[i.slot] = why
	}
}

// findFaults looks for new instances that are faulty by their checks.
func (m *machine) findFaults(now micros) {
	s := m.spec()
	for _, i := range m.instances {
		if !i.fresh || !i.running {
			continue
		}
		switch {
		case i.passing && i.health == Failing:
			m.blame(i, fmt.Sprintf("failed %d checks in a row: %s", -i.row, i.why))
		case i.passing && i.flaps():
			m.blame(i, fmt.Sprintf("flaps, %d or more of its last 8 checks failed: %s", mostFlaps, i.why))
		}
	}
	_, unhealthy, _ := m.late(now, true, s)
	for _, i := range unhealthy {
		why := i.why
		if why == "" {
			why = "no check was made"
		}
		m.blame(i, fmt.Sprintf("did not pass within %g s: %s", s.HealthTimeout.Seconds(), why))
	}
}

// faulty says which new instances are.
func (m *machine) faulty() string {
	keys := slices.SortedFunc(maps.Keys(m.faults), slot.compare)
	return fmt.Sprintf("%d of %d new instances faulty, %s %s", len(keys), m.newTally.live, keys[0], m.faults[keys[0]])
}

// active reports whether there is something to do for a service.
func (m *machine) active() bool {
	return !m.rec.State.Ended() || m.rec.leaving() > 0
}

// tidy takes jobs of which nothing is left out of a record.
func (m *machine) tidy(n *Record) *Record {
	for _, v := range []*Version{&n.Old, &n.New} {
		v.Batches = slices.DeleteFunc(v.Batches, func(b Batch) bool { return b.Leaving && m.cleared[b.Ref] })
	}
	return n
}

// unwell counts the faulty instances that are not healthy: a roll-out that bears
// some goes on without them.
func (m *machine) unwell(now micros, stretched micros) (n int) {
	good := m.good(&m.rec.New, stretched)
	for s := range m.faults {
		if i := m.instances[s]; i != nil && !i.healthy(now, good) {
			n++
		}
	}
	return n
}

// decide works out the next change of the record, nil: none now. m.look came before.
func (m *machine) decide(now, stretched micros) *Record {
	r := m.rec
	if r.State.Ended() {
		// One that failed may have jobs that are still being taken away. Until they are
		// out of its record no other roll-out of the service can begin.
		if n := m.tidy(r.clone()); len(n.Old.Batches)+len(n.New.Batches) < len(r.Old.Batches)+len(r.New.Batches) {
			return n
		}
		return nil
	}
	m.blocked = ""
	if n := m.userCancelled(); n != nil {
		return n
	}
	if r.State == Paused {
		return nil
	}
	if n := m.retract(); n != nil {
		return n
	}
	if n := m.pauseIfRefused(); n != nil {
		return n
	}
	if n := m.revertIfFaulty(now); n != nil {
		return n
	}
	if n := m.tooLate(now); n != nil {
		return n
	}
	well := m.newTally.healthy+m.unwell(now, stretched) >= m.newTally.live
	var n *Record
	switch r.State {
	case Planned:
		n = m.plan()
	case Staging:
		n = m.stage()
	case Checking:
		n = m.check(well)
	case Soaking:
		n = m.soaked(now, well)
	case Promoting:
		n = m.promote()
	case Reverting:
		n = m.revert()
	case Paused, Done, Reverted, Failed, Idle:
	}
	if n != nil {
		// One instance that fails now and then would have checking and soaking
		// follow each other for ever: only what was not reached before counts.
		if at := n.Stage*int(Idle) + int(n.State); at > m.furthest || n.Made > r.Made || n.leaving() > r.leaving() {
			m.furthest, m.progress = max(at, m.furthest), now
		}
	}
	if s := m.spec(); now-m.progress > s.StartTimeout+s.HealthTimeout+2*s.SoakTime {
		return m.pause("nothing went on for too long: " + cmp.Or(m.blocked, "checks are missing"))
	}
	return n
}

// pauseIfRefused pauses a roll-out of which a job was refused.
func (m *machine) pauseIfRefused() *Record {
	for _, v := range []*Version{&m.rec.New, &m.rec.Old} {
		for _, b := range v.Batches {
			if why := m.refused[b.Ref]; why != "" && !b.Leaving {
				return m.pause("a job was refused: " + why)
			}
		}
	}
	return nil
}

// revertIfFaulty turns back if too many new instances are faulty.
func (m *machine) revertIfFaulty(now micros) *Record {
	if !m.rec.State.forward() {
		return nil
	}
	m.findFaults(now)
	if len(m.faults) <= m.spec().MaxFaulty {
		return nil
	}
	// Where the old ones fail as well it is not the version: nothing would be better without the
	// new ones.
	if o := m.oldTally; 2*o.failing > o.running && o.running > 0 {
		return m.pause(fmt.Sprintf("%s; %d of %d old ones fail as well: not reverted", m.faulty(), o.failing, o.running))
	}
	n := m.rec.clone()
	n.to(Reverting, shorten(m.faulty()))
	return n
}

// retract keeps jobs that were to go and may not any more: while the record was on
// its way others have failed, or the roll-out turned back.
func (m *machine) retract() *Record {
	n, changed := m.rec.clone(), false
	for _, v := range []*Version{&n.Old, &n.New} {
		for k, b := range v.Batches {
			if b.Leaving && m.known[b.Ref] && !m.asked[b.Ref] && !m.out[b.Ref] {
				v.Batches[k].Leaving, changed = false, true
			}
		}
	}
	if !changed {
		return nil
	}
	return n
}

// userCancelled takes out of the record what its user cancelled, and pauses.
func (m *machine) userCancelled() *Record {
	var n *Record
	ref := ""
	drop := func(v *Version) {
		v.Batches = slices.DeleteFunc(v.Batches, func(b Batch) bool {
			if m.gone[b.Ref] && !b.Leaving {
				ref = b.Ref
				return true
			}
			return false
		})
	}
	if len(m.gone) > 0 {
		n = m.rec.clone()
		drop(&n.Old)
		drop(&n.New)
	}
	switch {
	case ref == "":
		return nil
	case n.Old.live()+n.New.live() == 0:
		n.to(Failed, "the service was cancelled by its user")
	case n.State == Paused:
		n.Reason = fmt.Sprintf("%s was cancelled by its user; before: %s", ref, n.Reason)
		n.Reason = shorten(n.Reason)
	default:
		n.to(Paused, ref+" was cancelled by its user: resume or revert replaces its instances")
	}
	return n
}

// mostReason bounds what is kept of why.
const mostReason = 400

func shorten(why string) string { return strings.ToValidUTF8(why[:min(len(why), mostReason)], "") }

func (m *machine) pause(why string) *Record {
	n := m.rec.clone()
	n.to(Paused, shorten(why))
	return n
}

// tooLate pauses where instances don't get places, or can't be checked.
func (m *machine) tooLate(now micros) *Record {
	r, s := m.rec, m.spec()
	if r.State == Planned {
		return nil
	}
	fresh, which := true, "new"
	if r.State == Reverting {
		fresh, which = false, "old"
		if r.Old.Spec == nil {
			return nil
		}
	}
	unplaced, unhealthy, doubted := m.late(now, fresh, s)
	switch {
	case unplaced > 0:
		return m.pause(fmt.Sprintf("no room: %d %s instances got no place within %g s", unplaced, which, s.StartTimeout.Seconds()))
	case len(doubted) > 0:
		return m.pause(fmt.Sprintf("%s does not answer here, and no other controller can be asked to check it", doubted[0]))
	case r.State == Reverting && len(unhealthy) > 0 && m.oldTally.healthy+m.newTally.healthy < m.floor():
		return m.pause(fmt.Sprintf("the old version fails as well: %s did not pass within %g s", unhealthy[0], s.HealthTimeout.Seconds()))
	}
	return nil
}

// plan waits for the first checks of what is there.
func (m *machine) plan() *Record {
	r, o := m.rec, m.oldTally
	if o.unheard > 0 {
		// A new leader that had not heard of the machines yet took all instances for down,
		// and paused for somebody to look.
		m.blocked = fmt.Sprintf("%d of %d old instances are not heard of yet", o.unheard, o.live)
		return nil
	}
	if o.checked < o.running {
		m.blocked = fmt.Sprintf("%d of %d old instances are checked", o.checked, o.running)
		return nil
	}
	if o.healthy < m.floor() && !r.Forced {
		return m.pause(fmt.Sprintf("%d of %d instances are healthy before anything is done, fewer than the floor of %d; resume goes on all the same", o.healthy, o.live, m.floor()))
	}
	n := r.clone()
	n.to(Staging, "")
	return n
}

// add makes jobs for so many instances of a version.
func (r *Record) add(v *Version, count int) {
	for most := step(r.New.Spec); count > 0; {
		n := min(count, most)
		r.Made++
		v.Batches = append(v.Batches, Batch{Ref: jobRef(r.Service, r.New.Spec.ID, r.Made), Tasks: n})
		count -= n
	}
}

// keep is how many old instances are left once so many new ones are there.
func (m *machine) keep(fresh int) int {
	s := m.spec()
	return (m.rec.OldCount*(s.Count-fresh) + s.Count - 1) / s.Count
}

// remove takes jobs of a version away, those first with which the fewest healthy
// instances go, as long as the floor holds and so many instances are left; over:
// one job may take more with it. It reports whether it took any.
func (m *machine) remove(v *Version, t tally, left int, over bool) bool {
	sure := m.oldTally.sure + m.newTally.sure
	order := make([]int, 0, len(v.Batches))
	for k, b := range v.Batches {
		if !b.Leaving {
			order = append(order, k)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(t.byBatch[v.Batches[a].Ref].healthy, t.byBatch[v.Batches[b].Ref].healthy)
	})
	live, changed := v.live(), false
	for _, k := range order {
		b := &v.Batches[k]
		bt := t.byBatch[b.Ref]
		if live <= left || live-b.Tasks < left && !over {
			continue
		}
		if !m.mayGo(sure, bt) {
			m.blocked = fmt.Sprintf("%d instances are healthy, to take %s away would leave %d of at least %d", sure, b.Ref, sure-bt.sure, m.floor())
			continue
		}
		b.Leaving = true
		sure -= bt.sure
		live -= b.Tasks
		changed = true
	}
	return changed
}

// stage adds instances of the new version up to the stage's number.
func (m *machine) stage() *Record {
	r := m.rec
	want := m.spec().Stages[r.Stage]
	n := r.clone()
	if m.newTally.live >= want {
		n.to(Checking, "")
		return n
	}
	if room := m.most() - m.newTally.present - m.oldTally.present; room > 0 {
		n.add(&n.New, min(room, want-m.newTally.live))
		return n
	}
	m.blocked = "instances that were taken away are still there"
	if left := m.keep(want); m.remove(&n.Old, m.oldTally, left, false) || m.oldTally.live == m.oldTally.present && m.remove(&n.Old, m.oldTally, left, true) {
		return n
	}
	return nil
}

// check waits until all new instances are healthy.
func (m *machine) check(well bool) *Record {
	t := m.newTally
	n := m.rec.clone()
	switch {
	case t.live < m.spec().Stages[m.rec.Stage]:
		n.to(Staging, "") // some were cancelled by their user
	case well:
		n.to(Soaking, "")
	default:
		m.blocked = fmt.Sprintf("%d of %d new instances are healthy", t.healthy, t.live)
		return nil
	}
	return n
}

// soaked waits until they have been healthy for the soak time. Nobody knows what
// was before this node led: then it begins anew.
func (m *machine) soaked(now micros, well bool) *Record {
	t := m.newTally
	n := m.rec.clone()
	switch {
	case !well || t.live < m.spec().Stages[m.rec.Stage]:
		m.soak = 0
		m.blocked = "new instances don't stay healthy for the soak time"
		n.to(Checking, "")
	case m.soak == 0:
		m.soak = now
		return nil
	case now-m.soak >= m.spec().SoakTime:
		m.soak = 0
		n.to(Promoting, "")
	default:
		return nil
	}
	return n
}

// promote takes as many old instances away as the stage says.
func (m *machine) promote() *Record {
	r, s := m.rec, m.spec()
	n := r.clone()
	last := r.Stage == len(s.Stages)-1
	left := m.keep(s.Stages[r.Stage])
	if m.newTally.live < s.Stages[r.Stage] {
		n.to(Checking, "")
		return n
	}
	if m.remove(&n.Old, m.oldTally, left, last) {
		return n
	}
	for _, b := range r.Old.Batches {
		if !b.Leaving && (last || m.oldTally.live-b.Tasks >= left) {
			return nil // the floor forbids it now
		}
	}
	switch {
	case !last:
		n.Stage++
		n.to(Staging, "")
	case m.oldTally.present > 0:
		m.blocked = "old instances are still there"
		return nil
	default:
		n.Old, n.New.Batches = n.New, nil
		n.to(Done, "")
	}
	return n
}

// revert brings the old instances back and takes the new ones away. What fails
// goes at once; a healthy new one goes when the floor holds without it.
func (m *machine) revert() *Record {
	r := m.rec
	n := r.clone()
	changed := m.remove(&n.New, m.newTally, 0, true)
	if r.OldCount > 0 {
		if room := min(m.most()-m.newTally.present-m.oldTally.present, r.OldCount-m.oldTally.live); room > 0 {
			n.add(&n.Old, room)
			changed = true
		}
	}
	if changed {
		return n
	}
	switch {
	case m.newTally.present > 0:
		m.blocked = cmp.Or(m.blocked, "new instances are still there")
	case m.oldTally.present > m.oldTally.live:
		m.blocked = "old instances that were taken away are still there"
	case m.oldTally.live < r.OldCount:
		m.blocked = "there is no room for the old instances"
	case m.oldTally.healthy < m.floor():
		m.blocked = fmt.Sprintf("%d of %d old instances are healthy, fewer than the floor of %d", m.oldTally.healthy, m.oldTally.live, m.floor())
	default:
		n.New.Batches = nil
		n.to(Reverted, r.Reason)
		return n
	}
	return nil
}
