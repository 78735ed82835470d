// Package records has the codecs of all that a controller keeps in the state service: the
// keys, and for each kind of record an Encode and a Decode function.
//
// Records are JSON. Their field names and forms are those of the versions that run side by
// side with this one and must not change; testdata of package featuregate holds the bytes that
// earlier versions wrote. The decoders accept every form that is still in use. A record that
// can't be read is an error that wraps ErrFormat or names the field, never an empty record.
package records

import "mapleslip/internal/protocol"

type micros = protocol.Micros
