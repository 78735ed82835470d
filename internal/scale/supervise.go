package scale

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// What the supervisor does while the load runs: it injects faults, checks processes and passes
// machines between the stand-in of the cloud and the workers.

// checkProcesses checks that all processes run, and starts the controllers whose restart is due.
// A controller that ended by itself is noted in the report and restarted after restart_delay_s.
// The run fails if a controller ends by itself more than 20 times or before the load, or if a
// part ends.
func (s *supervisor) checkProcesses() error {
	for _, c := range s.controllers {
		if c.proc != nil && c.proc.hasExited() && c.restartAt == 0 {
			s.addNote("%s ended by itself: %v: %s", c.name, c.proc.err, lastLine(s.options.Out, c.name))
			c.restartAt = wire.Now() + int64(protocol.FromSeconds(s.file.Controllers.RestartDelayS))
			if c.restarts++; c.restarts > 20 || s.meter.began == 0 {
				return fmt.Errorf("%s: %s", c.name, lastLine(s.options.Out, c.name))
			}
		}
		if c.restartAt > 0 && wire.Now() >= c.restartAt {
			if err := s.startController(c); err != nil {
				return err
			}
		}
	}
	for name, p := range s.parts {
		if p.hasExited() {
			return fmt.Errorf("%s ended by itself: %w: %s", name, p.err, lastLine(s.options.Out, name))
		}
	}
	return nil
}

// handleMessage handles a message from a part.
func (s *supervisor) handleMessage(msg inbound) {
	m, p := msg.m, msg.from
	if m == nil {
		s.outputClosed[p.name] = true
		return
	}
	switch m.Kind {
	case wire.Ready:
		s.ready[p.name] = true
		if m.Text != "" && s.partErr == nil {
			s.partErr = fmt.Errorf("%s: %s", p.name, m.Text)
		}
	case wire.Note:
		s.addNote("%s: %s", p.name, m.Text)
	case wire.Boot:
		if m.Machine != nil {
			s.assignMachine(m)
		}
	case wire.Gone:
		s.releaseMachines(m)
	case wire.GoneDone:
		s.confirmRelease(p, m.ID)
	case wire.Gauge:
		s.meter.observe(p, m)
	default:
		s.hub.Take(p.name, m)
		s.meter.observe(p, m)
	}
}

// assignMachine assigns a machine that the cloud rented out to the hollow process of its region
// that has the fewest machines.
func (s *supervisor) assignMachine(m *wire.Message) {
	mc := *m.Machine
	if mc.Region == "" {
		mc.Region = s.file.regionOf(mc.Zone)
	}
	counts := make(map[*process]int)
	for _, machine := range s.machines {
		counts[machine.proc]++
	}
	var p *process
	for _, h := range s.hollow[mc.Region] {
		if p == nil || counts[h] < counts[p] {
			p = h
		}
	}
	if p == nil {
		s.addNote("machine %s in zone %s has no region", mc.Name, mc.Zone)
		return
	}
	s.machines[mc.Name] = &machineState{mc, p}
	s.hub.Machine(mc, p.name)
	out := &wire.Message{Kind: wire.Boot, At: m.At, Machine: &mc}
	for _, r := range s.relays {
		r.send(out)
	}
	p.send(out)
}

// releaseMachines ends released machines. The stand-in of the cloud answers the release only
// after the processes of their workers have confirmed it.
func (s *supervisor) releaseMachines(m *wire.Message) {
	namesByProcess := make(map[*process][]string)
	var public []string
	for _, name := range m.Names {
		if machine := s.machines[name]; machine != nil {
			namesByProcess[machine.proc] = append(namesByProcess[machine.proc], name)
			public = append(public, machine.Public)
		}
	}
	waiting := make(map[string]bool)
	for p, names := range namesByProcess {
		waiting[p.name] = true
		p.send(&wire.Message{Kind: wire.Gone, ID: m.ID, Names: names, At: m.At})
	}
	for _, r := range s.relays {
		r.send(&wire.Message{Kind: wire.Gone, Names: public})
	}
	s.releases[m.ID] = waiting
	for _, name := range m.Names {
		delete(s.machines, name)
	}
	if len(waiting) == 0 {
		s.confirmRelease(nil, m.ID)
	}
}

