package transport

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// Response is one parsed HTTP response.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the server closes the connection after this response
}

// ParseResponse parses one response at the start of buf; eof is whether the peer has closed the
// connection. It returns the number of bytes used, or 0 while more are needed.
func ParseResponse(buf []byte, eof bool) (*Response, int, error) {
	var r ResponseReader
	return r.Parse(buf, eof)
}

// ResponseReader parses a response whose bytes arrive in any number of parts. The head is parsed once,
// and a chunked body is decoded as it arrives. The zero value is ready to use, for one response.
type ResponseReader struct {
	response *Response // nil until the head is complete
	head     head
	used     int // bytes of the head and of the chunks that are decoded
	chunks   chunkReader
}

// Parse parses the response at the start of buf, which has all bytes so far; eof is whether the peer has
// closed the connection. It returns the number of bytes used, or 0 while more are needed.
func (r *ResponseReader) Parse(buf []byte, eof bool) (*Response, int, error) {
	if r.response == nil {
		if err := r.readHead(buf); err != nil || r.response == nil {
			return nil, 0, err
		}
	}
	body := buf[r.head.bodyOffset:]
	switch {
	case r.head.chunked:
		return r.readChunks(buf)
	case r.head.contentLength >= 0:
		if len(body) < r.head.contentLength {
			return nil, 0, nil
		}
		body = body[:r.head.contentLength]
	case hasNoBody(r.response.Status):
		return r.response, r.head.bodyOffset, nil
	case !eof:
		return nil, 0, nil
	default:
		r.response.Close = true
	}
	r.response.Body = bytes.Clone(body)
	return r.response, r.head.bodyOffset + len(body), nil
}

// hasNoBody reports whether a response with a status has no body in any case.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified || status < http.StatusOK
}

// readHead parses the head of the response if all of it is there.
func (r *ResponseReader) readHead(buf []byte) error {
	h, err := parseHead(buf)
	if errors.Is(err, errIncomplete) {
		return nil
	}
	if err != nil {
		return err
	}
	version, rest, _ := strings.Cut(h.startLine, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := parseLength(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 100 || status > 599 {
		return newParseError("malformed status line")
	}
	r.response = &Response{Status: status, Close: h.close || version == "HTTP/1.0"}
	r.head, r.used = h, h.bodyOffset
	r.chunks.limit = MaxAnswer
	return nil
}

// readChunks decodes the chunks that have arrived since the last call.
func (r *ResponseReader) readChunks(buf []byte) (*Response, int, error) {
	n, err := r.chunks.add(buf[r.used:])
	r.used += n
	if err != nil || !r.chunks.done {
		return nil, 0, err
	}
	r.response.Body = r.chunks.body
	if r.response.Body == nil {
		r.response.Body = []byte{}
	}
	return r.response, r.used, nil
}
