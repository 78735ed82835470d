package records

import (
	"strconv"

	"mapleslip/internal/protocol"

	"github.com/valyala/fastjson"
)

// EncodeBookings writes the starts of bookings, in the time of day.
func EncodeBookings(refs []string, start func(ref string) micros) []byte {
	return appendByRef("at", refs, func(b []byte, ref string) []byte { return strconv.AppendInt(b, int64(start(ref)), 10) })
}

// DecodeBookings reads the starts of bookings, by job.
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
