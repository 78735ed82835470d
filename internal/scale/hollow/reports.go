package hollow

import (
	"errors"
	"strconv"
	"time"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/strictjson"
	"mapleslip/internal/transport"
)

// markChanged records that the next report contains changes, so that it is sent earlier.
func (w *worker) markChanged(now int64) {
	w.encodedTasksStale, w.hasChanges = true, true
	w.scheduleReport(now)
}

// reportDue returns the time at which the next report is due.
func (w *worker) reportDue() int64 {
	due := w.nextReport
	if w.hasChanges {
		due = min(due, w.lastReport+changeReportDelay)
	}
	return max(due, w.earliestReport)
}

// scheduleReport sets a timer for the next report unless an earlier one is set.
func (w *worker) scheduleReport(now int64) {
	if !w.up || w.removed || w.inFlight || w.hangEnd > 0 {
		return
	}
	due := w.reportDue()
	if w.reportTimerAt > now && w.reportTimerAt <= due {
		return
	}
	w.reportTimerAt = max(due, now)
	w.process.timers.schedule(w.reportTimerAt, func(now int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.removed || w.inFlight || w.hangEnd > 0 {
			return
		}
		if now < w.reportDue() {
			w.scheduleReport(now)
			return
		}
		w.inFlight = true
		w.sendReport <- struct{}{} // doesn't block, since only one report is in flight
	})
}

// sendReports sends a report for each signal of sendReport until that is closed. Now and then a copy
// of the report before arrives first.
func (w *worker) sendReports() {
	var earlier []byte
	perCopy := w.process.config.ReportsPerCopy
	sent := 0
	for range w.sendReport {
		if perCopy > 0 && sent > 0 && sent%perCopy == 0 {
			w.sendCopy(earlier)
		}
		if !w.sendNextReport() {
			return
		}
		sent++
		earlier = append(earlier[:0], w.body...)
	}
}

// sendNextReport sends a report and handles the answer. It returns false if the machine was removed.
func (w *worker) sendNextReport() bool {
	addr, sent, session := w.composeReport()
	if addr == "" {
		return false
	}
	r, err := w.post(addr, w.body)
	w.handleReportResult(sent, session, r, err)
	return true
}

// sendCopy sends a copy of an earlier report. Its answer has no effect.
func (w *worker) sendCopy(body []byte) {
	w.mu.Lock()
	addr := w.process.config.Controllers[w.controller].Public[w.machine.Region]
	w.mu.Unlock()
	if _, err := w.post(addr, body); err != nil {
		w.client.Close()
	}
}

func (w *worker) post(addr string, body []byte) (*transport.Response, error) {
	return w.client.Post(addr, "/hello", body, time.Now().Add(time.Duration(reportTimeout)*time.Microsecond))
}

// composeReport writes the next report and returns the address of the controller that receives
// it. The address is empty if the machine was removed.
func (w *worker) composeReport() (addr string, sent int64, session uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed {
		return "", 0, 0
	}
	sent = w.process.now()
	w.lastReport, w.hasChanges, w.reportTimerAt = sent, false, 0
	interval := int64(w.process.platform.HeartbeatInterval)
	w.nextReport = sent + interval*3/4 + w.rng.Int64N(interval/2+1)
	w.earliestReport = 0
	w.body = w.append(w.body[:0])
	return w.process.config.Controllers[w.controller].Public[w.machine.Region], sent, w.session
}

// handleReportResult handles the answer to a report, or the error instead of one.
func (w *worker) handleReportResult(sent int64, session uint64, r *transport.Response, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitWhileHung()
	if w.removed {
		return
	}
	now := w.process.now()
	w.inFlight = false
	if err == nil && now-sent > reportTimeout {
		err = errors.New("too late")
		w.client.Close()
	}
	w.process.recordReport(now-sent, err != nil || r.Status != 200 && r.Status != 421)
	if err != nil {
		w.selectNextController(now)
	} else {
		w.handleAnswer(now, sent, session, r)
	}
	w.scheduleReport(now)
}

// waitWhileHung waits until the machine doesn't hang. It releases the lock while it waits.
func (w *worker) waitWhileHung() {
	for w.hangEnd > 0 && !w.removed {
		resumed := w.resumed
		w.mu.Unlock()
		<-resumed
		w.mu.Lock()
	}
}

