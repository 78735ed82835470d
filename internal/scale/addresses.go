package scale

import (
	"fmt"
	"slices"

	"mapleslip/internal/scale/wire"
)

// Where the parts of a run listen: addresses by region, and what goes through relays.

// Addresses of the run, but those of machines, which package wire has. Each IP has one
// that its process listens on and one, in the relay, that other regions know.
func (s *supervisor) ip(rest string) string { return s.network.Prefix + rest }

func (s *supervisor) stateAddr(private bool) string { return s.ip("0.10:") + port(private, 7100) }

func (s *supervisor) cloudAddr(private bool) string { return s.ip("0.11:") + port(private, 7101) }

func port(private bool, n int) string {
	if !private {
		n += 1000
	}
	return fmt.Sprint(n)
}

func (c *controllerAt) client(private bool) string { return c.ip + ":" + port(private, 7000) }

func (c *controllerAt) cluster(private bool) string { return c.ip + ":" + port(private, 7001) }

func (c *controllerAt) telemetry() string { return c.ip + ":9464" }

// regionsOf says in which region each IP is.
func (s *supervisor) regionsOf(machines []wire.Machine) map[string]string {
	of := make(map[string]string)
	for _, m := range machines {
		of[m.Source] = m.Region
	}
	for _, c := range s.controllers {
		of[c.ip] = c.region
	}
	for _, r := range s.f.Regions {
		of[s.userIP(r.Name)] = r.Name
	}
	return of
}

func (s *supervisor) userIP(region string) string {
	return s.ip(fmt.Sprintf("2.%d", 1+slices.IndexFunc(s.f.Regions, func(r Region) bool { return r.Name == region })))
}

// listen is what a region's relay listens on, and where it goes.
func (s *supervisor) listen(region string, machines []wire.Machine) map[string]string {
	out := make(map[string]string)
	for _, c := range s.controllers {
		if c.region == region {
			out[c.client(false)], out[c.cluster(false)] = c.client(true), c.cluster(true)
		}
	}
	if region == s.f.State.Region {
		out[s.stateAddr(false)], out[s.cloudAddr(false)] = s.stateAddr(true), s.cloudAddr(true)
	}
	for _, m := range machines {
		if m.Region == region {
			out[m.Public] = m.Listen
		}
	}
	return out
}

// delays are those from other regions to one, one way, microseconds.
func (s *supervisor) delays(region string) map[string]int64 {
	out := make(map[string]int64)
	for _, r := range s.f.Regions {
		if r.Name != region {
			out[r.Name] = int64(s.f.Network.DelayMS * 1000)
		}
	}
	for _, l := range s.f.Links {
		for i := range 2 {
			if l.Between[i] == region {
				out[l.Between[1-i]] = int64(l.DelayMS * 1000)
			}
		}
	}
	return out
}

// known are the controllers as workers and users know them.
func (s *supervisor) known() []wire.Controller {
	var out []wire.Controller
	for _, c := range s.controllers {
		k := wire.Controller{Name: c.name, Zone: c.zone, Region: c.region, Public: make(map[string]string)}
		for _, r := range s.f.Regions {
			k.Public[r.Name] = c.client(r.Name == c.region)
		}
		out = append(out, k)
	}
	return out
}

func (s *supervisor) telemetry() map[string]string {
	out := make(map[string]string)
	for _, c := range s.controllers {
		if c.proc != nil && !c.proc.over() && !c.frozen {
			out[c.name] = c.telemetry()
		}
	}
	return out
}
