package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Peer is another controller of the cluster.
type Peer struct {
	Name, Zone, Address string
}

// Team holds the resources that a team is guaranteed and the limit on what it may use. A limit of 0
// means that the resource is not limited.
type Team struct {
	Name             string
	Guarantee, Limit Resources
}

// Kinds of service-level objectives, by their names in the platform's file.
const (
	ObjectiveWait     = "wait"     // limits the time until all tasks of a job have started
	ObjectiveFinished = "finished" // limits the time until a job is done
)

// Objective is a service-level objective: a share of the jobs of a class that must start or finish
// within a time.
type Objective struct {
	Kind, Class string
	Within      Micros
	Share       float64
}

// Platform holds the settings from the platform's file, which describes the environment of a
// controller: its addresses and peers, the teams, and the limits of the services it uses.
type Platform struct {
	ControllerName, Zone        string
	ClientListen, ClusterListen string
	Peers                       []Peer
	CloudAddr, StateAddr        string
	Zones                       []string
	MaxClockOffset              Micros // largest error of a controller's time of day
	Teams                       map[string]Team
	Objectives                  []Objective

	HeartbeatInterval, WorkerLease                  Micros
	GangWaitTimeout, GangPeerTimeout, CancelTimeout Micros
	StateRequestRate, StateWriteRate                float64
	MaxValueBytes, MaxTxnChanges                    int
	AnnouncedStateLimits                            *StateLimits // nil if none are announced
	CloudRate                                       float64
	MachineListLag                                  Micros  // largest lag of the cloud's list
	CPUShare                                        float64 // limit of this controller, in CPUs
	MemoryBytes                                     int64   // limit of this controller
	MaxConnections                                  int     // limit of this controller
}

type peerFile struct {
	NodeName string `toml:"node_name"`
	Area     string `toml:"area"`
	Address  string `toml:"address"`
}

type teamFile struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

type objectiveFile struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

type stateNextFile struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

type platformFile struct {
	NodeName      string     `toml:"node_name"`
	Area          string     `toml:"area"`
	ClientListen  string     `toml:"client_listen"`
	ClusterListen string     `toml:"cluster_listen"`
	Siblings      []peerFile `toml:"siblings"`
	Services      struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"services"`
	Facts struct {
		Nodes      int             `toml:"nodes"`
		Zones      []string        `toml:"zones"`
		ClockOffMS float64         `toml:"clock_off_ms"`
		Teams      []teamFile      `toml:"teams"`
		Objectives []objectiveFile `toml:"objectives"`
		Workers    struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64        `toml:"rps"`
			WriteRPS float64        `toml:"write_rps"`
			ValueKB  float64        `toml:"value_kb"`
			TxnOps   int            `toml:"txn_ops"`
			Next     *stateNextFile `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Quota struct {
			CPU            float64 `toml:"cpu"`
			MemoryMB       float64 `toml:"memory_mb"`
			MaxConnections int     `toml:"max_connections"`
		} `toml:"quota"`
	} `toml:"facts"`
}

// KeyError is an error about a settings key, such as one that is missing or has an invalid value.
type KeyError struct{ Key, Problem string }

func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// LoadPlatform reads and validates the platform's file. Unknown keys are ignored.
func LoadPlatform(path string) (*Platform, error) { return LoadFile(path, ParsePlatform) }

// LoadFile reads a settings file and parses it. The error for an invalid file names the file and
// describes the problem in one line.
func LoadFile[T any](path string, parse func(text []byte) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, err
	}
	v, err := parse(text)
	if err != nil {
		return v, fmt.Errorf("%s: %w", path, OneLine(err))
	}
	return v, nil
}

