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

// injectFault injects a fault. The functions in pending resume frozen controllers: each is to
// be called repeatedly until it returns true.
func (s *supervisor) injectFault(fault Fault) (pending []func(now int64) bool, err error) {
	var target string
	switch fault.Kind {
	case FaultControllerEnd:
		target, err = s.endControllers(fault)
	case FaultControllerFreeze:
		target, pending, err = s.freezeControllers(fault)
	case FaultWorkerEnd, FaultWorkerHang, FaultWorkerRestart:
		target = s.disturbWorkers(fault)
	case FaultRegionCut, FaultRegionLoss, FaultRegionDelay:
		target = s.disturbRegion(fault)
	case FaultStateRefuse, FaultStateSlow:
		target = s.disturbState(fault)
	}
	if err != nil {
		return nil, err
	}
	if target == "" {
		target = "nobody"
	}
	s.injected = append(s.injected, Played{float64(wire.Now()-s.meter.began) / 1e6, fault.String(), target})
	s.printProgress("fault: %s: %s", fault, target)
	return pending, nil
}

// duration returns how long a fault lasts, in microseconds.
func (f *Fault) duration() int64 { return int64(protocol.FromSeconds(f.ForS)) }

// runningTargets returns the running controllers that a fault applies to, and their names.
func (s *supervisor) runningTargets(fault Fault) (list []*controllerState, names string) {
	for _, c := range s.faultTargets(fault.Controller) {
		if c.proc != nil && !c.proc.hasExited() {
			list = append(list, c)
			names += " " + c.name
		}
	}
	return list, strings.TrimSpace(names)
}

// endControllers kills controllers, which are started again later.
func (s *supervisor) endControllers(fault Fault) (names string, err error) {
	targets, names := s.runningTargets(fault)
	after := fault.duration()
	if after == 0 {
		after = int64(protocol.FromSeconds(s.file.Controllers.RestartDelayS))
	}
	for _, c := range targets {
		if err := c.proc.signal(syscall.SIGKILL); err != nil {
			return names, fmt.Errorf("%s: %w", c.name, err)
		}
		<-c.proc.exited
		c.restartAt = wire.Now() + after
	}
	return names, nil
}

// freezeControllers stops controllers. The functions in pending resume them, see injectFault.
func (s *supervisor) freezeControllers(fault Fault) (names string, pending []func(now int64) bool, err error) {
	targets, names := s.runningTargets(fault)
	for _, c := range targets {
		if err := c.proc.signal(syscall.SIGSTOP); err != nil {
			return names, nil, fmt.Errorf("%s: %w", c.name, err)
		}
		c.frozen = true
		until, p := wire.Now()+fault.duration(), c.proc
		pending = append(pending, func(now int64) bool {
			if now < until {
				return false
			}
			_ = p.signal(syscall.SIGCONT) // ignored: a process that has ended needs no SIGCONT
			c.frozen = false
			return true
		})
	}
	return names, pending, nil
}

// disturbWorkers has machines fail, hang or lose their session.
func (s *supervisor) disturbWorkers(fault Fault) (target string) {
	namesByProcess := make(map[*process][]string)
	names := s.pickMachines(fault)
	for _, n := range names {
		namesByProcess[s.machines[n].proc] = append(namesByProcess[s.machines[n].proc], n)
	}
	kind := map[string]string{FaultWorkerEnd: wire.FaultEnd, FaultWorkerHang: wire.FaultHang, FaultWorkerRestart: wire.FaultRestart}[fault.Kind]
	for p, list := range namesByProcess {
		p.send(&wire.Message{Kind: wire.Fault, Text: kind, Names: list, For: fault.duration(), At: wire.Now()})
	}
	if fault.Kind == FaultWorkerEnd {
		s.standins.send(&wire.Message{Kind: wire.Fault, Text: kind, Names: names, At: wire.Now()})
	}
	return fmt.Sprintf("%d machines", len(names))
}

// disturbRegion cuts, loses or delays what crosses the border of a region.
func (s *supervisor) disturbRegion(fault Fault) (target string) {
	kind := map[string]string{FaultRegionCut: wire.FaultCut, FaultRegionLoss: wire.FaultLoss, FaultRegionDelay: wire.FaultDelay}[fault.Kind]
	for _, r := range s.relays {
		r.send(&wire.Message{Kind: wire.Fault, Text: kind, Region: fault.Region, For: fault.duration(), Factor: fault.Factor})
	}
	n := 0
	for _, m := range s.machines {
		n += btoi(m.Region == fault.Region)
	}
	return fmt.Sprintf("%s with %d machines", fault.Region, n)
}

// disturbState has the state service refuse or delay requests, of all controllers or of some.
func (s *supervisor) disturbState(fault Fault) (target string) {
	m := &wire.Message{Kind: wire.Fault, Text: wire.FaultSlow, For: fault.duration(), Factor: fault.Factor}
	target = "all"
	if fault.Kind == FaultStateRefuse {
		m.Text = wire.FaultRefuse
		if fault.Controller != "" && fault.Controller != "all" {
			target = ""
			for _, c := range s.faultTargets(fault.Controller) {
				m.Names = append(m.Names, c.ip)
				target += " " + c.name
			}
		}
	}
	s.standins.send(m)
	return strings.TrimSpace(target)
}

// faultTargets returns the controllers that a fault applies to. "leader" is the most recent
// leader that still runs, or else the first controller that runs.
func (s *supervisor) faultTargets(name string) []*controllerState {
	switch name {
	case "all":
		return s.controllers
	case "leader":
		for i := len(s.meter.seconds) - 1; i >= 0; i-- {
			if leader := s.runningController(s.meter.seconds[i].Leader); leader != nil {
				return []*controllerState{leader}
			}
		}
		for _, c := range s.controllers {
			if s.runningController(c.name) != nil {
				return []*controllerState{c}
			}
		}
	}
	if i := slices.IndexFunc(s.controllers, func(c *controllerState) bool { return c.name == name }); i >= 0 {
		return s.controllers[i : i+1]
	}
	return nil
}

// runningController returns the controller with the given name if its process runs and is not
// frozen, or else nil.
func (s *supervisor) runningController(name string) *controllerState {
	for _, c := range s.controllers {
		if c.name == name && c.proc != nil && !c.proc.hasExited() && !c.frozen {
			return c
		}
	}
	return nil
}

// pickMachines returns the machines that a fault applies to: those that match its zone and
// region, restricted to one random rack and to a random selection of Count machines if the
// fault sets these.
func (s *supervisor) pickMachines(fault Fault) []string {
	var names []string
	racks := make(map[string]bool)
	for _, n := range slices.Sorted(maps.Keys(s.machines)) {
		m := s.machines[n]
		if (fault.Zone == "" || m.Zone == fault.Zone) && (fault.Region == "" || m.Region == fault.Region) && (!fault.Rack || m.Rack != "") {
			names = append(names, n)
			racks[m.Rack] = true
		}
	}
	if fault.Rack && len(racks) > 0 {
		all := slices.Sorted(maps.Keys(racks))
		rack := all[s.rand.IntN(len(all))]
		names = slices.DeleteFunc(names, func(n string) bool { return s.machines[n].Rack != rack })
	}
	if fault.Count > 0 {
		s.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:min(len(names), fault.Count)]
	}
	return names
}
