// Package configuration implements the configuration that operators can change while the service
// runs: a document of keys and values, its revisions and their history, the settings that result
// from it, and the leases that limit how long a controller may use a revision.
//
// It does no I/O. The leader of the cluster reads and writes the records and grants the other
// controllers leases on a revision (internal/controller/config_manager.go).
package configuration

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
)

type micros = protocol.Micros

// Baseline contains the settings from the files with which the controllers were started. They are
// revision 0, and documents are checked against them.
type Baseline struct {
	Teams      map[string]protocol.Team
	Zones      []string
	Operator   protocol.OperatorSettings
	ValueBytes int // maximum size of a value in the state service
}

// keyErrorf returns an error about a key of a change.
func keyErrorf(key, format string, args ...any) error {
	return &protocol.KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// Size limits of a key and of the texts of a change, in bytes.
const (
	maxKeyBytes = 120
	maxWhoBytes = 64
	maxWhyBytes = 200
	maxIDBytes  = 40
)

// joinKey returns the key of a member of an object at a path, which is "" for the outermost one. A key
// that is too long is an error at once: the members of a value with a long name would each copy it.
func joinKey(path, name string) (string, error) {
	key := name
	if path != "" {
		key = path + "/" + name
	}
	if len(key) > maxKeyBytes {
		return "", errInvalidKey(key)
	}
	return key, nil
}

// errInvalidKey returns the error for a key that no setting can have.
func errInvalidKey(key string) error {
	return keyErrorf(key[:min(len(key), maxKeyBytes)], "must be at most %d printable characters without spaces", maxKeyBytes)
}

// operatorSettings contains the operators' settings that can be changed, with their bounds in
// seconds. The bounds are the same as for the operators' file.
var operatorSettings = map[string]struct {
	low, high float64
	field     func(*protocol.OperatorSettings) *protocol.Micros
}{
	"round_s":           {0.1, 60, func(o *protocol.OperatorSettings) *protocol.Micros { return &o.MaxCycleInterval }},
	"round_gap_s":       {0.01, 10, func(o *protocol.OperatorSettings) *protocol.Micros { return &o.MinCycleInterval }},
	"deadline_margin_s": {0, 3600, func(o *protocol.OperatorSettings) *protocol.Micros { return &o.DeadlineMargin }},
	"idle_return_s":     {1, 86400, func(o *protocol.OperatorSettings) *protocol.Micros { return &o.IdleScaleInDelay }},
}

// fixedSettings contains the settings that can't be changed while the service runs, each with the
// reason.
var fixedSettings = map[string]string{
	"operator/leader_lease_s":   "who holds the lease counts on its length: it takes a restart of all controllers",
	"operator/answer_on_s":      "it is in the record of each leader: it takes a restart of all controllers",
	"operator/silent_release_s": "what proves a task gone hangs on it: it takes a restart of all controllers",
	"node_name":                 "a controller is what it is called: it takes a restart",
	"area":                      "a controller's zone stays: it takes a restart",
	"client_listen":             "addresses are bound when a controller starts",
	"cluster_listen":            "addresses are bound when a controller starts",
	"siblings":                  "the controllers of a deployment are the platform's to say",
	"services":                  "the services' addresses are the platform's to say",
	"facts":                     "it is the platform's to say, and workers and users count on it",
}

// fixedReason returns why a setting can't be changed, or "" if the key belongs to no fixed setting.
func fixedReason(key string) string {
	for path := key; ; {
		if reason := fixedSettings[path]; reason != "" {
			return reason
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return ""
		}
		path = path[:i]
	}
}

// Levels are the log levels.
var Levels = []string{"error", "info", "debug"}

// Values that specify what happens to running work that conflicts with a change.
const (
	valueFinish = "finish" // it continues
	valueStop   = "stop"   // it is stopped, with time to save its progress
)

// checkValue checks a value, given as canonical JSON, and its key.
func checkValue(b *Baseline, key, value string) error {
	if len(key) > maxKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r == '"' || r == '\\' || r > '~' }) {
		return errInvalidKey(key)
	}
	parts := strings.Split(key, "/")
	switch {
	case parts[0] == "team" && len(parts) == 3:
		return b.checkTeam(key, parts[1], parts[2], value)
	case parts[0] == "drain" && len(parts) >= 3 && parts[2] != "":
		return b.checkDrain(key, parts, value)
	case parts[0] == "rent" && len(parts) == 3 && parts[1] != "":
		return b.checkCeiling(key, parts[2], value)
	case parts[0] == "operator" && len(parts) == 2 && parts[1] == "warm_spare":
		_, err := parseNumber(key, value, 0, 100)
		return err
	case parts[0] == "operator" && len(parts) == 2 && operatorSettings[parts[1]].field != nil:
		_, err := parseNumber(key, value, operatorSettings[parts[1]].low, operatorSettings[parts[1]].high)
		return err
	case key == "log/level":
		return checkOneOf(key, value, Levels...)
	}
	if reason := fixedReason(key); reason != "" {
		return keyErrorf(key, "can't be changed while the service runs: %s", reason)
	}
	return keyErrorf(key, "unknown key")
}