// ParsePlatform parses and validates the text of the platform's file.
func ParsePlatform(text []byte) (*Platform, error) {
	var f platformFile
	if err := toml.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	p := &Platform{
		ControllerName: f.NodeName, Zone: f.Area, ClientListen: f.ClientListen, ClusterListen: f.ClusterListen,
		CloudAddr: f.Services.Cloud, StateAddr: f.Services.State, Zones: f.Facts.Zones,
		MaxClockOffset:    FromSeconds(f.Facts.ClockOffMS / 1000),
		Teams:             make(map[string]Team),
		HeartbeatInterval: FromSeconds(f.Facts.Workers.ReportS), WorkerLease: FromSeconds(f.Facts.Workers.LeaseS),
		GangWaitTimeout: FromSeconds(f.Facts.Workers.GangWaitS), GangPeerTimeout: FromSeconds(f.Facts.Workers.GangPeerS),
		CancelTimeout:    FromSeconds(f.Facts.Workers.CancelS),
		StateRequestRate: f.Facts.State.RPS, StateWriteRate: f.Facts.State.WriteRPS,
		MaxValueBytes: int(f.Facts.State.ValueKB * 1024), MaxTxnChanges: f.Facts.State.TxnOps,
		CloudRate: f.Facts.Cloud.RPS, MachineListLag: FromSeconds(f.Facts.Cloud.ListLagS),
		CPUShare: f.Facts.Quota.CPU, MemoryBytes: int64(f.Facts.Quota.MemoryMB * 1e6),
		MaxConnections: f.Facts.Quota.MaxConnections,
	}
	if n := f.Facts.State.Next; n != nil {
		p.AnnouncedStateLimits = &StateLimits{WriteRate: n.WriteRPS, MaxValueBytes: int(n.ValueKB * 1024), MaxTxnChanges: n.TxnOps}
	}
	for _, s := range f.Siblings {
		p.Peers = append(p.Peers, Peer{s.NodeName, s.Area, s.Address})
	}
	for _, t := range f.Facts.Teams {
		p.Teams[t.Name] = Team{
			Name:      t.Name,
			Guarantee: Resources{CPU: offerThousandths(t.CPUs), GPU: offerThousandths(t.GPUs)},
			Limit:     Resources{CPU: offerThousandths(t.CPUsMax), GPU: offerThousandths(t.GPUsMax)},
		}
	}
	for _, o := range f.Facts.Objectives {
		p.Objectives = append(p.Objectives, Objective{o.Kind, o.Class, FromSeconds(o.WithinS), o.Share})
	}
	return p, p.check(&f)
}

// check returns a KeyError for the first invalid setting.
func (p *Platform) check(f *platformFile) error {
	for _, check := range []func(*platformFile) error{p.checkAddresses, p.checkNumbers, p.checkMinimums, p.checkTeams} {
		if err := check(f); err != nil {
			return err
		}
	}
	return nil
}

// checkAddresses checks names, addresses and zones.
func (p *Platform) checkAddresses(*platformFile) error {
	type setting struct{ key, value string }
	for _, t := range []setting{{"node_name", p.ControllerName}, {"area", p.Zone}} {
		if t.value == "" {
			return &KeyError{t.key, "missing"}
		}
	}
	addresses := []setting{
		{"client_listen", p.ClientListen},
		{"cluster_listen", p.ClusterListen},
		{"services.cloud", p.CloudAddr},
		{"services.state", p.StateAddr},
	}
	for i, peer := range p.Peers {
		if peer.Name == "" {
			return &KeyError{fmt.Sprintf("siblings[%d].node_name", i), "missing"}
		}
		addresses = append(addresses, setting{fmt.Sprintf("siblings[%d].address", i), peer.Address})
	}
	for _, a := range addresses {
		if a.value == "" {
			return &KeyError{a.key, "missing"}
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return &KeyError{a.key, fmt.Sprintf("%q is not an IP address with a port", a.value)}
		}
	}
	if len(p.Zones) == 0 {
		return &KeyError{"facts.zones", "missing"}
	}
	return nil
}

// checkNumbers checks that each number is in its valid range.
func (p *Platform) checkNumbers(f *platformFile) error {
	for _, n := range []struct {
		key     string
		value   float64
		maximum float64
	}{
		{"facts.workers.report_s", p.HeartbeatInterval.Seconds(), 3600},
		{"facts.workers.lease_s", p.WorkerLease.Seconds(), 86400},
		{"facts.workers.gang_wait_s", p.GangWaitTimeout.Seconds(), 86400},
		{"facts.workers.gang_peer_s", p.GangPeerTimeout.Seconds(), 86400},
		{"facts.workers.cancel_s", p.CancelTimeout.Seconds(), 86400},
		{"facts.state.rps", p.StateRequestRate, 1e9},
		{"facts.state.write_rps", p.StateWriteRate, 1e9},
		{"facts.state.value_kb", f.Facts.State.ValueKB, 1e6},
		{"facts.state.txn_ops", float64(p.MaxTxnChanges), 1e6},
		{"facts.cloud.rps", p.CloudRate, 1e9},
		{"facts.quota.cpu", p.CPUShare, 4096},
		{"facts.quota.memory_mb", f.Facts.Quota.MemoryMB, 1e9},
		{"facts.quota.max_connections", float64(p.MaxConnections), 1e8},
	} {
		if math.IsNaN(n.value) || n.value <= 0 || n.value > n.maximum {
			return &KeyError{n.key, fmt.Sprintf("missing or impossible: must be above 0 and at most %g", n.maximum)}
		}
	}
	if p.MaxTxnChanges < MinTxnChanges {
		return &KeyError{"facts.state.txn_ops", fmt.Sprintf("at least %d changes in a transaction are needed", MinTxnChanges)}
	}
	return p.AnnouncedStateLimits.check()
}

