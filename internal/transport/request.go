package transport

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	maxMethod = 32 // bytes of a method's name
	// maxChunkLine is the limit of the line before a chunk, in bytes.
	maxChunkLine = 1024
	// sentPerByte limits a chunked body as it is sent, in bytes for each byte of the limit of the body:
	// chunks of one byte have six for each.
	sentPerByte = 8
)

// Request is one parsed HTTP request.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool // the client wants the connection closed after the answer
}

// ParseRequest parses one request at the start of buf. It returns the number of bytes used, or 0
// while more are needed.
func ParseRequest(buf []byte) (*Request, int, error) {
	var r requestReader
	request, err := r.add(buf)
	if request == nil {
		return nil, 0, err
	}
	return request, len(buf) - r.buffered(), nil
}

// requestReader parses a request whose bytes arrive in any number of parts. Each byte is looked at
// once, and a chunked body is decoded as it arrives, so that neither time nor memory depends on how
// the request is divided. The zero value is ready to use.
type requestReader struct {
	buf      []byte // received bytes that are not parsed yet
	searched int    // bytes at the start of buf that contain no end of the head
	request  *Request
	// Of the request's head, once request is not nil:
	length         int  // of a body that is not chunked
	chunked        bool // the body is chunked
	expectContinue bool // the client waits for status 100 before it sends the body
	chunks         chunkReader
}

// buffered returns the number of bytes that are received and not parsed.
func (r *requestReader) buffered() int { return len(r.buf) }

// held returns how much memory the incomplete request takes, in bytes.
func (r *requestReader) held() int { return cap(r.buf) + cap(r.chunks.body) }

// started reports whether a part of a request was received.
func (r *requestReader) started() bool { return len(r.buf) > 0 || r.request != nil }

// wantsContinue reports, once for each request, whether the client waits for status 100.
func (r *requestReader) wantsContinue() bool {
	wants := r.expectContinue && len(r.buf) == 0
	r.expectContinue = false
	return wants
}

// add adds received bytes. It returns the request once it is complete, nil while more bytes are
// needed. Bytes after the request stay in the buffer.
func (r *requestReader) add(in []byte) (*Request, error) {
	r.buf = append(r.buf, in...)
	if r.request == nil {
		if err := r.readHead(); err != nil || r.request == nil {
			return nil, err
		}
	}
	if r.chunked {
		used, err := r.chunks.add(r.buf)
		r.buf = r.buf[:copy(r.buf, r.buf[used:])]
		if err != nil || !r.chunks.done {
			return nil, err
		}
		r.request.Body = r.chunks.body
		return r.finish(0), nil
	}
	if len(r.buf) < r.length {
		return nil, nil
	}
	r.request.Body = bytes.Clone(r.buf[:r.length])
	return r.finish(r.length), nil
}

// maxKeptBuffer is the size up to which the buffer of a connection is kept for its next request.
const maxKeptBuffer = 8 << 10

// finish returns the complete request and makes the reader ready for the next one, after the given
// number of bytes of the buffer.
func (r *requestReader) finish(used int) *Request {
	request, rest := r.request, r.buf[used:]
	if cap(r.buf) > maxKeptBuffer {
		rest = bytes.Clone(rest)
	} else {
		rest = r.buf[:copy(r.buf, rest)]
	}
	*r = requestReader{buf: rest}
	return request
}

// readHead parses the head of the request if all of it is in the buffer, and removes it from there.
func (r *requestReader) readHead() error {
	r.skipEmptyLines()
	if err := checkStart(r.buf); err != nil {
		return err
	}
	end, err := r.findHeadEnd()
	if err != nil || end < 0 {
		return err
	}
	h, err := parseHead(r.buf[:end])
	if err != nil {
		return err
	}
	if r.request, err = requestOf(&h); err != nil {
		return err
	}
	r.chunks.limit = MaxBody
	r.chunked, r.length, r.expectContinue = h.chunked, max(h.contentLength, 0), h.expectContinue
	r.buf = r.buf[:copy(r.buf, r.buf[end:])]
	return nil
}

// skipEmptyLines removes the empty lines before a request (RFC 9112, section 2.2).
func (r *requestReader) skipEmptyLines() {
	n := 0
	for bytes.HasPrefix(r.buf[n:], []byte("\r\n")) {
		n += 2
	}
	r.buf = r.buf[:copy(r.buf, r.buf[n:])]
}

// checkStart returns an error if a request can't begin with the bytes of buf, such as those of a TLS
// handshake: there is no need to wait for the end of a line then.
func checkStart(buf []byte) error {
	start, _, complete := bytes.Cut(buf[:min(len(buf), maxMethod+1)], []byte(" "))
	switch {
	case len(buf) == 0, string(buf) == "\r":
		return nil
	case len(start) == 0 || !isToken(string(start)), !complete && len(start) > maxMethod:
		return newParseError("malformed request line")
	}
	return nil
}

// findHeadEnd returns the number of bytes up to the end of the head, -1 if it is not in the buffer.
// A line that does not end with CR LF is an error.
func (r *requestReader) findHeadEnd() (int, error) {
	for i := r.searched; i < min(len(r.buf), MaxHead); i++ {
		if r.buf[i] != '\n' {
			continue
		}
		if i == 0 || r.buf[i-1] != '\r' {
			return -1, newParseError("a line ends without CR")
		}
		if i >= 3 && r.buf[i-2] == '\n' {
			return i + 1, nil
		}
	}
	if len(r.buf) >= MaxHead {
		return -1, newParseError("header too large")
	}
	r.searched = len(r.buf)
	return -1, nil
}

