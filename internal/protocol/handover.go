package protocol

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
)

// What controllers tell each other of the workers they hear goes in the bodies of
// a leader's status request and of its answer. Controllers that don't know them read
// the rest of the frame and leave the body alone. A body begins with its version.
const (
	reachabilityVersion = 1
	handoverVersion     = 1
)

// Most of each that a body may hold.
const (
	MaxReachabilityZones = 256
	MaxSilentHosts       = 2000
)

var errPeerBody = errors.New("malformed body of a frame")

// LeadershipTransfer is a lease that was given back so that another controller leads.
type LeadershipTransfer struct {
	From             string // who gave it back
	To               string // who is to go first
	Epoch            uint64
	At               Micros         // time of day
	ReachableWorkers map[string]int // workers that From heard by itself, by zone
}

// HandoverState is what a leader has seen that its successors must know.
type HandoverState struct {
	Epoch       uint64 // under which it was made
	At          Micros // time of day
	Partitions  []Partition
	SilentHosts []SilentHost // machines, without those of zones that are cut off
}

// Partition is a zone that looks cut off.
type Partition struct {
	Zone     string
	Since    Micros // when its first silent machine was last heard, time of day
	LastSeen Micros // when it last looked so
}

// SilentHost is a host that sends no heartbeats.
type SilentHost struct {
	Host  string
	Since Micros // when it was last heard, time of day
}

// AppendReachability writes how many workers a controller hears, by zone.
func AppendReachability(b []byte, heard map[string]int) []byte {
	zones := slices.Sorted(maps.Keys(heard))
	zones = zones[:min(len(zones), MaxReachabilityZones)]
	b = binary.BigEndian.AppendUint16(append(b, reachabilityVersion), uint16(len(zones)))
	for _, z := range zones {
		b = binary.BigEndian.AppendUint32(appendPeerText(b, z), uint32(heard[z]))
	}
	return b
}

// ParseReachability reads it.
func ParseReachability(body []byte) (map[string]int, error) {
	r := peerReader{b: body}
	version, n := r.byte(), int(r.uint(2))
	if version != reachabilityVersion || n > MaxReachabilityZones {
		return nil, errPeerBody
	}
	heard := make(map[string]int, n)
	for range n {
		zone := string(r.take(int(r.uint(2))))
		heard[zone] = int(r.uint(4))
	}
	if r.bad || len(r.b) != 0 || len(heard) != n {
		return nil, errPeerBody
	}
	return heard, nil
}

// AppendHandoverState writes a memory.
func AppendHandoverState(b []byte, m HandoverState) []byte {
	b = binary.BigEndian.AppendUint64(append(b, handoverVersion), m.Epoch)
	b = binary.BigEndian.AppendUint64(b, uint64(m.At))
	b = binary.BigEndian.AppendUint16(b, uint16(len(m.Partitions)))
	for _, c := range m.Partitions {
		b = binary.BigEndian.AppendUint64(appendPeerText(b, c.Zone), uint64(c.Since))
		b = binary.BigEndian.AppendUint64(b, uint64(c.LastSeen))
	}
	b = binary.BigEndian.AppendUint16(b, uint16(len(m.SilentHosts)))
	for _, s := range m.SilentHosts {
		b = binary.BigEndian.AppendUint64(appendPeerText(b, s.Host), uint64(s.Since))
	}
	return b
}

// ParseHandoverState reads it.
func ParseHandoverState(body []byte) (HandoverState, error) {
	r := peerReader{b: body}
	if r.byte() != handoverVersion {
		return HandoverState{}, errPeerBody
	}
	m := HandoverState{Epoch: r.uint(8), At: Micros(r.uint(8))}
	n := int(r.uint(2))
	if n > MaxReachabilityZones {
		return HandoverState{}, errPeerBody
	}
	for range n {
		m.Partitions = append(m.Partitions, Partition{Zone: string(r.take(int(r.uint(2)))), Since: Micros(r.uint(8)), LastSeen: Micros(r.uint(8))})
	}
	if n = int(r.uint(2)); n > MaxSilentHosts {
		return HandoverState{}, errPeerBody
	}
	for range n {
		if r.bad {
			break
		}
		m.SilentHosts = append(m.SilentHosts, SilentHost{Host: string(r.take(int(r.uint(2)))), Since: Micros(r.uint(8))})
	}
	if r.bad || len(r.b) != 0 {
		return HandoverState{}, errPeerBody
	}
	return m, nil
}
