package protocol

import (
	"bytes"
	"reflect"
	"testing"
)

// Frames of each kind are kept as they are written now, so that a later build that
// writes or reads them otherwise is found out.
var (
	goldenHearing = "\x01\x00\x02\x00\x01a\x00\x00\x00\x05\x00\x02bb\x00\x00\x01\x00"
	goldenMemory  = "\x01\x00\x00\x00\x00\x00\x00\x00\x07\x00\x00\x00\x00\x00\x0f\x42\x40" +
		"\x00\x01\x00\x01b\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x00\x00\x00\x00\x03" +
		"\x00\x01\x00\x03n-1\x00\x00\x00\x00\x00\x00\x00\x04"
)

func TestHearing(t *testing.T) {
	heard := map[string]int{"a": 5, "bb": 256}
	b := AppendReachability(nil, heard)
	if string(b) != goldenHearing {
		t.Errorf("%q", b)
	}
	if got, err := ParseReachability(b); err != nil || !reflect.DeepEqual(got, heard) {
		t.Errorf("%v %v", got, err)
	}
	m := HandoverState{Epoch: 7, At: Second, Partitions: []Partition{{"b", 2, 3}}, SilentHosts: []SilentHost{{"n-1", 4}}}
	if b = AppendHandoverState(nil, m); string(b) != goldenMemory {
		t.Errorf("%q", b)
	}
	if got, err := ParseHandoverState(b); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("%+v %v", got, err)
	}
	for _, bad := range []string{
		"", "\x02\x00\x00", "\x01\x00\x01", "\x01\xff\xff", goldenHearing + "x", goldenHearing[:9],
		"\x01\x00\x02\x00\x01a\x00\x00\x00\x05\x00\x01a\x00\x00\x00\x05",
	} {
		if got, err := ParseReachability([]byte(bad)); err == nil {
			t.Errorf("%q: read as %v", bad, got)
		}
	}
	for _, bad := range []string{"", "\x02", goldenMemory + "x", goldenMemory[:40], goldenMemory[:17] + "\xff\xff"} {
		if got, err := ParseHandoverState([]byte(bad)); err == nil {
			t.Errorf("%q: read as %+v", bad, got)
		}
	}
}

// Whatever comes from another controller is read or refused, and what is read is
// written as it was.
func FuzzHearing(f *testing.F) {
	f.Add([]byte(goldenHearing))
	f.Add([]byte(goldenMemory))
	f.Fuzz(func(t *testing.T, body []byte) {
		if m, err := ParseHandoverState(body); err == nil && !bytes.Equal(AppendHandoverState(nil, m), body) {
			t.Errorf("%+v", m)
		}
		if heard, err := ParseReachability(body); err == nil {
			if again, err := ParseReachability(AppendReachability(nil, heard)); err != nil || !reflect.DeepEqual(again, heard) {
				t.Errorf("%v %v %v", heard, again, err)
			}
		}
	})
}
