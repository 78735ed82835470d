// Package transport moves bytes: the evio server, the HTTP/1.1 parser, the
// dialer for outbound calls and the token buckets for metered services.
package transport

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits of what a peer may send.
const (
	MaxHead    = 16 << 10
	MaxBody    = 64 << 10
	MaxAnswer  = 64 << 20 // a follow answer has no limit of its own
	maxHeaders = 100
)

// Request is one parsed HTTP request.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool
}

// Response is one parsed HTTP response.
type Response struct {
	Status int
	Body   []byte
	Close  bool
}

// ParseError is a malformed message, with the status that answers it.
type ParseError struct {
	Status int
	Text   string
}

func (e *ParseError) Error() string { return e.Text }

func bad(status int, text string) error { return &ParseError{status, text} }

// errMore means that the message is not complete yet.
var errMore = errors.New("incomplete message")

// head is what requests and responses have in common.
type head struct {
	start   string // the first line
	length  int    // -1: none given
	chunked bool
	close   bool
	size    int // bytes up to the body
}

// parseHead reads the lines up to the body.
func parseHead(buf []byte) (head, error) {
	h := head{length: -1}
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > MaxHead {
			return h, bad(431, "header too large")
		}
		return h, errMore
	}
	if end > MaxHead {
		return h, bad(431, "header too large")
	}
	lines := strings.Split(string(buf[:end]), "\r\n")
	h.start, h.size = lines[0], end+4
	if len(lines) > maxHeaders {
		return h, bad(431, "too many header fields")
	}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || hasControl(value) {
			return h, bad(400, "malformed header field")
		}
		if err := h.addField(strings.ToLower(name), strings.Trim(value, " \t")); err != nil {
			return h, err
		}
	}
	if h.chunked && h.length >= 0 {
		return h, bad(400, "both Content-Length and Transfer-Encoding")
	}
	return h, nil
}

// addField takes a header field. Those that don't bear on the message are passed over.
func (h *head) addField(name, value string) error {
	switch name {
	case "content-length":
		// Two lengths that differ are how one request hides another.
		n, err := parseLength(value)
		if err != nil || (h.length >= 0 && h.length != n) {
			return bad(400, "malformed Content-Length")
		}
		h.length = n
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return bad(501, "unknown Transfer-Encoding")
		}
		h.chunked = true
	case "connection":
		for _, v := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(v), "close") {
				h.close = true
			}
		}
	}
	return nil
}

func parseLength(s string) (int, error) {
	if s == "" || len(s) > 9 {
		return 0, errors.New("length")
	}
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, errors.New("length")
		}
	}
	return strconv.Atoi(s)
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

func hasControl(s string) bool {
	for _, c := range []byte(s) {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return true
		}
	}
	return false
}

// ParseRequest parses one request at the start of buf. It returns the bytes
// used, or 0 while more are needed.
func ParseRequest(buf []byte) (*Request, int, error) {
	h, err := parseHead(buf)
	if errors.Is(err, errMore) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	method, rest, ok := strings.Cut(h.start, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || target == "" || target[0] != '/' || hasControl(target) || strings.Contains(target, " ") {
		return nil, 0, bad(400, "malformed request line")
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.close = true
	default:
		return nil, 0, bad(505, "unknown HTTP version")
	}
	if h.chunked {
		return nil, 0, bad(411, "chunked requests are not taken")
	}
	n := max(h.length, 0)
	if n > MaxBody {
		return nil, 0, bad(413, "body over 64 KiB")
	}
	if len(buf) < h.size+n {
		return nil, 0, nil
	}
	r := &Request{Method: method, Close: h.close}
	r.Path, r.Query, _ = strings.Cut(target, "?")
	r.Body = append([]byte(nil), buf[h.size:h.size+n]...)
	return r, h.size + n, nil
}

// ParseResponse parses one response at the start of buf; eof says that the
// other side has closed. It returns the bytes used, or 0 while more are needed.
func ParseResponse(buf []byte, eof bool) (*Response, int, error) {
	h, err := parseHead(buf)
	if errors.Is(err, errMore) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	version, rest, _ := strings.Cut(h.start, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := parseLength(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 100 || status > 599 {
		return nil, 0, bad(400, "malformed status line")
	}
	r := &Response{Status: status, Close: h.close || version == "HTTP/1.0"}
	switch {
	case h.chunked:
		body, n, err := parseChunks(buf[h.size:])
		if err != nil || n == 0 {
			return nil, 0, err
		}
		r.Body = body
		return r, h.size + n, nil
	case h.length >= 0:
		if len(buf) < h.size+h.length {
			return nil, 0, nil
		}
		r.Body = append([]byte(nil), buf[h.size:h.size+h.length]...)
		return r, h.size + h.length, nil
	case status == 204 || status == 304 || status < 200:
		return r, h.size, nil
	}
	if !eof {
		return nil, 0, nil
	}
	r.Body, r.Close = append([]byte(nil), buf[h.size:]...), true
	return r, len(buf), nil
}

// parseChunks reads a chunked body. used is 0 while more bytes are needed.
func parseChunks(buf []byte) (body []byte, used int, err error) {
	for {
		i := bytes.Index(buf[used:], []byte("\r\n"))
		if i < 0 {
			if len(buf)-used > 1024 {
				return nil, 0, bad(400, "malformed chunk")
			}
			return nil, 0, nil
		}
		size, _, _ := strings.Cut(string(buf[used:used+i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || int(n)+len(body) > MaxAnswer {
			return nil, 0, bad(400, "malformed chunk")
		}
		used += i + 2
		if n == 0 {
			end := skipTrailer(buf[used:])
			if end == 0 {
				return nil, 0, nil
			}
			if body == nil {
				body = []byte{}
			}
			return body, used + end, nil
		}
		if len(buf) < used+int(n)+2 {
			return nil, 0, nil
		}
		body = append(body, buf[used:used+int(n)]...)
		if buf[used+int(n)] != '\r' || buf[used+int(n)+1] != '\n' {
			return nil, 0, bad(400, "malformed chunk")
		}
		used += int(n) + 2
	}
}

// skipTrailer returns the bytes of the trailer fields, if there are any, and of the empty line
// that ends them, or 0 while more are needed.
func skipTrailer(buf []byte) (used int) {
	for {
		i := bytes.Index(buf[used:], []byte("\r\n"))
		if i < 0 {
			return 0
		}
		used += i + 2
		if i == 0 {
			return used
		}
	}
}

var statusText = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 411: "Length Required", 413: "Content Too Large",
	409: "Conflict", 421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 501: "Not Implemented", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// AppendResponse writes a response; retryAfter, if above 0, is in seconds as
// the header wants it.
func AppendResponse(b []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, statusText[status]...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	if retryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(retryAfter), 10)
	}
	if closing {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// AppendRequest writes a request.
func AppendRequest(b []byte, method, host, target string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	if len(body) > 0 || method == "POST" {
		b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
