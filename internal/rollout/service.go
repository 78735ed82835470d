package rollout

import (
	"slices"

	"mapleslip/internal/protocol"
)

// service is the roll-out of one service.
type service struct {
	record  *Record // durable
	pending *Record // is being written; nothing is decided meanwhile

	oldTarget, newTarget *target
	instances            map[slot]*instance
	due                  dueHeap // checks to come
	checksInFlight       int
	observations         uint64            // how often the instances were looked at
	faults               map[slot]string   // new instances that are faulty, and why
	known                map[string]bool   // jobs that were seen, or accepted
	submitPending        map[string]bool   // jobs whose submission may have been applied, or may still be
	cancelConfirmed      map[string]bool   // jobs whose cancellation was answered
	cleared              map[string]bool   // and of which nothing is left
	cancelRequested      map[string]bool   // jobs whose cancellation was asked for under this leader
	cancelledByUser      map[string]bool   // jobs that their user cancelled
	retryAt              map[string]micros // until then a job's submission or cancellation is not repeated
	refused              map[string]string // jobs that can't run, and why
	timeoutsFrom         micros            // limits on time count from here at the earliest
	progressAt           micros            // when something last went on
	furthest             int               // stage and state that were reached
	healthySince         micros            // since when all new instances have been healthy
	blocked              string            // what it waits for

	oldTally, newTally tally
}

// newService makes a service as its record has it.
func newService(rec *Record, now micros) (*service, error) {
	sv := &service{
		record: rec, instances: make(map[slot]*instance), faults: make(map[slot]string), known: make(map[string]bool),
		submitPending: make(map[string]bool), cancelConfirmed: make(map[string]bool), cleared: make(map[string]bool),
		cancelRequested: make(map[string]bool), cancelledByUser: make(map[string]bool), retryAt: make(map[string]micros),
		refused: make(map[string]string),
	}
	sv.reset(now)
	return sv, sv.compileTargets()
}

// reset has nothing that was seen before count for what comes.
func (sv *service) reset(now micros) {
	clear(sv.faults)
	clear(sv.refused)
	sv.timeoutsFrom, sv.progressAt, sv.furthest, sv.healthySince = now, now, 0, 0
}

// compileTargets makes the targets of the versions' checks.
func (sv *service) compileTargets() (err error) {
	sv.oldTarget, sv.newTarget = nil, nil
	if sv.record.Old.Spec != nil {
		if sv.oldTarget, err = newTarget(&sv.record.Old.Spec.Check); err != nil {
			return err
		}
	}
	if sv.record.New.Spec != nil {
		sv.newTarget, err = newTarget(&sv.record.New.Spec.Check)
	}
	return err
}

// spec is what the last roll-out was asked to do.
func (sv *service) spec() *protocol.RolloutSpec { return sv.record.New.Spec }

// newest is the record as it is being written, or as it is.
func (sv *service) newest() *Record {
	if sv.pending != nil {
		return sv.pending
	}
	return sv.record
}

// minHealthy is how many instances have to be healthy at any time. The first version of
// a service begins with none.
func (sv *service) minHealthy() int {
	if sv.record.OldCount == 0 {
		return 0
	}
	return sv.spec().MinHealthy
}

// maxInstances is how many instances there may be at any time.
func (sv *service) maxInstances() int {
	return max(sv.spec().Count, sv.record.OldCount) + sv.spec().MaxSurge
}

// batchSize is how many instances a job has at most. So many go at once, so all others
// being healthy must be enough; and a later roll-out with less surge must be able to
// take them away: there are ten jobs or more, where there are ten instances.
func batchSize(s *protocol.RolloutSpec) int {
	return max(1, min(s.MaxSurge+s.Count-s.MinHealthy, (s.Count+9)/10, maxBatchSize))
}

// maxBatchSize bounds what a single job takes with it when it goes.
const maxBatchSize = 100

// passLifetime is how long a pass counts.
func (sv *service) passLifetime(v *Version, checkRoundTime micros) micros {
	return 3*max(v.Spec.Check.Interval, checkRoundTime) + 2*v.Spec.Check.Timeout
}

// dropInstances forgets all instances.
func (sv *service) dropInstances() {
	for _, i := range sv.instances {
		i.running = false
	}
	clear(sv.instances)
}

// mayCancel reports whether a job may be taken away when so many instances are surely
// healthy: the floor holds without it, or all its instances are certainly not
// healthy, so that nothing is lost with it. On the way to a new version that is not
// taken for certain while nothing at all passes: then it may be the checks.
func (sv *service) mayCancel(sure int, bt batchTally) bool {
	nothing := sv.record.State.forward() && sv.oldTally.healthy+sv.newTally.healthy == 0 && sv.oldTally.running+sv.newTally.running > 0
	return bt.possiblyHealthy == 0 && !nothing || sure-bt.certainlyHealthy >= sv.minHealthy()
}

// needsWork reports whether there is something to do for a service.
func (sv *service) needsWork() bool {
	return !sv.record.State.Ended() || sv.record.leavingJobs() > 0
}

// dropClearedBatches takes jobs of which nothing is left out of a record.
func (sv *service) dropClearedBatches(n *Record) *Record {
	for _, v := range []*Version{&n.Old, &n.New} {
		v.Batches = slices.DeleteFunc(v.Batches, func(b Batch) bool { return b.Leaving && sv.cleared[b.Ref] })
	}
	return n
}
