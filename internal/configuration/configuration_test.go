package configuration

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
	"mapleslip/internal/strictjson"
	"mapleslip/internal/worktest"
)

func testBaseline() *Baseline {
	return &Baseline{Zones: []string{"a", "b"}, Operator: protocol.DefaultOperatorSettings(), ValueBytes: 2048, Teams: map[string]protocol.Team{
		"red":  {Name: "red", Guarantee: protocol.Resources{GPU: 4000}, Limit: protocol.Resources{GPU: 8000}},
		"blue": {Name: "blue", Limit: protocol.Resources{CPU: 16000}},
	}}
}

// An invalid value is refused with an error that names its key and the reason. Valid values take
// effect in the settings.
func TestKeys(t *testing.T) {
	b := testBaseline()
	for assignment, want := range map[string]string{
		"team/red/gpus_max=9": "team/red/gpus_max: must be above 0 and at most 8, which is the platform's limit",
		// 0 means no limit.
		"team/red/gpus_max=0":             "at most 8, which is the platform's limit",
		"team/red/gpus_max=-1":            "must be a number from 0",
		"team/red/gpus_max=many":          "must be a number",
		"team/red/gpus=9":                 "a guarantee of 9 is above the team's limit of 8",
		"team/red/gpus_max=3":             "team/red/gpus: a guarantee of 4 is above the team's limit of 3",
		"team/green/gpus=1":               "the platform's file has no team green",
		"team/red/colour=1":               "unknown key",
		"team/red/retired=yes":            "must be true or false",
		"team/red/excess=kill":            "must be one of finish, stop",
		"drain/zone/c=finish":             "unknown zone: the platform's file has a, b",
		"drain/zone/a=now":                "must be one of finish, stop",
		"drain/net/10.1.4.7/24=finish":    "must be a range of addresses",
		"drain/rack/7=finish":             "unknown key",
		"rent/big/a=1.5":                  "must be a whole number",
		"rent/big/q=1":                    "unknown zone",
		"operator/round_gap_s=11":         "must be a number from 0.01 to 10",
		"operator/leader_lease_s=3":       "can't be changed while the service runs: who holds the lease counts on its length",
		"operator/answer_on_s=3":          "can't be changed while the service runs",
		"facts/workers/lease_s=3":         "can't be changed while the service runs: it is the platform's to say",
		"services/state=10.0.0.1:1":       "can't be changed while the service runs",
		"log/level=loud":                  "must be one of error, info, debug",
		"log/colour=1":                    "unknown key",
		"team/red/gpus_max=-":             "is not set",
		"drain/machine/" + longText + "=": "",
	} {
		key, value, err := ParseSet(assignment)
		if err == nil {
			err = Validate(b, nil, []Change{{Key: key, New: value}})
		}
		var p *protocol.KeyError
		if err == nil || !strings.Contains(err.Error(), want) || errors.As(err, &p) && p.Key == "" {
			t.Errorf("%s: %v", assignment, err)
		}
	}
	d := Document{}
	for _, assignment := range []string{
		"team/red/gpus_max=5.5", "team/red/cpus_max=3", "team/blue/cpus=2", "team/blue/retired=true", "team/red/excess=stop", "drain/zone/a=finish",
		"drain/machine/n-000001=stop", "drain/net/10.1.4.0/24=stop", "rent/big/b=0", "operator/warm_spare=0", "operator/idle_return_s=90", "log/level=debug",
	} {
		key, value, err := ParseSet(assignment)
		if err == nil {
			err = Validate(b, d, []Change{{Key: key, New: value}})
		}
		if err != nil {
			t.Errorf("%s: %v", assignment, err)
		}
		d[key] = value
	}
	s := Resolve(b, d)
	red, blue := s.Teams["red"], s.Teams["blue"]
	if red.Limit != (protocol.Resources{CPU: 3000, GPU: 5500}) || !red.StopExcess || red.Retired || !blue.Retired || blue.Guarantee.CPU != 2000 || blue.Limit.CPU != 16000 {
		t.Errorf("%+v", s.Teams)
	}
	if ceiling, ok := s.Ceilings[MachineKind{"big", "b"}]; !ok || ceiling != 0 || s.LogLevel != "debug" || s.Operator.WarmSpare != 0 || s.Operator.IdleScaleInDelay != 90*protocol.Second || s.Operator.MinCycleInterval != b.Operator.MinCycleInterval {
		t.Errorf("%+v", s)
	}
	for _, c := range []struct {
		machine, zone, addr string
		want                Drain
	}{{"n-000001", "a", "10.9.0.1:9000", DrainStop}, {"n-000002", "a", "", DrainFinish}, {"n-000003", "b", "10.1.4.9:9000", DrainStop}, {"n-000003", "b", "10.1.5.9:9000", NotDrained}} {
		if got := s.DrainOf(c.machine, c.zone, c.addr); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

var longText = strings.Repeat("n", 200)

// Changes and a restart with another platform's file must not lead to a limit above the one in the
// file.
func TestNoLimitAboveTheFile(t *testing.T) {
	amount := rapid.SampledFrom([]int64{0, 1, 500, 4000, 8000, 9000, 1e9})
	rapid.Check(t, func(t *rapid.T) {
		b := testBaseline()
		d := Document{}
		for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
			key := rapid.SampledFrom([]string{"team/red/gpus_max", "team/red/cpus_max", "team/blue/cpus_max", "team/blue/gpus_max"}).Draw(t, "key")
			c := []Change{{key, d[key], fmt.Sprint(float64(amount.Draw(t, "to")) / 1000)}}
			if rapid.IntRange(0, 3).Draw(t, "out") == 0 {
				c[0].New = ""
			}
			if Validate(b, d, c) == nil {
				d = d.apply(c)
			}
			if i%2 == 1 { // the controller restarts with another file
				for name, team := range b.Teams {
					team.Limit = protocol.Resources{CPU: amount.Draw(t, "cpus"), GPU: amount.Draw(t, "gpus")}
					b.Teams[name] = team
				}
			}
			for name, team := range Resolve(b, d).Teams {
				fileLimit := b.Teams[name].Limit
				if fileLimit.CPU > 0 && (team.Limit.CPU == 0 || team.Limit.CPU > fileLimit.CPU) || fileLimit.GPU > 0 && (team.Limit.GPU == 0 || team.Limit.GPU > fileLimit.GPU) {
					t.Fatalf("%s: limit %v is above %v of the file with document %v", name, team.Limit, fileLimit, d)
				}
			}
		}
	})
}

// Revisions have no gap across the head and the pages, no record is larger than a value may be,
// every earlier revision that is kept can be restored, and most revisions take one write.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := testBaseline()
		pages := rapid.IntRange(1, 4).Draw(t, "pages")
		storedPages := make(map[string][]byte)
		h := &Head{}
		documents := []Document{{}}
		writes := 0
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			r := Request{Set: make(map[string]string)}
			for range rapid.IntRange(1, 4).Draw(t, "keys") {
				r.Set[fmt.Sprintf("drain/machine/n-%06d", rapid.IntRange(1, 12).Draw(t, "machine"))] = rapid.SampledFrom([]string{`"finish"`, `"stop"`, ""}).Draw(t, "drain")
			}
			changes := r.Changes(h.Document)
			if len(changes) == 0 {
				continue
			}
			w, err := h.NextRevision(b, Entry{At: 1, Who: "ann", Why: rapid.SampledFrom([]string{"", "maintenance of the rack", strings.Repeat("long ", 20)}).Draw(t, "why"), ID: fmt.Sprint(len(documents)), Changes: changes}, pages)
			if err != nil {
				t.Fatal(err)
			}
			value := w.Head.Encode()
			if len(value) > b.ValueBytes || len(w.PageValue) > b.ValueBytes {
				t.Fatalf("head of %d and page of %d bytes", len(value), len(w.PageValue))
			}
			writes++
			if w.Page != "" {
				storedPages[w.Page] = w.PageValue
				writes++
			}
			delete(storedPages, w.DroppedPage)
			if h, err = DecodeHead(value); err != nil || !reflect.DeepEqual(h, w.Head) {
				t.Fatalf("decoding: %v\ngot  %+v\nwant %+v", err, h, w.Head)
			}
			documents = append(documents, h.Document)
		}
		if len(storedPages) > pages {
			t.Fatalf("%d pages are kept", len(storedPages))
		}
		var history []Entry
		for n := h.FirstPage; n > 0 && n <= h.LastPage; n++ {
			list, err := DecodePage(storedPages[PageKey(n)])
			if err != nil {
				t.Fatal(n, err)
			}
			history = append(history, list...)
		}
		history = append(history, h.Entries...)
		if len(history) == 0 {
			return
		}
		for i := range documents {
			d, err := h.DocumentAt(uint64(i), history)
			// The document before the oldest entry can be restored too.
			oldest := int(history[0].Revision) - 1
			if i == 0 || i >= oldest {
				if err != nil || len(Diff(d, documents[i])) > 0 {
					t.Fatalf("%d: %v\n%v\n%v", i, err, d, documents[i])
				}
			} else if err == nil {
				t.Fatalf("revision %d was restored, but the history starts after %d", i, oldest)
			}
		}
		if _, err := h.DocumentAt(uint64(len(documents)), history); err == nil {
			t.Fatal("restored a revision that does not exist")
		}
		if maxWrites := len(documents) + len(documents)/3 + 1; writes > maxWrites {
			t.Fatalf("%d writes for %d revisions", writes, len(documents)-1)
		}
	})
}

