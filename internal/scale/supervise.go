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

// What the supervisor does while the load runs: it plays faults, watches processes and
// passes machines between the stand-in of the cloud and the workers.

// watch looks whether all processes are there. A controller that ended by itself starts
// again as one that was ended does, and is noted.
func (s *supervisor) watch() error {
	for _, c := range s.controllers {
		if c.proc != nil && c.proc.over() && c.restartAt == 0 {
			s.note("%s ended by itself: %v: %s", c.name, c.proc.err, lastLine(s.o.Out, c.name))
			c.restartAt = wire.Now() + int64(protocol.FromSeconds(s.f.Controllers.RestartDelayS))
			if c.restarts++; c.restarts > 20 || s.meter.began == 0 {
				return fmt.Errorf("%s: %s", c.name, lastLine(s.o.Out, c.name))
			}
		}
		if c.restartAt > 0 && wire.Now() >= c.restartAt {
			if err := s.startController(c); err != nil {
				return err
			}
		}
	}
	for name, p := range s.parts {
		if p.over() {
			return fmt.Errorf("%s ended by itself: %w: %s", name, p.err, lastLine(s.o.Out, name))
		}
	}
	return nil
}

// message takes one of a part's.
func (s *supervisor) message(i inbound) {
	m, p := i.m, i.from
	if m == nil {
		s.silent[p.name] = true
		return
	}
	switch m.Kind {
	case wire.Ready:
		s.ready[p.name] = true
		if m.Text != "" && s.problem == nil {
			s.problem = fmt.Errorf("%s: %s", p.name, m.Text)
		}
	case wire.Note:
		s.note("%s: %s", p.name, m.Text)
	case wire.Boot:
		if m.Machine != nil {
			s.boot(m)
		}
	case wire.Gone:
		s.gone(m)
	case wire.GoneDone:
		s.goneDone(p, m.ID)
	case wire.Gauge:
		s.meter.take(p, m)
	default:
		s.hub.Take(p.name, m)
		s.meter.take(p, m)
	}
}

// boot hands a machine that the cloud rented out to the hollow process of its region
// that has the fewest.
func (s *supervisor) boot(m *wire.Message) {
	mc := *m.Machine
	if mc.Region == "" {
		mc.Region = s.f.regionOf(mc.Zone)
	}
	counts := make(map[*process]int)
	for _, at := range s.machines {
		counts[at.proc]++
	}
	var p *process
	for _, h := range s.hollow[mc.Region] {
		if p == nil || counts[h] < counts[p] {
			p = h
		}
	}
	if p == nil {
		s.note("machine %s in zone %s has no region", mc.Name, mc.Zone)
		return
	}
	s.machines[mc.Name] = &machineAt{mc, p}
	s.hub.Machine(mc, p.name)
	out := &wire.Message{Kind: wire.Boot, At: m.At, Machine: &mc}
	for _, r := range s.relays {
		r.send(out)
	}
	p.send(out)
}

// gone has machines end that were released; the stand-in of the cloud answers only when
// their workers' processes have said that they are gone.
func (s *supervisor) gone(m *wire.Message) {
	by := make(map[*process][]string)
	var public []string
	for _, name := range m.Names {
		if at := s.machines[name]; at != nil {
			by[at.proc] = append(by[at.proc], name)
			public = append(public, at.Public)
		}
	}
	waiting := make(map[string]bool)
	for p, names := range by {
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
		s.goneDone(nil, m.ID)
	}
}

func (s *supervisor) goneDone(p *process, id uint64) {
	waiting := s.releases[id]
	if p != nil {
		delete(waiting, p.name)
	}
	if len(waiting) == 0 {
		delete(s.releases, id)
		s.standins.send(&wire.Message{Kind: wire.GoneDone, ID: id})
	}
}

func (s *supervisor) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(s.notes) < 200 {
		s.notes = append(s.notes, text)
	}
	s.say("note: %s", text)
}

func (s *supervisor) say(format string, args ...any) {
	if s.o.Progress == nil {
		return
	}
	t := "      "
	if s.meter.began > 0 {
		t = fmt.Sprintf("%5.0fs", float64(wire.Now()-s.meter.began)/1e6)
	}
	fmt.Fprintf(s.o.Progress, "%s  %s\n", t, fmt.Sprintf(format, args...))
}

