package protocol

import (
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fastjson"

	"mapleslip/internal/strictjson"
	"mapleslip/internal/worktest"
)

// unusualTexts are texts that a quoting function may get wrong.
var unusualTexts = []string{
	"", "plain", "\x00", "\a\b\v\x1b\x1f", "\x7f\"", "\U000e0001\"", `back\slash`, "é 山 \U0001f600", "</script>\u2028\u2029", "\ufffd", "\ufeff", `\ud800`,
}

// quotedAndRead returns a text as it is read from the JSON string that is written for it.
func quotedAndRead(t *testing.T, text string) string {
	t.Helper()
	quoted := AppendQuoted(nil, text)
	if err := strictjson.Check(quoted); err != nil {
		t.Fatalf("%q is written as %q: %v", text, quoted, err)
	}
	var p fastjson.Parser
	v, err := ParseObject(&p, append(append([]byte(`{"a":`), quoted...), '}'))
	if err != nil {
		t.Fatalf("%q is written as %q: %v", text, quoted, err)
	}
	return textOf(v.Get("a"))
}

// Each text is written as JSON in UTF-8 and is the same when it is read.
func TestQuotedTextReadsBack(t *testing.T) {
	texts := append([]string(nil), unusualTexts...)
	var all strings.Builder
	for c := rune(0); c <= utf8.MaxRune; c++ {
		if utf8.ValidRune(c) {
			all.WriteRune(c)
			all.WriteByte('"')
		}
		if all.Len() > 1<<12 || c == utf8.MaxRune {
			texts = append(texts, all.String())
			all.Reset()
		}
	}
	for _, text := range texts {
		if got := quotedAndRead(t, text); got != text {
			t.Errorf("%q is read as %q", text, got)
		}
	}
	if got := quotedAndRead(t, "caf\xe9"); got != "caf\ufffd" {
		t.Errorf("a text that is not UTF-8 is read as %q", got)
	}
}

// Names without anything to escape are written as before, since records and digests contain them.
func TestQuotedPlainNamesAreUnchanged(t *testing.T) {
	for _, text := range []string{"req-000412/3", "n-000231", "10.1.0.232:9000", "himal members", "a<b>&c", "žluťoučký"} {
		var a fastjson.Arena
		if got, want := string(AppendQuoted(nil, text)), string(a.NewString(text).MarshalTo(nil)); got != want {
			t.Errorf("%s, before %s", got, want)
		}
	}
}

// Every message with names that others chose is JSON in UTF-8.
func TestMessagesOfAnyTextAreJSON(t *testing.T) {
	for _, text := range append([]string{"caf\xe9", "\xff\xfe"}, unusualTexts...) {
		spec := &JobSpec{Ref: text, Class: text, Team: text, Image: text, Zone: text, MachineTypes: []string{text}, DependsOn: []string{text}}
		name := AttemptName{TaskName{text, 1}, 2}
		types := []*MachineType{{Name: text, Zones: []string{text}}}
		messages := map[string][]byte{
			"job":         AppendJob(nil, spec),
			"transaction": AppendTxn(nil, []Condition{{text, 1}}, []Change{{Key: text, Value: AppendJob(nil, spec)}, {Key: text}}),
			"commands":    AppendCommands(nil, 1, 1, []Command{{VerbLaunch, name, 0}, {VerbStop, name, Second}}),
			"types":       AppendMachineTypes(nil, types),
			"names":       AppendMachineNames(nil, []string{text}),
			"status":      WaitingJobStatusBody(text, []string{text}),
			"error":       ErrorBody(text),
			"leader":      LeaderBody(text),
			"roll-out":    AppendRollout(nil, &RolloutSpec{ID: text, Service: text, Job: spec, AdoptJobs: []string{text}, Check: HealthCheck{AddressTemplate: text, Path: text}}),
		}
		for what, message := range messages {
			if err := strictjson.Check(message); err != nil {
				t.Errorf("%s with %q: %v\n%q", what, text, err, message)
			}
		}
	}
}

