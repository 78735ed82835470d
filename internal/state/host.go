package state

import (
	"fmt"
	"maps"
	"slices"

	"mapleslip/internal/protocol"
)

// HostState is where a machine is in its life.
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

// Image is a machine's image as far as known.
type Image struct {
	Size int64
	LastUsed micros
}

// Host is a rented machine.
type Host struct {
	Name, Addr   string
	Type         *protocol.MachineType
	TypeName     string
	Zone         string
	Spot         bool
	State        HostState
	Recorded     bool   // in the state service; nothing is launched before
	LegacyRecord    bool   // its record is of form 1, to be moved
	RecordedWall micros // time of day of its record
	FromRecord   bool   // recorded under an earlier epoch: may hold tasks unseen
	Unverified        bool   // known by a report of another epoch alone, which may be a late copy
	Rented       bool   // by this leader, which knows since when
	RepliedAt      micros // when this leader last answered a report
	HeartbeatAt     micros // when a report last came under this leader, other than the answer to a direct command
	IneffectiveMessages     int    // answers and calls in a row that showed no effect, see deaf
	Reconciled       bool   // has reported under this epoch, or its tasks are gone
	AgentEpoch      uint64
	Sequence         uint64
	EndedAgentEpoch         uint64 // a session that has certainly ended, by time
	LastContact        micros // last report
	LeaseRenewedAt     micros // latest time at which anyone may have answered it
	ForwardedAt     micros // when another node last passed a report on, 0: it comes by itself
	LeaderUnreachableAt    micros // it can't reach the leader: when another node last passed a report on, 0: it can
	KnownSince        micros // rented, or first known
	Listed       bool
	CloudState  protocol.CloudState
	UnlistedSince  micros
	Interrupted      bool
	InterruptedAt      micros
	attempts     []*Attempt // in order; replaced, not changed, when one comes or goes
	used         protocol.Resources
	holdingAttempts     int    // attempts that may take room
	Stale      bool   // since the planner looked at it
	HeartbeatCount      uint64 // taken so far
	Images       map[string]*Image
	ImagesUnrecorded    bool // the record does not have them all
	IdleSince    micros
	CommandInFlight      bool   // a direct command is on its way
	CommandQueued   bool   // commands wait for it
	Probing      bool   // it is being asked, or will be
	CommandRetryAt      micros // no direct commands before
	NextProbe      micros // when a silent host is asked again
	ProbeFailed  bool   // it did not answer the last time
	FaultCount       int
	SuspectedBy       []string // jobs that failed here, while it is not known whose fault it is
	QuarantinedOnSuspicion   bool     // left alone only because of those
	QuarantinedUntil   micros
	FullUntil    micros
	RuntimeRatio     float64 // run time against others of the class, 1 is usual
	ReleaseReason   string
}

// NewHost makes a host.
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
	for _, ok := range hostTransitions[h.State] {
		if ok == s {
			h.State, h.Stale = s, true
			return
		}
	}
	panic(fmt.Sprintf("host %s: no way from %v to %v", h.Name, h.State, s))
}

// IsStale reports whether what a report says is older than what is known. One of a session
// that has ended by time was held up on the way: its tasks are gone, and may have been
// started elsewhere since.
func (h *Host) IsStale(r *protocol.Heartbeat) bool {
	return r.AgentEpoch <= h.EndedAgentEpoch || h.AgentEpoch > 0 && !r.NewerThan(h.AgentEpoch, h.Sequence)
}

// AttemptCount lists the attempts on a host in their order. The list stays as it
// is when attempts come and go.
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

// UsedByTeam is what the attempts take.
func (h *Host) Used() protocol.Resources { return h.used }

// Empty reports whether no attempt may take room.
func (h *Host) Empty() bool { return h.holdingAttempts == 0 }

// ImageNames lists the host's images in order.
func (h *Host) ImageNames() []string { return slices.Sorted(maps.Keys(h.Images)) }

// AddImage notes that the host has an image, and forgets the least recently
// used ones that its cache cannot hold beside it.
func (h *Host) AddImage(now micros, name string, size int64) {
	im := h.Images[name]
	if im == nil {
		im = &Image{Size: size}
		h.Images[name] = im
		h.ImagesUnrecorded, h.Stale = true, true
	}
	im.LastUsed = now
	if h.Type == nil {
		return
	}
	for {
		var sum int64
		oldest := ""
		for n, i := range h.Images {
			sum += i.Size
			if n != name && (oldest == "" || i.LastUsed < h.Images[oldest].LastUsed || (i.LastUsed == h.Images[oldest].LastUsed && n < oldest)) {
				oldest = n
			}
		}
		if sum <= h.Type.CacheSize || oldest == "" {
			return
		}
		delete(h.Images, oldest)
	}
}
