package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// clock is a clock that only a test advances.
type clock struct{ t time.Time }

func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

// limitedServer returns a server with limits, whose requests are answered at once, and its clock.
func limitedServer(maxOpen, maxCluster int) (*Server, *clock) {
	c := &clock{time.Unix(1_700_000_000, 0)}
	s := &Server{
		MaxOpen: maxOpen, MaxCluster: maxCluster, MaxHeld: 1 << 20, Idle: time.Minute, Quiet: 20 * time.Second,
		Split: splitTestFrame, now: func() time.Time { return c.t },
	}
	s.Deliver = func(Inbound) bool { return true }
	s.reset()
	return s, c
}

// splitTestFrame splits frames that end with a newline.
func splitTestFrame(buf []byte) ([]byte, int, error) {
	line, used, _ := cutLine(buf)
	return line, used, nil
}

const healthRequest = "GET /healthz HTTP/1.1\r\n\r\n"

// open opens a connection and sends bytes. It returns nil if the connection is refused.
func open(s *Server, address int, sent string) *serverConn {
	c := s.opened(new(fakeSocket), address == 1)
	if c == nil {
		return nil
	}
	if sent != "" {
		s.data(c, []byte(sent))
	}
	return c
}

// exchange sends a complete message over an open connection and reports whether it is answered.
func exchange(s *Server, c *serverConn, message string) bool {
	if c == nil {
		return false
	}
	s.data(c, []byte(message))
	s.Answer(c.id, func(bool) []byte { return []byte("answer") })
	out, action := s.woken(c)
	return string(out) == "answer" && action == actNext
}

// closeEvicted reports the end of the connections that the server has evicted, as their goroutines do.
func closeEvicted(s *Server, conns []*serverConn) (left []*serverConn) {
	for _, c := range conns {
		if c == nil {
			continue
		}
		if c.evicted {
			s.closed(c)
			continue
		}
		left = append(left, c)
	}
	return left
}

// unfinishedMessages are what a client may have sent without completing a request.
var unfinishedMessages = map[string]string{
	"nothing":          "",
	"half a head":      "POST /api/jobs HTTP/1.1\r\nHost: a\r\n",
	"half a body":      "POST /api/jobs HTTP/1.1\r\nContent-Length: 300\r\n\r\n{\"ref\":",
	"half a chunk":     "POST /api/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{",
	"no 100 yet":       "POST /api/jobs HTTP/1.1\r\nContent-Length: 300\r\nExpect: 100-continue\r\n\r\n",
	"empty lines":      "\r\n\r\n",
	"something else":   "\x16\x03\x01\x02\x00",
	"body too large":   "POST /api/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n{}",
	"line without CR":  "GET /healthz HTTP/1.1\nHost: a\n\n",
	"text without end": strings.Repeat("a", 100),
}

// Connections that complete no request, as many as the limit and refilled again and again, keep out
// neither a new client nor another controller, and cut off none that was served.
func TestUnfinishedConnectionsKeepOutNobody(t *testing.T) {
	const limit = 100
	for name, sent := range unfinishedMessages {
		t.Run(name, func(t *testing.T) {
			s, now := limitedServer(limit, 8)
			worker, peer := open(s, 0, ""), open(s, 1, "")
			if !exchange(s, worker, healthRequest) || !exchange(s, peer, "frame\n") {
				t.Fatal("not served")
			}
			var flood []*serverConn
			for round := range 50 {
				for range limit + 20 {
					flood = closeEvicted(s, append(flood, open(s, 0, sent)))
				}
				now.advance(unfinishedGrace)
				flood = closeEvicted(s, flood)
				for _, address := range []int{0, 1} {
					c := open(s, address, "")
					if !exchange(s, c, map[int]string{0: healthRequest, 1: "frame\n"}[address]) {
						t.Fatalf("round %d: a new connection on address %d is not served", round, address)
					}
					s.closed(c)
				}
				if !exchange(s, worker, healthRequest) || !exchange(s, peer, "frame\n") {
					t.Fatalf("round %d: an open connection is cut off", round)
				}
				if n := len(s.clients.conns) + len(s.cluster.conns); n > limit {
					t.Fatalf("%d connections, the limit is %d", n, limit)
				}
			}
		})
	}
}

