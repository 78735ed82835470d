package simulation

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
)

// A trace is a script for one run of the simulation: it lists what a deployment contains, the
// events and their times, and what is expected. Lines that start with "at" have a time in seconds;
// the others, the setup lines, set up the deployment at the start. "#" begins a comment.
//
//	nodes 2
//	team red gpus=4 max=6
//	type small cpus=8 gpus=2 mem=64 boot=10 fetch=1 zones=a,b
//	machine n-000001 small a
//	at 2 submit req-000001 array tasks=2 run=10
//	at 9 kill leader
//	at 9 expect req-000001 running
//
// Independently of what a trace expects, the simulation checks the rules of the protocol
// throughout.

// RunTrace runs a trace and returns the world in its final state. It calls prepare, if not nil,
// before the first line. It returns an error if a rule of the protocol was broken, or an
// expectation or a line failed.
func RunTrace(text string, prepare func(*World)) (*World, error) {
	w := NewWorld(maxNodes)
	w.nodes = w.nodes[:3] // the default, which the nodes line of a trace changes
	if prepare != nil {
		prepare(w)
	}
	err := w.play(text)
	if len(w.Broken) > 0 {
		return w, fmt.Errorf("rules broken: %s", strings.Join(w.Broken, "; "))
	}
	return w, err
}

// maxNodes is the largest number of controllers in a trace.
const maxNodes = 7

// play carries out the lines of a trace.
func (w *World) play(text string) error {
	started := false
	scanner := bufio.NewScanner(strings.NewReader(text))
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		fail := func(format string, args ...any) error {
			return fmt.Errorf("line %d (%s): %s", lineNumber, strings.TrimSpace(line), fmt.Sprintf(format, args...))
		}
		if words[0] != "at" {
			if err := w.setup(words); err != nil {
				return fail("%v", err)
			}
			continue
		}
		if !started {
			w.Start()
			started = true
		}
		if len(words) < 3 {
			return fail("too short")
		}
		at, err := strconv.ParseFloat(words[1], 64)
		if err != nil {
			return fail("%v", err)
		}
		w.Run(protocol.FromSeconds(at))
		if err := w.runVerb(words[2:]); err != nil {
			return fail("%v", err)
		}
	}
	return nil
}

// options parses words of the form name=value.
func options(words []string) map[string]string {
	opts := map[string]string{}
	for _, word := range words {
		k, v, _ := strings.Cut(word, "=")
		opts[k] = v
	}
	return opts
}

// number returns the value of an option, or a default if it is missing or not a number.
func number(o map[string]string, name string, def float64) float64 {
	if v, err := strconv.ParseFloat(o[name], 64); err == nil {
		return v
	}
	return def
}

// duration returns the value of an option in seconds, or a default of def seconds.
func duration(o map[string]string, name string, def float64) micros {
	return protocol.FromSeconds(number(o, name, def))
}

// seconds parses a word that is a number of seconds, 0 if it is not a number.
func seconds(word string) micros { return protocol.FromSeconds(parseNumber(word, 0)) }

// parseNumber parses a word that is a number, or returns a default if it is not.
func parseNumber(word string, def float64) float64 {
	if v, err := strconv.ParseFloat(word, 64); err == nil {
		return v
	}
	return def
}

func thousandths(v float64) int64 { return int64(v * 1000) }
