package scale

import (
	"fmt"
	"slices"

	"mapleslip/internal/scale/wire"
)

// Addresses of the processes of a run, by region, and the targets of the relays between regions.

// ip returns the address prefix of the run's loopback network followed by suffix. Addresses of
// machines come from wire.Addresses. Controllers, the state service and the cloud have two ports
// for each listener: the process itself listens on the private one, and the relay of its region
// on the public one, which is 1000 higher and is used from other regions.
func (s *supervisor) ip(suffix string) string { return s.network.Prefix + suffix }

func (s *supervisor) stateAddr(private bool) string { return s.ip("0.10:") + port(private, 7100) }

func (s *supervisor) cloudAddr(private bool) string { return s.ip("0.11:") + port(private, 7101) }

func port(private bool, n int) string {
	if !private {
		n += 1000
	}
	return fmt.Sprint(n)
}

func (c *controllerState) clientAddr(private bool) string { return c.ip + ":" + port(private, 7000) }

func (c *controllerState) clusterAddr(private bool) string { return c.ip + ":" + port(private, 7001) }

func (c *controllerState) telemetryAddr() string { return c.ip + ":9464" }

// regionsOf maps the IP address of each machine, controller and user process to its region.
func (s *supervisor) regionsOf(machines []wire.Machine) map[string]string {
	byIP := make(map[string]string)
	for _, m := range machines {
		byIP[m.Source] = m.Region
	}
	for _, c := range s.controllers {
		byIP[c.ip] = c.region
	}
	for _, r := range s.file.Regions {
		byIP[s.userIP(r.Name)] = r.Name
	}
	return byIP
}

func (s *supervisor) userIP(region string) string {
	return s.ip(fmt.Sprintf("2.%d", 1+slices.IndexFunc(s.file.Regions, func(r Region) bool { return r.Name == region })))
}

// relayTargets maps each address on which the relay of a region listens to the address that it
// forwards to.
func (s *supervisor) relayTargets(region string, machines []wire.Machine) map[string]string {
	out := make(map[string]string)
	for _, c := range s.controllers {
		if c.region == region {
			out[c.clientAddr(false)], out[c.clusterAddr(false)] = c.clientAddr(true), c.clusterAddr(true)
		}
	}
	if region == s.file.State.Region {
		out[s.stateAddr(false)], out[s.cloudAddr(false)] = s.stateAddr(true), s.cloudAddr(true)
	}
	for _, m := range machines {
		if m.Region == region {
			out[m.Public] = m.Listen
		}
	}
	return out
}

// delays returns the one-way delay from each other region to the given one, in microseconds.
func (s *supervisor) delays(region string) map[string]int64 {
	out := make(map[string]int64)
	for _, r := range s.file.Regions {
		if r.Name != region {
			out[r.Name] = int64(s.file.Network.DelayMS * 1000)
		}
	}
	for _, l := range s.file.Links {
		for i := range 2 {
			if l.Between[i] == region {
				out[l.Between[1-i]] = int64(l.DelayMS * 1000)
			}
		}
	}
	return out
}

// controllerAddrs lists the controllers, each with the address at which workers and users of
// each region reach it.
func (s *supervisor) controllerAddrs() []wire.Controller {
	var out []wire.Controller
	for _, c := range s.controllers {
		controller := wire.Controller{Name: c.name, Zone: c.zone, Region: c.region, Public: make(map[string]string)}
		for _, r := range s.file.Regions {
			controller.Public[r.Name] = c.clientAddr(r.Name == c.region)
		}
		out = append(out, controller)
	}
	return out
}

// telemetryAddrs returns the metrics address of each controller that runs and is not frozen.
func (s *supervisor) telemetryAddrs() map[string]string {
	out := make(map[string]string)
	for _, c := range s.controllers {
		if c.proc != nil && !c.proc.hasExited() && !c.frozen {
			out[c.name] = c.telemetryAddr()
		}
	}
	return out
}
