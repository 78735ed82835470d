package featuregate_test

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// written reads what the version in production wrote.
func written(t *testing.T, s sample) []byte {
	t.Helper()
	path, _ := fileOf("testdata/level0", s)
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b = bytes.TrimSuffix(b, []byte("\n"))
	if strings.HasSuffix(path, ".hex") {
		if b, err = hex.DecodeString(string(b)); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// Old then new: whatever the version in production wrote is read, and comes out the same.
func TestProductionIsRead(t *testing.T) {
	for _, s := range samples() {
		b := written(t, s)
		if again, err := s.again(b); err != nil || !bytes.Equal(again, b) {
			t.Errorf("%s: %v\nread as %q\nbut was %q", s.name, err, again, b)
		}
	}
}

// New then old: before a level is active every record and message is written byte for byte
// as the version in production writes it.
func TestWrittenAsProductionDoes(t *testing.T) {
	list := samples()
	for _, s := range list {
		if b := written(t, s); !bytes.Equal(b, s.bytes) {
			t.Errorf("%s\nwritten as %q\nproduction %q", s.name, s.bytes, b)
		}
	}
	types := written(t, sample{name: "machine-types"})
	if b := records.EncodeMachineTypes(machineTypes(), 0); !bytes.Equal(b, types) {
		t.Errorf("machine types\nwritten as %q\nproduction %q", b, types)
	}
	if kept, later, err := records.DecodeMachineTypes(types); err != nil || later || !bytes.Equal(protocol.AppendMachineTypes(nil, kept), types) {
		t.Errorf("machine types read as %v, later form %v: %v", kept, later, err)
	}
	files, err := filepath.Glob("testdata/level0/*")
	if err != nil || len(files) != len(list) {
		t.Errorf("%d files of %d samples, %v", len(files), len(list), err)
	}
}

// From level 1 on the epoch's record and the machine types are of a form that production
// refuses, by its own rules: it reads an epoch only of form 2, or that is a number, and
// machine types only with a list of "flavors". This version reads both forms.
func TestLaterForms(t *testing.T) {
	e := records.Epoch{Number: 9, LaunchesUnrecorded: true, Level: 1, Transfers: []protocol.LeadershipTransfer{{From: "node-1", To: "node-2", Epoch: 8, At: wall, ReachableWorkers: map[string]int{"a": 1}}}}
	value := records.EncodeEpoch(e)
	if got, err := records.DecodeEpoch(value); err != nil || got.Number != 9 || got.Level != 1 || !got.LaunchesUnrecorded || len(got.Transfers) != 1 {
		t.Errorf("%s is read as %+v, %v", value, got, err)
	}
	if !bytes.HasPrefix(value, []byte(`{"form":3,"level":1,"epoch":9`)) {
		t.Errorf("the epoch's record is %s", value)
	}
	for _, bad := range []string{`{"form":3,"epoch":9}`, `{"form":2,"level":1,"epoch":9}`, `{"form":4,"level":1,"epoch":9}`, `{"form":3,"level":1}`, `[]`, `"9"`} {
		if got, err := records.DecodeEpoch([]byte(bad)); err == nil {
			t.Errorf("%s is read as %+v", bad, got)
		}
	}
	types := records.EncodeMachineTypes(machineTypes(), 1)
	for name, b := range map[string][]byte{"epoch.json": value, "machine-types.json": types} {
		if kept, err := os.ReadFile("testdata/level1/" + name); err != nil || string(kept) != string(b)+"\n" {
			t.Errorf("%s: %v\nwritten as %s\nnot as    %s", name, err, b, kept)
		}
	}
	if got, later, err := records.DecodeMachineTypes(types); err != nil || !later || !bytes.Equal(protocol.AppendMachineTypes(nil, got), protocol.AppendMachineTypes(nil, machineTypes())) {
		t.Errorf("%s is read as %v, %v, %v", types, got, later, err)
	}
	if got, err := protocol.ParseMachineTypes(types); err == nil {
		t.Errorf("production's rule reads machine types of the later form as %v", got)
	}
	for _, bad := range []string{`{"form":4,"types":{"flavors":[]}}`, `{"form":3}`, `{"form":3,"types":{}}`} {
		if got, _, err := records.DecodeMachineTypes([]byte(bad)); err == nil {
			t.Errorf("%s is read as %v", bad, got)
		}
	}
}

// The messages about levels, which only versions with levels send each other.
func TestMessages(t *testing.T) {
	for text, m := range map[string]*protocol.PeerMessage{
		"\x00\x00\x00\x0e\x01\x0a\x00\x06node-1\x00\x00\x00\x00":                                                   {Kind: protocol.PeerFeatureRequest, From: "node-1"},
		"\x00\x00\x00\x16\x01\x0b\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x00": {Kind: protocol.PeerFeatureRange, MinLevel: 1, MaxLevel: 2},
	} {
		b := protocol.AppendPeer(nil, m)
		frame, _, err := protocol.SplitPeer([]byte(text))
		if err != nil || string(b) != text {
			t.Errorf("written as %q, %v", b, err)
			continue
		}
		if got, err := protocol.ParsePeer(frame); err != nil || !bytes.Equal(protocol.AppendPeer(nil, got), b) {
			t.Errorf("%q is read as %+v, %v", text, got, err)
		}
	}
	bad := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerFeatureRange, MinLevel: 2, MaxLevel: 1})
	if m, err := protocol.ParsePeer(bad[4:]); err == nil {
		t.Errorf("a range that is none is read as %+v", m)
	}
}

// The records of levels are read as they were written, and nothing else is read as one.
func TestRecords(t *testing.T) {
	entry := featuregate.Entry{Controller: `node-"1"`, Levels: featuregate.Range{Low: 0, High: 1}, Build: "0.2.0"}
	value := featuregate.EncodeEntry(entry)
	if got, err := featuregate.DecodeEntry(value); err != nil || got != entry {
		t.Errorf("%s is read as %+v, %v", value, got, err)
	}
	if l, err := featuregate.DecodeLevel(featuregate.EncodeLevel(3)); err != nil || l != 3 {
		t.Errorf("level %d, %v", l, err)
	}
	for _, bad := range []string{`{`, `[]`, `{"form":2,"level":1}`, `{"form":1,"level":0}`, `{"form":1,"level":-1}`, `{"form":1,"level":"1"}`, `{"form":1}`} {
		if l, err := featuregate.DecodeLevel([]byte(bad)); err == nil {
			t.Errorf("%s is read as level %d", bad, l)
		}
	}
	for _, bad := range []string{`{`, `{"form":2,"node":"a","low":0,"high":1}`, `{"form":1,"node":"","low":0,"high":1}`, `{"form":1,"node":"a","low":2,"high":1}`, `{"form":1,"node":"a","high":1}`} {
		if e, err := featuregate.DecodeEntry([]byte(bad)); err == nil {
			t.Errorf("%s is read as %+v", bad, e)
		}
	}
}
