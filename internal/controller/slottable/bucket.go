package slottable

import (
	"slices"
	"sort"
)

// indexedRow is a row in a list of the index, with a lower bound on the time from which it is of
// use, 0 in buckets.
type indexedRow struct {
	freeFrom micros
	machine  *Machine
}

func (s indexedRow) before(o indexedRow) bool {
	return s.freeFrom < o.freeFrom || s.freeFrom == o.freeFrom && s.machine.order < o.machine.order
}

// bucket holds the rows that have one level free, in the order in which they were added to the
// table. No row has more free than maxFree or less than minFree, in any component. These bounds are
// tightened when a search has gone through the whole bucket and found no place.
type bucket struct {
	rows             []indexedRow
	maxFree, minFree resources
}

func (b *bucket) insert(m *Machine, free resources) {
	if len(b.rows) == 0 {
		b.maxFree, b.minFree = free, free
	}
	b.widenBounds(free)
	b.rows = insertRow(b.rows, indexedRow{0, m})
}

// widenBounds widens the bounds to include a row's free resources.
func (b *bucket) widenBounds(free resources) {
	b.maxFree = maxResources(b.maxFree, free)
	b.minFree = resources{CPU: min(b.minFree.CPU, free.CPU), GPU: min(b.minFree.GPU, free.GPU), Memory: min(b.minFree.Memory, free.Memory)}
}

// tightenBounds computes the bounds from rows, those that the bucket had when a search began. It
// changes nothing if the number of rows in the bucket is another one by now.
func (b *bucket) tightenBounds(rows []indexedRow) {
	if len(rows) == 0 || len(rows) != len(b.rows) {
		return
	}
	b.maxFree, b.minFree = rows[0].machine.entry.free, rows[0].machine.entry.free
	for _, s := range rows[1:] {
		b.widenBounds(s.machine.entry.free)
	}
}

// maxResources returns the component-wise maximum of two amounts.
func maxResources(a, b resources) resources {
	return resources{CPU: max(a.CPU, b.CPU), GPU: max(a.GPU, b.GPU), Memory: max(a.Memory, b.Memory)}
}

// moveToBucket moves a row from one bucket to another; -1 means none.
func moveToBucket(buckets *[maxLevel + 1]bucket, m *Machine, from, to int, free resources) {
	if from >= 0 {
		buckets[from].rows = removeRow(buckets[from].rows, indexedRow{0, m})
	}
	if to >= 0 {
		buckets[to].insert(m, free)
	}
}

func insertRow(list []indexedRow, s indexedRow) []indexedRow {
	i := sort.Search(len(list), func(i int) bool { return s.before(list[i]) })
	return slices.Insert(list, i, s)
}

func removeRow(list []indexedRow, s indexedRow) []indexedRow {
	i := sort.Search(len(list), func(i int) bool { return !list[i].before(s) })
	if i < len(list) && list[i].machine == s.machine {
		return slices.Delete(list, i, i+1)
	}
	panic("slottable: row is not at its recorded position in the index")
}

// moveRow moves a row of a list to its new position. It shifts only the rows in between, which are
// mostly few.
func moveRow(list []indexedRow, from, to indexedRow) {
	i := sort.Search(len(list), func(i int) bool { return !list[i].before(from) })
	if i == len(list) || list[i].machine != from.machine {
		panic("slottable: row is not at its recorded position in the index")
	}
	if from.before(to) {
		j := i + sort.Search(len(list)-i-1, func(k int) bool { return to.before(list[i+1+k]) })
		copy(list[i:j], list[i+1:j+1])
		list[j] = to
		return
	}
	j := sort.Search(i, func(k int) bool { return to.before(list[k]) })
	copy(list[j+1:i+1], list[j:i])
	list[j] = to
}

// minFragmentationCost returns a lower bound on the fragmentation cost of a place on a row of the
// bucket, see Table.fragmentationCost.
func (b *bucket) minFragmentationCost(r *Request, level int) micros {
	if r.Opportunistic { // other opportunistic tasks may use all but the room for this one
		return fragmentationPerTask
	}
	copies := max(1, b.minFree.MaxCopies(r.Resources))
	cost := min(micros(copies)*fragmentationPerTask, maxFragmentation)
	if r.Resources.GPU == 0 && level > 0 {
		cost += gpuWasteCost
	}
	return cost
}
