package scale

import (
	"fmt"
	"strings"

	"mapleslip/internal/protocol"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Line numbers of the keys of a settings file, for errors.

// withLine adds the line of its key to an error. A key that is missing in the file gets the line
// of the closest enclosing table, or line 1 if there is none.
func withLine(text []byte, e *protocol.KeyError) error {
	lines := keyLines(text)
	for key := e.Key; key != ""; {
		if n, ok := lines[key]; ok {
			return fmt.Errorf("line %d: %w", n, e)
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return fmt.Errorf("line 1: %w", e)
}

// keyLines returns the line of each key of a file. Keys are paths such as jobs[2].run_s.median.
// Each key is also listed without indexes, for errors that have none; the first line counts.
func keyLines(text []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	var p unstable.Parser
	p.Reset(text)
	add := func(key string, at unstable.Range) {
		line := p.Shape(at).Start.Line
		plain := withoutIndexes(key)
		for _, k := range []string{key, plain} {
			if _, ok := lines[k]; !ok {
				lines[k] = line
			}
		}
	}
	// path appends the parts of a key to a prefix, and to each array of tables its last index.
	path := func(prefix string, keys unstable.Iterator) (string, unstable.Range) {
		var at unstable.Range
		for keys.Next() {
			if prefix != "" {
				prefix += "."
			}
			prefix += string(keys.Node().Data)
			at = keys.Node().Raw
			if n := counts[prefix]; n > 0 && !keys.IsLast() {
				prefix += fmt.Sprintf("[%d]", n-1)
			}
		}
		return prefix, at
	}
	var value func(prefix string, kv *unstable.Node)
	value = func(prefix string, kv *unstable.Node) {
		key, at := path(prefix, kv.Key())
		add(key, at)
		if v := kv.Value(); v.Kind == unstable.InlineTable {
			for it := v.Children(); it.Next(); {
				value(key, it.Node())
			}
		}
	}
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			var at unstable.Range
			table, at = path("", e.Key())
			add(table, at)
		case unstable.ArrayTable:
			name, at := path("", e.Key())
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			add(table, at)
		case unstable.KeyValue:
			value(table, e)
		default: // comments have no keys
		}
	}
	return lines
}

// withoutIndexes turns jobs[2].run_s into jobs.run_s.
func withoutIndexes(key string) string {
	var b strings.Builder
	in := false
	for _, c := range key {
		switch {
		case c == '[':
			in = true
		case c == ']':
			in = false
		case !in:
			b.WriteRune(c)
		}
	}
	return b.String()
}