// checkZone returns an error if a zone is unknown.
func (b *Baseline) checkZone(key, zone string) error {
	if slices.Contains(b.Zones, zone) {
		return nil
	}
	return keyErrorf(key, "unknown zone: the platform's file has %s", strings.Join(b.Zones, ", "))
}

// checkDrain checks a drain of a zone, a machine or a network.
func (b *Baseline) checkDrain(key string, parts []string, value string) error {
	switch {
	case parts[1] == "zone" && len(parts) == 3:
		if err := b.checkZone(key, parts[2]); err != nil {
			return err
		}
	case parts[1] == "machine" && len(parts) == 3:
	case parts[1] == "net" && len(parts) == 4:
		if p, err := netip.ParsePrefix(parts[2] + "/" + parts[3]); err != nil || p != p.Masked() {
			return keyErrorf(key, "must be a range of addresses, as in drain/net/10.1.4.0/24")
		}
	default:
		return keyErrorf(key, "unknown key")
	}
	return checkOneOf(key, value, valueFinish, valueStop)
}

// maxCeiling is the highest number of machines that can be set as a ceiling of rental.
const maxCeiling = 1e6

// checkCeiling checks a ceiling on the rented machines of a type in a zone.
func (b *Baseline) checkCeiling(key, zone, value string) error {
	if err := b.checkZone(key, zone); err != nil {
		return err
	}
	n, err := parseNumber(key, value, 0, maxCeiling)
	if err == nil && n != math.Trunc(n) {
		return keyErrorf(key, "must be a whole number")
	}
	return err
}

// teamAmounts maps the numeric settings of a team to the fields that contain them. For a guarantee,
// limit is the limit that it must not exceed; for a limit, it is nil.
var teamAmounts = map[string]func(*protocol.Team) (amount *int64, limit *int64){
	"cpus":     func(t *protocol.Team) (*int64, *int64) { return &t.Guarantee.CPU, &t.Limit.CPU },
	"gpus":     func(t *protocol.Team) (*int64, *int64) { return &t.Guarantee.GPU, &t.Limit.GPU },
	"cpus_max": func(t *protocol.Team) (*int64, *int64) { return &t.Limit.CPU, nil },
	"gpus_max": func(t *protocol.Team) (*int64, *int64) { return &t.Limit.GPU, nil },
}

func (b *Baseline) checkTeam(key, name, setting, value string) error {
	team, known := b.Teams[name]
	if !known {
		// Submissions are validated by the platform's file. Jobs of a team that is not in the file
		// have to be refused, whatever the configuration contains.
		return keyErrorf(key, "the platform's file has no team %s, so its jobs can't be accepted: the team has to be added there first", name)
	}
	switch setting {
	case "retired":
		if value != "true" && value != "false" {
			return keyErrorf(key, "must be true or false")
		}
		return nil
	case "excess":
		return checkOneOf(key, value, valueFinish, valueStop)
	}
	amountOf := teamAmounts[setting]
	if amountOf == nil {
		return keyErrorf(key, "unknown key")
	}
	v, err := parseNumber(key, value, 0, 1e9)
	if err != nil {
		return err
	}
	if amount, limit := amountOf(&team); limit == nil && *amount > 0 && (v == 0 || toThousandths(v) > *amount) {
		return keyErrorf(key, "must be above 0 and at most %g, which is the platform's limit", float64(*amount)/1000)
	}
	return nil
}

// toThousandths rounds down, so that a limit is never above the configured one.
func toThousandths(v float64) int64 { return int64(math.Floor(v*1000 + 1e-6)) }

func parseNumber(key, value string, low, high float64) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || !(v >= low && v <= high) {
		return 0, keyErrorf(key, "must be a number from %g to %g", low, high)
	}
	return v, nil
}

func checkOneOf(key, value string, allowed ...string) error {
	for _, w := range allowed {
		if value == strconv.Quote(w) {
			return nil
		}
	}
	return keyErrorf(key, "must be one of %s", strings.Join(allowed, ", "))
}
