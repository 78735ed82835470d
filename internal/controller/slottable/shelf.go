package slottable

import (
	"slices"
	"sort"
)

// indexedRow is a row in a list, with a bound on when it is of use.
type indexedRow struct {
	at      micros
	machine *Machine
}

func (s indexedRow) before(o indexedRow) bool {
	return s.at < o.at || s.at == o.at && s.machine.order < o.machine.order
}

// shelf is rows of one level in their order, with bounds on what they have free
// beside it: no row has more than most, none less than least. The bounds are
// drawn in when a search has gone through the whole shelf in vain.
type shelf struct {
	rows        []indexedRow
	most, least resources
}

func (sh *shelf) insert(m *Machine, free resources) {
	if len(sh.rows) == 0 {
		sh.most, sh.least = free, free
	}
	sh.widen(free)
	sh.rows = insertRow(sh.rows, indexedRow{0, m})
}

// widen has the bounds hold for a row.
func (sh *shelf) widen(free resources) {
	sh.most = maxResources(sh.most, free)
	sh.least = resources{CPU: min(sh.least.CPU, free.CPU), GPU: min(sh.least.GPU, free.GPU), Memory: min(sh.least.Memory, free.Memory)}
}

// tighten draws in a shelf's bounds after all of its rows were looked at.
func (sh *shelf) tighten(rows []indexedRow) {
	if len(rows) == 0 || len(rows) != len(sh.rows) {
		return
	}
	sh.most, sh.least = rows[0].machine.entry.free, rows[0].machine.entry.free
	for _, s := range rows[1:] {
		sh.widen(s.machine.entry.free)
	}
}

// maxResources is the least amount that holds both.
func maxResources(a, b resources) resources {
	return resources{CPU: max(a.CPU, b.CPU), GPU: max(a.GPU, b.GPU), Memory: max(a.Memory, b.Memory)}
}

// reshelve takes a row from one shelf to another; -1 is none.
func reshelve(shelves *[maxLevel + 1]shelf, m *Machine, from, to int, free resources) {
	if from >= 0 {
		shelves[from].rows = removeRow(shelves[from].rows, indexedRow{0, m})
	}
	if to >= 0 {
		shelves[to].insert(m, free)
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
	panic("slottable: a row is not where the index has it")
}

// moveRow brings a row of a list to where it belongs, and moves only what lies
// between: mostly little does.
func moveRow(list []indexedRow, from, to indexedRow) {
	i := sort.Search(len(list), func(i int) bool { return !list[i].before(from) })
	if i == len(list) || list[i].machine != from.machine {
		panic("slottable: a row is not where the index has it")
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

// leastFragmentation is the least that a place on a row of the shelf costs for what it leaves
// broken up, see Table.fragmentationCost.
func (sh *shelf) leastFragmentation(r *Request, level int) micros {
	if r.Opportunistic { // others may have the rest
		return fragmentationPerTask
	}
	copies := max(1, sh.least.MaxCopies(r.Resources))
	cost := min(micros(copies)*fragmentationPerTask, maxFragmentation)
	if r.Resources.GPU == 0 && level > 0 {
		cost += gpuWasteCost
	}
	return cost
}
