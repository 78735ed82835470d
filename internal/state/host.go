package state

import (
	"fmt"
	"maps"
	"slices"

	"mapleslip/internal/protocol"
)

// HostState is the state of a host in its life cycle.
type HostState uint8

// States of a host.
const (
	HostBooting   HostState = iota // rented, listed or recorded; no heartbeat received yet
	HostReady                      // its heartbeats reach this leader
	HostSilent                     // lease expired, so it has no tasks; it may report again
	HostReleasing                  // its release has been requested from the cloud
	HostGone                       // the cloud has confirmed the release
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

// Image is an image that the leader expects in a host's cache.
type Image struct {
	Size     int64
	LastUsed micros
}

// Host is a machine that is rented from the cloud, with its worker (the agent).
type Host struct {
	Name, Addr string
	Type       *protocol.MachineType // nil if the machine type is not known yet
	TypeName   string
	Zone       string
	Spot       bool

	State      HostState
	Rented     bool   // this leader rented it, so KnownSince is the time of the rental
	Unverified bool   // known only by a heartbeat of another epoch, which may be a delayed copy
	Reconciled bool   // its tasks are known: it has reported under this epoch, or holds no tasks
	KnownSince micros // when it was rented, or became known to this leader
	IdleSince  micros
	FullUntil  micros // it refused a start for lack of room: no tasks are placed before

	Agent        Agent
	Commands     CommandState
	Probe        ProbeState
	Quarantine   Quarantine
	Listing      CloudListing
	Interruption Interruption
	Record       HostRecord

	Images        map[string]*Image
	RuntimeRatio  float64 // smoothed ratio of its tasks' run times to estimates, usually 1
	ReleaseReason string

	// Stale is set when the host has changed since the scheduler last copied it into the slot
	// table.
	Stale bool

	attempts        []*Attempt // sorted; a change replaces the slice, so that callers can keep it
	used            protocol.Resources
	holdingAttempts int // number of attempts that may hold resources
}

// Agent is the state of a host's worker, as its messages show it.
type Agent struct {
	Epoch      uint64 // raised by the worker each time its lease expires
	Sequence   uint64 // number of its newest message within the epoch
	EndedEpoch uint64 // latest epoch whose lease has certainly expired by time, 0 if none has

	LastContact    micros // when the newest message of any kind was received
	HeartbeatAt    micros // last heartbeat under this leader, without answers to commands
	HeartbeatCount uint64 // heartbeats and answers to commands that were applied
	RepliedAt      micros // when this leader last answered a heartbeat, 0 if never
	LeaseRenewedAt micros // latest time at which a controller may have renewed its lease

	ForwardedAt         micros // last forwarding by another controller, 0 if heartbeats are direct
	LeaderUnreachableAt micros // when it last showed that it can't reach the leader, 0 if it can
}

// CommandState is the state of the direct commands to a host.
type CommandState struct {
	Queued      bool
	InFlight    bool
	RetryAt     micros // no direct command is sent before
	Token       uint64 // fencing token of the last message to the worker, 0 before the first one
	OrdersSent  bool   // a direct command with orders was sent under Token
	Ineffective int    // consecutive answers and commands to the worker that had no visible effect
}

// ProbeState is the state of the probes of a host.
type ProbeState struct {
	InFlight bool   // a probe is queued or unanswered
	Failed   bool   // the last probe got no answer
	NextAt   micros // earliest time of the next probe of a silent host
}

// Quarantine contains the suspected faults of a host.
type Quarantine struct {
	Count       int      // number of quarantines so far
	Until       micros   // no tasks are placed on the host before
	SuspectedBy []string // jobs that failed on this host only, so that either may be at fault
	OnSuspicion bool     // quarantined only because several jobs are in SuspectedBy
}

// CloudListing is the state of a host in the cloud's machine list.
type CloudListing struct {
	Listed      bool // the list has contained the host
	State       protocol.CloudState
	AbsentSince micros // when the list was first seen without the host, 0 if the host is listed
}

// Interruption is the cloud's notice that it will take a spot machine back.
type Interruption struct {
	Noticed bool
	At      micros
}

// HostRecord is the state of a host's record in the state service.
type HostRecord struct {
	Written          bool   // the record is durable; nothing is launched on the host before
	Legacy           bool   // the record has format 1 and has to be moved to a shared one
	FromEarlierEpoch bool   // written under an earlier epoch: the host may hold unknown tasks
	WrittenWall      micros // time of day of the write
	ImagesStale      bool   // the host has images that the record does not contain
}

// NewHost returns a host in state HostBooting.
func NewHost(now micros, name, typeName, zone string, spot bool) *Host {
	return &Host{
		Name: name, TypeName: typeName, Zone: zone, Spot: spot, KnownSince: now, IdleSince: now, RuntimeRatio: 1,
		Stale: true, Images: make(map[string]*Image),
	}
}

// SetState changes the state of a host. It panics if that transition does not exist.
func (h *Host) SetState(s HostState) {
	if h.State == s {
		return
	}
	if !slices.Contains(hostTransitions[h.State], s) {
		panic(fmt.Sprintf("host %s: no transition from %v to %v", h.Name, h.State, s))
	}
	h.State, h.Stale = s, true
}

// IsStaleHeartbeat reports whether a heartbeat is older than the newest message from the host. A
// heartbeat of an agent epoch that has ended by time is stale too: it was delayed on the network,
// and the tasks that it lists are gone and may have been started elsewhere since.
func (h *Host) IsStaleHeartbeat(r *protocol.Heartbeat) bool {
	return r.AgentEpoch <= h.Agent.EndedEpoch || h.Agent.Epoch > 0 && !r.NewerThan(h.Agent.Epoch, h.Agent.Sequence)
}

// Attempts returns the sorted attempts on a host. The returned slice does not change when attempts
// are added to the host or removed.
func (h *Host) Attempts() []*Attempt { return h.attempts }

// Find returns the attempt of a name on the host, or nil.
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

// Used returns the resources that the attempts of known jobs hold.
func (h *Host) Used() protocol.Resources { return h.used }

// Free returns the resources that the attempts of known jobs leave free. The host's machine type
// must be known.
func (h *Host) Free() protocol.Resources { return h.Type.Capacity.Add(h.used, -1) }

// Empty reports whether no attempt on the host may hold resources.
func (h *Host) Empty() bool { return h.holdingAttempts == 0 }

// ImageNames returns the sorted names of the images in the host's cache.
func (h *Host) ImageNames() []string { return slices.Sorted(maps.Keys(h.Images)) }

// AddImage records that an image is in the host's cache and was just used, and removes the least
// recently used images that the cache cannot hold together with it, as the host does.
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
		total, oldest := h.cacheUsage(name)
		if total <= h.Type.CacheSize || oldest == "" {
			return
		}
		delete(h.Images, oldest)
	}
}

// cacheUsage returns the total size of the cached images, and the least recently used image other
// than keep, "" if there is none.
func (h *Host) cacheUsage(keep string) (total int64, oldest string) {
	for other, image := range h.Images {
		total += image.Size
		if other != keep && (oldest == "" || h.usedBefore(other, oldest)) {
			oldest = other
		}
	}
	return total, oldest
}

// usedBefore reports whether image a was last used before image b. Images that were used at the
// same time are ordered by name.
func (h *Host) usedBefore(a, b string) bool {
	x, y := h.Images[a].LastUsed, h.Images[b].LastUsed
	return x < y || x == y && a < b
}