// A record that can't be read is replaced by one with a revision that was never used.
func TestRepair(t *testing.T) {
	b := testBaseline()
	w, err := Repair(b, Document{"drain/zone/a": `"finish"`}, Entry{ID: "x", Changes: []Change{{"log/level", "", `"info"`}}}, 40)
	if err != nil || w.Head.Revision != 41 || len(w.Head.Document) != 2 {
		t.Fatalf("%+v %v", w, err)
	}
	h, err := DecodeHead(w.Head.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.DocumentAt(40, h.Entries); err == nil {
		t.Error("restored a revision from before the repair")
	}
	if d, err := h.DocumentAt(0, h.Entries); err != nil || len(d) != 0 {
		t.Error("revision 0, the files, can't be restored")
	}
}

// A request is parsed completely, or refused with an error that names the invalid key.
func TestRequests(t *testing.T) {
	for body, want := range map[string]string{
		`[]`:                                "not an object",
		`{"expected":1`:                     "not JSON",
		`{"expected":1}`:                    "missing",
		`{"expected":1,"who":"a","id":"x"}`: "set: missing",
		`{"expected":-1,"who":"a","id":"x","set":{}}`:                                                           "expected: must be a revision's number",
		`{"expected":1,"who":"","id":"x","set":{}}`:                                                             "who: missing",
		`{"expected":1,"who":"a\nb","id":"x","set":{}}`:                                                         "who: must be a text",
		`{"expected":1,"who":"a","id":"x","set":{},"force":true}`:                                               "force: unknown key",
		`{"expected":1,"expected":2,"who":"a","id":"x","set":{}}`:                                               "expected: is there twice",
		`{"expected":1,"who":"a","id":"x","set":{"log/level":"info","log":{"level":"debug"}}}`:                  "log/level: is there twice",
		`{"expected":1,"who":"a","id":"x","set":{"log":{}}}`:                                                    "log: has no keys",
		`{"expected":1,"who":"a","id":"x","set":{"log/level":["info"]}}`:                                        "log/level: must be",
		`{"expected":1,"who":"a","id":"x","set":7}`:                                                             "set: must be an object",
		`{"expected":1,"who":"a","id":"x","mend":1,"set":{}}`:                                                   "mend: must be",
		`{"expected":1,"who":"a","id":"x","to":1,"set":{}}`:                                                     "to: unknown key",
		`{"expected":1,"who":"a","why":"` + strings.Repeat("y", 300) + `","id":"x","set":{"log/level":"info"}}`: "why: must be a text of at most 200 bytes",
	} {
		if r, err := ParseRequest([]byte(body), false); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %+v %v", body, r, err)
		}
	}
	r := &Request{Expected: 7, Who: "ann", Why: "why not", ID: "x", Set: map[string]string{"log/level": `"info"`, "team/red/gpus_max": "4.5", "team/red/retired": "true", "drain/zone/a": ""}}
	got, err := ParseRequest(AppendRequest(nil, r), false)
	if err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("%+v %v", got, err)
	}
	rollback := &Request{Expected: 7, Who: "ann", ID: "x", Rollback: true, To: 3}
	if got, err := ParseRequest(AppendRequest(nil, rollback), true); err != nil || !reflect.DeepEqual(got, rollback) {
		t.Errorf("%+v %v", got, err)
	}
}

