package state

import (
	"fmt"
	"maps"
	"slices"

	"mapleslip/internal/protocol"
)

// HostState is where a host is in its life.
type HostState uint8

// States of a host.
const (
	HostBooting   HostState = iota // rented or listed, has not reported
	HostReady                      // reports under this epoch
	HostSilent                     // its tasks are proven gone, it may come back
	HostReleasing                  // a release is on its way
	HostGone                       // the release was answered
)

func (s HostState) String() string {
	return [...]string{"booting", "ready", "silent", "releasing", "gone"}[s]
}

var hostTransitions = map[HostState][]HostState{
	HostBooting:   {HostReady, HostReleasing, HostSilent},
	HostReady:     {HostSilent, HostReleasing},
	HostSilent:    {HostReady, HostReleasing},
	HostReleasing: {HostGone},
}

// Image is an image in a host's cache, as far as known.
type Image struct {
	Size     int64
	LastUsed micros
}

// Host is a machine that the cloud rents to the deployment, with its worker (the agent).
type Host struct {
	Name, Addr string
	Type       *protocol.MachineType // nil: the type is not known yet
	TypeName   string
	Zone       string
	Spot       bool

	State      HostState
	Rented     bool   // by this leader, which knows since when
	Unverified bool   // known by a heartbeat of another epoch alone, which may be a late copy
	Reconciled bool   // has reported under this epoch, or its tasks are gone
	KnownSince micros // when it was rented, or first known
	IdleSince  micros
	FullUntil  micros // it refused a start for want of room: nothing is placed there before

	Agent        Agent
	Commands     CommandState
	Probe        ProbeState
	Quarantine   Quarantine
	Listing      CloudListing
	Interruption Interruption
	Record       HostRecord

	Images        map[string]*Image
	RuntimeRatio  float64 // run time of tasks against others of their class, 1 is usual
	ReleaseReason string

	// Stale: the host has changed since the scheduler took it into its slot table.
	Stale bool

	attempts        []*Attempt // in order; replaced, not changed, when one comes or goes
	used            protocol.Resources
	holdingAttempts int // attempts that may hold resources
}

// Agent is what is known of a host's worker by its heartbeats.
type Agent struct {
	Epoch      uint64 // raised each time the agent's lease expires
	Sequence   uint64 // of its messages within an epoch
	EndedEpoch uint64 // an epoch that has certainly ended, by time

	LastContact    micros // the last message of any kind
	HeartbeatAt    micros // the last heartbeat under this leader, other than the answer to a command
	HeartbeatCount uint64 // heartbeats and answers taken so far
	RepliedAt      micros // when this leader last answered a heartbeat
	LeaseRenewedAt micros // the latest time at which anyone may have renewed its lease

	ForwardedAt         micros // when another controller last forwarded a heartbeat, 0: they come directly
	LeaderUnreachableAt micros // when it last showed that it can't reach the leader, 0: it can
}

// CommandState is how direct commands to a host stand.
type CommandState struct {
	Queued      bool
	InFlight    bool
	RetryAt     micros // none is sent before
	Ineffective int    // answers and commands in a row that showed no effect
}

// ProbeState is how probes of a host stand.
type ProbeState struct {
	InFlight bool   // it is being probed, or will be
	Failed   bool   // it did not answer the last time
	NextAt   micros // when a silent host is probed again
}

// Quarantine is the state of a host that is suspected to be faulty.
type Quarantine struct {
	Count       int      // how often it was quarantined
	Until       micros   // no tasks are placed there before
	SuspectedBy []string // jobs that failed here, while it is not known whose fault it is
	OnSuspicion bool     // quarantined because of those alone
}

// CloudListing is what the cloud's machine list says of a host.
type CloudListing struct {
	Listed      bool
	State       protocol.CloudState
	AbsentSince micros // since when it is not listed, 0: it is
}

// Interruption is the notice that a spot machine is taken back.
type Interruption struct {
	Noticed bool
	At      micros
}

