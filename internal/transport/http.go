// Package transport contains the server for inbound connections, the HTTP/1.1 parser, the dialer for
// outbound calls, and the token buckets and fair queues for metered services.
package transport

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits of the messages that a peer may send. Sizes are in bytes.
const (
	MaxHead    = 16 << 10
	MaxBody    = 64 << 10 // of a request
	MaxAnswer  = 64 << 20 // the protocol sets no limit for the answer to a watch
	maxHeaders = 100      // lines of the head, including the start line
)

// ParseError reports a malformed message. A request that is malformed in any way gets status 400:
// users repeat one with any other status that tells of an error (protocol, POST /api/jobs).
type ParseError struct{ Text string }

func (e *ParseError) Error() string { return e.Text }

func newParseError(text string) error { return &ParseError{text} }

// errIncomplete reports that more bytes of the message are needed.
var errIncomplete = errors.New("incomplete message")

// head contains the start line of a request or response, and the header fields that determine how
// the message is read.
type head struct {
	startLine     string
	contentLength int  // -1 if there is no Content-Length field
	chunked       bool // the body has the chunked transfer encoding
	close         bool // the connection is closed after the message
	// expectContinue: the client waits for status 100 before it sends the body.
	expectContinue bool
	bodyOffset     int // number of bytes before the body
}

// parseHead parses the lines before the body. It returns errIncomplete if buf does not contain all
// of them.
func parseHead(buf []byte) (head, error) {
	h := head{contentLength: -1}
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > MaxHead {
			return h, newParseError("header too large")
		}
		return h, errIncomplete
	}
	if end > MaxHead {
		return h, newParseError("header too large")
	}
	lines := strings.Split(string(buf[:end]), "\r\n")
	h.startLine, h.bodyOffset = lines[0], end+4
	if len(lines) > maxHeaders {
		return h, newParseError("too many header fields")
	}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || hasControl(value) {
			return h, newParseError("malformed header field")
		}
		if err := h.addField(strings.ToLower(name), strings.Trim(value, " \t")); err != nil {
			return h, err
		}
	}
	if h.chunked && h.contentLength >= 0 {
		return h, newParseError("both Content-Length and Transfer-Encoding")
	}
	return h, nil
}

// addField evaluates a header field. It ignores fields that do not affect how the message is read.
func (h *head) addField(name, value string) error {
	switch name {
	case "content-length":
		// Lengths that differ would allow request smuggling: one request hidden in another.
		n, err := parseLength(value)
		if err != nil || (h.contentLength >= 0 && h.contentLength != n) {
			return newParseError("malformed Content-Length")
		}
		h.contentLength = n
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return newParseError("unknown Transfer-Encoding")
		}
		h.chunked = true
	case "expect":
		h.expectContinue = strings.EqualFold(value, "100-continue")
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

var statusText = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 421: "Misdirected Request", 422: "Unprocessable Content", 429: "Too Many Requests",
	503: "Service Unavailable", 504: "Gateway Timeout",
}

// continueResponse asks a client that waits for it to send the body of its request.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// AppendResponse appends a response to b. If retryAfter is above 0, the response has a Retry-After
// field with that number of seconds. closing adds a field that announces that the server closes the
// connection.
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

// AppendRequest appends a request to b.
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
