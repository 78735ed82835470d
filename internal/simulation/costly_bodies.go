package simulation

import (
	"sync"

	"mapleslip/internal/costlyform"
)

// costlyBodyBytes is the size of the costly bodies that users and workers send, in bytes.
const costlyBodyBytes = 16 << 10

// costlyBodies returns the bodies that are sent in turn.
var costlyBodies = sync.OnceValue(func() []costlyform.Body {
	return costlyform.Bodies(costlyBodyBytes, "awaits", "shards", "flavors")
})

// costlyKinds are the requests that have such a body, in turn.
var costlyKinds = []string{"submit", "hello", "submit", "rollout"}

// sendCostlyBody has a user or a worker send the next costly body to the next node, called once a
// second. None of them is a sound message, so the only answer is 400, or 404 where roll-outs are off.
func (w *World) sendCostlyBody() {
	if !w.costlyBodies {
		return
	}
	w.costlyRounds++
	n := w.nodes[w.costlyRounds%len(w.nodes)]
	if !w.reachable(n) || n.frozen {
		return
	}
	kind := costlyKinds[w.costlyRounds%len(costlyKinds)]
	body := costlyBodies()[w.costlyRounds%len(costlyBodies())]
	w.costlyBody = &body
	w.request(n, kind, string(body.Text), func(status int, _ []byte) {
		if status != 400 && (kind != "rollout" || status != 404) && status != 0 {
			w.reportViolation("costly %s (%s) got %d", kind, body.Name, status)
		}
	})
	w.costlyBody = nil
}

// measureCostly delivers a request to a controller, and has the work measured if its body is costly.
func (w *World) measureCostly(deliver func()) {
	if w.costlyBody == nil || w.measureWork == nil {
		deliver()
		return
	}
	w.measureWork(*w.costlyBody, deliver)
}
