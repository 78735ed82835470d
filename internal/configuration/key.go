// Package configuration is what operators may change while the service runs: a document of keys
// and values, its revisions and their history, what they come to, and how long a controller may go
// by one.
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

// Baseline is what a document is judged by: the files that the controllers were started
// with. They are revision 0.
type Baseline struct {
	Teams      map[string]protocol.Team
	Zones      []string
	Operator   protocol.OperatorSettings
	ValueBytes int // most that a value of the state service may take
}

// keyErrorf is what is wrong with a key of a change.
func keyErrorf(key, format string, args ...any) error {
	return &protocol.KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// Limits of a key and of the texts that go with a change, in bytes.
const (
	maxKeyBytes = 120
	maxWhoBytes = 64
	maxWhyBytes = 200
	maxIDBytes  = 40
)

// operatorSettings are the operators' settings that may be changed, with their bounds in seconds.
// They are those of the operators' file.
var operatorSettings = map[string]struct {
	low, high float64
	of        func(*protocol.OperatorSettings) *protocol.Micros
}{
	"round_s":           {0.1, 60, func(o *protocol.OperatorSettings) *protocol.Micros { return &o.MaxCycleInterval }},
	"round_gap_s":       {0.01, 10, func(o *protocol.OperatorSettings) *protocol.Micros { return &o.MinCycleInterval }},
	"deadline_margin_s": {0, 3600, func(o *protocol.OperatorSettings) *protocol.Micros { return &o.DeadlineMargin }},
	"idle_return_s":     {1, 86400, func(o *protocol.OperatorSettings) *protocol.Micros { return &o.IdleScaleInDelay }},
}

// fixedSettings are settings that can't be changed while the service runs, and why.
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

// fixedReason says why a setting that exists can't be changed, "": there is no such one.
func fixedReason(key string) string {
	for path := key; ; {
		if why := fixedSettings[path]; why != "" {
			return why
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return ""
		}
		path = path[:i]
	}
}

// Levels are the levels of logs.
var Levels = []string{"error", "info", "debug"}

// What becomes of work in the way of a change.
const (
	wordFinish = "finish" // it goes on
	wordStop   = "stop"   // it is stopped, with time to save its progress
)

// checkValue says what is wrong with a value. It is canonical JSON.
func checkValue(b *Baseline, key, value string) error {
	if len(key) > maxKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r == '"' || r == '\\' || r > '~' }) {
		return keyErrorf(key[:min(len(key), maxKeyBytes)], "must be at most %d printable characters without spaces", maxKeyBytes)
	}
	part := strings.Split(key, "/")
	switch {
	case part[0] == "team" && len(part) == 3:
		return b.checkTeam(key, part[1], part[2], value)
	case part[0] == "drain" && len(part) >= 3 && part[2] != "":
		return b.checkDrain(key, part, value)
	case part[0] == "rent" && len(part) == 3 && part[1] != "":
		return b.checkCeiling(key, part[2], value)
	case part[0] == "operator" && len(part) == 2 && part[1] == "warm_spare":
		_, err := number(key, value, 0, 100)
		return err
	case part[0] == "operator" && len(part) == 2 && operatorSettings[part[1]].of != nil:
		_, err := number(key, value, operatorSettings[part[1]].low, operatorSettings[part[1]].high)
		return err
	case key == "log/level":
		return oneOf(key, value, Levels...)
	}
	if why := fixedReason(key); why != "" {
		return keyErrorf(key, "can't be changed while the service runs: %s", why)
	}
	return keyErrorf(key, "unknown key")
}

// checkZone says that a zone is unknown.
func (b *Baseline) checkZone(key, zone string) error {
	if slices.Contains(b.Zones, zone) {
		return nil
	}
	return keyErrorf(key, "unknown zone: the platform's file has %s", strings.Join(b.Zones, ", "))
}

// checkDrain checks a drain of a zone, a machine or a network.
func (b *Baseline) checkDrain(key string, part []string, value string) error {
	switch {
	case part[1] == "zone" && len(part) == 3:
		if err := b.checkZone(key, part[2]); err != nil {
			return err
		}
	case part[1] == "machine" && len(part) == 3:
	case part[1] == "net" && len(part) == 4:
		if p, err := netip.ParsePrefix(part[2] + "/" + part[3]); err != nil || p != p.Masked() {
			return keyErrorf(key, "must be a range of addresses, as in drain/net/10.1.4.0/24")
		}
	default:
		return keyErrorf(key, "unknown key")
	}
	return oneOf(key, value, wordFinish, wordStop)
}

// maxCeiling is the highest ceiling of rental.
const maxCeiling = 1e6

// checkCeiling checks a ceiling of rental in a zone.
func (b *Baseline) checkCeiling(key, zone, value string) error {
	if err := b.checkZone(key, zone); err != nil {
		return err
	}
	n, err := number(key, value, 0, maxCeiling)
	if err == nil && n != math.Trunc(n) {
		return keyErrorf(key, "must be a whole number")
	}
	return err
}

// teamAmounts are what of a team may be said in numbers, and where it is.
var teamAmounts = map[string]func(*protocol.Team) (amount *int64, limit *int64){
	"cpus":     func(t *protocol.Team) (*int64, *int64) { return &t.Guarantee.CPU, &t.Limit.CPU },
	"gpus":     func(t *protocol.Team) (*int64, *int64) { return &t.Guarantee.GPU, &t.Limit.GPU },
	"cpus_max": func(t *protocol.Team) (*int64, *int64) { return &t.Limit.CPU, nil },
	"gpus_max": func(t *protocol.Team) (*int64, *int64) { return &t.Limit.GPU, nil },
}

func (b *Baseline) checkTeam(key, name, what, value string) error {
	team, known := b.Teams[name]
	if !known {
		// Users' submissions are judged by the platform's file: a job of a team that is
		// not in it has to be refused, whatever a change says.
		return keyErrorf(key, "the platform's file has no team %s, so its jobs can't be accepted: the team has to be added there first", name)
	}
	switch what {
	case "retired":
		if value != "true" && value != "false" {
			return keyErrorf(key, "must be true or false")
		}
		return nil
	case "excess":
		return oneOf(key, value, wordFinish, wordStop)
	}
	of := teamAmounts[what]
	if of == nil {
		return keyErrorf(key, "unknown key")
	}
	v, err := number(key, value, 0, 1e9)
	if err != nil {
		return err
	}
	if amount, limit := of(&team); limit == nil && *amount > 0 && (v == 0 || thousandths(v) > *amount) {
		return keyErrorf(key, "must be above 0 and at most %g, which is the platform's limit", float64(*amount)/1000)
	}
	return nil
}

// thousandths rounds down: a limit never comes out above what was said.
func thousandths(v float64) int64 { return int64(math.Floor(v*1000 + 1e-6)) }

func number(key, value string, low, high float64) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || !(v >= low && v <= high) {
		return 0, keyErrorf(key, "must be a number from %g to %g", low, high)
	}
	return v, nil
}

func oneOf(key, value string, words ...string) error {
	for _, w := range words {
		if value == strconv.Quote(w) {
			return nil
		}
	}
	return keyErrorf(key, "must be one of %s", strings.Join(words, ", "))
}
