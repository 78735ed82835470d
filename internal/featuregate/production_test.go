package featuregate_test

import (
	"os"
	"path/filepath"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// This file, too, stands by itself. Put into the tree of the version in production beside
// samples_test.go, with LEVEL1 naming testdata/level1, it shows that that version's own
// readers refuse what is written from level 1 on; not part of CI, which has no other tree:
//
//	LEVEL1=$PWD/internal/featuregate/testdata/level1 go test -run TestProductionRefuses FOLDER/internal/featuregate

func TestProductionRefuses(t *testing.T) {
	folder := os.Getenv("LEVEL1")
	if folder == "" {
		return
	}
	for name, read := range map[string]func([]byte) error{
		"epoch.json":         func(b []byte) error { _, err := records.DecodeEpoch(b); return err },
		"machine-types.json": func(b []byte) error { _, err := protocol.ParseMachineTypes(b); return err },
	} {
		b, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		err = read(b)
		if err == nil {
			t.Errorf("%s is read: %s", name, b)
		}
		t.Logf("%s: %v", name, err)
	}
	// A leader's question for levels: what can't be read is answered with status 0.
	question := "\x01\x0a\x00\x06node-1\x00\x00\x00\x00"
	if m, err := protocol.ParsePeer([]byte(question)); err == nil {
		t.Errorf("the question for levels is read as %+v", m)
	}
}