// judgeLate is how long the hub waits, beyond its second, for messages of parts that are
// on their way while this machine is busy, microseconds.
const judgeLate = 2_000_000

// loop plays the load and the faults until the time is over.
func (s *supervisor) loop(ctx context.Context, begin int64) error {
	end := begin + int64(protocol.FromSeconds(s.f.DurationS+s.f.SettleS))
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	samples := make(chan *sample, 1)
	go s.sample(samples)
	progress := begin
	var resume []func(now int64) bool // false: not yet
	for {
		select {
		case m := <-s.in:
			s.message(m)
			for n := 0; n < 4096 && len(s.in) > 0; n++ {
				s.message(<-s.in)
			}
			if s.problem != nil {
				return s.problem
			}
		case sm := <-samples:
			rss := s.meter.sampled(sm, s.hub.Counts().Running)
			if n := len(sm.usage); n > s.f.Limits.Processes {
				return &limitError{fmt.Sprintf("%d processes, limits.processes is %d", n, s.f.Limits.Processes)}
			}
			if total, _, err := memory(); err == nil && float64(rss) > s.f.Limits.Memory*float64(total) {
				return &limitError{fmt.Sprintf("processes take %d MB, more than limits.memory = %g of %d MB", rss>>20, s.f.Limits.Memory, total>>20)}
			}
		case <-tick.C:
			now := wire.Now()
			s.hub.Tick(now - judgeLate)
			if b := s.hub.Broken(); len(b) > 0 {
				return fmt.Errorf("rule broken: %s: %s", b[0].Kind, b[0].Text)
			}
			if err := s.watch(); err != nil {
				return err
			}
			for len(s.faults) > 0 && now >= begin+int64(protocol.FromSeconds(s.faults[0].AtS)) {
				t := s.faults[0]
				s.faults = s.faults[1:]
				more, err := s.play1(t)
				if err != nil {
					return err
				}
				resume = append(resume, more...)
			}
			kept := resume[:0]
			for _, r := range resume {
				if !r(now) {
					kept = append(kept, r)
				}
			}
			resume = kept
			if s.firstStart == 0 && now > begin+int64(protocol.FromSeconds(s.f.Limits.QuietS)) {
				return fmt.Errorf("rule broken: nothing_ran: no task started within limits.liveness_s = %g s", s.f.Limits.QuietS)
			}
			if now >= progress+5*int64(protocol.Second) {
				progress = now
				s.progress()
			}
			if now >= end {
				return nil
			}
		case <-ctx.Done():
			return s.ended(ctx)
		}
	}
}

// sample looks at the processes once a second until the run ends.
func (s *supervisor) sample(to chan<- *sample) {
	look := sampler{}
	next := time.Now()
	self := &process{name: "supervisor", role: "supervisor", pid: os.Getpid(), ended: make(chan struct{})}
	for {
		if d := time.Until(next); d > 0 {
			select {
			case <-time.After(d):
			case <-s.over:
				return
			}
		}
		next = time.Now().Add(time.Second).Truncate(time.Second)
		s.mu.Lock()
		kept := s.procs[:0]
		for _, p := range s.procs {
			if !p.over() {
				kept = append(kept, p)
			}
		}
		s.procs = kept
		procs := append(slices.Clone(kept), self)
		s.mu.Unlock()
		telemetry := make(map[string]string)
		for _, p := range procs {
			if i := slices.Index(s.f.controllerNames(), p.name); i >= 0 {
				telemetry[p.name] = s.controllers[i].telemetry()
			}
		}
		select {
		case to <- look.take(procs, telemetry):
		case <-s.over:
			return
		}
	}
}

// progress prints a line of how it goes.
func (s *supervisor) progress() {
	n := len(s.meter.seconds)
	if n < 5 {
		return
	}
	last := s.meter.seconds[n-2]
	for i := n - 3; i >= 0 && last.CPU == nil; i-- { // the sampler is behind
		last = s.meter.seconds[i]
	}
	starts := 0 // in five seconds that are judged
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
	s.say("leader %s, %d jobs, %d tasks running, %.0f starts/s, submit p99 %s, lag %.0f ms, %.1f cores (machine %.0f%%), %.0f MB", orNone(last.Leader), c.Jobs, c.Running,
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
