// Package costlyform writes message bodies that cost a careless parser more work than their size
// allows: deep nesting, long tokens, many members, broken text. Most are malformed. The tests of
// each parser measure its work on them, and the users of the simulation, of dev and of a scale run
// send them.
package costlyform

import (
	"fmt"
	"strings"
)

// Body is a body of about the size that was asked for.
type Body struct {
	Name string // says what is costly in it
	Text []byte
}

// MinSize is the smallest size of a body, in bytes.
const MinSize = 1 << 10

// nesting is one way to nest values.
type nesting struct{ name, open, inner, end string }

var nestings = []nesting{
	{"open arrays", "[", "", ""},
	{"open objects", `{"a":`, "", ""},
	{"open arrays and objects", `[{"a":`, "", ""},
	{"open arrays of two", "[1,[", "", ""},
	{"closed arrays", "[", "", "]"},
	{"closed objects", `{"a":`, "1", "}"},
	{"closed arrays and objects", `[{"a":`, "null", "}]"},
	{"arrays closed as objects", "[", "", "}"},
	{"objects closed as arrays", `{"a":`, "1", "]"},
	{"spaced arrays", "[ ", "", " ]"},
	{"objects with an escaped name", `{"\u0061":`, "1", "}"},
}

// repeated is one way to repeat a part of a text.
type repeated struct{ name, start, part, end string }

var repetitions = []repeated{
	{"digits", "", "1", ""},
	{"digits of a fraction", "0.", "1", ""},
	{"digits of an exponent", "1e", "1", ""},
	{"a string", `"`, "a", `"`},
	{"a string without end", `"`, "a", ""},
	{"escapes", `"`, `\u0061`, `"`},
	{"lone surrogates", `"`, `\ud800`, `"`},
	{"quotes", `"`, `\"`, `"`},
	{"backslashes without end", `"`, `\\`, ""},
	{"unknown escapes", `"`, `\q`, `"`},
	{"bytes that are not UTF-8", `"`, "\xe9", `"`},
	{"NUL bytes", `"`, "\x00", `"`},
	{"a list of numbers", "[1", ",1", "]"},
	{"a list of texts", `["a"`, `,"a"`, "]"},
	{"a list of refs", `["req-100000"`, `,"req-100000"`, "]"},
	{"a list of lists", "[[]", ",[]", "]"},
	{"a list of objects", "[{}", ",{}", "]"},
	{"a list without end", "[1", ",1", ""},
	{"a word without end", "t", "r", ""},
	{"commas", "[", ",", "]"},
	{"white space", "", " \r\n\t", "1"},
	{"members of one name", `{"a":1`, `,"a":1`, "}"},
	{"closing brackets", "", "]", ""},
}

// Bodies returns bodies of about size bytes, and at least MinSize. Each costly value stands alone, in
// an unknown member, in place of a member's name, and in each of the members that the message knows.
// Deep nesting stands before an error as well, since parsers may quote the rest of their input in an
// error and add to its text at each level.
func Bodies(size int, members ...string) (bodies []Body) {
	size = max(size, MinSize)
	for _, value := range values(size) {
		bodies = append(bodies, value,
			Body{value.Name + " in an unknown member", join(`{"x":`, value.Text, "}")},
			Body{value.Name + " as a name", join("{", value.Text, ":1}")})
		for _, member := range members {
			bodies = append(bodies, Body{value.Name + " in " + member, join(`{"`+member+`":`, value.Text, "}")})
		}
	}
	for _, member := range members {
		bodies = append(bodies, Body{"a long name in " + member, join(`{"`+member+`":`, longName(size), "}")})
	}
	return bodies
}

// values returns the costly values of about size bytes.
func values(size int) (list []Body) {
	for _, n := range nestings {
		depth := max(1, (size-len(n.inner))/(len(n.open)+len(n.end)))
		list = append(list, Body{n.name, nested(n, depth)})
	}
	for _, depth := range []int{100, 290} {
		open := strings.Repeat("[", depth)
		list = append(list,
			Body{fmt.Sprintf("a word without end at depth %d", depth), join(open, repeat("t", size-depth), "")},
			Body{fmt.Sprintf("a string without end at depth %d", depth), join(open+`"`, repeat("a", size-depth-1), "")},
			Body{fmt.Sprintf("a list at depth %d", depth), join(open+"1", repeat(",1", size-2*depth-1), strings.Repeat("]", depth))})
	}
	for _, r := range repetitions {
		list = append(list, Body{r.name, join(r.start, repeat(r.part, size-len(r.start)-len(r.end)), r.end)})
	}
	return append(list, Body{"members of different names", differentMembers(size)}, Body{"a long name", longName(size)})
}

func nested(n nesting, depth int) []byte {
	return join(strings.Repeat(n.open, depth)+n.inner, nil, strings.Repeat(n.end, depth))
}

// repeat returns a part as often as it fits into size bytes.
func repeat(part string, size int) []byte {
	return []byte(strings.Repeat(part, max(1, size/len(part))))
}

func join(start string, middle []byte, end string) []byte {
	return append(append([]byte(start), middle...), end...)
}

// differentMembers returns an object of about size bytes whose members all have names of their own.
func differentMembers(size int) []byte {
	b := []byte("{")
	for i := 0; len(b) < size; i++ {
		if i > 0 {
			b = append(b, ',')
		}
		b = fmt.Appendf(b, `"k%d":1`, i)
	}
	return append(b, '}')
}

// longName returns an object of about size bytes: half of it is the name of one member, the other
// half the members of that member's value.
func longName(size int) []byte {
	inner := differentMembers(size / 2)
	return join(`{"`+strings.Repeat("a", size/2)+`":`, inner, "}")
}
