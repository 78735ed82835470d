package simulation

import (
	"fmt"
	"sort"
	"strings"
)

func (w *World) sortedMachines() []*machine {
	if w.byName == nil {
		for _, m := range w.machines {
			w.byName = append(w.byName, m)
		}
		sort.Slice(w.byName, func(a, b int) bool { return w.byName[a].name < w.byName[b].name })
	}
	return w.byName
}

func (w *World) addMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{
		name: name, typ: typ, zone: zone, spot: spot, rented: w.now, phase: "running", session: 1, leaseFrom: w.now,
		images: map[string]micros{}, tasks: map[string]*runningTask{}, node: len(w.machines),
	}
	w.machines[name], w.byName = m, nil
	return m
}

// hostsOf names the machines that a task is on.
func (w *World) hostsOf(task string) string {
	var list []string
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.on && fmt.Sprintf("%s/%d", t.job.spec.Ref, t.index) == task {
				list = append(list, m.name)
			}
		}
	}
	if len(list) == 0 {
		return "nowhere"
	}
	return strings.Join(list, ",")
}
