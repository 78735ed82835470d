package protocol

import (
	"bytes"
	"reflect"
	"testing"
)

// Golden bodies. A build that writes or reads them differently is incompatible with the controllers
// of earlier builds.
var (
	goldenReachability  = "\x01\x00\x02\x00\x01a\x00\x00\x00\x05\x00\x02bb\x00\x00\x01\x00"
	goldenHandoverState = "\x01\x00\x00\x00\x00\x00\x00\x00\x07\x00\x00\x00\x00\x00\x0f\x42\x40" +
		"\x00\x01\x00\x01b\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x00\x00\x00\x00\x03" +
		"\x00\x01\x00\x03n-1\x00\x00\x00\x00\x00\x00\x00\x04"
)

func TestReachabilityAndHandoverState(t *testing.T) {
	workers := map[string]int{"a": 5, "bb": 256}
	b := AppendReachability(nil, workers)
	if string(b) != goldenReachability {
		t.Errorf("AppendReachability wrote %q", b)
	}
	if got, err := ParseReachability(b); err != nil || !reflect.DeepEqual(got, workers) {
		t.Errorf("ParseReachability: got %v, error %v", got, err)
	}
	state := HandoverState{Epoch: 7, At: Second, Partitions: []Partition{{"b", 2, 3}}, SilentHosts: []SilentHost{{"n-1", 4}}}
	if b = AppendHandoverState(nil, state); string(b) != goldenHandoverState {
		t.Errorf("AppendHandoverState wrote %q", b)
	}
	if got, err := ParseHandoverState(b); err != nil || !reflect.DeepEqual(got, state) {
		t.Errorf("ParseHandoverState: got %+v, error %v", got, err)
	}
	for _, bad := range []string{
		"", "\x02\x00\x00", "\x01\x00\x01", "\x01\xff\xff", goldenReachability + "x", goldenReachability[:9],
		"\x01\x00\x02\x00\x01a\x00\x00\x00\x05\x00\x01a\x00\x00\x00\x05",
	} {
		if got, err := ParseReachability([]byte(bad)); err == nil {
			t.Errorf("%q was accepted as %v", bad, got)
		}
	}
	for _, bad := range []string{"", "\x02", goldenHandoverState + "x", goldenHandoverState[:40], goldenHandoverState[:17] + "\xff\xff"} {
		if got, err := ParseHandoverState([]byte(bad)); err == nil {
			t.Errorf("%q was accepted as %+v", bad, got)
		}
	}
}

// A body from another controller is either rejected, or keeps its content when it is written again.
func FuzzReachabilityAndHandoverState(f *testing.F) {
	f.Add([]byte(goldenReachability))
	f.Add([]byte(goldenHandoverState))
	f.Fuzz(func(t *testing.T, body []byte) {
		if state, err := ParseHandoverState(body); err == nil && !bytes.Equal(AppendHandoverState(nil, state), body) {
			t.Errorf("%+v differs after AppendHandoverState", state)
		}
		if workers, err := ParseReachability(body); err == nil {
			if reparsed, err := ParseReachability(AppendReachability(nil, workers)); err != nil || !reflect.DeepEqual(reparsed, workers) {
				t.Errorf("%v is %v after AppendReachability and ParseReachability, error %v", workers, reparsed, err)
			}
		}
	})
}
