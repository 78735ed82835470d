package records

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
)

// Epoch is the content of the epoch record. Each new leader raises its number, see
// leadership.NextEpoch.
type Epoch struct {
	Number uint64
	// LaunchesUnrecorded is set while launches of an earlier epoch may be in no record: a leader
	// that wrote format 1 did not record launches, and some of its hosts have not reported since.
	LaunchesUnrecorded bool
	// Transfers contains the most recent leadership transfers, the newest last. A controller of
	// a version without this field drops it when it becomes the leader.
	Transfers []protocol.LeadershipTransfer
	// Level is the active feature level.
	Level featuregate.Level
}

// EncodeEpoch encodes the epoch record.
func EncodeEpoch(e Epoch) []byte {
	b := beginRecord("epoch")
	if e.Level > 0 {
		b = fmt.Appendf(nil, `{"form":%d,"level":%d,"epoch":`, FeatureFormatVersion, e.Level)
	}
	b = strconv.AppendUint(b, e.Number, 10)
	if e.LaunchesUnrecorded {
		b = append(b, `,"unlisted":true`...)
	}
	for i, t := range e.Transfers {
		if i == 0 {
			b = append(b, `,"yields":[`...)
		} else {
			b = append(b, ',')
		}
		b = appendTransfer(b, t)
	}
	if len(e.Transfers) > 0 {
		b = append(b, ']')
	}
	return append(b, '}')
}

func appendTransfer(b []byte, t protocol.LeadershipTransfer) []byte {
	b = protocol.AppendQuoted(append(b, `{"node":`...), t.From)
	b = protocol.AppendQuoted(append(b, `,"to":`...), t.To)
	b = strconv.AppendUint(append(b, `,"epoch":`...), t.Epoch, 10)
	b = strconv.AppendInt(append(b, `,"at":`...), int64(t.At), 10)
	b = append(b, `,"heard":{`...)
	for i, zone := range slices.Sorted(maps.Keys(t.ReachableWorkers)) {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(append(protocol.AppendQuoted(b, zone), ':'), int64(t.ReachableWorkers[zone]), 10)
	}
	return append(b, "}}"...)
}

// DecodeEpoch decodes the epoch record, in format 1 or a later one. Transfers that can't be read
// are left out: they only limit how often the leader changes, and are not needed for safety.
func DecodeEpoch(value []byte) (Epoch, error) {
	if n, err := strconv.ParseUint(string(value), 10, 64); err == nil {
		return Epoch{Number: n, LaunchesUnrecorded: true}, nil // format 1
	}
	var e Epoch
	err := parse(value, func(v *fastjson.Value) error {
		format, level := v.GetInt("form"), v.GetUint64("level")
		known := format == FormatVersion || format == FeatureFormatVersion
		if v.Type() != fastjson.TypeObject || !known || (format == FeatureFormatVersion) != (level > 0) {
			return ErrFormat
		}
		number, err := protocol.Member(v, "epoch").Uint64()
		if err != nil {
			return &FieldError{"epoch", "epoch", err}
		}
		e = Epoch{Number: number, LaunchesUnrecorded: v.GetBool("unlisted"), Level: featuregate.Level(level)}
		for _, row := range v.GetArray("yields") {
			if t := transferFrom(row); t.From != "" {
				e.Transfers = append(e.Transfers, t)
			}
		}
		return nil
	})
	return e, err
}

func transferFrom(v *fastjson.Value) protocol.LeadershipTransfer {
	t := protocol.LeadershipTransfer{
		From: string(v.GetStringBytes("node")), To: string(v.GetStringBytes("to")), Epoch: v.GetUint64("epoch"),
		At: micros(v.GetInt64("at")), ReachableWorkers: make(map[string]int),
	}
	if reachable := v.GetObject("heard"); reachable != nil {
		reachable.Visit(func(zone []byte, n *fastjson.Value) { t.ReachableWorkers[string(zone)] = n.GetInt() })
	}
	return t
}
