package records

import (
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// EncodeHandover writes what a leader has seen that its successors must know: zones that look
// cut off, each with since when and when it last looked so, and since when hosts are silent.
func EncodeHandover(h protocol.HandoverState) []byte {
	b := strconv.AppendUint(begin("seen"), h.Epoch, 10)
	b = strconv.AppendInt(append(b, `,"at":`...), int64(h.At), 10)
	b = append(b, `,"cuts":{`...)
	for i, p := range h.Partitions {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(append(protocol.AppendQuoted(b, p.Zone), ":["...), int64(p.Since), 10)
		b = append(strconv.AppendInt(append(b, ','), int64(p.LastSeen), 10), ']')
	}
	b = append(b, `},"silent":{`...)
	for i, s := range h.SilentHosts {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(append(protocol.AppendQuoted(b, s.Host), ':'), int64(s.Since), 10)
	}
	return append(b, "}}"...)
}

// SilentHostSize is about how many bytes a silent host takes in the handover's record.
func SilentHostSize(s protocol.SilentHost) int {
	const instantAndPunctuation = 21
	return len(s.Host) + instantAndPunctuation
}

// DecodeHandover reads the handover's record.
func DecodeHandover(value []byte) (protocol.HandoverState, error) {
	var h protocol.HandoverState
	err := parseVersioned(value, func(v *fastjson.Value) error {
		h = protocol.HandoverState{Epoch: v.GetUint64("seen"), At: micros(v.GetInt64("at"))}
		if partitions := v.GetObject("cuts"); partitions != nil {
			partitions.Visit(func(zone []byte, v *fastjson.Value) {
				if f := v.GetArray(); len(f) == 2 {
					p := protocol.Partition{Zone: string(zone), Since: micros(f[0].GetInt64()), LastSeen: micros(f[1].GetInt64())}
					h.Partitions = append(h.Partitions, p)
				}
			})
		}
		if silent := v.GetObject("silent"); silent != nil {
			silent.Visit(func(host []byte, v *fastjson.Value) {
				h.SilentHosts = append(h.SilentHosts, protocol.SilentHost{Host: string(host), Since: micros(v.GetInt64())})
			})
		}
		return nil
	})
	return h, err
}