// A TOML and a JSON file with the same content give the same changes. Errors name the key, and Line
// finds the line of a key.
func TestFiles(t *testing.T) {
	text := "unset = [\"log/level\"]\n[team.red]\ngpus_max = 4.50 # half\nretired = true\n[drain]\nmachine.\"n-000001\" = \"stop\"\n[drain.net]\n\"10.1.4.0/24\" = 'finish'\n"
	want := map[string]string{"log/level": "", "team/red/gpus_max": "4.5", "team/red/retired": "true", "drain/machine/n-000001": `"stop"`, "drain/net/10.1.4.0/24": `"finish"`}
	if got, err := ParseFile([]byte(text)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v %v", got, err)
	}
	json := ` {"log/level":null,"team":{"red":{"gpus_max":4.5,"retired":true}},"drain":{"machine":{"n-000001":"stop"},"net/10.1.4.0/24":"finish"}}`
	if got, err := ParseFile([]byte(json)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v %v", got, err)
	}
	for key, line := range map[string]int{"team/red/gpus_max": 3, "drain/machine/n-000001": 6, "drain/net/10.1.4.0/24": 8, "team/red/gpus": 0} {
		if got := Line([]byte(text), key); got != line {
			t.Errorf("%s was found in line %d", key, got)
		}
	}
	for text, want := range map[string]string{
		"[team.red]\ngpus_max = [4]":        "team/red/gpus_max: must be",
		"[team.red]\ngpus_max = nan":        "team/red/gpus_max: must be a finite number",
		"unset = 3":                         "unset: must be a list",
		"unset = [\"a/b\"]\n\"a/b\" = 1":    "a/b: is there twice",
		"[team.red]\n[log]":                 "has no keys",
		"{\"log\":":                         "not JSON",
		"[team.red]\ngpus_max = 1979-05-27": "must be",
		"gpus_max = ":                       "",
	} {
		if got, err := ParseFile([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v %v", text, got, err)
		}
	}
	if _, err := ParseOptions([]byte("history_pages = 0")); err == nil {
		t.Error("history_pages = 0 was accepted")
	}
}

// Malformed records are refused. A record that was decoded is the same after it is encoded and
// decoded again.
func FuzzRecords(f *testing.F) {
	h := &Head{}
	w, err := h.NextRevision(testBaseline(), Entry{Who: "ann", ID: "x", Changes: []Change{{"log/level", "", `"info"`}, {"team/red/gpus_max", "", "4.5"}}}, 3)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(w.Head.Encode())
	f.Add(encodePage(w.Head.Entries))
	f.Add(EncodeDocument(w.Head.Document))
	f.Add(AppendRequest(nil, &Request{Who: "ann", ID: "x", Set: w.Head.Document}))
	f.Add([]byte(`{"form":2,"revision":9}`))
	worktest.AddSeeds(f, "set", "document")
	f.Fuzz(func(t *testing.T, in []byte) {
		worktest.CheckFuzzed(t, in, func(b []byte) { _, _ = ParseRequest(b, false) })
		if h, err := DecodeHead(in); err == nil {
			if err := strictjson.Check(h.Encode()); err != nil {
				t.Errorf("%v: %q", err, h.Encode())
			}
			if reread, err := DecodeHead(h.Encode()); err != nil || !reflect.DeepEqual(reread, h) {
				t.Errorf("%v\n%+v\n%+v", err, h, reread)
			}
		}
		if list, err := DecodePage(in); err == nil {
			if reread, err := DecodePage(encodePage(list)); err != nil || !reflect.DeepEqual(reread, list) {
				t.Errorf("%v\n%+v\n%+v", err, list, reread)
			}
		}
		if d, err := DecodeDocument(in); err == nil {
			Resolve(testBaseline(), d)
		}
		if r, err := ParseRequest(in, false); err == nil {
			_ = Validate(testBaseline(), nil, r.Changes(nil))
		}
		_, _ = ParseFile(in)
	})
}
