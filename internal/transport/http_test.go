package transport

import (
	"errors"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	cases := []struct {
		name, in string
		status   int // of the error, 0 if none is expected
		used     int // bytes used, -1 if all
		path     string
	}{
		{"complete", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", 0, -1, "/healthz"},
		{"body", "POST /hello HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 0, -1, "/hello"},
		{"incomplete head", "GET /healthz HTTP/1.1\r\nHost", 0, 0, ""},
		{"incomplete body", "POST /hello HTTP/1.1\r\nContent-Length: 5\r\n\r\n{}", 0, 0, ""},
		{"query", "GET /a?b=c HTTP/1.1\r\n\r\n", 0, -1, "/a"},
		{"two requests", "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 0, 19, "/a"},
		{"chunked", "POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411, 0, ""},
		{"two lengths", "POST /a HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}", 400, 0, ""},
		{"length and chunked", "POST /a HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", 400, 0, ""},
		{"signed length", "POST /a HTTP/1.1\r\nContent-Length: +2\r\n\r\n{}", 400, 0, ""},
		{"body over the limit", "POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413, 0, ""},
		{"head over the limit", "GET /" + strings.Repeat("a", MaxHead), 431, 0, ""},
		{"space in a field name", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400, 0, ""},
		{"no version", "GET /\r\n\r\n", 400, 0, ""},
		{"unknown version", "GET / HTTP/2.0\r\n\r\n", 505, 0, ""},
		{"target is not a path", "GET x HTTP/1.1\r\n\r\n", 400, 0, ""},
	}
	for _, c := range cases {
		r, used, err := ParseRequest([]byte(c.in))
		if c.status != 0 {
			var parseError *ParseError
			if !errors.As(err, &parseError) || parseError.Status != c.status {
				t.Errorf("%s: %v, want status %d", c.name, err, c.status)
			}
			continue
		}
		want := c.used
		if want < 0 {
			want = len(c.in)
		}
		if err != nil || used != want || (r != nil && r.Path != c.path) {
			t.Errorf("%s: used %d of %d, err %v, %+v", c.name, used, want, err, r)
		}
	}
}

func TestParseResponse(t *testing.T) {
	cases := []struct {
		name, in, body string
		eof            bool
		used           int
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "{}", false, -1},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n", "{}", false, -1},
		{"incomplete chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{", "", false, 0},
		{"body until end of connection", "HTTP/1.1 200 OK\r\n\r\n{}", "{}", true, -1},
		{"connection still open", "HTTP/1.1 200 OK\r\n\r\n{}", "", false, 0},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", "", false, -1},
	}
	for _, c := range cases {
		r, used, err := ParseResponse([]byte(c.in), c.eof)
		want := c.used
		if want < 0 {
			want = len(c.in)
		}
		if err != nil || used != want {
			t.Errorf("%s: used %d, err %v", c.name, used, err)
		} else if r != nil && string(r.Body) != c.body {
			t.Errorf("%s: body %q", c.name, r.Body)
		}
	}
}

// The result of the parser must not depend on how the bytes are divided into reads.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST /hello HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}GET"))
	f.Add([]byte("POST /x HTTP/1.0\r\ncontent-length:0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r, used, err := ParseRequest(in)
		if used < 0 || used > len(in) || (used > 0) != (r != nil) || (err != nil && used != 0) {
			t.Fatalf("used %d of %d, request %v, err %v", used, len(in), r, err)
		}
		if used == 0 {
			return
		}
		if _, short, err := ParseRequest(in[:used-1]); short != 0 || err != nil && !strings.Contains(err.Error(), "header") {
			t.Fatalf("without the last byte: used %d, err %v", short, err)
		}
		if _, again, err := ParseRequest(in[:used]); again != used || err != nil {
			t.Fatalf("without the bytes after the request: used %d, err %v", again, err)
		}
	})
}

func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, in []byte, eof bool) {
		r, used, err := ParseResponse(in, eof)
		if used < 0 || used > len(in) || (used > 0) != (r != nil) || (err != nil && used != 0) {
			t.Fatalf("used %d of %d, response %v, err %v", used, len(in), r, err)
		}
	})
}