// Nor do connections that send a byte, or an empty line, at a time and never fall silent.
func TestSlowMessagesKeepOutNobody(t *testing.T) {
	const limit = 50
	for _, sent := range []string{"a", "\r\n"} {
		s, now := limitedServer(limit, 8)
		worker := open(s, 0, "")
		if !exchange(s, worker, healthRequest) {
			t.Fatal("not served")
		}
		var flood []*serverConn
		for round := range 100 {
			for range limit {
				flood = closeEvicted(s, append(flood, open(s, 0, "POST /")))
			}
			for range 6 {
				now.advance(unfinishedGrace / 5)
				for _, c := range flood {
					s.data(c, []byte(sent))
				}
			}
			c := open(s, 0, "")
			if !exchange(s, c, healthRequest) || !exchange(s, worker, healthRequest) {
				t.Fatalf("%q, round %d: not served", sent, round)
			}
			s.closed(c)
		}
	}
}

// The buffers that idle connections keep for their next message are no incomplete messages: however
// many there are, a message that arrives in parts is not cut off.
func TestIdleBuffersCutOffNoMessage(t *testing.T) {
	s, _ := limitedServer(3000, 8)
	report := "POST /hello HTTP/1.1\r\nContent-Length: 7000\r\n\r\n" + strings.Repeat("a", 7000)
	for range 2000 {
		if !exchange(s, open(s, 0, ""), report) {
			t.Fatal("not served")
		}
	}
	if s.clients.memory.bytes != 0 {
		t.Errorf("%d bytes count as incomplete messages", s.clients.memory.bytes)
	}
	first, second := open(s, 0, report[:5000]), open(s, 0, report[:5000])
	if !exchange(s, first, report[5000:]) || !exchange(s, second, report[5000:]) {
		t.Error("a message in two parts is cut off")
	}
}

// On the address for controllers, unfinished frames keep out no other controller and no client.
func TestUnfinishedFramesKeepOutNobody(t *testing.T) {
	s, now := limitedServer(100, 8)
	var flood []*serverConn
	for round := range 20 {
		for range 30 {
			flood = closeEvicted(s, append(flood, open(s, 1, "half a frame")))
		}
		now.advance(unfinishedGrace)
		flood = closeEvicted(s, flood)
		peer, client := open(s, 1, ""), open(s, 0, "")
		if !exchange(s, peer, "frame\n") || !exchange(s, client, healthRequest) {
			t.Fatalf("round %d: a new connection is not served", round)
		}
		s.closed(peer)
		s.closed(client)
	}
}

// A sound request that is sent a byte at a time within the 5 s that its user waits is served, also
// while silent connections take up the limit and new ones arrive.
func TestSlowSoundRequestIsServedBesideSilentConnections(t *testing.T) {
	s, now := limitedServer(50, 8)
	request := "POST /api/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
	c := open(s, 0, "")
	var flood []*serverConn
	for i := range len(request) {
		now.advance(5 * time.Second / time.Duration(len(request)))
		flood = closeEvicted(s, append(flood, open(s, 0, ""), open(s, 0, "GET /")))
		if c.evicted {
			t.Fatalf("cut off after %d bytes", i)
		}
		s.data(c, []byte{request[i]})
	}
	if state := c.state; state != connAwaitingAnswer {
		t.Errorf("state %d after the whole request", state)
	}
}

// A message that takes longer than any client waits is cut off, however steadily it arrives.
func TestEndlessMessageTimesOut(t *testing.T) {
	s, now := limitedServer(50, 8)
	c := open(s, 0, "GET /")
	for range 2 * int(messageTimeout/time.Second) {
		now.advance(time.Second)
		s.data(c, []byte("a"))
		s.tick()
	}
	if _, action := s.woken(c); action != actClose || s.reported.TimedOut == 0 {
		t.Errorf("action %v, %+v", action, s.reported)
	}
}

