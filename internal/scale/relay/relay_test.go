package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"mapleslip/internal/loopback"
	"mapleslip/internal/scale/wire"
)

// relayTest is a relay of region r0 with a server behind it. The server answers each line with
// the client's IP and the line, and sends each line that it has read, and `end` for the end of
// a connection, to received.
type relayTest struct {
	t        *testing.T
	prefix   string
	messages *wire.Writer
	public   string
	received chan string
}

func startRelay(t *testing.T, delay time.Duration) *relayTest {
	t.Helper()
	n, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	b := &relayTest{t: t, prefix: n.Prefix, public: n.Prefix + "0.10:8100", received: make(chan string, 100)}
	ln, err := net.Listen("tcp4", n.Prefix+"0.10:7100")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
				for s := bufio.NewScanner(c); s.Scan(); {
					b.received <- s.Text()
					fmt.Fprintf(c, "%s %s\n", host, s.Text())
				}
				b.received <- "end"
			}()
		}
	}()
	in, toPart := io.Pipe()
	fromPart, out := io.Pipe()
	b.messages = wire.NewWriter(toPart)
	done := make(chan error, 1)
	go func() { done <- Run(in, out, slog.New(slog.DiscardHandler)) }()
	ready := make(chan string, 1)
	go func() {
		_ = wire.Read(fromPart, func(m *wire.Message) bool {
			if m.Kind == wire.Ready {
				ready <- m.Text
			}
			return true
		})
	}()
	_ = b.messages.Send(&wire.Message{Kind: wire.Setup, Setup: &wire.Config{Part: "relay-r0", Links: &wire.Links{
		Region: "r0", Listen: map[string]string{b.public: n.Prefix + "0.10:7100"},
		Of: map[string]string{n.Prefix + "1.1": "r0", n.Prefix + "1.2": "r1"}, Delay: map[string]int64{"r1": delay.Microseconds()},
	}}})
	if problem := <-ready; problem != "" {
		t.Fatal(problem)
	}
	t.Cleanup(func() {
		_ = b.messages.Send(&wire.Message{Kind: wire.Stop})
		if err := <-done; err != nil {
			t.Error(err)
		}
		toPart.Close()
		ln.Close()
		_ = n.Close()
	})
	return b
}

func (b *relayTest) dial(source string) *net.TCPConn {
	b.t.Helper()
	c, err := b.tryDial(source)
	if err != nil {
		b.t.Fatal(err)
	}
	return c
}

func (b *relayTest) tryDial(source string) (*net.TCPConn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(b.prefix + source)}}
	c, err := d.Dial("tcp4", b.public)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

func (b *relayTest) readLine(c net.Conn) string {
	b.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	text, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		b.t.Fatal(err)
	}
	return strings.TrimSpace(text)
}

// waitForMessages returns when the relay has handled all messages sent before. The relay handles
// messages in order, and the last one makes it listen on another address.
func (b *relayTest) waitForMessages() {
	b.t.Helper()
	m := &wire.Machine{Region: "r0", Public: b.prefix + "9.9:9000", Listen: b.prefix + "9.9:9001", Source: b.prefix + "9.9"}
	_ = b.messages.Send(&wire.Message{Kind: wire.Boot, Machine: m})
	for range 1000 {
		if c, err := net.Dial("tcp4", m.Public); err == nil {
			c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatal("the relay handles no messages")
}

// The server sees the client's IP, and a round trip between regions takes at least its two
// delays.
func TestDelay(t *testing.T) {
	b := startRelay(t, 60*time.Millisecond)
	near := b.dial("1.1")
	defer near.Close()
	fmt.Fprintln(near, "one")
	if got := b.readLine(near); got != b.prefix+"1.1 one" {
		t.Errorf("answer within the region: %q", got)
	}
	far := b.dial("1.2")
	defer far.Close()
	began := time.Now()
	fmt.Fprintln(far, "two")
	if got := b.readLine(far); got != b.prefix+"1.2 two" {
		t.Errorf("answer between regions: %q", got)
	}
	if took := time.Since(began); took < 120*time.Millisecond {
		t.Errorf("a round trip of two times 60 ms took %s", took)
	}
}

// During a cut the data that a region sends is held. It arrives in order after the cut, also if
// the client has closed the connection. A connection that is both opened and closed during the
// cut never reaches the server. Connections within the region are not affected.
func TestCut(t *testing.T) {
	const cut = 2 * time.Second
	b := startRelay(t, 0)
	far := b.dial("1.2")
	fmt.Fprintln(far, "before")
	if got := <-b.received; got != "before" {
		t.Fatal(got)
	}
	b.readLine(far)
	began := time.Now()
	_ = b.messages.Send(&wire.Message{Kind: wire.Fault, Text: wire.FaultCut, Region: "r1", For: cut.Microseconds()})
	b.waitForMessages()
	for i := range 3 {
		fmt.Fprintf(far, "held %d\n", i)
	}
	far.Close()
	abandoned := b.dial("1.2")
	fmt.Fprintln(abandoned, "given up")
	abandoned.Close()
	kept := b.dial("1.2")
	defer kept.Close()
	fmt.Fprintln(kept, "kept")
	near := b.dial("1.1")
	defer near.Close()
	fmt.Fprintln(near, "near")
	if got := <-b.received; got != "near" {
		t.Fatalf("%q arrived during the cut", got)
	}
	var order []string
	seen := make(map[string]bool)
	// Three held lines, the end of their connection, and the line of the kept connection.
	for len(seen) < 5 {
		got := <-b.received
		if took := time.Since(began); took < cut {
			t.Errorf("%q arrived %s after the cut began, before its end", got, took)
		}
		seen[got] = true
		if got != "kept" {
			order = append(order, got)
		}
	}
	if want := "held 0,held 1,held 2,end"; strings.Join(order, ",") != want {
		t.Errorf("received %q, want %q", order, want)
	}
	if !seen["kept"] || seen["given up"] {
		t.Errorf("received after the cut: %v", seen)
	}
	if got := b.readLine(kept); got != b.prefix+"1.2 kept" {
		t.Errorf("answer on the kept connection: %q", got)
	}
}

// A loss fault resets open connections and new ones.
func TestLoss(t *testing.T) {
	b := startRelay(t, 0)
	c := b.dial("1.2")
	defer c.Close()
	fmt.Fprintln(c, "one")
	b.readLine(c)
	_ = b.messages.Send(&wire.Message{Kind: wire.Fault, Text: wire.FaultLoss, Region: "r1", Factor: 1, For: 3600e6})
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("open connection is not reset: %v", err)
	}
	// On a busy machine the reset may arrive before Dial returns, which then fails.
	made, err := b.tryDial("1.2")
	if err == nil {
		defer made.Close()
		_ = made.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = made.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("new connection is not reset: %v", err)
	}
}