// A body that is not UTF-8 is refused, and names the job that earlier versions read from it.
func TestParseJobThatIsNotUTF8(t *testing.T) {
	for _, change := range [][2]string{
		{`"img-07"`, "\"img-\xe9\""}, {`"dueS":900.0`, "\"dueS\":900.0,\"x\xff\":1"}, {`["g8"]`, "[\"\xed\xa0\x80\"]"},
	} {
		body := strings.Replace(goodJob, change[0], change[1], 1)
		s, err := ParseJob([]byte(body))
		if !errors.Is(err, ErrNotUTF8) || s == nil || s.Ref != "req-000412" || !s.NotUTF8 {
			t.Errorf("%q: %+v, %v", change[1], s, err)
		}
	}
	body := strings.Replace(goodJob, `"shards":16`, "\"shards\":0,\"x\":\"\xff\"", 1)
	if _, err := ParseJob([]byte(body)); err == nil || errors.Is(err, ErrNotUTF8) {
		t.Errorf("a job that no version accepts: %v", err)
	}
	for name, parse := range map[string]func([]byte) error{
		"heartbeat": func(b []byte) error { _, err := ParseHeartbeat(b); return err },
		"types":     func(b []byte) error { _, err := ParseMachineTypes(b); return err },
		"hosts":     func(b []byte) error { _, _, err := ParseMachines(b); return err },
		"roll-out":  func(b []byte) error { _, err := ParseRollout(b); return err },
	} {
		if err := parse([]byte("{\"x\":\"\xe9\"}")); !errors.Is(err, ErrNotUTF8) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Half a pair of escaped surrogates is U+FFFD wherever it is; pairs and escaped backslashes stay.
func TestHalfAPairOfSurrogates(t *testing.T) {
	for in, want := range map[string]string{
		`\ud800`: "\ufffd", `\uDFFF`: "\ufffd", `\ud83d\ude00`: "😀", `\ude00\ud83d`: "\ufffd\ufffd", `\ud800\ud83d\ude00`: "\ufffd😀",
		`\\ud800`: `\ud800`, `\ud800\n`: "\ufffd\n", `\ud800\u0041`: "\ufffdA", `a\"\ud8001`: "a\"\ufffd1",
	} {
		body := []byte(`{"x":"` + in + `"}`)
		var p fastjson.Parser
		v, err := ParseObject(&p, body)
		if err != nil {
			t.Errorf("%s: %v", in, err)
			continue
		}
		if got := textOf(v.Get("x")); got != want || string(body) != `{"x":"`+in+`"}` {
			t.Errorf("%s is read as %q, want %q; the body is %s", in, got, want, body)
		}
	}
}

// What is read from a heartbeat, from the cloud and from the state service holds only UTF-8, and
// no message makes a parser panic.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(`{"host":"n-1","addr":"10.0.0.1:9000","flavor":"g8","region":"a","reclaimable":true,"tenure":1,"tick":88,"epoch":41,"reclaimInS":null,"shards":[{"shard":"req-000412/3","try":2,"phase":"exited","exitReason":"done"}]}`))
	f.Add([]byte(`{"flavors":[{"label":"g8","cores":96,"gpus":8,"memoryGb":768,"cacheGb":200,"fetchGbPerS":1.0,"hourly":12.0,"spotPrice":4.5,"readyS":45,"regions":["a","\ud800"]}]}`))
	f.Add([]byte(`{"hosts":[{"ref":"n-1","addr":"10.1.0.2:9000","flavor":"g8","region":"a","reclaimable":true,"phase":"running","heldS":61.5}],"truncated":false}`))
	f.Add([]byte(`{"hosts":["n-1"]}`))
	f.Add([]byte(`{"generation":433,"news":[{"set":"c/9","data":{"a":"\u0000"},"stamp":433},{"drop":"c/d","stamp":432}]}`))
	f.Add([]byte(`{"path":"a/b","data":{},"stamp":412,"hold":7}`))
	f.Add([]byte(`{"failed":["a/b"],"generation":431}`))
	worktest.AddSeeds(f, "hosts", "shards", "news")
	f.Fuzz(func(t *testing.T, in []byte) {
		var texts []string
		worktest.CheckFuzzed(t, in, func(b []byte) { texts = answerTexts(b) })
		for _, text := range texts {
			if !utf8.ValidString(text) {
				t.Errorf("%q holds %q", in, text)
			}
		}
		if types, err := ParseMachineTypes(in); err == nil {
			written := AppendMachineTypes(nil, types)
			if err := strictjson.Check(written); err != nil {
				t.Fatal(err)
			}
			reparsed, err := ParseMachineTypes(written)
			if err != nil {
				t.Fatalf("%v: %s", err, written)
			}
			if d := cmp.Diff(AppendMachineTypes(nil, reparsed), written); d != "" {
				t.Error(d)
			}
		}
	})
}

// answerTexts parses a message as each kind of answer and heartbeat, and returns the texts in it.
func answerTexts(in []byte) (texts []string) {
	if h, err := ParseHeartbeat(in); err == nil {
		texts = append(texts, h.Host, h.Addr, h.Type, h.Zone)
		for _, task := range h.Tasks {
			texts = append(texts, task.Job, string(task.Reason))
		}
	}
	if hosts, _, err := ParseMachines(in); err == nil {
		for _, h := range hosts {
			texts = append(texts, h.Name, h.Addr, h.Type, h.Zone)
		}
	}
	if names, err := ParseMachineNames(in); err == nil {
		texts = append(texts, names...)
	}
	if r, err := ParseTxn(in); err == nil {
		texts = append(texts, r.Conflicts...)
	}
	if e, err := ParseEntry(in); err == nil {
		texts = append(texts, e.Key)
	}
	entries, _, err := ParseWatch(in)
	if err == nil {
		for _, e := range entries {
			texts = append(texts, e.Key)
		}
	}
	_, _ = ParseLease(in)
	_, _ = ParseReachability(in)
	_, _ = ParseHandoverState(in)
	return texts
}
