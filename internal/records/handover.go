package records

import (
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// EncodeHandover encodes the state that a leader leaves to its successors: the zones that seem
// partitioned, each with the time since when and the time when this was last seen, and the silent
// hosts, each with the time of its last message.
func EncodeHandover(h protocol.HandoverState) []byte {
	b := strconv.AppendUint(beginRecord("seen"), h.Epoch, 10)
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

// SilentHostSize returns the approximate number of bytes of a silent host in the handover record.
func SilentHostSize(s protocol.SilentHost) int {
	const timeAndPunctuation = 21
	return len(s.Host) + timeAndPunctuation
}

// DecodeHandover decodes the handover record.
func DecodeHandover(value []byte) (protocol.HandoverState, error) {
	var h protocol.HandoverState
	err := parseVersioned(value, func(v *fastjson.Value) error {
		h = protocol.HandoverState{Epoch: v.GetUint64("seen"), At: micros(v.GetInt64("at"))}
		if partitions := v.GetObject("cuts"); partitions != nil {
			partitions.Visit(func(zone []byte, v *fastjson.Value) {
				if times := v.GetArray(); len(times) == 2 {
					p := protocol.Partition{Zone: string(zone), Since: micros(times[0].GetInt64()), LastSeen: micros(times[1].GetInt64())}
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
