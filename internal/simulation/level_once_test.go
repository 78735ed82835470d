package simulation

import (
	"strings"
	"testing"
)

// A leader whose transactions are carried out late, but are, activates a feature level once. Found by
// TestOverlapOfVersions with seed 9954903.
func TestLateTransactionsActivateALevelOnce(t *testing.T) {
	w, err := playTrace(`
nodes 7 a b c a b c a
production 3
team red max=8
team blue
type big cpus=8 gpus=2 mem=64 boot=10 zones=a,b,c,d
fleet 2 big a
fleet 3 big b
fleet 4 big c
fleet 3 big d
at 11 restart node-2 after=0.05
at 12 upgrade node-1 after=0.5
at 15 upgrade node-2 after=0.5
at 18 upgrade node-0 after=0.05
at 18.2 cut-zone b
at 20.8 late-writes every=1 by=6
at 34 count
`, nil)
	if err != nil {
		t.Errorf("%v\n%s", err, strings.Join(w.Log, "\n"))
	}
}
