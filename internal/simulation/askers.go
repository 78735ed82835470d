package simulation

import (
	"fmt"

	"github.com/valyala/fastjson"
)

// askEverywhere has a job's user ask about it and repeat its submission at all controllers
// at once: ask-everywhere REF. Nobody may then be told anything older than what was told
// before the question left, nor that there is no such job.
func (w *World) askEverywhere(ref string) error {
	j := w.jobs[ref]
	if j == nil {
		return fmt.Errorf("no such job")
	}
	for _, n := range w.nodes {
		if !w.reachable(n) {
			continue
		}
		asked := w.now
		take := func(status int, body []byte) {
			switch {
			case j.accepted && (status == 404 || status == 400 || status == 422):
				w.broken("forgotten: %s got %d", ref, status)
			case (status == 200 || status == 201) && (j.toldAt == 0 || j.toldAt <= asked):
				w.heard(j, fastjson.GetString(body, "phase"))
			}
		}
		w.request(n, "query", ref, take)
		w.request(n, "submit", string(j.body), take)
	}
	return nil
}

// cancelOnce is a user who asks to cancel and gives up at once: cancel-once REF.
func (w *World) cancelOnce(ref string) error {
	j, n := w.jobs[ref], w.upNode()
	if j == nil || n == nil {
		return fmt.Errorf("no such job, or no node")
	}
	j.asked = true
	w.request(n, "cancel", ref, func(status int, body []byte) {
		if status == 200 {
			w.heard(j, fastjson.GetString(body, "phase"))
		}
	})
	return nil
}