// Incomplete messages of any number of connections take a bounded amount of memory together, and a
// sound request is served beside them.
func TestIncompleteMessagesTakeBoundedMemory(t *testing.T) {
	for name, sent := range map[string]string{
		"body":   "POST /a HTTP/1.1\r\nContent-Length: 65000\r\n\r\n" + strings.Repeat("a", 60_000),
		"chunks": "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 500)+"\r\na\r\n", 100),
		"head":   "GET /" + strings.Repeat("a", MaxHead-100),
	} {
		s, now := limitedServer(3000, 8)
		var conns []*serverConn
		for range 2000 {
			conns = append(conns, open(s, 0, sent))
			now.advance(time.Millisecond)
		}
		held := 0
		for _, c := range conns {
			held += c.request.held()
		}
		if held > s.MaxHeld || held != s.clients.memory.bytes {
			t.Errorf("%s: %d bytes are held, %d are counted, the limit is %d", name, held, s.clients.memory.bytes, s.MaxHeld)
		}
		c := open(s, 0, "")
		if !exchange(s, c, healthRequest) {
			t.Errorf("%s: a sound request is not served", name)
		}
		for _, c := range append(conns, c) {
			s.closed(c)
		}
		if s.clients.memory.bytes != 0 || s.clients.evicting != 0 || len(s.clients.conns) != 0 {
			t.Errorf("%s: %d bytes and %d connections are left", name, s.clients.memory.bytes, len(s.clients.conns))
		}
	}
}

// Evicted connections that can't be closed yet, since their client reads no answer, count as sockets.
func TestEvictedConnectionsAreLimited(t *testing.T) {
	s, now := limitedServer(20, 4)
	for range 100 {
		open(s, 0, "")
		now.advance(time.Second)
	}
	if s.clients.evicting > maxEvicting || s.clients.counts.Refused == 0 {
		t.Errorf("%d evicted connections are open, %d were refused", s.clients.evicting, s.clients.counts.Refused)
	}
}

// A client that waits for status 100 before it sends a body gets it once.
func TestExpectContinue(t *testing.T) {
	s, _ := limitedServer(20, 4)
	c := open(s, 0, "")
	out, _ := s.data(c, []byte("POST /a HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"))
	if string(out) != continueResponse {
		t.Fatalf("%q", out)
	}
	if out, _ := s.data(c, []byte("{")); len(out) > 0 {
		t.Fatalf("%q", out)
	}
	if !exchange(s, c, "}") {
		t.Error("the request is not served")
	}
}

// With real sockets: a server whose limit is taken up by half-sent requests from several addresses
// answers a health check, and answers a request that it refuses before the client has sent all.
func TestHalfSentRequestsOverRealSockets(t *testing.T) {
	var offset atomic.Int64
	client, cluster := freeAddress(t), freeAddress(t)
	s := &Server{
		MaxOpen: 60, MaxCluster: 8, MaxHeld: 1 << 20, Idle: time.Minute, Quiet: 20 * time.Second, Split: splitTestFrame,
		now: func() time.Time { return time.Unix(1_700_000_000, 0).Add(time.Duration(offset.Load())) },
	}
	s.Deliver = func(m Inbound) bool {
		go s.Answer(m.Conn, func(closing bool) []byte { return AppendResponse(nil, 200, []byte("{}"), 0, closing) })
		return true
	}
	go s.Run(client, cluster)
	awaitListening(t, client)
	for i := range 100 {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+i%3))}, Timeout: 10 * time.Second}
		c, err := dialer.Dial("tcp", client)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "POST /api/jobs HTTP/1.1\r\nContent-Length: 300\r\n\r\n{")
	}
	awaitParts(t, s, 100)
	// Each retry stands for a probe of a load balancer. All connections are silent for long enough then.
	offset.Store(int64(unfinishedGrace))
	var err error
	for range 20 {
		if err = getOverNewConnection("http://" + client + "/healthz"); err == nil {
			break
		}
	}
	if err != nil {
		t.Errorf("health check: %v", err)
	}
	response, err := http.Post("http://"+client+"/api/jobs", "application/json", strings.NewReader(strings.Repeat("a", 1<<20)))
	if err != nil {
		t.Fatalf("a body over the limit: %v", err)
	}
	response.Body.Close()
	if response.StatusCode != 400 {
		t.Errorf("a body over the limit: status %d", response.StatusCode)
	}
}

// awaitParts waits until the server has handled so many connections and has a part of a message of each
// that is open: what it gets later is not silent for as long.
func awaitParts(t *testing.T, s *Server, connections ConnID) {
	t.Helper()
	handled := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.clients.conns {
			if !c.hasPart() {
				return false
			}
		}
		return s.nextID >= connections
	}
	for range 1000 {
		if handled() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the server does not handle its connections")
}

func getOverNewConnection(url string) error {
	h := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := h.Get(url)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// freeAddress returns an address on loopback that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// awaitListening waits until the server listens on an address.
func awaitListening(t *testing.T, address string) {
	t.Helper()
	for range 500 {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the server does not listen")
}
