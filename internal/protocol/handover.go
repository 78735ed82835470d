package protocol

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
)

// Versions of the bodies of two messages between controllers. A leader's status request contains
// its handover state. The response to it contains, by zone, the number of workers that reach the
// responding controller and not the leader. Each body begins with its version. Controllers of
// builds without these bodies read the other fields of the frame and ignore the body.
const (
	reachabilityVersion = 1
	handoverVersion     = 1
)

// Maximum numbers of entries in a body. MaxReachabilityZones also limits the partitions of a
// handover state.
const (
	MaxReachabilityZones = 256
	MaxSilentHosts       = 2000
)

var errPeerBody = errors.New("malformed body of a frame")

// LeadershipTransfer records that a leader released its lease so that another controller becomes
// leader.
type LeadershipTransfer struct {
	From             string         // controller that released the lease
	To               string         // controller that may acquire the lease first
	Epoch            uint64         // of the term that ended
	At               Micros         // time of the transfer, time of day
	ReachableWorkers map[string]int // workers that From received heartbeats from directly, by zone
}

// HandoverState holds observations of a leader that its successors need: which zones look
// partitioned and which hosts are silent, and since when.
type HandoverState struct {
	Epoch       uint64 // epoch of the leader that made it
	At          Micros // time at which it was made, time of day
	Partitions  []Partition
	SilentHosts []SilentHost // without the hosts in partitioned zones
}

// Partition is a zone that looks partitioned from the leader, because many of its hosts are silent.
type Partition struct {
	Zone     string
	Since    Micros // earliest last contact of the zone's silent hosts, time of day
	LastSeen Micros // when the zone last looked partitioned, time of day
}

// SilentHost is a host from which the leader receives no heartbeats.
type SilentHost struct {
	Host  string
	Since Micros // last contact with the host, time of day
}

// AppendReachability appends the body of a status response: the number of workers, by zone, that
// the responding controller receives heartbeats from and that can't reach the leader. Zones beyond
// MaxReachabilityZones are left out.
func AppendReachability(b []byte, workers map[string]int) []byte {
	zones := slices.Sorted(maps.Keys(workers))
	zones = zones[:min(len(zones), MaxReachabilityZones)]
	b = binary.BigEndian.AppendUint16(append(b, reachabilityVersion), uint16(len(zones)))
	for _, z := range zones {
		b = binary.BigEndian.AppendUint32(appendPeerText(b, z), uint32(workers[z]))
	}
	return b
}

// ParseReachability parses a body written by AppendReachability.
func ParseReachability(body []byte) (map[string]int, error) {
	r := peerReader{b: body}
	version, n := r.byte(), int(r.uint(2))
	if version != reachabilityVersion || n > MaxReachabilityZones {
		return nil, errPeerBody
	}
	workers := make(map[string]int, n)
	for range n {
		zone := string(r.take(int(r.uint(2))))
		workers[zone] = int(r.uint(4))
	}
	if r.malformed || len(r.b) != 0 || len(workers) != n {
		return nil, errPeerBody
	}
	return workers, nil
}

// AppendHandoverState appends a handover state, as the body of a status request.
func AppendHandoverState(b []byte, h HandoverState) []byte {
	b = binary.BigEndian.AppendUint64(append(b, handoverVersion), h.Epoch)
	b = binary.BigEndian.AppendUint64(b, uint64(h.At))
	b = binary.BigEndian.AppendUint16(b, uint16(len(h.Partitions)))
	for _, p := range h.Partitions {
		b = binary.BigEndian.AppendUint64(appendPeerText(b, p.Zone), uint64(p.Since))
		b = binary.BigEndian.AppendUint64(b, uint64(p.LastSeen))
	}
	b = binary.BigEndian.AppendUint16(b, uint16(len(h.SilentHosts)))
	for _, s := range h.SilentHosts {
		b = binary.BigEndian.AppendUint64(appendPeerText(b, s.Host), uint64(s.Since))
	}
	return b
}

// ParseHandoverState parses a body written by AppendHandoverState.
func ParseHandoverState(body []byte) (HandoverState, error) {
	r := peerReader{b: body}
	if r.byte() != handoverVersion {
		return HandoverState{}, errPeerBody
	}
	h := HandoverState{Epoch: r.uint(8), At: Micros(r.uint(8))}
	n := int(r.uint(2))
	if n > MaxReachabilityZones {
		return HandoverState{}, errPeerBody
	}
	for range n {
		h.Partitions = append(h.Partitions, Partition{Zone: string(r.take(int(r.uint(2)))), Since: Micros(r.uint(8)), LastSeen: Micros(r.uint(8))})
	}
	if n = int(r.uint(2)); n > MaxSilentHosts {
		return HandoverState{}, errPeerBody
	}
	for range n {
		if r.malformed {
			break
		}
		h.SilentHosts = append(h.SilentHosts, SilentHost{Host: string(r.take(int(r.uint(2)))), Since: Micros(r.uint(8))})
	}
	if r.malformed || len(r.b) != 0 {
		return HandoverState{}, errPeerBody
	}
	return h, nil
}