// requestOf returns the request that a head begins, without its body.
func requestOf(h *head) (*Request, error) {
	method, rest, ok := strings.Cut(h.startLine, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || hasControl(target) || !isASCII(target) || strings.Contains(version, " ") {
		return nil, newParseError("malformed request line")
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.close = true
	default:
		return nil, newParseError("unknown HTTP version")
	}
	if h.chunked && version == "HTTP/1.0" {
		return nil, newParseError("Transfer-Encoding in HTTP/1.0")
	}
	if h.contentLength > MaxBody {
		return nil, newParseError("body over 64 KiB")
	}
	target, ok = originForm(target)
	if !ok {
		return nil, newParseError("malformed request target")
	}
	r := &Request{Method: method, Close: h.close}
	r.Path, r.Query, _ = strings.Cut(target, "?")
	r.Path = decodeUnreserved(r.Path)
	return r, nil
}

// decodeUnreserved decodes the percent-encoded characters of a path that need no encoding, which
// changes nothing of what the path means (RFC 3986, section 6.2.2.2).
func decodeUnreserved(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] == '%' && i+2 < len(path) {
			c, err := strconv.ParseUint(path[i+1:i+3], 16, 8)
			if err == nil && isUnreserved(byte(c)) {
				b.WriteByte(byte(c))
				i += 2
				continue
			}
		}
		b.WriteByte(path[i])
	}
	return b.String()
}

func isUnreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("-._~", c) >= 0
}

// originForm returns the path and query of a request target, which may also be in absolute form
// (RFC 9112, section 3.2.2).
func originForm(target string) (string, bool) {
	if strings.HasPrefix(target, "/") {
		return target, true
	}
	const scheme = "http://"
	if len(target) <= len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return "", false
	}
	authority := target[len(scheme):]
	i := strings.IndexAny(authority, "/?")
	switch {
	case i == 0:
		return "", false // no host
	case i < 0:
		return "/", true
	case authority[i] == '?':
		return "/" + authority[i:], true
	}
	return authority[i:], true
}

func isASCII(s string) bool {
	for _, c := range []byte(s) {
		if c >= 0x80 {
			return false
		}
	}
	return true
}

// chunkReader decodes a chunked body that arrives in parts (RFC 9112, section 7.1).
type chunkReader struct {
	limit int // of the body, in bytes
	body  []byte
	state chunkState
	left  int // bytes of the current chunk that are still to come
	total int // bytes of the body as it was sent
	done  bool
}

type chunkState uint8

const (
	chunkSize    chunkState = iota // at the line with the size of a chunk
	chunkData                      // in the data of a chunk
	chunkDataEnd                   // at the end of the line after the data
	chunkTrailer                   // at a line after the last chunk
)

// add decodes the bytes of buf, up to the end of the body, and returns how many it has used. The
// others are needed again, with those that follow them.
func (c *chunkReader) add(buf []byte) (used int, err error) {
	for !c.done && err == nil {
		if c.total+used > sentPerByte*c.limit {
			return used, c.tooLarge()
		}
		if c.state == chunkData {
			n := min(c.left, len(buf)-used)
			c.body = append(c.body, buf[used:used+n]...)
			used += n
			if c.left -= n; c.left > 0 {
				break
			}
			c.state = chunkDataEnd
			continue
		}
		line, n, complete := cutLine(buf[used:])
		if !complete {
			if len(line) > maxChunkLine {
				err = newParseError("malformed chunk")
			}
			break
		}
		used += n
		err = c.endLine(line)
	}
	c.total += used
	return used, err
}

func (c *chunkReader) tooLarge() error {
	return newParseError("body over " + strconv.Itoa(c.limit>>10) + " KiB")
}

// cutLine returns the line at the start of buf, without its end, and the bytes up to the next one.
// An incomplete line is all of buf.
func cutLine(buf []byte) (line []byte, used int, complete bool) {
	i := bytes.IndexByte(buf, '\n')
	if i < 0 {
		return buf, 0, false
	}
	return buf[:i], i + 1, true
}

// endLine handles a complete line before, between or after chunks. line ends with CR.
func (c *chunkReader) endLine(line []byte) error {
	line, hasCR := bytes.CutSuffix(line, []byte("\r"))
	if !hasCR || len(line) > maxChunkLine {
		return newParseError("malformed chunk")
	}
	switch c.state {
	case chunkDataEnd:
		if len(line) > 0 {
			return newParseError("malformed chunk")
		}
		c.state = chunkSize
	case chunkTrailer:
		c.done = len(line) == 0
	case chunkSize:
		n, err := parseChunkSize(string(line))
		if err != nil {
			return err
		}
		if len(c.body)+n > c.limit {
			return c.tooLarge()
		}
		c.left, c.state = n, chunkData
		if n == 0 {
			c.state = chunkTrailer
		}
	case chunkData: // has no lines
	}
	return nil
}

// parseChunkSize returns the size in the line before a chunk, which may have extensions.
func parseChunkSize(line string) (int, error) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.Trim(size, " \t"), 16, 31)
	if err != nil {
		return 0, newParseError("malformed chunk")
	}
	return int(n), nil
}
