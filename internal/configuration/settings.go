package configuration

import "mapleslip/internal/protocol"

// Options are the settings of the operators' file that enables configuration changes.
type Options struct {
	HistoryPages int // pages of history to keep; each takes one value of the state service
}

// Defaults returns the options that apply where the operators' file sets none.
func Defaults() Options { return Options{HistoryPages: 256} }

type optionsFile struct {
	Pages *int `toml:"history_pages"`
}

// LoadOptions reads the operators' file. Errors name the file and the key.
func LoadOptions(path string) (Options, error) { return protocol.LoadFile(path, ParseOptions) }

// ParseOptions parses and checks the text of the operators' file.
func ParseOptions(text []byte) (Options, error) {
	o := Defaults()
	var f optionsFile
	if err := protocol.DecodeStrict(text, &f); err != nil {
		return o, err
	}
	return o, protocol.SetBounded("history_pages", f.Pages, &o.HistoryPages, 1, 10_000)
}
