package featuregate_test

import (
	"os"
	"path/filepath"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// This file needs no other file of this package. Copied with samples_test.go into the source tree
// of the version in production, and run with LEVEL1 set to testdata/level1, it shows that the
// decoders of that version refuse what is written from level 1 on. CI does not run it, because it
// has no other source tree:
//
//	LEVEL1=$PWD/internal/featuregate/testdata/level1 go test -run TestProductionRefuses FOLDER/internal/featuregate

func TestProductionRefuses(t *testing.T) {
	folder := os.Getenv("LEVEL1")
	if folder == "" {
		return
	}
	for name, decode := range map[string]func([]byte) error{
		"epoch.json":         func(b []byte) error { _, err := records.DecodeEpoch(b); return err },
		"machine-types.json": func(b []byte) error { _, err := protocol.ParseMachineTypes(b); return err },
	} {
		b, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		err = decode(b)
		if err == nil {
			t.Errorf("%s is decoded: %s", name, b)
		}
		t.Logf("%s: %v", name, err)
	}
	// A leader's request for the levels: the version in production can't parse it and responds with
	// status 0.
	request := "\x01\x0a\x00\x06node-1\x00\x00\x00\x00"
	if m, err := protocol.ParsePeer([]byte(request)); err == nil {
		t.Errorf("the request for the levels is decoded as %+v", m)
	}
}
