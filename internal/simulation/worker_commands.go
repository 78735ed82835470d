package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/strictjson"
)

// callWorker delivers a direct command to a worker. A machine that hangs executes it when it
// resumes, if the epoch is not older than the worker's and the tenure is still that of its session.
func (w *World) callWorker(m *machine, c controller.Call, reply func(int, string)) {
	if m.phase != "running" {
		return
	}
	serve := func() {
		if m.phase != "running" {
			return // the machine failed or was released while the call was held
		}
		if c.Path == "/status" {
			reply(200, w.report(m))
			return
		}
		if !w.checkMessage("commands", strictjson.CheckCommands(c.Body)) {
			reply(400, `{"error":"malformed"}`)
			return
		}
		p := protocol.Parsers.Get()
		defer protocol.Parsers.Put(p)
		v, err := p.ParseBytes(c.Body)
		if err != nil {
			w.reportViolation("malformed commands: %v", err)
			return
		}
		status := 409
		if v.GetUint64("epoch") >= m.epoch && v.GetUint64("tenure") == m.session {
			status, m.epoch = 200, v.GetUint64("epoch")
			w.executeCommands(m, c.Body)
		}
		report := w.report(m)
		if !m.answersLost {
			reply(status, report)
		}
	}
	if m.hung || m.holdCalls {
		m.heldCalls = append(m.heldCalls, serve)
		return
	}
	serve()
}

// executeCommands carries out the commands of a heartbeat answer or of a direct command. Launch,
// stop and forget are idempotent.
func (w *World) executeCommands(m *machine, body []byte) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(body)
	if err != nil {
		w.reportViolation("malformed commands: %v", err)
		return
	}
	for _, c := range v.GetArray("orders") {
		ref, indexText, _ := strings.Cut(string(c.GetStringBytes("shard")), "/")
		index, _ := strconv.Atoi(indexText)
		attempt := c.GetUint64("try")
		j := w.findJob(ref)
		key := fmt.Sprintf("%s/%d#%d", ref, index, attempt)
		t := m.tasks[key]
		switch string(c.GetStringBytes("verb")) {
		case "launch":
			if t != nil || j == nil {
				continue
			}
			w.launchTask(m, j, index, attempt, key)
		case "stop":
			if t != nil && t.state != "exited" {
				t.checkpointed = j.spec.CanCheckpoint()
				w.exitTask(m, t, "stopped")
			}
		case "forget":
			if t != nil && t.state == "exited" {
				delete(m.tasks, key)
				m.sortedTasks = nil
				m.stateChanged = true
			}
		}
	}
}

// launchTask adds a task to a machine. It exits at once as busy if another attempt of it is there,
// or as full if the machine has no room; else it first fetches the image.
func (w *World) launchTask(m *machine, j *userJob, index int, attempt uint64, key string) {
	t := &runningTask{job: j, index: index, attempt: attempt, state: "fetching"}
	w.checkStart("is launched", m, t)
	j.launches++
	m.tasks[key], m.sortedTasks = t, nil
	m.stateChanged = true
	var used protocol.Resources
	for _, other := range m.tasks {
		if other.state != "exited" {
			used = used.Add(other.job.spec.TaskResources, 1)
		}
		if other != t && other.job == j && other.index == index && other.state != "exited" {
			t.state, t.exitReason = "exited", "busy"
			return
		}
	}
	if !w.typeOf(m).Capacity.Covers(used) {
		t.state, t.exitReason = "exited", "full"
		return
	}
	t.imageReady = w.now
	if ready, ok := m.images[j.spec.Image]; ok {
		t.imageReady = max(t.imageReady, ready)
	} else {
		t.imageReady += w.typeOf(m).FetchTime(j.spec.ImageSize)
		m.images[j.spec.Image] = t.imageReady
	}
}
