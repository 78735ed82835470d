package configuration

import "mapleslip/internal/protocol"

// Options is the operators' file that switches changes on.
type Options struct {
	HistoryPages int // of history that are kept, of one value each
}

// Defaults are the options used where the operators' file sets none.
func Defaults() Options { return Options{HistoryPages: 256} }

type optionsFile struct {
	Pages *int `toml:"history_pages"`
}

// LoadOptions reads the operators' file; errors name the file and the key.
func LoadOptions(path string) (Options, error) { return protocol.LoadFile(path, ParseOptions) }

// ParseOptions checks the text of the operators' file.
func ParseOptions(text []byte) (Options, error) {
	o := Defaults()
	var f optionsFile
	if err := protocol.DecodeStrict(text, &f); err != nil {
		return o, err
	}
	return o, protocol.SetBounded("history_pages", f.Pages, &o.HistoryPages, 1, 10_000)
}
