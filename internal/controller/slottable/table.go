// Package slottable implements the slot table: what is free on each machine over time, from
// estimates of run times. It computes which task could start on which machine and when; it sends no
// commands and does no I/O.
//
// It follows Haizea's slot table (Sotomayor, Keahey, Foster, HPDC 2008, section 3.2): a task can
// start on a machine at the later of two times, when its image is ready and when there is room; a
// job gets the machines with the earliest such starts; and later jobs start only where that moves
// no booking.
//
// The table has one row for each machine, and is kept for a leader's term. A row is updated when
// something has changed on its machine. A scheduling cycle over the queue only puts marks on the
// rows for the tasks that it plans. Work counts the rows that the cycle has visited, so that the
// caller can bound it.
//
// An index finds the best places without a visit to every row. Rows that a request can only allow
// or exclude together form a group. Within a group they are indexed by what is free now, in
// buckets, and by the time from which each number of whole GPUs is free, in lists. A row never has
// more free, or has it sooner, than the index records: a search uses the index as a bound, and
// examines rows in the order of their bounds until no other row can be better. See
// docs/slot-table.md.
package slottable

import "mapleslip/internal/protocol"

type (
	micros    = protocol.Micros
	resources = protocol.Resources
)

// Table is the slot table.
type Table struct {
	Now  micros
	Work int // work done since the caller last set it to 0: visited rows, and steps that cost as much

	machines      []*Machine
	addedRows     int // number of rows added so far
	imageIDs      map[string]int32
	hasBlockedJob bool // the cycle has found the first job that can't start now

	markedRows []*Machine // rows with marks
	inTrial    bool
	trialMarks []*Machine // rows marked since the outermost trial began, one entry for each mark

	groups          map[groupKey]*group
	groupList       []*group
	groupsByZone    map[string][]*group
	zones           []string       // in the order of their first rows
	imageHolders    [][]indexedRow // by image ID, rows that have the image, see indexImages
	staleRows       []*Machine     // rows that have to be reindexed
	outdatedHolders []outdatedHolder

	nowSearch, laterSearch search
	searchSeq              uint32
	refusals               []refusal
	cursorBuffer           []cursor // reused by VisitPreemptible
	imageIDBuffer          []int32  // reused by indexImages
	gangZoneBuffer         []string // reused by gangZones
	taskSearch             taskSearch
}

// Cost of visiting rows, in units of Table.Work.
const (
	visitWork      = 1 // visit a row for a place now, or a group
	searchRoomWork = 8 // search a row for a place at any time
	nextTaskWork   = 2 // the same for one more task, from the place of the last one on
)

// ImageID returns the ID of an image in this table, and assigns one to a new image.
func (t *Table) ImageID(name string) int32 {
	id, ok := t.imageIDs[name]
	if !ok {
		if t.imageIDs == nil {
			t.imageIDs = make(map[string]int32)
		}
		id = int32(len(t.imageIDs))
		t.imageIDs[name] = id
	}
	return id
}

// AddImage records that a machine has an image, or is going to have it when it is ready.
func (t *Table) AddImage(m *Machine, name string, ready micros) {
	m.images = append(m.images, machineImage{t.ImageID(name), ready})
	m.FetchDone = max(m.FetchDone, ready)
}

// HasImage reports whether a machine has an image or is going to have it.
func (t *Table) HasImage(m *Machine, name string) bool {
	_, ok := m.readyAt(t.ImageID(name))
	return ok
}

// Update computes the fields derived from a row's spans. It is called after the row was filled, and
// for every row with a span whose estimated end has passed.
func (t *Table) Update(m *Machine) {
	m.recompute(t.Now)
	t.markStale(m)
	t.refusals = t.refusals[:0]
}

// Begin starts a cycle over the whole queue. It removes the marks of the last cycle: each booking
// is planned again with its request.
func (t *Table) Begin() {
	for _, m := range t.markedRows {
		m.marks, m.inMarkedRows = m.marks[:0], false
		m.recompute(t.Now)
		if m.indexedMarks > 0 {
			t.markStale(m)
		}
	}
	t.markedRows = t.markedRows[:0]
	t.hasBlockedJob = false
	t.Resume()
}

// Resume continues a cycle that was interrupted, after rows were updated.
func (t *Table) Resume() { t.refusals = t.refusals[:0] }
