package simulation

import (
	"regexp"
	"slices"
	"strings"
	"testing"
)

// maxTrials limits how often a failed trace is played again in order to shrink it.
const maxTrials = 400

var numbers = regexp.MustCompile(`[0-9]+(\.[0-9]+)?`)

// failureKind identifies a failure without its numbers: by the rule that was broken first, or by
// the failed expectation and the value found instead.
func failureKind(err error) string {
	text := numbers.ReplaceAllString(err.Error(), "")
	if rule, found := strings.CutPrefix(text, "rules broken: : "); found {
		rule, _, _ = strings.Cut(rule, ":")
		return rule
	}
	return text
}

// shrinkTrace removes timed lines from a trace as long as it still fails in the same way: first
// many lines at a time, then single ones. The setup lines stay.
func shrinkTrace(text, kind string) string {
	var setup, lines []string
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "at ") {
			lines = append(lines, line)
		} else {
			setup = append(setup, line)
		}
	}
	trials := 0
	join := func(lines []string) string { return strings.Join(slices.Concat(setup, lines), "") }
	fails := func(lines []string) bool {
		trials++
		_, err := playTrace(join(lines), nil)
		return err != nil && failureKind(err) == kind
	}
	for size := len(lines) / 2; size > 0 && trials < maxTrials; {
		removed := false
		for i := 0; i < len(lines) && trials < maxTrials; {
			rest := slices.Concat(lines[:i], lines[min(len(lines), i+size):])
			if fails(rest) {
				lines, removed = rest, true
			} else {
				i += size
			}
		}
		if !removed || size > 1 {
			size /= 2
		}
	}
	return join(lines)
}

// shrinkTrace removes lines that don't contribute to the failure, and keeps those that do.
func TestShrinkTrace(t *testing.T) {
	const text = `nodes 3
team red
type big cpus=8 gpus=2 mem=64 boot=10 zones=a
fleet 2 big a
at 1 balance
at 2 submit req-000001 array tasks=1 run=5
at 3 submit req-000002 array tasks=1 run=500
at 9 state-slow 0.1
at 30 expect req-000001 done
at 31 expect req-000002 done
`
	_, err := playTrace(text, nil)
	if err == nil {
		t.Fatal("the trace does not fail")
	}
	small := shrinkTrace(text, failureKind(err))
	for _, line := range []string{"state-slow", "balance", "req-000001"} {
		if strings.Contains(small, line) {
			t.Errorf("%s was not removed:\n%s", line, small)
		}
	}
	if _, err = playTrace(small, nil); err == nil || !strings.Contains(small, "submit req-000002") {
		t.Errorf("the failing lines were removed:\n%s", small)
	}
}
