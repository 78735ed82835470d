package transport

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// readParts reads a request whose bytes arrive in parts of at most size bytes.
func readParts(in string, size int) (request *Request, err error) {
	var r requestReader
	for len(in) > 0 && request == nil && err == nil {
		n := min(size, len(in))
		request, err = r.add([]byte(in[:n]))
		in = in[n:]
	}
	return request, err
}

// A request is the same however its bytes are divided.
func TestRequestInParts(t *testing.T) {
	body := `{"ref":"req-000412","x":"é"}`
	requests := []string{
		"GET /healthz HTTP/1.1\r\n\r\n",
		"POST /a?b HTTP/1.1\r\nContent-Length: 29\r\n\r\n" + body,
		"POST /a?b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1d\r\n" + body + "\r\n0\r\n\r\n",
		"POST /a?b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\n" + body[:5] + "\r\n0018\r\n" + body[5:] + "\r\n0\r\nx: y\r\n\r\n",
		"\r\n\r\nPOST http://a:1/a?b HTTP/1.1\r\ncontent-length:\t29 \r\nConnection: x, Close\r\n\r\n" + body,
	}
	for _, in := range requests {
		want, used, err := ParseRequest([]byte(in))
		if err != nil || used != len(in) {
			t.Errorf("%q: used %d of %d, %v", in, used, len(in), err)
			continue
		}
		if want.Method == "POST" && string(want.Body) != body {
			t.Errorf("%q: body %q", in, want.Body)
		}
		for size := 1; size < len(in); size++ {
			got, err := readParts(in, size)
			if diff := cmp.Diff(want, got); err != nil || diff != "" {
				t.Errorf("%q in parts of %d: %v %s", in, size, err, diff)
			}
		}
	}
}

// A body of the largest size may come in chunks of one byte, and no body in chunks grows beyond it.
func TestChunkedBodyLimit(t *testing.T) {
	head, end := "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n"
	full := strings.Repeat("1\r\na\r\n", MaxBody)
	if r, err := readParts(head+full+end, 1000); err != nil || r == nil || len(r.Body) != MaxBody {
		t.Errorf("the largest body: %v", err)
	}
	for name, in := range map[string]string{
		"one more byte":        head + full + "1\r\na\r\n" + end,
		"endless trailer":      head + "0\r\n" + strings.Repeat("x: y\r\n", sentPerByte*MaxBody),
		"extensions and bytes": head + strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\na\r\n", 10_000),
	} {
		if r, err := readParts(in, 1000); err == nil || r != nil {
			t.Errorf("%s: %v %v", name, r, err)
		}
	}
}

// What is read from a request does not depend on how its bytes are divided, and a reader that has
// returned an error or a request holds no more than the limits allow.
func FuzzRequestInParts(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\n{\"a\":\r\n2\r\n1}\r\n0\r\nx: y\r\n\r\n"), uint8(3))
	f.Add([]byte("\r\nPOST http://a/b?c HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n{}"), uint8(1))
	f.Add([]byte("\x16\x03\x01"), uint8(1))
	f.Fuzz(func(t *testing.T, in []byte, size uint8) {
		want, _, wantErr := ParseRequest(in)
		got, err := readParts(string(in), int(size)+1)
		if diff := cmp.Diff(want, got); diff != "" && wantErr == nil {
			t.Errorf("%q in parts of %d: %s", in, size, diff)
		}
		if (wantErr == nil) != (err == nil) {
			t.Errorf("%q in parts of %d: %v, whole %v", in, size, err, wantErr)
		}
	})
}
