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
	KeyLevel       = "level"   // the active level; there is no record at level 0
	RegistryPrefix = "roster/" // the version that each controller runs, by the controller's name
)

// RegistryKey returns the key of a controller's entry of the roster.
func RegistryKey(controller string) string { return RegistryPrefix + controller }

// formatVersion is the version of the format of both records. Records of other versions are
// refused, since the meaning of their content is unknown.
const formatVersion = 1

var errMalformedRecord = errors.New("malformed record of the feature levels")

// Entry is a controller's entry of the roster: the version that it runs. The controller writes it
// when its process starts.
type Entry struct {
	Controller string
	Levels     Range
	Build      string // program version, only for display
}

// EncodeEntry encodes an entry of the roster as JSON.
func EncodeEntry(e Entry) []byte {
	b := protocol.AppendQuoted(fmt.Appendf(nil, `{"form":%d,"node":`, formatVersion), e.Controller)
	b = fmt.Appendf(b, `,"low":%d,"high":%d,"build":`, e.Levels.Low, e.Levels.High)
	return append(protocol.AppendQuoted(b, e.Build), '}')
}

// DecodeEntry decodes an entry of the roster.
func DecodeEntry(value []byte) (Entry, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := parseRecord(p, value)
	if err != nil {
		return Entry{}, err
	}
	low, err1 := protocol.Member(v, "low").Uint64()
	high, err2 := protocol.Member(v, "high").Uint64()
	e := Entry{Controller: string(v.GetStringBytes("node")), Levels: Range{Level(low), Level(high)}, Build: string(v.GetStringBytes("build"))}
	if err1 != nil || err2 != nil || e.Controller == "" || low > high {
		return Entry{}, errMalformedRecord
	}
	return e, nil
}

// EncodeLevel encodes the active level as JSON.
func EncodeLevel(l Level) []byte {
	return append(strconv.AppendUint(fmt.Appendf(nil, `{"form":%d,"level":`, formatVersion), uint64(l), 10), '}')
}

// DecodeLevel decodes the active level.
func DecodeLevel(value []byte) (Level, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := parseRecord(p, value)
	if err != nil {
		return 0, err
	}
	l, err := protocol.Member(v, "level").Uint64()
	if err != nil || l == 0 {
		return 0, errMalformedRecord
	}
	return Level(l), nil
}

func parseRecord(p *fastjson.Parser, value []byte) (*fastjson.Value, error) {
	v, err := protocol.ParseValue(p, value)
	if err != nil || v.Type() != fastjson.TypeObject || v.GetInt("form") != formatVersion {
		return nil, errMalformedRecord
	}
	return v, nil
}
