package simulation

import (
	"regexp"
	"slices"
	"strings"
	"testing"
)

// mostTrials bounds how often a history that failed is played again to make it smaller.
const mostTrials = 400

var numbers = regexp.MustCompile(`[0-9]+(\.[0-9]+)?`)

// kindOf is what a failure is about: the rule that was broken first, or the expectation
// and what was found.
func kindOf(err error) string {
	text := numbers.ReplaceAllString(err.Error(), "")
	if rule, found := strings.CutPrefix(text, "rules broken: : "); found {
		rule, _, _ = strings.Cut(rule, ":")
		return rule
	}
	return text
}

// shrinkTrace leaves out what happens in a trace for as long as it still fails in the same
// way: first many lines at a time, then single ones. The scene stays.
func shrinkTrace(text, kind string) string {
	var scene, lines []string
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "at ") {
			lines = append(lines, line)
		} else {
			scene = append(scene, line)
		}
	}
	trials := 0
	whole := func(lines []string) string { return strings.Join(slices.Concat(scene, lines), "") }
	fails := func(lines []string) bool {
		trials++
		_, err := playTrace(whole(lines), nil)
		return err != nil && kindOf(err) == kind
	}
	for size := len(lines) / 2; size > 0 && trials < mostTrials; {
		smaller := false
		for i := 0; i < len(lines) && trials < mostTrials; {
			rest := slices.Concat(lines[:i], lines[min(len(lines), i+size):])
			if fails(rest) {
				lines, smaller = rest, true
			} else {
				i += size
			}
		}
		if !smaller || size > 1 {
			size /= 2
		}
	}
	return whole(lines)
}

// What does not matter goes, what does stays.
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
	small := shrinkTrace(text, kindOf(err))
	for _, line := range []string{"state-slow", "balance", "req-000001"} {
		if strings.Contains(small, line) {
			t.Errorf("%s is still there:\n%s", line, small)
		}
	}
	if _, err = playTrace(small, nil); err == nil || !strings.Contains(small, "submit req-000002") {
		t.Errorf("what fails is gone:\n%s", small)
	}
}
