// Package records defines the keys and the encoding of the records that controllers store in the
// state service. Each kind of record has an Encode and a Decode function.
//
// Records are JSON. Controllers of several versions share them, so field names and formats must
// not change; the testdata directory of package featuregate contains records as earlier versions
// wrote them. The decoders accept every format that is still in use. For a record that can't be
// read they return an error that wraps ErrFormat or names the field, never an empty record.
package records

import "mapleslip/internal/protocol"

type micros = protocol.Micros
