package configuration

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
)

// Drain specifies whether tasks may start on a machine, and what happens to the tasks that run
// there.
type Drain uint8

// Drains, from the least to the most strict.
const (
	NotDrained  Drain = iota
	DrainFinish       // no tasks start; running tasks continue
	DrainStop         // no tasks start; running tasks are stopped after they have saved
)

// Team is a team with the settings of a revision.
type Team struct {
	protocol.Team
	Retired bool // new jobs of the team are refused
	// StopExcess stops running tasks above the team's limit. Otherwise they continue, and no more
	// tasks start.
	StopExcess bool
}

// Settings are the effective settings: those of the controllers' files, changed by a document.
type Settings struct {
	Teams    map[string]Team
	Zones    map[string]Drain
	Machines map[string]Drain
	Nets     []NetDrain
	Ceilings map[MachineKind]int // maximum number of machines of a type in a zone
	Operator protocol.OperatorSettings
	LogLevel string // "" for the level with which each controller was started
}

// NetDrain drains the machines whose address is in a range, usually those of a rack.
type NetDrain struct {
	Net   netip.Prefix
	Drain Drain
}

// MachineKind is a machine type in a zone.
type MachineKind struct{ Type, Zone string }

// DrainOf returns the drain of a machine: the strictest of those for its zone, its name and its
// address.
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

// Resolve computes the settings that result from a document. It ignores a key that the baseline
// does not contain and a value that the baseline does not allow, because the files may have changed
// since the document was written. No resulting limit is above the one in the platform's file.
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

// set applies the value of a key. Both were checked before.
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
			*operatorSettings[key[1]].field(&s.Operator) = protocol.FromSeconds(number)
		}
	case "log":
		s.LogLevel, _ = strconv.Unquote(value)
	}
}

// set applies a setting of the team.
func (t *Team) set(name, value string, number float64) {
	switch name {
	case "retired":
		t.Retired = value == "true"
	case "excess":
		t.StopExcess = drainOf(value) == DrainStop
	default:
		amount, _ := teamAmounts[name](&t.Team)
		*amount = toThousandths(number)
		if *amount == 0 && number > 0 {
			*amount = 1 // 0 would mean no limit
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
	if value == strconv.Quote(valueStop) {
		return DrainStop
	}
	return DrainFinish
}
