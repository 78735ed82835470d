package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
)

// setupVerbs contains the verbs of lines without a time, which set up the deployment at the start
// of a trace.
var setupVerbs = map[string]verb{
	"nodes":       (*World).setupNodes,
	"team":        (*World).setupTeam,
	"type":        (*World).setupType,
	"machine":     (*World).setupMachine,
	"fleet":       (*World).setupFleet,
	"objective":   (*World).setupObjective,
	"record":      (*World).setupRecord,
	"workers":     (*World).setupWorkers,
	"operator":    (*World).setupOperator,
	"limits":      (*World).setupLimits,
	"connections": (*World).setupConnections,
	"capacity":    (*World).setupCapacity,
	// value-bytes N: largest size of a value in the state service.
	"value-bytes": func(w *World, words []string) error { return setInt(&w.Platform.MaxValueBytes, words[1]) },
	// txn-changes N: largest number of changes in a transaction of the state service.
	"txn-changes": func(w *World, words []string) error { return setInt(&w.Platform.MaxTxnChanges, words[1]) },
	"next":        func(w *World, words []string) error { return w.setupAnnouncedLimits(words[1:]) },
	"no-capacity": func(w *World, _ []string) error { w.noCapacity = true; return nil },
	// changes: turns on changes of the configuration.
	"changes": func(w *World, _ []string) error { w.enableConfigChanges(); return nil },
	// production N: the first N controllers run the version that is in production.
	"production": (*World).setupProduction,
	"rollouts":   (*World).setupRollouts,
}

// setup carries out a line without a time.
func (w *World) setup(words []string) error {
	set := setupVerbs[words[0]]
	if set == nil {
		return fmt.Errorf("unknown word %s", words[0])
	}
	return set(w, words)
}

func setInt(to *int, word string) error {
	n, err := strconv.Atoi(word)
	if err == nil {
		*to = n
	}
	return err
}

// setupNodes: nodes 2 a b: sets the number of controllers and their zones.
func (w *World) setupNodes(words []string) error {
	n, err := strconv.Atoi(words[1])
	if err != nil || n < 1 || n > cap(w.nodes) {
		return fmt.Errorf("one to %d nodes", cap(w.nodes))
	}
	w.nodes = w.nodes[:n]
	for i, zone := range words[2:] {
		if i < n {
			w.nodes[i].zone = zone
		}
	}
	return nil
}

// setupTeam: team red gpus=4 max=6: adds a team with its guarantee and limit of GPUs.
func (w *World) setupTeam(words []string) error {
	o := options(words[2:])
	w.Platform.Teams[words[1]] = protocol.Team{
		Name:      words[1],
		Guarantee: protocol.Resources{GPU: thousandths(number(o, "gpus", 0))},
		Limit:     protocol.Resources{GPU: thousandths(number(o, "max", 0))},
	}
	return nil
}

// setupType: type small cpus=8 gpus=2 mem=64 boot=10 fetch=1 zones=a,b: adds a machine type.
func (w *World) setupType(words []string) error {
	o := options(words[2:])
	w.Types = append(w.Types, &protocol.MachineType{
		Name: words[1],
		Capacity: protocol.Resources{
			CPU: thousandths(number(o, "cpus", 8)), GPU: thousandths(number(o, "gpus", 2)), Memory: thousandths(number(o, "mem", 64)),
		},
		CacheSize: thousandths(number(o, "cache", 100)), FetchRate: number(o, "fetch", 1) / 1000,
		Price: number(o, "price", 1), SpotPrice: number(o, "price", 1) / 2,
		BootTime: duration(o, "boot", 10), Zones: strings.Split(o["zones"], ","),
	})
	return nil
}

// setupMachine: machine n-000001 small a [spot]: adds a machine of a type in a zone.
func (w *World) setupMachine(words []string) error {
	m := w.addMachine(words[1], words[2], words[3], len(words) > 4 && words[4] == "spot")
	if w.typeOf(m) == nil {
		return fmt.Errorf("unknown type %s", words[2])
	}
	return nil
}

// setupFleet: fleet 400 big a: adds that many machines of a type in a zone.
func (w *World) setupFleet(words []string) error {
	count, err := strconv.Atoi(words[1])
	if err != nil {
		return err
	}
	for range count {
		w.addMachine(fmt.Sprintf("n-%06d", len(w.machines)+1), words[2], words[3], false)
	}
	return nil
}

// setupObjective: objective KIND CLASS within=15: adds an objective for a class of jobs, such as
// objective wait.
func (w *World) setupObjective(words []string) error {
	o := options(words[3:])
	w.Platform.Objectives = append(w.Platform.Objectives, protocol.Objective{Kind: words[1], Class: words[2], Within: duration(o, "within", 10)})
	return nil
}

// setupRecord: record KEY VALUE: adds a key to the state service.
func (w *World) setupRecord(words []string) error {
	w.store.revision++
	w.store.set(words[1], &entry{value: words[2], revision: w.store.revision})
	return nil
}

// setupWorkers: workers report=2.5 lease=16 cancel=46: sets the heartbeat interval and the lease of
// the workers and the time-out of cancellations, in seconds.
func (w *World) setupWorkers(words []string) error {
	o, p := options(words[1:]), &w.Platform
	p.HeartbeatInterval = duration(o, "report", p.HeartbeatInterval.Seconds())
	p.WorkerLease = duration(o, "lease", p.WorkerLease.Seconds())
	p.CancelTimeout = duration(o, "cancel", p.CancelTimeout.Seconds())
	return nil
}

// setupOperator: operator cut-keep=600: sets the operators' setting for how long the machines of a
// zone that is cut off are kept, in seconds.
func (w *World) setupOperator(words []string) error {
	w.Operator.PartitionRetention = duration(options(words[1:]), "cut-keep", 0)
	return nil
}

// setupLimits: limits changes=35: turns on the metering of calls and the state service's limit on
// the rate of changes, which it sets, in changes per second.
func (w *World) setupLimits(words []string) error {
	w.limited, w.Platform.StateWriteRate = true, number(options(words[1:]), "changes", 35)
	return nil
}

// setupConnections: connections peers=24: limits the calls that a node has in flight to other
// controllers.
func (w *World) setupConnections(words []string) error {
	w.maxPeerCalls = int(number(options(words[1:]), "peers", 24))
	return nil
}

// setupCapacity: capacity big/a=3 big/a/spot=1: limits the machines that the cloud has left, by
// type, zone and price.
func (w *World) setupCapacity(words []string) error {
	w.capacity = make(map[string]int)
	o := options(words[1:])
	for kind := range o {
		w.capacity[kind] = int(number(o, kind, 0))
	}
	return nil
}

// setupRollouts: rollouts: turns on roll-outs.
func (w *World) setupRollouts([]string) error {
	w.rollouts = &rollout.Settings{ChecksPerS: 50, MaxInFlight: 20, MaxServices: 4}
	return nil
}