// checkMinimums checks that numbers are large enough for the controllers to work, given the number
// of controllers and the other settings.
func (p *Platform) checkMinimums(f *platformFile) error {
	controllers, heartbeat := float64(len(p.Peers)+1), p.HeartbeatInterval.Seconds()
	for _, n := range []struct {
		key            string
		value, minimum float64
		reason         string
	}{
		{"facts.workers.lease_s", p.WorkerLease.Seconds(), 2*heartbeat + 4, "a report that is not answered within 4 s, and the one after it, take two times report_s more"},
		{"facts.workers.cancel_s", p.CancelTimeout.Seconds(), 2 * (1.5*heartbeat + 2), "within half of it a silent machine has to be noticed and asked"},
		{"facts.state.rps", p.StateRequestRate, max(8, controllers), "the leader renews its lease, and each controller has to look who leads"},
		{"facts.state.write_rps", p.StateWriteRate, MinWriteRate, "a leader records each launch and each job"},
		{"facts.state.value_kb", f.Facts.State.ValueKB, MinValueBytes / 1024, "a job's description has to fit"},
		{"facts.quota.memory_mb", f.Facts.Quota.MemoryMB, 16, "that is what a controller takes that does nothing"},
		{"facts.quota.max_connections", float64(p.MaxConnections), 32 + 4*controllers, "the state service, the cloud and each controller need some"},
	} {
		if n.value < n.minimum {
			return &KeyError{n.key, fmt.Sprintf("%g is too little for %g controllers: at least %g, since %s", n.value, controllers, n.minimum, n.reason)}
		}
	}
	if p.MachineListLag < 0 || p.MaxClockOffset < 0 {
		return &KeyError{"facts", "list_lag_s and clock_off_ms must not be negative"}
	}
	return nil
}

// maxTeamAmount is the largest number of CPUs or GPUs in a team's guarantee or limit.
const maxTeamAmount = 1e9

// checkTeams checks the names, guarantees and limits of the teams.
func (p *Platform) checkTeams(f *platformFile) error {
	for i, t := range f.Facts.Teams {
		if t.Name == "" {
			return &KeyError{fmt.Sprintf("facts.teams[%d].name", i), "missing"}
		}
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if math.IsNaN(v) || v < 0 || v > maxTeamAmount {
				return &KeyError{fmt.Sprintf("facts.teams[%d]", i), "amounts must be from 0 to 1e9"}
			}
		}
	}
	return nil
}

// OperatorSettings holds the settings of the operators' file, all of which are optional. WarmSpare
// is the capacity kept free for each class, as a multiple of the jobs that are expected to arrive
// while a machine boots.
type OperatorSettings struct {
	LeaderLease        Micros // lifetime of the leader's lease without renewal
	MaxCycleInterval   Micros // longest time between scheduling cycles
	MinCycleInterval   Micros // shortest time between scheduling cycles
	DeadlineMargin     Micros // time kept between a job's booked end and its deadline
	HeartbeatGrace     Micros // how long a leader answers workers after its lease may have expired
	SilentReleaseDelay Micros // silence after which a host is released, to fence it
	IdleScaleInDelay   Micros // idle time after which a host is released
	PartitionRetention Micros // how long a partitioned zone's hosts are kept, 0: eight leases
	WarmSpare          float64

	SourceAddress netip.Addr // local address of outbound connections, zero to let the system choose
}

