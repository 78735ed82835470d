package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A program to upgrade from is refused in one line unless it is one of mapleslip.
func TestRollFromChecksItsProgram(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string, mode os.FileMode) string {
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
		{file("plain", "text", 0o600), "is not a program"},
		{file("text", "text", 0o700), "is not a program of mapleslip: fork/exec"},
		{file("fails", "#!/bin/sh\nexit 3\n", 0o700), "is not a program of mapleslip: exit status 3"},
		{file("other", "#!/bin/sh\necho other version 1\n", 0o700), "is not a program of mapleslip"},
	} {
		cmd := command()
		cmd.SetArgs([]string{"dev", "--roll-from", c.path})
		cmd.SetOut(io.Discard)
		err := cmd.ExecuteContext(t.Context())
		if err == nil || !strings.HasPrefix(err.Error(), "--roll-from: ") || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", c.path, err, c.want)
		}
	}
	earlier := file("earlier", "#!/bin/sh\necho mapleslip version 0.0.1\n", 0o700)
	t.Chdir(dir)
	if got, err := earlierProgram(t.Context(), "earlier"); got != earlier || err != nil {
		t.Errorf("%q %v, want %q", got, err, earlier)
	}
}

// An upgrade and the demonstration are not played at once.
func TestRollFromOrDemo(t *testing.T) {
	cmd := command()
	cmd.SetArgs([]string{"dev", "--demo", "--roll-from", "earlier"})
	if err := cmd.ExecuteContext(t.Context()); err == nil || !strings.Contains(err.Error(), "[demo roll-from]") {
		t.Error(err)
	}
}
