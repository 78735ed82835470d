package duplicate

import "testing"

func TestNextUsesEveryDelay(t *testing.T) {
	var s Sequence
	seen := make(map[int64]bool)
	for range delays {
		seen[int64(s.Next())] = true
	}
	if len(seen) != len(delays) {
		t.Errorf("%d of %d delays", len(seen), len(delays))
	}
}
