package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// halfCloseTimeout is how long the client of a test waits, in place of hanging.
const halfCloseTimeout = 10 * time.Second

// largeAnswer is more than the kernel's buffers of a connection take, in bytes.
const largeAnswer = 16 << 20

// halfCloseServer starts a server that answers each message from another goroutine, a request for
// /late only after the client's end of file is certainly there.
func halfCloseServer(t *testing.T) (client, cluster string) {
	client, cluster = freeAddress(t), freeAddress(t)
	s := &Server{MaxOpen: 60, MaxCluster: 8, MaxHeld: 1 << 20, Idle: time.Minute, Quiet: 20 * time.Second, Split: splitTestFrame}
	s.Deliver = func(m Inbound) bool {
		go func() {
			if m.HTTP == nil {
				s.Answer(m.Conn, func(bool) []byte { return append(m.Frame, '\n') })
				return
			}
			body := []byte(`"` + m.HTTP.Path + `"`)
			switch m.HTTP.Path {
			case "/late":
				time.Sleep(200 * time.Millisecond)
			case "/large":
				body = []byte(strings.Repeat("a", largeAnswer))
			}
			s.Answer(m.Conn, func(closing bool) []byte { return AppendResponse(nil, 200, body, 0, closing) })
		}()
		return true
	}
	go s.Run(client, cluster)
	awaitListening(t, client)
	awaitListening(t, cluster)
	return client, cluster
}

// sendAndHalfClose sends a text, closes the sending side, and returns all that the server sends until
// it closes the connection.
func sendAndHalfClose(t *testing.T, address, sent string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(halfCloseTimeout))
	if _, err := io.WriteString(c, sent); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%.40q: %d bytes, then %v", sent, len(received), err)
	}
	return string(received)
}

// A client that sends a complete request and then closes its sending side (RFC 9112, section 9.6) gets
// the whole answer; one that does so within a request gets none, and both connections end.
func TestClientThatClosesItsSendingSideGetsItsAnswer(t *testing.T) {
	client, cluster := halfCloseServer(t)
	for _, c := range []struct{ name, sent, start, end string }{
		{"answered at once", healthRequest, "HTTP/1.1 200", `"/healthz"`},
		{"answered late", "GET /late HTTP/1.1\r\n\r\n", "HTTP/1.1 200", `"/late"`},
		{"with a body", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200", `"/a"`},
		{"large answer", "GET /large HTTP/1.1\r\n\r\n", "HTTP/1.1 200", strings.Repeat("a", largeAnswer)},
		{"malformed", "GET\r\n\r\n", "HTTP/1.1 400", "}"},
		{"two requests", "GET /late HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", "HTTP/1.1 200", `"/b"`},
		{"half a head", "GET /healthz HT", "", ""},
		{"half a body", "POST /a HTTP/1.1\r\nContent-Length: 20\r\n\r\n{}", "", ""},
		{"nothing", "", "", ""},
	} {
		got := sendAndHalfClose(t, client, c.sent)
		if !strings.HasPrefix(got, c.start) || !strings.HasSuffix(got, c.end) || c.start == "" && got != "" {
			t.Errorf("%s: got %d bytes, %.60q", c.name, len(got), got)
		}
	}
	if got := sendAndHalfClose(t, cluster, "frame\n"); got != "frame\n" {
		t.Errorf("frame of a controller: got %q", got)
	}
}
