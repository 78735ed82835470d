package protocol

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"mapleslip/internal/worktest"
)

// acceptedByEarlierVersions reports whether versions before the limit of depth accepted a text. Theirs
// came from the parser, after a check without a limit.
func acceptedByEarlierVersions(text []byte) bool {
	if fastjson.ValidateBytes(text) != nil {
		return false
	}
	_, err := new(fastjson.Parser).ParseBytes(text)
	return err == nil
}

// A submission of an accepted job may never be refused, so each depth in an unknown member that earlier
// versions accepted is accepted, and no other.
func TestDepthIsThatOfEarlierVersions(t *testing.T) {
	for _, form := range []struct{ open, inner, end string }{
		{"[", "", "]"}, {"[", "1", "]"}, {"[", `"a"`, "]"}, {"[", "[],1", "]"}, {`{"a":`, "1", "}"}, {`{"a":`, "{}", "}"}, {`[{"a":`, "null", "}]"}, {" [ ", " ", " ] "},
	} {
		for depth := MaxDepth/2 - 5; depth <= MaxDepth+5; depth++ {
			value := strings.Repeat(form.open, depth) + form.inner + strings.Repeat(form.end, depth)
			body := []byte(strings.TrimSuffix(goodJob, "}") + `,"x":` + value + "}")
			_, err := ParseJob(body)
			if accepted := acceptedByEarlierVersions(body); (err == nil) != accepted {
				t.Errorf("depth %d of %s%s%s: %v, accepted by earlier versions: %v", depth, form.open, form.inner, form.end, err, accepted)
			}
			if err != nil && !errors.Is(err, ErrTooDeep) {
				t.Errorf("depth %d: %v", depth, err)
			}
		}
	}
}

// A record that nests as deeply as a message may is read from a page, an entry and a watch, whose own
// levels come on top of it, as far as earlier versions read it.
func TestDeepRecordHoldsUpNoPage(t *testing.T) {
	for _, depth := range []int{MaxDepth, 5 * MaxDepth} {
		record := strings.Repeat("[", depth) + strings.Repeat("]", depth)
		entry := fmt.Sprintf(`{"path":"a","data":%s,"stamp":1}`, record)
		if _, err := ParseEntry([]byte(entry)); err != nil {
			t.Errorf("entry at depth %d: %v", depth, err)
		}
		p, err := ParsePage([]byte(`{"generation":2,"entries":[` + entry + `,{"path":"b","data":1,"stamp":2}]}`))
		if err != nil || len(p.Entries) != 2 {
			t.Errorf("page at depth %d: %v", depth, err)
		}
	}
}

// The check before the parser accepts exactly what earlier versions accepted.
func FuzzSyntaxIsThatOfEarlierVersions(f *testing.F) {
	for _, text := range []string{`{"a":[1,-0.5e+3,true,false,null,"\ud800\n\u00E9"]}`, "\ufeff{}", "01", "1.", "-", "1e", "nul", `"\x"`, "\"\x01\"", "[1,]", `{"a"}`, "[] []"} {
		f.Add([]byte(text))
	}
	worktest.AddSeeds(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := ParseValue(new(fastjson.Parser), text)
		if accepted := acceptedByEarlierVersions(text); (err == nil) != accepted {
			t.Errorf("%q: %v, accepted by earlier versions: %v", text, err, accepted)
		}
	})
}

// BenchmarkParseJob compares ordinary submissions with costly ones of the largest size.
func BenchmarkParseJob(b *testing.B) {
	for name, body := range map[string][]byte{
		"ordinary":       []byte(goodJob),
		"60000 brackets": []byte(strings.Repeat("[", 60_000)),
		"60000 digits":   []byte(`{"cores":` + strings.Repeat("1", 60_000) + "}"),
		"one deep error": []byte(strings.Repeat("[", MaxDepth-1) + strings.Repeat("t", 60_000)),
	} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for range b.N {
				_, _ = ParseJob(body)
			}
		})
	}
}
