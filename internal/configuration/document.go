package configuration

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
)

// Document is what a revision says: values by key, as canonical JSON (a number, a text,
// true or false). What it has no key for is as the controllers' files say.
type Document map[string]string

// Change sets a key, or takes it out. "" is a key that is not there.
type Change struct{ Key, Old, New string }

// with is the document after some changes.
func (d Document) with(changes []Change) Document {
	n := maps.Clone(d)
	if n == nil {
		n = make(Document)
	}
	for _, c := range changes {
		if c.New == "" {
			delete(n, c.Key)
		} else {
			n[c.Key] = c.New
		}
	}
	return n
}

// before is the document before some changes.
func (d Document) before(changes []Change) Document {
	back := make([]Change, len(changes))
	for i, c := range changes {
		back[len(changes)-1-i] = Change{c.Key, c.New, c.Old}
	}
	return d.with(back)
}

// Diff lists what leads from one document to another, in the order of the keys.
func Diff(from, to Document) []Change {
	var list []Change
	for key, v := range from {
		if to[key] != v {
			list = append(list, Change{key, v, to[key]})
		}
	}
	for key, v := range to {
		if from[key] == "" {
			list = append(list, Change{key, "", v})
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Drain says whether tasks may be started on a machine, and what becomes of those
// that run there.
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
	Ceilings map[Kind]int // most machines of a type in a zone
	Operator protocol.OperatorSettings
	Log      string // level, "": as each controller was started
}

// NetDrain drains the machines with an address in a range: a rack, mostly.
type NetDrain struct {
	Net   netip.Prefix
	Drain Drain
}

// Kind is a type of machines in a zone.
type Kind struct{ Type, Zone string }

// Drained says whether a machine is drained, and how: the strictest that names it counts.
func (s *Settings) Drained(machine, zone, addr string) Drain {
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

// Of works out what a document comes to. A key that these files don't know, or whose
// value they don't allow, says nothing: the files may have changed since it was written.
// No limit comes out above that of the platform's file.
func Of(b *Bounds, d Document) *Settings {
	s := &Settings{
		Teams: make(map[string]Team, len(b.Teams)), Zones: make(map[string]Drain), Machines: make(map[string]Drain),
		Ceilings: make(map[Kind]int), Operator: b.Operator,
	}
	for name, t := range b.Teams {
		s.Teams[name] = Team{Team: t}
	}
	for _, key := range slices.Sorted(maps.Keys(d)) {
		value := d[key]
		if check(b, key, value) != nil {
			continue
		}
		part := strings.Split(key, "/")
		num, _ := strconv.ParseFloat(value, 64)
		drain := DrainFinish
		if value == strconv.Quote(wordStop) {
			drain = DrainStop
		}
		switch part[0] {
		case "team":
			t := s.Teams[part[1]]
			switch part[2] {
			case "retired":
				t.Retired = value == "true"
			case "excess":
				t.StopExcess = drain == DrainStop
			default:
				amount, _ := amounts[part[2]](&t.Team)
				*amount = thousandths(num)
				if *amount == 0 && num > 0 {
					*amount = 1 // 0 would be no limit
				}
			}
			s.Teams[part[1]] = t
		case "drain":
			switch part[1] {
			case "zone":
				s.Zones[part[2]] = drain
			case "machine":
				s.Machines[part[2]] = drain
			case "net":
				s.Nets = append(s.Nets, NetDrain{netip.MustParsePrefix(part[2] + "/" + part[3]), drain})
			}
		case "rent":
			s.Ceilings[Kind{part[1], part[2]}] = int(num)
		case "operator":
			if part[1] == "warm_spare" {
				s.Operator.WarmSpare = num
			} else {
				*spans[part[1]].of(&s.Operator) = protocol.FromSeconds(num)
			}
		case "log":
			s.Log, _ = strconv.Unquote(value)
		}
	}
	return s
}

// Validate says what is wrong with changes of a document, nil: nothing. It names the key.
func Validate(b *Bounds, d Document, changes []Change) error {
	teams := make(map[string]bool)
	for _, c := range changes {
		if part := strings.Split(c.Key, "/"); part[0] == "team" && len(part) == 3 {
			teams[part[1]] = true
		}
		if c.New == "" {
			if d[c.Key] == "" {
				return keyErrorf(c.Key, "is not set")
			}
			continue
		}
		if err := check(b, c.Key, c.New); err != nil {
			return err
		}
	}
	after := d.with(changes)
	s := Of(b, after)
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		t := s.Teams[name]
		for _, what := range []string{"cpus", "gpus"} {
			if amount, limit := amounts[what](&t.Team); *limit > 0 && *amount > *limit {
				return keyErrorf("team/"+name+"/"+what, "a guarantee of %g is above the team's limit of %g", float64(*amount)/1000, float64(*limit)/1000)
			}
		}
	}
	if size, most := len(appendDocument(nil, after)), b.ValueBytes*documentShare/100; size > most {
		return keyErrorf("changes", "the document would take %d bytes, and %d fit into a value of the state service with its history", size, most)
	}
	return nil
}
