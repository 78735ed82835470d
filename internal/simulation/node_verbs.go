package simulation

import (
	"errors"
	"strconv"

	"mapleslip/internal/controller"
)

// nodeVerbs are what happens to controllers.
func nodeVerbs() map[string]verb {
	table := map[string]verb{
		"upgrade":      (*World).actUpgrade,
		"downgrade":    (*World).actUpgrade,
		"backlog":      (*World).actBacklog,
		"ends-on":      (*World).actEndsOn,
		"ends-loading": (*World).actEndsLoading,
		"ends-in":      (*World).actEndsIn,
		"if-leads":     (*World).actIfLeads,
	}
	for name := range nodeChanges {
		table[name] = (*World).actNode
	}
	return table
}

// nodeChanges are verbs that change one node: VERB NODE, VERB leader, or VERB all.
var nodeChanges = map[string]func(w *World, n *node, o map[string]string){
	"kill":     func(w *World, n *node, _ map[string]string) { w.end(n, 0) },
	"start":    func(w *World, n *node, _ map[string]string) { w.startNode(n) },
	"restart":  (*World).restart,
	"deafen":   func(_ *World, n *node, _ map[string]string) { n.deaf = true }, // it and the workers can't reach each other
	"undeafen": func(_ *World, n *node, _ map[string]string) { n.deaf = false },
	"deny":     func(_ *World, n *node, _ map[string]string) { n.denied = true },
	"admit":    func(_ *World, n *node, _ map[string]string) { n.denied = false },
	"freeze":   func(_ *World, n *node, _ map[string]string) { n.frozen = true },
	"thaw":     func(w *World, n *node, _ map[string]string) { w.thaw(n) },
	"cut":      func(_ *World, n *node, _ map[string]string) { n.cut = true },
	"join":     func(_ *World, n *node, _ map[string]string) { n.cut = false },
	"away":     func(_ *World, n *node, _ map[string]string) { n.away = true },
	"back":     func(w *World, n *node, _ map[string]string) { w.comesBack(n) },
}

// actNode changes nodes.
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
			continue // nobody leads just then
		}
		if n == nil {
			return errNoSuchNode
		}
		nodeChanges[words[0]](w, n, options(words[2:]))
	}
	return nil
}

// restart: restart NODE [after=0.05]: it ends, and is there again that soon.
func (w *World) restart(n *node, o map[string]string) {
	if n.alive {
		w.end(n, duration(o, "after", 0.05))
	}
}

// actBacklog: backlog N: so many events wait at every node.
func (w *World) actBacklog(words []string) (err error) {
	w.backlog, err = strconv.Atoi(words[1])
	return err
}

// actEndsLoading: ends-loading COUNT SECONDS: so many nodes that come to lead end that long after
// they began to read the records.
func (w *World) actEndsLoading(words []string) error {
	count, err := strconv.Atoi(words[1])
	if err != nil {
		return err
	}
	w.endsRole, w.endsBack = controller.RoleRecovering, 0
	w.endsLoading, w.endsAfter = count, seconds(words[2])
	return nil
}

// actEndsIn: ends-in ROLE COUNT [after=0] [back=0.05]: so many nodes that come into a role end that
// long after, and are back.
func (w *World) actEndsIn(words []string) error {
	count, err := strconv.Atoi(words[2])
	if err != nil {
		return err
	}
	known := false
	for r := controller.RoleFollower; r <= controller.RoleLeaseUncertain; r++ {
		if r.String() == words[1] {
			w.endsRole, known = r, true
		}
	}
	if !known {
		return errors.New("unknown role")
	}
	o := options(words[3:])
	w.endsLoading, w.endsAfter, w.endsBack = count, duration(o, "after", 0), duration(o, "back", 0.05)
	return nil
}

// actIfLeads: if-leads VERB: on the leader, if there is one just then.
func (w *World) actIfLeads(words []string) error {
	if n := w.leader(); n != nil {
		return w.act([]string{words[1], n.name})
	}
	return nil
}
