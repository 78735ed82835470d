package featuregate

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Keys of the state service.
const (
	KeyLevel       = "level"   // the active level; there is none at level 0
	RegistryPrefix = "roster/" // what each controller runs, by its name
)

// RegistryKey is the key of a controller's entry of the roster.
func RegistryKey(node string) string { return RegistryPrefix + node }

// form is that of both records. A later one is not read: nothing is known of what it says.
const form = 1

var errRecord = errors.New("malformed record of the feature levels")

// Entry is what a controller runs. It is written when its process starts.
type Entry struct {
	Controller string
	Levels     Range
	Build      string // its version, for people
}

// EncodeEntry writes an entry of the roster.
func EncodeEntry(e Entry) []byte {
	b := protocol.AppendQuoted(fmt.Appendf(nil, `{"form":%d,"node":`, form), e.Controller)
	b = fmt.Appendf(b, `,"low":%d,"high":%d,"build":`, e.Levels.Low, e.Levels.High)
	return append(protocol.AppendQuoted(b, e.Build), '}')
}

// DecodeEntry reads an entry of the roster.
func DecodeEntry(value []byte) (Entry, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := open(p, value)
	if err != nil {
		return Entry{}, err
	}
	low, err1 := protocol.Member(v, "low").Uint64()
	high, err2 := protocol.Member(v, "high").Uint64()
	e := Entry{Controller: string(v.GetStringBytes("node")), Levels: Range{Level(low), Level(high)}, Build: string(v.GetStringBytes("build"))}
	if err1 != nil || err2 != nil || e.Controller == "" || low > high {
		return Entry{}, errRecord
	}
	return e, nil
}

// EncodeLevel writes the active level.
func EncodeLevel(l Level) []byte {
	return append(strconv.AppendUint(fmt.Appendf(nil, `{"form":%d,"level":`, form), uint64(l), 10), '}')
}

// DecodeLevel reads the active level.
func DecodeLevel(value []byte) (Level, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := open(p, value)
	if err != nil {
		return 0, err
	}
	l, err := protocol.Member(v, "level").Uint64()
	if err != nil || l == 0 {
		return 0, errRecord
	}
	return Level(l), nil
}

func open(p *fastjson.Parser, value []byte) (*fastjson.Value, error) {
	v, err := p.ParseBytes(value)
	if err != nil || v.Type() != fastjson.TypeObject || v.GetInt("form") != form {
		return nil, errRecord
	}
	return v, nil
}
