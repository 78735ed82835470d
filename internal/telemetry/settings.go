// Package telemetry exports what a controller does: metrics in the Prometheus exposition format on
// a listener of its own, and spans to a collector by OTLP (OpenTelemetry protocol) over HTTP. It is
// off unless the operators' file enables it. It never makes the controller wait: what can't be
// accepted at once is dropped and counted.
package telemetry

import (
	"net/netip"
	"net/url"

	"mapleslip/internal/protocol"
)

// Settings are the operators' settings of telemetry.
type Settings struct {
	Listen        string          // IP:port of the metrics listener, "" for none
	Traces        string          // URL to which spans are sent, "" for none
	Ratio         float64         // fraction of the spans that is kept, 0 to 1
	Queue         int             // maximum number of queued spans
	Classes       int             // maximum number of classes, or teams, with series of their own
	SnapshotEvery protocol.Micros // interval between snapshots, which count jobs and hosts
}

// Defaults returns the settings that apply where the file sets none.
func Defaults() Settings {
	return Settings{Ratio: 0.1, Queue: 512, Classes: 16, SnapshotEvery: 2 * protocol.Second}
}

// file is the decoded operators' file. The TOML library prints the name of this type in errors that
// operators see.
type file struct {
	Listen    *string  `toml:"listen"`
	Traces    *string  `toml:"traces"`
	Ratio     *float64 `toml:"trace_ratio"`
	Queue     *int     `toml:"trace_queue"`
	Classes   *int     `toml:"classes"`
	SnapshotS *float64 `toml:"snapshot_s"`
}

// Load reads the operators' file. Errors name the file and the key.
func Load(path string) (Settings, error) { return protocol.LoadFile(path, Parse) }

// Parse parses and checks the text of the operators' file.
func Parse(text []byte) (Settings, error) {
	s := Defaults()
	var f file
	if err := protocol.DecodeStrict(text, &f); err != nil {
		return s, err
	}
	if f.Listen != nil {
		if _, err := netip.ParseAddrPort(*f.Listen); err != nil {
			return s, &protocol.KeyError{Key: "listen", Problem: "must be IP:port"}
		}
		s.Listen = *f.Listen
	}
	if f.Traces != nil {
		u, err := url.Parse(*f.Traces)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return s, &protocol.KeyError{Key: "traces", Problem: "must be http://IP:port/path"}
		}
		if _, err := netip.ParseAddrPort(u.Host); err != nil {
			return s, &protocol.KeyError{Key: "traces", Problem: "must name the collector by IP:port"}
		}
		s.Traces = *f.Traces
	}
	if s.Listen == "" && s.Traces == "" {
		return s, &protocol.KeyError{Key: "listen", Problem: "missing, and so is traces: nothing to do"}
	}
	snapshotSeconds := s.SnapshotEvery.Seconds()
	for _, err := range []error{
		protocol.SetBounded("trace_ratio", f.Ratio, &s.Ratio, 0, 1),
		protocol.SetBounded("trace_queue", f.Queue, &s.Queue, 1, 100_000),
		protocol.SetBounded("classes", f.Classes, &s.Classes, 1, 256),
		protocol.SetBounded("snapshot_s", f.SnapshotS, &snapshotSeconds, 0.1, 3600),
	} {
		if err != nil {
			return s, err
		}
	}
	s.SnapshotEvery = protocol.FromSeconds(snapshotSeconds)
	return s, nil
}
