package simulation

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"mapleslip/internal/controller"
)

// The digest of every trace that a test of this package plays, from testdata or generated, can
// be written to a file and compared with that of another version of the program:
//
//	go test ./internal/simulation -args -rapid.checks=300 -digests FILE
var digestFile = flag.String("digests", "", "write the digest of each trace that is played to this file")

var digests struct {
	sync.Mutex
	lines []string
}

// playTrace plays a trace as RunTrace does, and keeps its digest if -digests is given.
func playTrace(text string, prepare func(*World)) (*World, error) {
	if *digestFile == "" {
		return RunTrace(text, prepare)
	}
	w, err := RunTrace(text, func(w *World) {
		w.RecordDigest()
		if prepare != nil {
			prepare(w)
		}
	})
	digests.Lock()
	defer digests.Unlock()
	digests.lines = append(digests.lines, fmt.Sprintf("%x %s", sha256.Sum256([]byte(text)), w.Digest()))
	return w, err
}

// writeDigests writes the kept digests, sorted, so that the file does not depend on the order
// of the tests.
func writeDigests() error {
	if *digestFile == "" {
		return nil
	}
	slices.Sort(digests.lines)
	return os.WriteFile(*digestFile, []byte(strings.Join(digests.lines, "\n")+"\n"), 0o644)
}

func TestDigestIsTheSameInEachRun(t *testing.T) {
	text, err := os.ReadFile("testdata/takeover.trace")
	if err != nil {
		t.Fatal(err)
	}
	play := func() string {
		w, err := RunTrace(string(text), (*World).RecordDigest)
		if err != nil {
			t.Fatal(err)
		}
		return w.Digest()
	}
	if first, second := play(), play(); first != second || first == "" {
		t.Errorf("digests %q and %q", first, second)
	}
}

func TestDigestShowsEachField(t *testing.T) {
	reply := controller.Reply{To: controller.ReplyAddress{Conn: 7}, Status: 200, Body: []byte(`{"phase":"queued"}`)}
	call := controller.Call{Target: controller.ToState, Method: "GET", Path: "/store/epoch", Timeout: 5, Priority: 1}
	withReply := func(change func(*controller.Reply)) controller.Effect {
		changed := reply
		change(&changed)
		return changed
	}
	withCall := func(change func(*controller.Call)) controller.Effect {
		changed := call
		change(&changed)
		return changed
	}
	tests := map[string]struct {
		now    micros
		node   string
		effect controller.Effect
	}{
		"reply":             {1, "node-0", reply},
		"time":              {2, "node-0", reply},
		"node":              {1, "node-1", reply},
		"reply connection":  {1, "node-0", withReply(func(r *controller.Reply) { r.To.Conn = 8 })},
		"reply status":      {1, "node-0", withReply(func(r *controller.Reply) { r.Status = 201 })},
		"reply body":        {1, "node-0", withReply(func(r *controller.Reply) { r.Body = []byte(`{"phase":"done"}`) })},
		"reply retry after": {1, "node-0", withReply(func(r *controller.Reply) { r.RetryAfter = 1 })},
		"reply frame":       {1, "node-0", withReply(func(r *controller.Reply) { r.Frame = true })},
		"call":              {1, "node-0", call},
		"call target":       {1, "node-0", withCall(func(c *controller.Call) { c.Target = controller.ToCloud })},
		"call address":      {1, "node-0", withCall(func(c *controller.Call) { c.Addr = "n-000001:9000" })},
		"call method":       {1, "node-0", withCall(func(c *controller.Call) { c.Method = "POST" })},
		"call path":         {1, "node-0", withCall(func(c *controller.Call) { c.Path = "/store/leader" })},
		"call body":         {1, "node-0", withCall(func(c *controller.Call) { c.Body = []byte("{}") })},
		"call timeout":      {1, "node-0", withCall(func(c *controller.Call) { c.Timeout = 6 })},
		"call priority":     {1, "node-0", withCall(func(c *controller.Call) { c.Priority = 2 })},
		"call changes":      {1, "node-0", withCall(func(c *controller.Call) { c.Changes = 1 })},
		"share":             {1, "node-0", controller.RateShare{Leads: true}},
		"share lost":        {1, "node-0", controller.RateShare{}},
		"write rate":        {1, "node-0", controller.WriteRate{PerSecond: 35}},
		"write rate raised": {1, "node-0", controller.WriteRate{PerSecond: 40}},
		"log level":         {1, "node-0", controller.SetLogLevel{Level: "debug"}},
	}
	seen := make(map[string]string)
	for name, test := range tests {
		w := NewWorld(1)
		w.RecordDigest()
		w.digest.add(test.now, test.node, test.effect)
		if other, ok := seen[w.Digest()]; ok {
			t.Errorf("%s and %s have the same digest", name, other)
		}
		seen[w.Digest()] = name
	}
}
