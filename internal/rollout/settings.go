package rollout

import "mapleslip/internal/protocol"

// Defaults are the settings used where the operators' file sets none.
func Defaults() Settings { return Settings{ChecksPerS: 50, MaxInFlight: 64, MaxServices: 32} }

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
	for _, err := range []error{
		protocol.SetBounded("checks_per_s", f.ChecksPerS, &s.ChecksPerS, 1, 10_000),
		protocol.SetBounded("checks_at_once", f.AtOnce, &s.MaxInFlight, 1, 4096),
		protocol.SetBounded("services", f.Services, &s.MaxServices, 1, mostServices),
	} {
		if err != nil {
			return s, err
		}
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
