package transport

import (
	"errors"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	cases := []struct {
		name, in string
		refused  bool
		used     int // bytes used, -1 if all
		path     string
	}{
		{"complete", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", false, -1, "/healthz"},
		{"body", "POST /hello HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", false, -1, "/hello"},
		{"incomplete head", "GET /healthz HTTP/1.1\r\nHost", false, 0, ""},
		{"incomplete body", "POST /hello HTTP/1.1\r\nContent-Length: 5\r\n\r\n{}", false, 0, ""},
		{"query", "GET /a?b=c HTTP/1.1\r\n\r\n", false, -1, "/a"},
		{"two requests", "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", false, 19, "/a"},
		{"chunked", "POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, -1, "/hello"},
		{"chunks", "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\n{\r\n001;x=\"y\"\r\n}\r\n0\r\nTrailer: x\r\n\r\n", false, -1, "/a"},
		{"incomplete chunk", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}", false, 0, ""},
		{"incomplete trailer", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx: y\r\n", false, 0, ""},
		{"chunk over the limit", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n", true, 0, ""},
		{"signed chunk", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\n", true, 0, ""},
		{"chunk with an underscore", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1_0\r\n", true, 0, ""},
		{"negative chunk", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", true, 0, ""},
		{"chunk without a size", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", true, 0, ""},
		{"chunk longer than its size", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n", true, 0, ""},
		{"long chunk extension", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 2000), true, 0, ""},
		{"chunked in HTTP/1.0", "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, 0, ""},
		{"chunked and another coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", true, 0, ""},
		{"absolute form", "GET http://10.0.0.1:8080/a?b HTTP/1.1\r\n\r\n", false, -1, "/a"},
		{"absolute form without a path", "GET HTTP://a HTTP/1.1\r\n\r\n", false, -1, "/"},
		{"absolute form without a host", "GET http:///a HTTP/1.1\r\n\r\n", true, 0, ""},
		{"encoded characters", "GET /api/jobs/req%2D00041%32%2Fcancel%zz%4 HTTP/1.1\r\n\r\n", false, -1, "/api/jobs/req-000412%2Fcancel%zz%4"},
		{"another scheme", "GET ftp://a/b HTTP/1.1\r\n\r\n", true, 0, ""},
		{"empty lines before the request", "\r\n\r\nGET /a HTTP/1.1\r\n\r\n", false, -1, "/a"},
		{"line without CR", "GET /a HTTP/1.1\nHost: a", true, 0, ""},
		{"TLS handshake", "\x16\x03\x01\x02\x00\x01", true, 0, ""},
		{"no method", strings.Repeat("a", maxMethod+1), true, 0, ""},
		{"space at the start", " GET /a", true, 0, ""},
		{"target is not ASCII", "GET /api/jobs/req-\xff HTTP/1.1\r\n\r\n", true, 0, ""},
		{"two lengths", "POST /a HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}", true, 0, ""},
		{"length and chunked", "POST /a HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", true, 0, ""},
		{"signed length", "POST /a HTTP/1.1\r\nContent-Length: +2\r\n\r\n{}", true, 0, ""},
		{"body over the limit", "POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", true, 0, ""},
		{"head over the limit", "GET /" + strings.Repeat("a", MaxHead), true, 0, ""},
		{"space in a field name", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", true, 0, ""},
		{"no version", "GET /\r\n\r\n", true, 0, ""},
		{"unknown version", "GET / HTTP/2.0\r\n\r\n", true, 0, ""},
		{"target is not a path", "GET x HTTP/1.1\r\n\r\n", true, 0, ""},
	}
	for _, c := range cases {
		r, used, err := ParseRequest([]byte(c.in))
		if c.refused {
			var parseError *ParseError
			if !errors.As(err, &parseError) {
				t.Errorf("%s: used %d, %v, want an error", c.name, used, err)
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
