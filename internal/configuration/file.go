package configuration

import (
	"bytes"
	"fmt"
	"math"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// ParseFile parses a file of changes and returns the values by key; "" removes the key. The file is
// JSON if it begins with a brace, else TOML. In TOML, unset = ["key", ...] removes keys.
func ParseFile(text []byte) (map[string]string, error) {
	set := make(map[string]string)
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '{' {
		var p fastjson.Parser
		v, err := protocol.ParseObject(&p, trimmed)
		if err != nil {
			return nil, err
		}
		return set, flatten(set, "", v)
	}
	var f map[string]any
	if err := toml.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if list, ok := f["unset"]; ok {
		keys, ok := list.([]any)
		if !ok {
			return nil, keyErrorf("unset", "must be a list of keys")
		}
		for _, k := range keys {
			key, ok := k.(string)
			if _, duplicate := set[key]; !ok || duplicate || key == "" {
				return nil, keyErrorf("unset", "must be a list of keys, each once")
			}
			set[key] = ""
		}
		delete(f, "unset")
	}
	return set, flattenTOML(set, "", f)
}

func flattenTOML(values map[string]string, path string, v any) error {
	switch v := v.(type) {
	case map[string]any:
		if path != "" && len(v) == 0 {
			return keyErrorf(path, "has no keys")
		}
		for name, x := range v {
			key, err := joinKey(path, name)
			if err != nil {
				return err
			}
			if err := flattenTOML(values, key, x); err != nil {
				return err
			}
		}
		return nil
	case string:
		return setOnce(values, path, string(protocol.AppendQuoted(nil, v)))
	case bool:
		return setOnce(values, path, fmt.Sprint(v))
	case int64:
		return setOnce(values, path, canonicalNumber(float64(v)))
	case float64:
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return keyErrorf(path, "must be a finite number")
		}
		return setOnce(values, path, canonicalNumber(v))
	}
	return keyErrorf(path, "must be a number, a text, true or false")
}

func setOnce(values map[string]string, key, value string) error {
	if _, duplicate := values[key]; duplicate {
		return keyErrorf(key, "is there twice")
	}
	values[key] = value
	return nil
}

// ParseSet parses an argument KEY=VALUE of a command. VALUE is a number, true, false or a string;
// "-" removes the key.
func ParseSet(argument string) (key, value string, err error) {
	key, text, ok := strings.Cut(argument, "=")
	switch {
	case !ok || key == "" || text == "":
		return "", "", fmt.Errorf("%q is not KEY=VALUE", argument)
	case text == "-":
		return key, "", nil
	}
	if v, err := protocol.ParseValue(new(fastjson.Parser), []byte(text)); err == nil && v.Type() != fastjson.TypeObject && v.Type() != fastjson.TypeArray {
		if canonical, ok := canonicalJSON(v); ok {
			return key, canonical, nil
		}
		return "", "", keyErrorf(key, "invalid value")
	}
	return key, string(protocol.AppendQuoted(nil, text)), nil
}

// Line returns the number of the line of a TOML file that sets a key of the document, 0 if there is
// none.
func Line(text []byte, key string) int {
	table := ""
	for n, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = documentKey(strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t"))
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		fullKey := documentKey(strings.TrimSpace(name))
		if table != "" {
			fullKey = table + "/" + fullKey
		}
		if ok && fullKey == key {
			return n + 1
		}
	}
	return 0
}

// documentKey converts a dotted key of TOML to a key of the document.
func documentKey(dotted string) string {
	var b strings.Builder
	quote := rune(0)
	for _, r := range dotted {
		switch {
		case quote == 0 && (r == '"' || r == '\''):
			quote = r
		case r == quote:
			quote = 0
		case quote == 0 && r == '.':
			b.WriteByte('/')
		case quote == 0 && (r == ' ' || r == '\t'):
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}