// confirmRelease removes a process from those that must confirm a release. Once none is left,
// it sends the confirmation to the stand-in of the cloud.
func (s *supervisor) confirmRelease(p *process, id uint64) {
	waiting := s.releases[id]
	if p != nil {
		delete(waiting, p.name)
	}
	if len(waiting) == 0 {
		delete(s.releases, id)
		s.standins.send(&wire.Message{Kind: wire.GoneDone, ID: id})
	}
}

// addNote adds a note to the report, which has at most 200 of them, and prints it.
func (s *supervisor) addNote(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(s.notes) < 200 {
		s.notes = append(s.notes, text)
	}
	s.printProgress("note: %s", text)
}

// printProgress prints a line with the time since the start of the load.
func (s *supervisor) printProgress(format string, args ...any) {
	if s.options.Progress == nil {
		return
	}
	t := "      "
	if s.meter.began > 0 {
		t = fmt.Sprintf("%5.0fs", float64(wire.Now()-s.meter.began)/1e6)
	}
	fmt.Fprintf(s.options.Progress, "%s  %s\n", t, fmt.Sprintf(format, args...))
}

// checkDelayUS is the time for which checks wait, in addition to the delay of the checker itself,
// for messages that parts send late because this machine is busy, microseconds.
const checkDelayUS = 2_000_000

// schedule is what the supervisor still has to do in a run.
type schedule struct {
	begin, end int64
	lastStatus int64
	// resume are functions that end faults; each is called until it returns true.
	resume []func(now int64) bool
}

// eventLoop injects the faults and handles messages until the load and its settle time have passed.
func (s *supervisor) eventLoop(ctx context.Context, begin int64) error {
	run := &schedule{begin: begin, end: begin + int64(protocol.FromSeconds(s.file.DurationS+s.file.SettleS)), lastStatus: begin}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	samples := make(chan *sample, 1)
	go s.sampleProcesses(samples)
	for {
		var err error
		over := false
		select {
		case m := <-s.in:
			err = s.handleMessages(m)
		case sm := <-samples:
			err = s.checkSample(sm)
		case <-tick.C:
			over, err = s.tick(run, wire.Now())
		case <-ctx.Done():
			err = s.contextError(ctx)
		}
		if over || err != nil {
			return err
		}
	}
}

// maxMessageBatch is how many messages are handled between two checks of the other channels.
const maxMessageBatch = 4096

// handleMessages handles a message and those that wait behind it.
func (s *supervisor) handleMessages(first inbound) error {
	s.handleMessage(first)
	for n := 0; n < maxMessageBatch && len(s.in) > 0; n++ {
		s.handleMessage(<-s.in)
	}
	return s.partErr
}

// checkSample adds a sample of the processes and checks their number and memory.
func (s *supervisor) checkSample(sm *sample) error {
	rss := s.meter.addSample(sm, s.hub.Counts().Running)
	if n := len(sm.usage); n > s.file.Limits.Processes {
		return &limitError{fmt.Sprintf("%d processes, limits.processes is %d", n, s.file.Limits.Processes)}
	}
	if total, _, err := machineMemory(); err == nil && float64(rss) > s.file.Limits.Memory*float64(total) {
		return &limitError{fmt.Sprintf("processes take %d MB, more than limits.memory = %g of %d MB", rss>>20, s.file.Limits.Memory, total>>20)}
	}
	return nil
}