// selectNextController makes the next controller receive the reports, after a delay.
func (w *worker) selectNextController(now int64) {
	w.controller = (w.controller + 1) % len(w.process.config.Controllers)
	w.nextReport = now + controllerRetryDelay
	w.earliestReport = w.nextReport
}

// handleAnswer handles the answer to a report.
func (w *worker) handleAnswer(now, sent int64, session uint64, r *transport.Response) {
	if err := strictjson.CheckReportAnswer(r.Status, r.Body); err != nil {
		w.process.malformed("answer to a report", err)
	}
	if r.Status != 200 && r.Status != 421 {
		w.selectNextController(now)
		return
	}
	parser := protocol.Parsers.Get()
	defer protocol.Parsers.Put(parser)
	v, err := parser.ParseBytes(r.Body)
	if err != nil {
		w.selectNextController(now)
		return
	}
	if r.Status == 421 {
		w.process.redirects.Add(1)
		leader := string(v.GetStringBytes("leader"))
		for i, c := range w.process.config.Controllers {
			if c.Name == leader && i != w.controller {
				w.client.Close()
				w.controller = i
				w.nextReport = now + w.rng.Int64N(int64(protocol.Second/2))
				w.earliestReport = w.nextReport
				return
			}
		}
		w.selectNextController(now)
		return
	}
	if epoch := v.GetUint64("epoch"); epoch == 0 || epoch < w.epoch || session != w.session {
		w.process.droppedAnswers.Add(1)
		return
	} else if epoch > w.epoch {
		w.raiseEpoch(now, epoch)
	}
	w.leaseStart = sent
	for _, c := range v.GetArray("orders") {
		w.execute(now, string(c.GetStringBytes("verb")), string(c.GetStringBytes("shard")), c.GetUint64("try"), c.GetFloat64("drainS"))
	}
}

// append appends a report to b. It encodes the tasks again only if they have changed.
func (w *worker) append(b []byte) []byte {
	w.tick++
	if w.encodedTasksStale {
		w.encodedTasksStale = false
		w.encodedTasks = appendTasks(w.encodedTasks[:0], w.tasks)
	}
	b = append(b, w.reportPrefix...)
	b = strconv.AppendUint(b, w.session, 10)
	b = strconv.AppendUint(append(b, `,"tick":`...), w.tick, 10)
	b = strconv.AppendUint(append(b, `,"epoch":`...), w.epoch, 10)
	b = append(b, `,"reclaimInS":null,"shards":[`...)
	b = append(b, w.encodedTasks...)
	return append(b, "]}"...)
}

// encodeReportPrefix returns the constant beginning of the reports of a machine.
func encodeReportPrefix(m *wire.Machine) string {
	b := protocol.AppendQuoted([]byte(`{"host":`), m.Name)
	b = protocol.AppendQuoted(append(b, `,"addr":`...), m.Public)
	b = protocol.AppendQuoted(append(b, `,"flavor":`...), m.Type)
	b = protocol.AppendQuoted(append(b, `,"region":`...), m.Zone)
	b = strconv.AppendBool(append(b, `,"reclaimable":`...), m.Spot)
	return string(append(b, `,"tenure":`...))
}

var stateNames = [...]string{protocol.TaskFetching: "fetching", protocol.TaskWaiting: "waiting", protocol.TaskRunning: "running", protocol.TaskCheckpointing: "saving", protocol.TaskExited: "exited"}

func appendTasks(b []byte, tasks []*task) []byte {
	for i, t := range tasks {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, `{"shard":"`...), t.ref...), '/')
		b = strconv.AppendInt(b, int64(t.index), 10)
		b = strconv.AppendUint(append(b, `","try":`...), t.attempt, 10)
		b = append(append(append(b, `,"phase":"`...), stateNames[t.state]...), '"')
		if t.state == protocol.TaskExited {
			b = append(append(append(b, `,"exitReason":"`...), t.reason...), '"')
			if t.saved {
				b = append(b, `,"saved":true`...)
			}
		}
		b = append(b, '}')
	}
	return b
}