// HostRecord is how a host's record in the state service stands.
type HostRecord struct {
	Written          bool   // nothing is launched on the host before
	Legacy           bool   // it is of format 1, to be moved
	FromEarlierEpoch bool   // written under an earlier epoch: the host may hold tasks unseen
	WrittenWall      micros // time of day
	ImagesStale      bool   // the record does not have all images
}

// NewHost makes a host that is booting.
func NewHost(now micros, name, typeName, zone string, spot bool) *Host {
	return &Host{
		Name: name, TypeName: typeName, Zone: zone, Spot: spot, KnownSince: now, IdleSince: now, RuntimeRatio: 1,
		Stale: true, Images: make(map[string]*Image),
	}
}

// SetState is the one place where a host changes its state.
func (h *Host) SetState(s HostState) {
	if h.State == s {
		return
	}
	if !slices.Contains(hostTransitions[h.State], s) {
		panic(fmt.Sprintf("host %s: no transition from %v to %v", h.Name, h.State, s))
	}
	h.State, h.Stale = s, true
}

// IsStale reports whether a heartbeat is older than what is known of the host. One of an
// agent epoch that has ended by time was delayed on the way: its tasks are gone, and may have
// been started elsewhere since.
func (h *Host) IsStale(r *protocol.Heartbeat) bool {
	return r.AgentEpoch <= h.Agent.EndedEpoch || h.Agent.Epoch > 0 && !r.NewerThan(h.Agent.Epoch, h.Agent.Sequence)
}

// Attempts lists the attempts on a host in their order. The list stays as it is when attempts
// come and go.
func (h *Host) Attempts() []*Attempt { return h.attempts }

// Find finds an attempt on a host, or nil.
func (h *Host) Find(name protocol.AttemptName) *Attempt {
	for _, a := range h.attempts {
		if a.Name == name {
			return a
		}
	}
	return nil
}

func (h *Host) attach(a *Attempt) {
	i := 0
	for i < len(h.attempts) && h.attempts[i].compareName(a.Name) < 0 {
		i++
	}
	list := make([]*Attempt, 0, len(h.attempts)+1)
	list = append(append(list, h.attempts[:i]...), a)
	h.attempts = append(list, h.attempts[i:]...)
	h.Stale = true
}

func (h *Host) detach(a *Attempt) {
	list := make([]*Attempt, 0, len(h.attempts))
	for _, o := range h.attempts {
		if o != a {
			list = append(list, o)
		}
	}
	h.attempts = list
	h.Stale = true
}

// Used is what the attempts of known jobs take.
func (h *Host) Used() protocol.Resources { return h.used }

// Free is what the attempts of known jobs leave. The host's type has to be known.
func (h *Host) Free() protocol.Resources { return h.Type.Capacity.Add(h.used, -1) }

// Empty reports whether no attempt may take resources.
func (h *Host) Empty() bool { return h.holdingAttempts == 0 }

// ImageNames lists the host's images in order.
func (h *Host) ImageNames() []string { return slices.Sorted(maps.Keys(h.Images)) }

// AddImage notes that the host has an image, and forgets the least recently used ones that its
// cache cannot hold beside it.
func (h *Host) AddImage(now micros, name string, size int64) {
	image := h.Images[name]
	if image == nil {
		image = &Image{Size: size}
		h.Images[name] = image
		h.Record.ImagesStale, h.Stale = true, true
	}
	image.LastUsed = now
	if h.Type == nil {
		return
	}
	for {
		total, oldest := h.imagesBeside(name)
		if total <= h.Type.CacheSize || oldest == "" {
			return
		}
		delete(h.Images, oldest)
	}
}

// imagesBeside returns the size of all images, and the least recently used one besides name.
func (h *Host) imagesBeside(name string) (total int64, oldest string) {
	for other, image := range h.Images {
		total += image.Size
		if other != name && (oldest == "" || h.usedBefore(other, oldest)) {
			oldest = other
		}
	}
	return total, oldest
}

// usedBefore orders two images by their last use, those used together by their names.
func (h *Host) usedBefore(a, b string) bool {
	x, y := h.Images[a].LastUsed, h.Images[b].LastUsed
	return x < y || x == y && a < b
}
