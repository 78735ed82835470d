package protocol

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
)

// What controllers tell each other of the workers they hear goes in the bodies of
// a leader's question and of its answer. Controllers that don't know them read
// the rest of the frame and leave the body alone. A body begins with its version.
const (
	hearingVersion = 1
	memoryVersion  = 1
)

// Most of each that a body may hold.
const (
	MaxHeardZones = 256
	MaxSilent     = 2000
)

var errHearing = errors.New("malformed body of a frame")

// Yield is a lease that was given back so that another controller leads.
type Yield struct {
	Node  string // who gave it back
	To    string // who is to go first
	Epoch uint64
	At    Micros         // time of day
	Heard map[string]int // workers that Node heard by itself, by zone
}

// Memory is what a leader has seen that its successors must know.
type Memory struct {
	Epoch  uint64 // under which it was made
	At     Micros // time of day
	Cuts   []Cut
	Silent []Silence // machines, without those of zones that are cut off
}

// Cut is a zone that looks cut off.
type Cut struct {
	Zone  string
	Since Micros // when its first silent machine was last heard, time of day
	Seen  Micros // when it last looked so
}

// Silence is a machine that says nothing.
type Silence struct {
	Host  string
	Since Micros // when it was last heard, time of day
}

// AppendHearing writes how many workers a controller hears, by zone.
func AppendHearing(b []byte, heard map[string]int) []byte {
	zones := slices.Sorted(maps.Keys(heard))
	zones = zones[:min(len(zones), MaxHeardZones)]
	b = binary.BigEndian.AppendUint16(append(b, hearingVersion), uint16(len(zones)))
	for _, z := range zones {
		b = binary.BigEndian.AppendUint32(appendPeerText(b, z), uint32(heard[z]))
	}
	return b
}

// ParseHearing reads it.
func ParseHearing(body []byte) (map[string]int, error) {
	r := peerReader{b: body}
	version, n := r.byte(), int(r.uint(2))
	if version != hearingVersion || n > MaxHeardZones {
		return nil, errHearing
	}
	heard := make(map[string]int, n)
	for range n {
		zone := string(r.take(int(r.uint(2))))
		heard[zone] = int(r.uint(4))
	}
	if r.bad || len(r.b) != 0 || len(heard) != n {
		return nil, errHearing
	}
	return heard, nil
}

// AppendMemory writes a memory.
func AppendMemory(b []byte, m Memory) []byte {
	b = binary.BigEndian.AppendUint64(append(b, memoryVersion), m.Epoch)
	b = binary.BigEndian.AppendUint64(b, uint64(m.At))
	b = binary.BigEndian.AppendUint16(b, uint16(len(m.Cuts)))
	for _, c := range m.Cuts {
		b = binary.BigEndian.AppendUint64(appendPeerText(b, c.Zone), uint64(c.Since))
		b = binary.BigEndian.AppendUint64(b, uint64(c.Seen))
	}
	b = binary.BigEndian.AppendUint16(b, uint16(len(m.Silent)))
	for _, s := range m.Silent {
		b = binary.BigEndian.AppendUint64(appendPeerText(b, s.Host), uint64(s.Since))
	}
	return b
}

// ParseMemory reads it.
func ParseMemory(body []byte) (Memory, error) {
	r := peerReader{b: body}
	if r.byte() != memoryVersion {
		return Memory{}, errHearing
	}
	m := Memory{Epoch: r.uint(8), At: Micros(r.uint(8))}
	n := int(r.uint(2))
	if n > MaxHeardZones {
		return Memory{}, errHearing
	}
	for range n {
		m.Cuts = append(m.Cuts, Cut{Zone: string(r.take(int(r.uint(2)))), Since: Micros(r.uint(8)), Seen: Micros(r.uint(8))})
	}
	if n = int(r.uint(2)); n > MaxSilent {
		return Memory{}, errHearing
	}
	for range n {
		if r.bad {
			break
		}
		m.Silent = append(m.Silent, Silence{Host: string(r.take(int(r.uint(2)))), Since: Micros(r.uint(8))})
	}
	if r.bad || len(r.b) != 0 {
		return Memory{}, errHearing
	}
	return m, nil
}
