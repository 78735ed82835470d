package records

import (
	"fmt"

	"github.com/valyala/fastjson"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
)

// EncodeMachineTypes encodes machine types in the format of a feature level.
func EncodeMachineTypes(types []*protocol.MachineType, level featuregate.Level) []byte {
	if level == 0 {
		return protocol.AppendMachineTypes(nil, types)
	}
	b := fmt.Appendf(nil, `{"form":%d,"types":`, FeatureFormatVersion)
	return append(protocol.AppendMachineTypes(b, types), '}')
}

// DecodeMachineTypes decodes machine types in either format. versioned reports whether they were
// written at feature level 1 or above.
func DecodeMachineTypes(value []byte) (types []*protocol.MachineType, versioned bool, err error) {
	err = parse(value, func(v *fastjson.Value) error {
		versioned = v.Exists("form")
		if !versioned {
			return nil
		}
		inner := v.Get("types")
		if v.GetInt("form") != FeatureFormatVersion || inner == nil {
			return ErrFormat
		}
		value = inner.MarshalTo(nil)
		return nil
	})
	if err != nil {
		return nil, versioned, err
	}
	types, err = protocol.ParseMachineTypes(value)
	return types, versioned, err
}
