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

// productionBytes returns the bytes of a sample as the version in production wrote them.
func productionBytes(t *testing.T, s sample) []byte {
	t.Helper()
	path, _ := sampleFile("testdata/level0", s)
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

// After an upgrade: everything that the version in production wrote can be decoded, and is encoded
// to the same bytes.
func TestReadsProductionSamples(t *testing.T) {
	for _, s := range samples() {
		b := productionBytes(t, s)
		if reencoded, err := s.reencode(b); err != nil || !bytes.Equal(reencoded, b) {
			t.Errorf("%s: %v\nencoded again as %q\nproduction wrote %q", s.name, err, reencoded, b)
		}
	}
}

// In a cluster with the version in production, or after a downgrade to it: before a level is
// active, every record and message is encoded byte for byte as that version does it.
func TestWritesAsProduction(t *testing.T) {
	list := samples()
	for _, s := range list {
		if b := productionBytes(t, s); !bytes.Equal(b, s.bytes) {
			t.Errorf("%s\nencoded as %q\nproduction %q", s.name, s.bytes, b)
		}
	}
	types := productionBytes(t, sample{name: "machine-types"})
	if b := records.EncodeMachineTypes(machineTypes(), 0); !bytes.Equal(b, types) {
		t.Errorf("machine types\nencoded as %q\nproduction %q", b, types)
	}
	if decoded, later, err := records.DecodeMachineTypes(types); err != nil || later || !bytes.Equal(protocol.AppendMachineTypes(nil, decoded), types) {
		t.Errorf("machine types decoded as %v, later form %v: %v", decoded, later, err)
	}
	files, err := filepath.Glob("testdata/level0/*")
	if err != nil || len(files) != len(list) {
		t.Errorf("%d files of %d samples, %v", len(files), len(list), err)
	}
}

// From level 1 on, the epoch record and the machine types have a form that the version in
// production refuses by its own rules: it reads an epoch record only if that is of form 2 or a
// number, and machine types only with a list of "flavors". This version reads both forms.
func TestLaterForms(t *testing.T) {
	e := records.Epoch{Number: 9, LaunchesUnrecorded: true, Level: 1, Transfers: []protocol.LeadershipTransfer{{From: "node-1", To: "node-2", Epoch: 8, At: wallTime, ReachableWorkers: map[string]int{"a": 1}}}}
	value := records.EncodeEpoch(e)
	if got, err := records.DecodeEpoch(value); err != nil || got.Number != 9 || got.Level != 1 || !got.LaunchesUnrecorded || len(got.Transfers) != 1 {
		t.Errorf("%s is decoded as %+v, %v", value, got, err)
	}
	if !bytes.HasPrefix(value, []byte(`{"form":3,"level":1,"epoch":9`)) {
		t.Errorf("the epoch's record is %s", value)
	}
	for _, bad := range []string{`{"form":3,"epoch":9}`, `{"form":2,"level":1,"epoch":9}`, `{"form":4,"level":1,"epoch":9}`, `{"form":3,"level":1}`, `[]`, `"9"`} {
		if got, err := records.DecodeEpoch([]byte(bad)); err == nil {
			t.Errorf("%s is decoded as %+v", bad, got)
		}
	}
	types := records.EncodeMachineTypes(machineTypes(), 1)
	for name, b := range map[string][]byte{"epoch.json": value, "machine-types.json": types} {
		if stored, err := os.ReadFile("testdata/level1/" + name); err != nil || string(stored) != string(b)+"\n" {
			t.Errorf("%s: %v\nencoded as %s\nwant       %s", name, err, b, stored)
		}
	}
	if got, later, err := records.DecodeMachineTypes(types); err != nil || !later || !bytes.Equal(protocol.AppendMachineTypes(nil, got), protocol.AppendMachineTypes(nil, machineTypes())) {
		t.Errorf("%s is decoded as %v, later form %v: %v", types, got, later, err)
	}
	if got, err := protocol.ParseMachineTypes(types); err == nil {
		t.Errorf("the rule of the version in production decodes machine types of the later form as %v", got)
	}
	for _, bad := range []string{`{"form":4,"types":{"flavors":[]}}`, `{"form":3}`, `{"form":3,"types":{}}`} {
		if got, _, err := records.DecodeMachineTypes([]byte(bad)); err == nil {
			t.Errorf("%s is decoded as %v", bad, got)
		}
	}
}

// Tests the messages about levels, which only versions with levels exchange.
func TestMessages(t *testing.T) {
	for text, m := range map[string]*protocol.PeerMessage{
		"\x00\x00\x00\x0e\x01\x0a\x00\x06node-1\x00\x00\x00\x00":                                                   {Kind: protocol.PeerFeatureRequest, From: "node-1"},
		"\x00\x00\x00\x16\x01\x0b\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x00": {Kind: protocol.PeerFeatureRange, MinLevel: 1, MaxLevel: 2},
	} {
		b := protocol.AppendPeer(nil, m)
		frame, _, err := protocol.SplitPeer([]byte(text))
		if err != nil || string(b) != text {
			t.Errorf("encoded as %q, %v", b, err)
			continue
		}
		if got, err := protocol.ParsePeer(frame); err != nil || !bytes.Equal(protocol.AppendPeer(nil, got), b) {
			t.Errorf("%q is decoded as %+v, %v", text, got, err)
		}
	}
	bad := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerFeatureRange, MinLevel: 2, MaxLevel: 1})
	if m, err := protocol.ParsePeer(bad[4:]); err == nil {
		t.Errorf("an invalid range is decoded as %+v", m)
	}
}

// Records of levels are decoded as they were encoded, and malformed records are refused.
func TestRecords(t *testing.T) {
	entry := featuregate.Entry{Controller: `node-"1"`, Levels: featuregate.Range{Low: 0, High: 1}, Build: "0.2.0"}
	value := featuregate.EncodeEntry(entry)
	if got, err := featuregate.DecodeEntry(value); err != nil || got != entry {
		t.Errorf("%s is decoded as %+v, %v", value, got, err)
	}
	if l, err := featuregate.DecodeLevel(featuregate.EncodeLevel(3)); err != nil || l != 3 {
		t.Errorf("level %d, %v", l, err)
	}
	for _, bad := range []string{`{`, `[]`, `{"form":2,"level":1}`, `{"form":1,"level":0}`, `{"form":1,"level":-1}`, `{"form":1,"level":"1"}`, `{"form":1}`} {
		if l, err := featuregate.DecodeLevel([]byte(bad)); err == nil {
			t.Errorf("%s is decoded as level %d", bad, l)
		}
	}
	for _, bad := range []string{`{`, `{"form":2,"node":"a","low":0,"high":1}`, `{"form":1,"node":"","low":0,"high":1}`, `{"form":1,"node":"a","low":2,"high":1}`, `{"form":1,"node":"a","high":1}`} {
		if e, err := featuregate.DecodeEntry([]byte(bad)); err == nil {
			t.Errorf("%s is decoded as %+v", bad, e)
		}
	}
}