// DefaultOperatorSettings returns the settings that apply where the operators' file sets none.
func DefaultOperatorSettings() OperatorSettings {
	return OperatorSettings{
		LeaderLease: 2 * Second, MaxCycleInterval: 2 * Second, MinCycleInterval: 200 * Millisecond,
		DeadlineMargin: 3 * Second, HeartbeatGrace: 180 * Second, SilentReleaseDelay: 6 * Second,
		IdleScaleInDelay: 20 * Second, WarmSpare: 0.4,
	}
}

type operatorFile struct {
	LeaderLeaseS    *float64 `toml:"leader_lease_s"`
	RoundS          *float64 `toml:"round_s"`
	RoundGapS       *float64 `toml:"round_gap_s"`
	DeadlineMarginS *float64 `toml:"deadline_margin_s"`
	AnswerOnS       *float64 `toml:"answer_on_s"`
	SilentReleaseS  *float64 `toml:"silent_release_s"`
	IdleReturnS     *float64 `toml:"idle_return_s"`
	CutKeepS        *float64 `toml:"cut_keep_s"`
	WarmSpare       *float64 `toml:"warm_spare"`
	SourceAddress   *string  `toml:"source_address"`
}

// LoadOperatorSettings reads and validates the operators' file. An unknown key is an error.
func LoadOperatorSettings(path string) (OperatorSettings, error) {
	return LoadFile(path, ParseOperatorSettings)
}

// ParseOperatorSettings parses and validates the text of the operators' file.
func ParseOperatorSettings(text []byte) (OperatorSettings, error) {
	o := DefaultOperatorSettings()
	var f operatorFile
	if err := DecodeStrict(text, &f); err != nil {
		return o, err
	}
	durations := []struct {
		key      string
		value    *float64
		target   *Micros
		min, max float64
	}{
		{"leader_lease_s", f.LeaderLeaseS, &o.LeaderLease, 1, 60},
		{"round_s", f.RoundS, &o.MaxCycleInterval, 0.1, 60},
		{"round_gap_s", f.RoundGapS, &o.MinCycleInterval, 0.01, 10},
		{"deadline_margin_s", f.DeadlineMarginS, &o.DeadlineMargin, 0, 3600},
		{"answer_on_s", f.AnswerOnS, &o.HeartbeatGrace, 0, 600},
		{"silent_release_s", f.SilentReleaseS, &o.SilentReleaseDelay, 5, 3600},
		{"idle_return_s", f.IdleReturnS, &o.IdleScaleInDelay, 1, 86400},
		{"cut_keep_s", f.CutKeepS, &o.PartitionRetention, 0, 86400},
	}
	for _, s := range durations {
		seconds := s.target.Seconds()
		if err := SetBounded(s.key, s.value, &seconds, s.min, s.max); err != nil {
			return o, err
		}
		*s.target = FromSeconds(seconds)
	}
	if f.SourceAddress != nil && *f.SourceAddress != "" {
		a, err := netip.ParseAddr(*f.SourceAddress)
		if err != nil || !a.Is4() {
			return o, &KeyError{"source_address", fmt.Sprintf("%q is not an IPv4 address", *f.SourceAddress)}
		}
		o.SourceAddress = a
	}
	return o, SetBounded("warm_spare", f.WarmSpare, &o.WarmSpare, 0, 100)
}

// SetBounded sets target to value, or leaves it as it is if value is nil because the settings file
// does not have the key. It returns a KeyError if value is not a number from low to high.
func SetBounded[T int | float64](key string, value *T, target *T, low, high T) error {
	if value == nil {
		return nil
	}
	if inRange := *value >= low && *value <= high; !inRange { // NaN is not in range either
		return &KeyError{key, fmt.Sprintf("must be from %v to %v", low, high)}
	}
	*target = *value
	return nil
}

// DecodeStrict decodes a TOML file in which an unknown key is an error. The KeyError names the key.
func DecodeStrict(text []byte, target any) error {
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(target)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		return &KeyError{strings.Join(strict.Errors[0].Key(), "."), "unknown key"}
	}
	return err
}

// OneLine converts a TOML decoding error to one that names position and key in a single line. Other
// errors are returned unchanged.
func OneLine(err error) error {
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		if key := strings.Join(de.Key(), "."); key != "" {
			return fmt.Errorf("line %d, column %d: %s: %s", row, col, key, de.Error())
		}
		return fmt.Errorf("line %d, column %d: %s", row, col, de.Error())
	}
	return err
}
