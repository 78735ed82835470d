package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// startLeader starts an HTTP server that responds like a leader and stores one configuration.
func startLeader(t *testing.T) *httptest.Server {
	h := &configuration.Head{}
	b := &configuration.Baseline{Zones: []string{"a"}, Teams: map[string]protocol.Team{"red": {Limit: protocol.Resources{GPU: 8000}}}, ValueBytes: 8192}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/api/config", "/api/config/rollback":
			if r.Method == "GET" {
				fmt.Fprintf(w, `{"revision":%d,"document":%s}`, h.Revision, configuration.EncodeDocument(h.Document))
				return
			}
			q, err := configuration.ParseRequest(body, r.URL.Path != "/api/config")
			if err != nil || q.Expected != h.Revision {
				http.Error(w, string(protocol.ErrorBody(fmt.Sprint("expected: ", err))), http.StatusConflict)
				return
			}
			changes := q.Changes(h.Document)
			if q.Rollback {
				d, _ := h.DocumentAt(q.To, h.Entries)
				changes = configuration.Diff(h.Document, d)
			}
			next, err := h.NextRevision(b, configuration.Entry{Who: q.Who, Why: q.Why, ID: q.ID, Changes: changes}, 3)
			if err != nil {
				http.Error(w, string(protocol.ErrorBody(err.Error())), http.StatusUnprocessableEntity)
				return
			}
			h = next.Head
			fmt.Fprintf(w, `{"revision":%d,"changed":true}`, h.Revision)
		case "/api/config/history":
			fmt.Fprintf(w, `{"history":%s,"more":false}`, configuration.AppendEntries(nil, h.Entries))
		case "/api/config/wait":
			fmt.Fprintf(w, `{"revision":%s,"in_force":true}`, r.URL.Query().Get("revision"))
		case "/api/config/status":
			fmt.Fprintf(w, `{"revision":%d,"in_force":1,"damaged":false,"controllers":[{"name":"n0","leads":true,"revision":1},{"name":"n1","leads":false}]}`, h.Revision)
		}
	}))
	t.Cleanup(s.Close)
	return s
}

// Checks that each command sends the request that its arguments specify, and that the error of a
// rejected change names the key and the line of the file.
func TestConfigCommands(t *testing.T) {
	server := strings.TrimPrefix(startLeader(t).URL, "http://")
	writeFile := func(text string) string {
		path := filepath.Join(t.TempDir(), "change.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := writeFile("unset = [\"log/level\"]\n[team.red]\ngpus_max = 4\n[drain.zone]\na = \"stop\"\n")
	for _, c := range []struct{ args, want string }{
		{"get", "revision 0\n"},
		{"set log/level=debug --who ann --why looking --wait", "revision 1\n"},
		{"get log/level", "\"debug\"\n"},
		{"get team/red/gpus", "! team/red/gpus is not set in revision 1"},
		{"diff " + good, "  drain/zone/a: unset -> \"stop\"\n  log/level: \"debug\" -> unset\n  team/red/gpus_max: unset -> 4\n"},
		{"apply " + good + " --who ann", "revision 2\n"},
		{"apply " + good + " --who ann --expect 1", "! expected"},
		{"apply " + writeFile("[team.red]\n\ngpus_max = 9\n") + " --who ann", "! line 3: team/red/gpus_max: must be above 0 and at most 8"},
		{"apply " + writeFile("[team.red]\ngpus_max = \n") + " --who ann", "! line 2"},
		{"set team/red", "! \"team/red\" is not KEY=VALUE"},
		{"set log/level=debug log/level=info", "! log/level: is there twice"},
		{"rollback 1 --who bob --why back", "revision 3\n"},
		{"rollback one", "! \"one\" is no revision"},
		{"get --json", `{"revision":3,"document":{"log/level":"debug"}}` + "\n"},
		{"history", "revision 3, 1970-01-01T00:00:00Z, bob: back\n  drain/zone/a: \"stop\" -> unset\n"},
		{"status", "revision 3, in force everywhere: 1\nn0: revision 1, leads\nn1: not heard by this leader\n"},
		{"wait", "revision 3 is in force everywhere\n"},
		{"wait x", "! x is no revision"},
	} {
		cmd := rootCommand()
		var out, errs bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetErr(&errs)
		cmd.SetArgs(append([]string{"config", "--server", server}, strings.Fields(c.args)...))
		got := ""
		if err := cmd.Execute(); err != nil {
			got = "! " + err.Error()
		}
		got += out.String()
		if want, failed := strings.CutPrefix(c.want, "! "); !strings.Contains(got, want) || failed != strings.HasPrefix(got, "! ") {
			t.Errorf("%s:\n%s", c.args, got)
		}
	}
}
