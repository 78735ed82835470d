package records

import (
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// hostFields is the number of fields of a host in a shared record, before its images.
const hostFields = 6

// EncodeHosts encodes the record that some hosts share. Each host is an array of its name, address,
// machine type, zone, whether it is a spot machine (1 or 0), the time of day of the write, and the
// numbers of its images in the list of images at the end of the record. If images is false, no
// images are written.
func EncodeHosts(hosts []*state.Host, images bool) []byte {
	b := append(beginRecord("hosts"), '[')
	list := imageList{numbers: make(map[string]int)}
	for i, h := range hosts {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendHost(append(b, '['), h)
		if images {
			for _, name := range h.ImageNames() {
				n := list.number(name, h.Images[name].Size)
				b = strconv.AppendInt(append(b, ','), int64(n), 10)
			}
		}
		b = append(b, ']')
	}
	b = append(b, `],"images":[`...)
	return append(append(b, list.encoded...), "]}"...)
}

func appendHost(b []byte, h *state.Host) []byte {
	for _, text := range []string{h.Name, h.Addr, h.TypeName, h.Zone} {
		b = append(protocol.AppendQuoted(b, text), ',')
	}
	spot := int64(0)
	if h.Spot {
		spot = 1
	}
	b = append(strconv.AppendInt(b, spot, 10), ',')
	return strconv.AppendInt(b, int64(h.Record.WrittenWall), 10)
}

// imageList is the list of images at the end of a record, which hosts refer to by number.
type imageList struct {
	numbers map[string]int
	encoded []byte // alternating names and sizes
}

// number returns the number of an image in the list, and adds the image if it is not there yet.
func (l *imageList) number(name string, size int64) int {
	if n, ok := l.numbers[name]; ok {
		return n
	}
	n := len(l.numbers)
	l.numbers[name] = n
	if n > 0 {
		l.encoded = append(l.encoded, ',')
	}
	l.encoded = append(protocol.AppendQuoted(l.encoded, name), ',')
	l.encoded = strconv.AppendInt(l.encoded, size, 10)
	return n
}

// DecodeHosts decodes a record that hosts share.
func DecodeHosts(now micros, value []byte) ([]*state.Host, error) {
	var hosts []*state.Host
	err := parseVersioned(value, func(v *fastjson.Value) error {
		rows, err := protocol.Member(v, "hosts").Array()
		if err != nil {
			return &FieldError{"hosts", "hosts", err}
		}
		images := v.GetArray("images")
		for _, row := range rows {
			h, err := hostFrom(now, row.GetArray(), images)
			if err != nil {
				return err
			}
			hosts = append(hosts, h)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return hosts, nil
}

func hostFrom(now micros, fields, images []*fastjson.Value) (*state.Host, error) {
	if len(fields) < hostFields {
		return nil, &FieldError{Record: "hosts", Field: "hosts"}
	}
	text := func(i int) string { return string(fields[i].GetStringBytes()) }
	h := state.NewHost(now, text(0), text(2), text(3), fields[4].GetInt() == 1)
	h.Addr, h.Record.WrittenWall = text(1), micros(fields[5].GetInt64())
	if h.Name == "" {
		return nil, &FieldError{Record: "hosts", Field: "hosts"}
	}
	for _, number := range fields[hostFields:] {
		n, err := number.Int()
		if err != nil || n < 0 || 2*n+1 >= len(images) {
			return nil, &FieldError{"hosts", "images", err}
		}
		h.Images[string(images[2*n].GetStringBytes())] = &state.Image{Size: images[2*n+1].GetInt64()}
	}
	h.Record.Written, h.Record.FromEarlierEpoch = true, true
	return h, nil
}

// DecodeLegacyHost decodes a record of format 1, which has one host.
func DecodeLegacyHost(now micros, name string, value []byte) (*state.Host, error) {
	var h *state.Host
	err := parse(value, func(v *fastjson.Value) error {
		h = state.NewHost(now, name, string(v.GetStringBytes("type")), string(v.GetStringBytes("zone")), v.GetBool("spot"))
		h.Addr = string(v.GetStringBytes("addr"))
		h.Record.WrittenWall = micros(v.GetInt64("at"))
		if images, err := protocol.Member(v, "images").Object(); err == nil {
			images.Visit(func(key []byte, v *fastjson.Value) {
				if size, err := v.Int64(); err == nil {
					h.Images[string(key)] = &state.Image{Size: size}
				}
			})
		}
		h.Record.Written, h.Record.FromEarlierEpoch = true, true
		return nil
	})
	return h, err
}
