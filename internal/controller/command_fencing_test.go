package controller

import (
	"testing"

	"mapleslip/internal/leadership"
	"mapleslip/internal/state"
)

func newFencingSender() *commandSender {
	return &commandSender{termContext: &termContext{environment: &environment{}, tokens: leadership.Tokens{First: 11, Last: 13}}}
}

// A forget has a higher token than each direct command with orders before it, is not sent beside
// one in flight, and is not sent at all once the epoch has no higher token.
func TestForgetIsFencedFromDirectCommands(t *testing.T) {
	cs, h := newFencingSender(), &state.Host{}
	expect := func(step string, fenced bool, token uint64) {
		t.Helper()
		if got := cs.fenceDirectCommands(h); got != fenced || cs.token(h) != token {
			t.Fatalf("%s: fenced %t with token %d, want %t with %d", step, got, cs.token(h), fenced, token)
		}
	}
	expect("no direct command", true, 11)
	h.Commands.Token, h.Commands.OrdersSent, h.Commands.InFlight = cs.token(h), true, true
	expect("in flight", false, 11)
	h.Commands.InFlight = false
	expect("answered", true, 12)
	expect("a second forget", true, 12)
	h.Commands.OrdersSent = true
	expect("another command", true, 13)
	h.Commands.OrdersSent = true
	expect("no token left", false, 13)
	if !cs.tokensExhausted {
		t.Error("the leader does not know that the tokens are used up")
	}
}

// A host that was removed and added again may have got direct commands under the token that its
// worker has seen.
func TestTokenThatAWorkerHasSeenIsTakenOver(t *testing.T) {
	for _, test := range []struct {
		name       string
		seen       uint64
		token      uint64
		ordersSent bool
	}{
		{"of this epoch", 12, 12, true},
		{"of an earlier epoch", 10, 11, false},
		{"none", 0, 11, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			cs, h := newFencingSender(), &state.Host{}
			cs.observeToken(h, test.seen)
			if cs.token(h) != test.token || h.Commands.OrdersSent != test.ordersSent {
				t.Errorf("token %d, orders sent %t", cs.token(h), h.Commands.OrdersSent)
			}
		})
	}
}
