package rollout

import (
	"fmt"
	"math"

	"mapleslip/internal/protocol"
)

// Defaults are the settings used where the operators' file sets none.
func Defaults() Settings { return Settings{ChecksPerS: 50, AtOnce: 64, Services: 32} }

// mostServices have to fit into one line of an answer, which is 64 KiB at most.
const mostServices = 48

type file struct {
	ChecksPerS *float64 `toml:"checks_per_s"`
	AtOnce     *int     `toml:"checks_at_once"`
	Services   *int     `toml:"services"`
	Message    *string  `toml:"message"`
}

// LoadSettings reads the operators' file; errors name the file and the key.
func LoadSettings(path string) (Settings, error) { return protocol.LoadFile(path, ParseSettings) }

// ParseSettings checks the text of the operators' file.
func ParseSettings(text []byte) (Settings, error) {
	s := Defaults()
	var f file
	if err := protocol.DecodeStrict(text, &f); err != nil {
		return s, err
	}
	if v := f.ChecksPerS; v != nil {
		if math.IsNaN(*v) || *v < 1 || *v > 10_000 {
			return s, &protocol.KeyError{Key: "checks_per_s", Problem: "must be from 1 to 10000"}
		}
		s.ChecksPerS = *v
	}
	for _, n := range []struct {
		key  string
		v    *int
		to   *int
		high int
	}{{"checks_at_once", f.AtOnce, &s.AtOnce, 4096}, {"services", f.Services, &s.Services, mostServices}} {
		if n.v == nil {
			continue
		}
		if *n.v < 1 || *n.v > n.high {
			return s, &protocol.KeyError{Key: n.key, Problem: fmt.Sprintf("must be from 1 to %d", n.high)}
		}
		*n.to = *n.v
	}
	if f.Message != nil && *f.Message != "" {
		t, err := CompileMessage(*f.Message)
		if err != nil {
			return s, &protocol.KeyError{Key: "message", Problem: err.Error()}
		}
		s.Message = t
	}
	return s, nil
}
