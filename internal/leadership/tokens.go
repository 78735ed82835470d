package leadership

// Tokens is the range of fencing tokens that the leader of an epoch may send to workers. A worker
// drops commands with a lower token than the highest one that it has received. So a leader that
// raises the token for one worker makes that worker drop every earlier command, also copies and
// commands that are still on their way.
type Tokens struct{ First, Last uint64 }

// TokensPerEpoch is how many tokens the leader of an epoch has for each worker.
const TokensPerEpoch = 1 << 20

// NextEpoch returns the number of the epoch after the last one, which is 0 if there was none. The
// number is the last token of the epoch. A version that numbers epochs one by one and uses the
// number as its only token therefore continues above all tokens of this epoch.
func NextEpoch(last uint64) uint64 {
	usedBlocks := last / TokensPerEpoch
	if last%TokensPerEpoch > 0 {
		usedBlocks++ // epochs of a version with one token each
	}
	return (usedBlocks + 1) * TokensPerEpoch
}

// TokensOf returns the tokens of an epoch.
func TokensOf(epoch uint64) Tokens {
	if epoch < TokensPerEpoch || epoch%TokensPerEpoch != 0 {
		return Tokens{epoch, epoch} // of a version with one token for each epoch
	}
	return Tokens{epoch - TokensPerEpoch + 1, epoch}
}

// Contains reports whether a token belongs to the epoch.
func (t Tokens) Contains(token uint64) bool { return t.First <= token && token <= t.Last }
