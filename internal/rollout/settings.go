package rollout

import "mapleslip/internal/protocol"

// Defaults returns the settings that apply where the operators' file does not set them.
func Defaults() Settings { return Settings{ChecksPerS: 50, MaxInFlight: 64, MaxServices: 32} }

// maxServicesLimit is the highest number of services that can be set: the roll-outs of all services
// must fit into one line of a reply, which is 64 KiB at most.
const maxServicesLimit = 48

type file struct {
	ChecksPerS *float64 `toml:"checks_per_s"`
	AtOnce     *int     `toml:"checks_at_once"`
	Services   *int     `toml:"services"`
	Message    *string  `toml:"message"`
}

// LoadSettings reads the operators' file. Errors contain the name of the file and the key.
func LoadSettings(path string) (Settings, error) { return protocol.LoadFile(path, ParseSettings) }

// ParseSettings parses and validates the text of the operators' file.
func ParseSettings(text []byte) (Settings, error) {
	s := Defaults()
	var f file
	if err := protocol.DecodeStrict(text, &f); err != nil {
		return s, err
	}
	for _, err := range []error{
		protocol.SetBounded("checks_per_s", f.ChecksPerS, &s.ChecksPerS, 1, 10_000),
		protocol.SetBounded("checks_at_once", f.AtOnce, &s.MaxInFlight, 1, 4096),
		protocol.SetBounded("services", f.Services, &s.MaxServices, 1, maxServicesLimit),
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
