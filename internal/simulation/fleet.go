package simulation

import (
	"fmt"
	"sort"
	"strings"
)

// sortedMachines returns all machines, sorted by name.
func (w *World) sortedMachines() []*machine {
	if w.sortedByName == nil {
		for _, m := range w.machines {
			w.sortedByName = append(w.sortedByName, m)
		}
		sort.Slice(w.sortedByName, func(a, b int) bool { return w.sortedByName[a].name < w.sortedByName[b].name })
	}
	return w.sortedByName
}

// addMachine adds a machine that has booted and whose worker holds a lease.
func (w *World) addMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{
		name: name, typ: typ, zone: zone, spot: spot, rentedAt: w.now, phase: "running", session: 1, leaseStart: w.now,
		images: map[string]micros{}, tasks: map[string]*runningTask{}, nodeIndex: len(w.machines),
	}
	w.machines[name], w.sortedByName = m, nil
	return m
}

// hostsOf returns the names of the machines that a task occupies, separated by commas, or
// "nowhere".
func (w *World) hostsOf(task string) string {
	var list []string
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.onMachine && fmt.Sprintf("%s/%d", t.job.spec.Ref, t.index) == task {
				list = append(list, m.name)
			}
		}
	}
	if len(list) == 0 {
		return "nowhere"
	}
	return strings.Join(list, ",")
}
