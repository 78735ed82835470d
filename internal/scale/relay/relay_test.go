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

// bench is a relay of region r0 with a server behind it that answers each line with the
// caller's IP and the line, and says what it has read.
type bench struct {
	t      *testing.T
	prefix string
	orders *wire.Writer
	public string
	heard  chan string
}

func start(t *testing.T, delay time.Duration) *bench {
	t.Helper()
	n, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, prefix: n.Prefix, public: n.Prefix + "0.10:8100", heard: make(chan string, 100)}
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
					b.heard <- s.Text()
					fmt.Fprintf(c, "%s %s\n", host, s.Text())
				}
				b.heard <- "end"
			}()
		}
	}()
	in, toPart := io.Pipe()
	fromPart, out := io.Pipe()
	b.orders = wire.NewWriter(toPart)
	over := make(chan error, 1)
	go func() { over <- Run(in, out, slog.New(slog.DiscardHandler)) }()
	ready := make(chan string, 1)
	go func() {
		_ = wire.Read(fromPart, func(m *wire.Message) bool {
			if m.Kind == wire.Ready {
				ready <- m.Text
			}
			return true
		})
	}()
	_ = b.orders.Send(&wire.Message{Kind: wire.Setup, Setup: &wire.Config{Part: "relay-r0", Links: &wire.Links{
		Region: "r0", Listen: map[string]string{b.public: n.Prefix + "0.10:7100"},
		Of: map[string]string{n.Prefix + "1.1": "r0", n.Prefix + "1.2": "r1"}, Delay: map[string]int64{"r1": delay.Microseconds()},
	}}})
	if problem := <-ready; problem != "" {
		t.Fatal(problem)
	}
	t.Cleanup(func() {
		_ = b.orders.Send(&wire.Message{Kind: wire.Stop})
		if err := <-over; err != nil {
			t.Error(err)
		}
		toPart.Close()
		ln.Close()
		_ = n.Close()
	})
	return b
}

func (b *bench) dial(source string) *net.TCPConn {
	b.t.Helper()
	c, err := b.tryDial(source)
	if err != nil {
		b.t.Fatal(err)
	}
	return c
}

func (b *bench) tryDial(source string) (*net.TCPConn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(b.prefix + source)}}
	c, err := d.Dial("tcp4", b.public)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

func (b *bench) line(c net.Conn) string {
	b.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	text, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		b.t.Fatal(err)
	}
	return strings.TrimSpace(text)
}

// sync returns once the relay has taken all orders: they are taken in turn, and the last
// one has it listen on one more address.
func (b *bench) sync() {
	b.t.Helper()
	m := &wire.Machine{Region: "r0", Public: b.prefix + "9.9:9000", Listen: b.prefix + "9.9:9001", Source: b.prefix + "9.9"}
	_ = b.orders.Send(&wire.Message{Kind: wire.Boot, Machine: m})
	for range 1000 {
		if c, err := net.Dial("tcp4", m.Public); err == nil {
			c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatal("the relay takes no orders")
}

// Whoever is called sees the caller's IP; a round trip between regions takes at least its
// delays.
func TestDelay(t *testing.T) {
	b := start(t, 60*time.Millisecond)
	near := b.dial("1.1")
	defer near.Close()
	fmt.Fprintln(near, "one")
	if got := b.line(near); got != b.prefix+"1.1 one" {
		t.Errorf("%q", got)
	}
	far := b.dial("1.2")
	defer far.Close()
	began := time.Now()
	fmt.Fprintln(far, "two")
	if got := b.line(far); got != b.prefix+"1.2 two" {
		t.Errorf("%q", got)
	}
	if took := time.Since(began); took < 120*time.Millisecond {
		t.Errorf("a round trip of two times 60 ms took %s", took)
	}
}

// While a region is apart, what it sends is held, and comes in order afterwards, also if
// its connection was closed meanwhile. Who gave up a connection made behind the cut is
// not heard of. Within the region all goes on.
func TestCut(t *testing.T) {
	const cut = 2 * time.Second
	b := start(t, 0)
	far := b.dial("1.2")
	fmt.Fprintln(far, "before")
	if got := <-b.heard; got != "before" {
		t.Fatal(got)
	}
	b.line(far)
	began := time.Now()
	_ = b.orders.Send(&wire.Message{Kind: wire.Fault, Text: wire.FaultCut, Region: "r1", For: cut.Microseconds()})
	b.sync()
	for i := range 3 {
		fmt.Fprintf(far, "held %d\n", i)
	}
	far.Close()
	given := b.dial("1.2")
	fmt.Fprintln(given, "given up")
	given.Close()
	kept := b.dial("1.2")
	defer kept.Close()
	fmt.Fprintln(kept, "kept")
	near := b.dial("1.1")
	defer near.Close()
	fmt.Fprintln(near, "near")
	if got := <-b.heard; got != "near" {
		t.Fatalf("%q came through the cut", got)
	}
	var order []string
	seen := make(map[string]bool)
	for len(seen) < 5 { // three held lines, the end of their connection, and what was kept
		got := <-b.heard
		if took := time.Since(began); took < cut {
			t.Errorf("%q came after %s", got, took)
		}
		seen[got] = true
		if got != "kept" {
			order = append(order, got)
		}
	}
	if want := "held 0,held 1,held 2,end"; strings.Join(order, ",") != want {
		t.Errorf("%q came, not %q", order, want)
	}
	if !seen["kept"] || seen["given up"] {
		t.Errorf("%v", seen)
	}
	if got := b.line(kept); got != b.prefix+"1.2 kept" {
		t.Errorf("%q", got)
	}
}

// A fault of losses resets connections that are open and those that are made.
func TestLoss(t *testing.T) {
	b := start(t, 0)
	c := b.dial("1.2")
	defer c.Close()
	fmt.Fprintln(c, "one")
	b.line(c)
	_ = b.orders.Send(&wire.Message{Kind: wire.Fault, Text: wire.FaultLoss, Region: "r1", Factor: 1, For: 3600e6})
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("an open connection: %v", err)
	}
	// On a busy machine the reset may be there before the dialer has seen the connection.
	made, err := b.tryDial("1.2")
	if err == nil {
		defer made.Close()
		_ = made.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = made.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("one that is made: %v", err)
	}
}
