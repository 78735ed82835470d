package records

import (
	"errors"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Launch is the launch of an attempt, which may be on the host from then on.
type Launch struct {
	Name protocol.AttemptName
	Host string
}

// launchFields is the number of fields of a launch in a record: task index, host and attempt
// number.
const launchFields = 3

// EncodeLaunches encodes launches. Those of a job are together in one array; jobs are in the order
// in which they first occur.
func EncodeLaunches(launches []Launch) []byte {
	var refs []string
	byJob := make(map[string][]Launch)
	for _, l := range launches {
		if byJob[l.Name.Job] == nil {
			refs = append(refs, l.Name.Job)
		}
		byJob[l.Name.Job] = append(byJob[l.Name.Job], l)
	}
	return encodeByRef("on", refs, func(b []byte, ref string) []byte {
		b = append(b, '[')
		for i, l := range byJob[ref] {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(strconv.AppendInt(b, int64(l.Name.Index), 10), ',')
			b = append(protocol.AppendQuoted(b, l.Host), ',')
			b = strconv.AppendUint(b, l.Name.Number, 10)
		}
		return append(b, ']')
	})
}

// DecodeLaunches decodes a record of launches.
func DecodeLaunches(value []byte) ([]Launch, error) {
	var launches []Launch
	err := forEachRef(value, "launches", "on", func(ref string, v *fastjson.Value) error {
		fields, err := v.Array()
		if err != nil || len(fields)%launchFields != 0 {
			return &FieldError{"launches", "on", err}
		}
		for ; len(fields) > 0; fields = fields[launchFields:] {
			l, err := launchFrom(ref, fields)
			if err != nil {
				return err
			}
			launches = append(launches, l)
		}
		return nil
	})
	return launches, err
}

func launchFrom(ref string, fields []*fastjson.Value) (Launch, error) {
	index, err1 := fields[0].Int()
	host, err2 := fields[1].StringBytes()
	number, err3 := fields[2].Uint64()
	if err := errors.Join(err1, err2, err3); err != nil || index < 0 || index >= protocol.MaxTasks || len(host) == 0 {
		return Launch{}, &FieldError{"launches", "on", err}
	}
	name := protocol.AttemptName{TaskName: protocol.TaskName{Job: ref, Index: index}, Number: number}
	return Launch{name, string(host)}, nil
}
