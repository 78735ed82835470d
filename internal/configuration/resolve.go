package configuration

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
)

// Drain says whether tasks may be started on a machine, and what becomes of those that run there.
type Drain uint8

// Kinds of drains.
const (
	NotDrained  Drain = iota
	DrainFinish       // nothing starts, what runs goes on
	DrainStop         // nothing starts, what runs is stopped after it has saved
)

// Team is a team as a revision has it.
type Team struct {
	protocol.Team
	Retired bool // takes no new jobs
	// StopExcess: what runs above the limit is stopped. Otherwise it goes on, and
	// nothing more starts.
	StopExcess bool
}

// Settings is what a document comes to, on top of the controllers' files.
type Settings struct {
	Teams    map[string]Team
	Zones    map[string]Drain
	Machines map[string]Drain
	Nets     []NetDrain
	Ceilings map[MachineKind]int // most machines of a type in a zone
	Operator protocol.OperatorSettings
	LogLevel string // level, "": as each controller was started
}

// NetDrain drains the machines with an address in a range: a rack, mostly.
type NetDrain struct {
	Net   netip.Prefix
	Drain Drain
}

// MachineKind is a type of machines in a zone.
type MachineKind struct{ Type, Zone string }

// DrainOf says whether a machine is drained, and how: the strictest that names it counts.
func (s *Settings) DrainOf(machine, zone, addr string) Drain {
	if len(s.Zones)+len(s.Machines)+len(s.Nets) == 0 {
		return NotDrained
	}
	d := max(s.Zones[zone], s.Machines[machine])
	if len(s.Nets) > 0 {
		if a, err := netip.ParseAddrPort(addr); err == nil {
			for _, n := range s.Nets {
				if n.Net.Contains(a.Addr()) {
					d = max(d, n.Drain)
				}
			}
		}
	}
	return d
}

// Resolve works out what a document comes to. A key that the baseline does not know, or whose
// value it does not allow, says nothing: the files may have changed since it was written. No limit
// comes out above that of the platform's file.
func Resolve(b *Baseline, d Document) *Settings {
	s := &Settings{
		Teams: make(map[string]Team, len(b.Teams)), Zones: make(map[string]Drain), Machines: make(map[string]Drain),
		Ceilings: make(map[MachineKind]int), Operator: b.Operator,
	}
	for name, t := range b.Teams {
		s.Teams[name] = Team{Team: t}
	}
	for _, key := range slices.Sorted(maps.Keys(d)) {
		if value := d[key]; checkValue(b, key, value) == nil {
			s.set(strings.Split(key, "/"), value)
		}
	}
	return s
}

// set sets a key, which was checked, to a value.
func (s *Settings) set(key []string, value string) {
	number, _ := strconv.ParseFloat(value, 64)
	switch key[0] {
	case "team":
		t := s.Teams[key[1]]
		t.set(key[2], value, number)
		s.Teams[key[1]] = t
	case "drain":
		s.setDrain(key, drainOf(value))
	case "rent":
		s.Ceilings[MachineKind{key[1], key[2]}] = int(number)
	case "operator":
		if key[1] == "warm_spare" {
			s.Operator.WarmSpare = number
		} else {
			*operatorSettings[key[1]].of(&s.Operator) = protocol.FromSeconds(number)
		}
	case "log":
		s.LogLevel, _ = strconv.Unquote(value)
	}
}

// set sets a setting of a team.
func (t *Team) set(name, value string, number float64) {
	switch name {
	case "retired":
		t.Retired = value == "true"
	case "excess":
		t.StopExcess = drainOf(value) == DrainStop
	default:
		amount, _ := teamAmounts[name](&t.Team)
		*amount = thousandths(number)
		if *amount == 0 && number > 0 {
			*amount = 1 // 0 would be no limit
		}
	}
}

func (s *Settings) setDrain(key []string, d Drain) {
	switch key[1] {
	case "zone":
		s.Zones[key[2]] = d
	case "machine":
		s.Machines[key[2]] = d
	case "net":
		s.Nets = append(s.Nets, NetDrain{netip.MustParsePrefix(key[2] + "/" + key[3]), d})
	}
}

func drainOf(value string) Drain {
	if value == strconv.Quote(wordStop) {
		return DrainStop
	}
	return DrainFinish
}
