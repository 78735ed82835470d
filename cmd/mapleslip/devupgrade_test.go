package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Checks that --roll-from rejects a path that is not a mapleslip program with a one-line error.
func TestRollFromChecksItsProgram(t *testing.T) {
	dir := t.TempDir()
	writeFile := func(name, text string, mode os.FileMode) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), mode); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, c := range []struct{ path, want string }{
		{filepath.Join(dir, "absent"), "no program at"},
		{"", "no program at"},
		{dir, "is not a program"},
		{writeFile("plain", "text", 0o600), "is not a program"},
		{writeFile("text", "text", 0o700), "is not a program of mapleslip: fork/exec"},
		{writeFile("fails", "#!/bin/sh\nexit 3\n", 0o700), "is not a program of mapleslip: exit status 3"},
		{writeFile("other", "#!/bin/sh\necho other version 1\n", 0o700), "is not a program of mapleslip"},
	} {
		cmd := rootCommand()
		cmd.SetArgs([]string{"dev", "--roll-from", c.path})
		cmd.SetOut(io.Discard)
		err := cmd.ExecuteContext(t.Context())
		if err == nil || !strings.HasPrefix(err.Error(), "--roll-from: ") || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", c.path, err, c.want)
		}
	}
	earlier := writeFile("earlier", "#!/bin/sh\necho mapleslip version 0.0.1\n", 0o700)
	t.Chdir(dir)
	if got, err := earlierProgram(t.Context(), "earlier"); got != earlier || err != nil {
		t.Errorf("%q %v, want %q", got, err, earlier)
	}
}

// Checks that --demo and --roll-from exclude each other.
func TestRollFromOrDemo(t *testing.T) {
	cmd := rootCommand()
	cmd.SetArgs([]string{"dev", "--demo", "--roll-from", "earlier"})
	if err := cmd.ExecuteContext(t.Context()); err == nil || !strings.Contains(err.Error(), "[demo roll-from]") {
		t.Error(err)
	}
}
