package scale

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// play1 begins a fault. What it returns is called now and then until it reports that it
// is over.
func (s *supervisor) play1(t Fault) (later []func(now int64) bool, err error) {
	what := ""
	span := int64(protocol.FromSeconds(t.ForS))
	switch t.Kind {
	case FaultControllerEnd, FaultControllerFreeze:
		for _, c := range s.named(t.Controller) {
			if c.proc == nil || c.proc.over() {
				continue
			}
			what += " " + c.name
			if t.Kind == FaultControllerFreeze {
				if err := c.proc.signal(syscall.SIGSTOP); err != nil {
					return nil, fmt.Errorf("%s: %w", c.name, err)
				}
				c.frozen = true
				until, p := wire.Now()+span, c.proc
				later = append(later, func(now int64) bool {
					if now < until {
						return false
					}
					_ = p.signal(syscall.SIGCONT) // one that ended meanwhile needs none
					c.frozen = false
					return true
				})
				continue
			}
			if span == 0 {
				span = int64(protocol.FromSeconds(s.f.Controllers.RestartDelayS))
			}
			if err := c.proc.signal(syscall.SIGKILL); err != nil {
				return nil, fmt.Errorf("%s: %w", c.name, err)
			}
			<-c.proc.ended
			c.restartAt = wire.Now() + span
		}
	case FaultWorkerEnd, FaultWorkerHang, FaultWorkerRestart:
		by := make(map[*process][]string)
		names := s.pick(t)
		for _, n := range names {
			by[s.machines[n].proc] = append(by[s.machines[n].proc], n)
		}
		kind := map[string]string{FaultWorkerEnd: wire.FaultEnd, FaultWorkerHang: wire.FaultHang, FaultWorkerRestart: wire.FaultRestart}[t.Kind]
		for p, list := range by {
			p.send(&wire.Message{Kind: wire.Fault, Text: kind, Names: list, For: span, At: wire.Now()})
		}
		if t.Kind == FaultWorkerEnd {
			s.standins.send(&wire.Message{Kind: wire.Fault, Text: kind, Names: names, At: wire.Now()})
		}
		what = fmt.Sprintf(" %d machines", len(names))
	case FaultRegionCut, FaultRegionLoss, FaultRegionDelay:
		kind := map[string]string{FaultRegionCut: wire.FaultCut, FaultRegionLoss: wire.FaultLoss, FaultRegionDelay: wire.FaultDelay}[t.Kind]
		for _, r := range s.relays {
			r.send(&wire.Message{Kind: wire.Fault, Text: kind, Region: t.Region, For: span, Factor: t.Factor})
		}
		n := 0
		for _, m := range s.machines {
			n += btoi(m.Region == t.Region)
		}
		what = fmt.Sprintf(" %s with %d machines", t.Region, n)
	case FaultStateRefuse, FaultStateSlow:
		m := &wire.Message{Kind: wire.Fault, Text: wire.FaultSlow, For: span, Factor: t.Factor}
		what = " all"
		if t.Kind == FaultStateRefuse {
			m.Text = wire.FaultRefuse
			if t.Controller != "" && t.Controller != "all" {
				what = ""
				for _, c := range s.named(t.Controller) {
					m.Names = append(m.Names, c.ip)
					what += " " + c.name
				}
			}
		}
		s.standins.send(m)
	}
	if what = strings.TrimSpace(what); what == "" {
		what = "nobody"
	}
	s.played = append(s.played, Played{float64(wire.Now()-s.meter.began) / 1e6, t.String(), what})
	s.say("fault: %s: %s", t, what)
	return later, nil
}

// named are the controllers that a fault hits. The leader is the one of those that run
// that was last seen leading, or else the first.
func (s *supervisor) named(name string) []*controllerAt {
	switch name {
	case "all":
		return s.controllers
	case "leader":
		for i := len(s.meter.seconds) - 1; i >= 0; i-- {
			if at := s.running(s.meter.seconds[i].Leader); at != nil {
				return []*controllerAt{at}
			}
		}
		for _, c := range s.controllers {
			if s.running(c.name) != nil {
				return []*controllerAt{c}
			}
		}
	}
	if i := slices.IndexFunc(s.controllers, func(c *controllerAt) bool { return c.name == name }); i >= 0 {
		return s.controllers[i : i+1]
	}
	return nil
}

// running is the controller of a name, if its process is there and not stopped.
func (s *supervisor) running(name string) *controllerAt {
	for _, c := range s.controllers {
		if c.name == name && c.proc != nil && !c.proc.over() && !c.frozen {
			return c
		}
	}
	return nil
}

// pick draws the machines that a fault hits.
func (s *supervisor) pick(t Fault) []string {
	var names []string
	racks := make(map[string]bool)
	for _, n := range slices.Sorted(maps.Keys(s.machines)) {
		m := s.machines[n]
		if (t.Zone == "" || m.Zone == t.Zone) && (t.Region == "" || m.Region == t.Region) && (!t.Rack || m.Rack != "") {
			names = append(names, n)
			racks[m.Rack] = true
		}
	}
	if t.Rack && len(racks) > 0 {
		all := slices.Sorted(maps.Keys(racks))
		rack := all[s.rand.IntN(len(all))]
		names = slices.DeleteFunc(names, func(n string) bool { return s.machines[n].Rack != rack })
	}
	if t.Count > 0 {
		s.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:min(len(names), t.Count)]
	}
	return names
}
