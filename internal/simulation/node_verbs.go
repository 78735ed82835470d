package simulation

import (
	"errors"
	"strconv"

	"mapleslip/internal/controller"
)

// nodeVerbs returns the verbs for faults and changes of controllers.
func nodeVerbs() map[string]verb {
	table := map[string]verb{
		"upgrade":           (*World).actUpgrade,
		"downgrade":         (*World).actUpgrade,
		"backlog":           (*World).actBacklog,
		"end-on-call":       (*World).actEndsOn,
		"end-while-loading": (*World).actEndsLoading,
		"end-in-role":       (*World).actEndsIn,
		"if-leader":         (*World).actIfLeads,
	}
	for name := range nodeChanges {
		table[name] = (*World).actNode
	}
	return table
}

// nodeChanges contains the verbs that change one node, the leader or all nodes: VERB NODE, VERB
// leader, VERB all.
var nodeChanges = map[string]func(w *World, n *node, o map[string]string){
	"kill":                 func(w *World, n *node, _ map[string]string) { w.stopNode(n, 0) },
	"start":                func(w *World, n *node, _ map[string]string) { w.startNode(n) },
	"restart":              (*World).restart,
	"drop-worker-traffic":  func(_ *World, n *node, _ map[string]string) { n.workersUnreachable = true }, // loses messages from and to workers
	"allow-worker-traffic": func(_ *World, n *node, _ map[string]string) { n.workersUnreachable = false },
	"deny-state":           func(_ *World, n *node, _ map[string]string) { n.denied = true },
	"allow-state":          func(_ *World, n *node, _ map[string]string) { n.denied = false },
	"freeze":               func(_ *World, n *node, _ map[string]string) { n.frozen = true },
	"thaw":                 func(w *World, n *node, _ map[string]string) { w.thaw(n) },
	"cut":                  func(_ *World, n *node, _ map[string]string) { n.cut = true },
	"join":                 func(_ *World, n *node, _ map[string]string) { n.cut = false },
	"isolate":              func(_ *World, n *node, _ map[string]string) { n.disconnected = true },
	"unisolate":            func(w *World, n *node, _ map[string]string) { w.reconnect(n) },
}

// actNode: VERB NODE|leader|all [OPTION=VALUE ...]: applies a verb of nodeChanges. Without a
// leader, restart leader does nothing.
func (w *World) actNode(words []string) error {
	names := []string{words[1]}
	if words[1] == "all" {
		names = nil
		for _, n := range w.nodes {
			names = append(names, n.name)
		}
	}
	for _, name := range names {
		n := w.nodeNamed(name)
		if n == nil && name == "leader" && words[0] == "restart" {
			continue // there is no leader at the moment
		}
		if n == nil {
			return errNoSuchNode
		}
		nodeChanges[words[0]](w, n, options(words[2:]))
	}
	return nil
}

// restart: restart NODE [after=0.05]: stops a node, which starts again after that many seconds.
func (w *World) restart(n *node, o map[string]string) {
	if n.alive {
		w.stopNode(n, duration(o, "after", 0.05))
	}
}

// actBacklog: backlog N: reports N waiting events to every node at each tick.
func (w *World) actBacklog(words []string) (err error) {
	w.backlog, err = strconv.Atoi(words[1])
	return err
}

// actEndsLoading: end-while-loading COUNT SECONDS: the next COUNT nodes that start to recover the
// records as a new leader stop that long afterwards, if they still recover them, without a restart.
func (w *World) actEndsLoading(words []string) error {
	count, err := strconv.Atoi(words[1])
	if err != nil {
		return err
	}
	w.nodeEndsRole, w.nodeEndsRestart = controller.RoleRecovering, 0
	w.nodeEndsLeft, w.nodeEndsDelay = count, seconds(words[2])
	return nil
}

// actEndsIn: end-in-role ROLE COUNT [after=SECONDS] [back=SECONDS]: the next COUNT nodes that enter
// a role stop once the time in after has passed (default 0), if they are still in the role, and
// start again once the time in back has passed (default 0.05).
func (w *World) actEndsIn(words []string) error {
	count, err := strconv.Atoi(words[2])
	if err != nil {
		return err
	}
	known := false
	for r := controller.RoleFollower; r <= controller.RoleLeaseUncertain; r++ {
		if r.String() == words[1] {
			w.nodeEndsRole, known = r, true
		}
	}
	if !known {
		return errors.New("unknown role")
	}
	opts := options(words[3:])
	w.nodeEndsLeft, w.nodeEndsDelay, w.nodeEndsRestart = count, duration(opts, "after", 0), duration(opts, "back", 0.05)
	return nil
}

// actIfLeads: if-leader VERB: carries out VERB LEADER, with the name of the leader, if there is
// one.
func (w *World) actIfLeads(words []string) error {
	if n := w.leader(); n != nil {
		return w.runVerb([]string{words[1], n.name})
	}
	return nil
}
