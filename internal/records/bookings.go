package records

import (
	"strconv"

	"mapleslip/internal/protocol"

	"github.com/valyala/fastjson"
)

// EncodeBookings encodes the starts of the bookings of some jobs. start returns the start of a
// job as a time of day.
func EncodeBookings(refs []string, start func(ref string) micros) []byte {
	return encodeByRef("at", refs, func(b []byte, ref string) []byte { return strconv.AppendInt(b, int64(start(ref)), 10) })
}

// DecodeBookings decodes the starts of bookings as times of day, by job ref.
func DecodeBookings(value []byte) (map[string]protocol.Micros, error) {
	starts := make(map[string]micros)
	err := forEachRef(value, "bookings", "at", func(ref string, v *fastjson.Value) error {
		start, err := v.Int64()
		if err != nil {
			return &FieldError{"bookings", "at", err}
		}
		starts[ref] = micros(start)
		return nil
	})
	return starts, err
}