// tick checks the rules and the processes and injects the faults that are due. over reports that the
// run has ended.
func (s *supervisor) tick(run *schedule, now int64) (over bool, err error) {
	s.hub.Tick(now - checkDelayUS)
	if b := s.hub.Broken(); len(b) > 0 {
		return false, fmt.Errorf("rule broken: %s: %s", b[0].Kind, b[0].Text)
	}
	if err := s.checkProcesses(); err != nil {
		return false, err
	}
	if err := s.injectDueFaults(run, now); err != nil {
		return false, err
	}
	if s.firstStart == 0 && now > run.begin+int64(protocol.FromSeconds(s.file.Limits.QuietS)) {
		return false, fmt.Errorf("rule broken: nothing_ran: no task started within limits.liveness_s = %g s", s.file.Limits.QuietS)
	}
	if now >= run.lastStatus+5*int64(protocol.Second) {
		run.lastStatus = now
		s.printStatus()
	}
	return now >= run.end, nil
}

// injectDueFaults injects the faults that are due, and ends those whose time is over.
func (s *supervisor) injectDueFaults(run *schedule, now int64) error {
	for len(s.faults) > 0 && now >= run.begin+int64(protocol.FromSeconds(s.faults[0].AtS)) {
		fault := s.faults[0]
		s.faults = s.faults[1:]
		more, err := s.injectFault(fault)
		if err != nil {
			return err
		}
		run.resume = append(run.resume, more...)
	}
	run.resume = slices.DeleteFunc(run.resume, func(resume func(now int64) bool) bool { return resume(now) })
	return nil
}

// sampleProcesses samples all processes once a second until the run ends.
func (s *supervisor) sampleProcesses(to chan<- *sample) {
	reader := sampler{}
	next := time.Now()
	self := &process{name: "supervisor", role: "supervisor", pid: os.Getpid(), exited: make(chan struct{})}
	for {
		if d := time.Until(next); d > 0 {
			select {
			case <-time.After(d):
			case <-s.stopped:
				return
			}
		}
		next = time.Now().Add(time.Second).Truncate(time.Second)
		s.mu.Lock()
		kept := s.procs[:0]
		for _, p := range s.procs {
			if !p.hasExited() {
				kept = append(kept, p)
			}
		}
		s.procs = kept
		procs := append(slices.Clone(kept), self)
		s.mu.Unlock()
		telemetry := make(map[string]string)
		for _, p := range procs {
			if i := slices.Index(s.file.controllerNames(), p.name); i >= 0 {
				telemetry[p.name] = s.controllers[i].telemetryAddr()
			}
		}
		select {
		case to <- reader.collect(procs, telemetry):
		case <-s.stopped:
			return
		}
	}
}

// printStatus prints a summary of the current state.
func (s *supervisor) printStatus() {
	n := len(s.meter.seconds)
	if n < 5 {
		return
	}
	last := s.meter.seconds[n-2]
	for i := n - 3; i >= 0 && last.CPU == nil; i-- { // there is no sample of that second yet
		last = s.meter.seconds[i]
	}
	starts := 0 // in five seconds that have been checked
	for _, sec := range s.meter.seconds[max(0, n-9) : n-4] {
		starts += sec.Starts
	}
	cpu, rss := 0.0, 0.0
	for _, v := range last.CPU {
		cpu += v
	}
	for _, v := range last.RSS {
		rss += v
	}
	c := s.hub.Counts()
	s.printProgress("leader %s, %d jobs, %d tasks running, %.0f starts/s, submit p99 %s, lag %.0f ms, %.1f cores (machine %.0f%%), %.0f MB", orNone(last.Leader), c.Jobs, c.Running,
		float64(starts)/5, milliseconds(s.meter.latency("submit").all.ValueAtQuantile(99)), last.LagMS, cpu, last.Busy*100, rss)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func milliseconds(us int64) string {
	switch ms := float64(us) / 1000; {
	case us == 0:
		return "-"
	case ms < 10:
		return fmt.Sprintf("%.1f ms", ms)
	case ms < 10_000:
		return fmt.Sprintf("%.0f ms", ms)
	default:
		return fmt.Sprintf("%.1f s", ms/1000)
	}
}
