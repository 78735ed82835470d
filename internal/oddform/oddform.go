// Package oddform writes submissions and requests in forms that clients rarely use and that mean the
// same (RFC 8259 and RFC 9112). The users of the simulation and of a scale run send them.
package oddform

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/transport"
)

// Forms is the number of forms of a body.
const Forms = 8

// member is a member of an object, as JSON.
type member struct{ name, value string }

// Body returns a JSON object in the form with the given number, counted from 0 and modulo Forms.
// Form 0 is the object as it is. Objects with members that are arrays or objects are not changed in
// the forms that rewrite values.
func Body(body []byte, form int) []byte {
	members := membersOf(body)
	switch form % Forms {
	case 1:
		reversed := make([]member, 0, len(members))
		for i := len(members) - 1; i >= 0; i-- {
			reversed = append(reversed, members[i])
		}
		return join(reversed, " \r\n\t")
	case 2:
		return join(append([]member{{`"x-note"`, `{"a":[1,{"b":"\ud800"}],"c":1e400,"d":null}`}}, members...), "")
	case 3:
		for i := range members {
			members[i] = member{escaped(members[i].name), escaped(members[i].value)}
		}
	case 4:
		for i := range members {
			members[i].value = withExponent(members[i].value)
		}
	case 5:
		members = append(members, member{`"x"`, `1`}, member{`"x"`, `"2"`}, member{`""`, `true`})
	case 6:
		return append(append([]byte("\r\n\t "), body...), "\n \t\r\n"...)
	case 7:
		members = append(members, absentAsNull(members)...)
	default:
		return body
	}
	return join(members, "")
}

func membersOf(body []byte) (members []member) {
	fastjson.MustParseBytes(body).GetObject().Visit(func(name []byte, v *fastjson.Value) {
		members = append(members, member{string(protocol.AppendQuoted(nil, string(name))), string(v.MarshalTo(nil))})
	})
	return members
}

func join(members []member, space string) []byte {
	parts := make([]string, 0, len(members))
	for _, m := range members {
		parts = append(parts, m.name+space+":"+space+m.value)
	}
	return []byte("{" + space + strings.Join(parts, space+","+space) + space + "}")
}

// escaped returns a JSON string with its ASCII letters escaped. Another value is not changed.
func escaped(value string) string {
	if !strings.HasPrefix(value, `"`) || strings.Contains(value, `\`) {
		return value
	}
	var b strings.Builder
	for _, c := range value {
		if c >= 'a' && c <= 'z' {
			fmt.Fprintf(&b, `\u%04X`, c)
			continue
		}
		b.WriteRune(c)
	}
	return b.String()
}

// withExponent returns a JSON number with an exponent. Another value is not changed.
func withExponent(value string) string {
	if value[0] < '0' || value[0] > '9' || strings.ContainsAny(value, "eE") {
		return value
	}
	return value + "E+00"
}

// absentAsNull returns the members that a submission may leave out, and does, as null.
func absentAsNull(members []member) (absent []member) {
	for _, name := range []string{`"flavors"`, `"region"`, `"dueS"`, `"awaits"`} {
		present := false
		for _, m := range members {
			present = present || m.name == name
		}
		if !present {
			absent = append(absent, member{name, "null"})
		}
	}
	return absent
}

// Ways is the number of ways to send a request.
const Ways = 8

// Request returns a request in the way with the given number, counted from 0 and modulo Ways, as the
// parts in which it is written. Way 0 is the usual one, in one part.
func Request(method, host, target string, body []byte, way int) (parts [][]byte) {
	plain := transport.AppendRequest(nil, method, host, target, body)
	head := len(plain) - len(body)
	switch way % Ways {
	case 1:
		return [][]byte{chunked(method, host, target, body)}
	case 2:
		return [][]byte{transport.AppendRequest(nil, method, host, "http://"+host+target, body)}
	case 3:
		return [][]byte{append([]byte("\r\n"), plain...)}
	case 4:
		return [][]byte{plain[:head/2], plain[head/2:]}
	case 5:
		return [][]byte{plain[:head], plain[head : head+len(body)/2], plain[head+len(body)/2:]}
	case 6:
		line, rest, _ := strings.Cut(string(plain), "\r\n")
		return [][]byte{[]byte(line + "\r\nx-trace:\t\"a\"; b \r\n" + strings.Replace(rest, "Content-Length", "content-LENGTH", 1))}
	case 7:
		for i := range plain {
			parts = append(parts, plain[i:i+1])
		}
		return parts
	}
	return [][]byte{plain}
}

// chunked returns a request with a chunked body, in three chunks, with an extension and a trailer.
func chunked(method, host, target string, body []byte) []byte {
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n", method, target, host)
	third := len(body) / 3
	for _, chunk := range [][]byte{body[:third], body[third : 2*third], body[2*third:]} {
		if len(chunk) > 0 {
			b = fmt.Appendf(b, "%04X;part\r\n%s\r\n", len(chunk), chunk)
		}
	}
	return append(b, "0\r\nx-end: 1\r\n\r\n"...)
}
