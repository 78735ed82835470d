package leadership

import (
	"testing"

	"pgregory.net/rapid"
)

// Whichever versions lead one after the other, each leader's tokens are above those of all earlier
// leaders.
func TestTokensOfLaterEpochsAreHigher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var last uint64
		for range rapid.IntRange(1, 12).Draw(t, "epochs") {
			next := NextEpoch(last)
			if rapid.Bool().Draw(t, "one token per epoch") {
				next = last + 1
			}
			if tokens := TokensOf(next); tokens.First <= last || tokens.Last != next || !tokens.Contains(next) || tokens.Contains(last) {
				t.Fatalf("epoch %d after %d has the tokens %v", next, last, tokens)
			}
			last = next
		}
	})
}
