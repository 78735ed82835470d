package simulation

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
)

// A trace is a text that people read: what a deployment has, what happens to it and when, and what
// is expected. Lines that start with "at" carry an instant in seconds; the others set the scene.
// "#" begins a comment.
//
//	nodes 2
//	team red gpus=4 max=6
//	type small cpus=8 gpus=2 mem=64 boot=10 fetch=1 zones=a,b
//	machine n-000001 small a
//	at 2 submit req-000001 array tasks=2 run=10
//	at 9 kill leader
//	at 9 expect req-000001 running
//
// Whatever a trace expects, the rules of the protocol are checked throughout.

// RunTrace plays a trace and returns the world as it was at its end.
func RunTrace(text string, prepare func(*World)) (*World, error) {
	w := NewWorld(mostNodes)
	w.nodes = w.nodes[:3] // unless the trace says otherwise
	if prepare != nil {
		prepare(w)
	}
	err := w.play(text)
	if len(w.Broken) > 0 {
		return w, fmt.Errorf("rules broken: %s", strings.Join(w.Broken, "; "))
	}
	return w, err
}

// mostNodes is how many controllers a trace may have.
const mostNodes = 7

// play does what the lines of a trace say.
func (w *World) play(text string) error {
	started := false
	sc := bufio.NewScanner(strings.NewReader(text))
	for no := 1; sc.Scan(); no++ {
		line, _, _ := strings.Cut(sc.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		fail := func(format string, args ...any) error {
			return fmt.Errorf("line %d (%s): %s", no, strings.TrimSpace(line), fmt.Sprintf(format, args...))
		}
		if words[0] != "at" {
			if err := w.scene(words); err != nil {
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
		if err := w.act(words[2:]); err != nil {
			return fail("%v", err)
		}
	}
	return nil
}

// options reads words of the form name=value.
func options(words []string) map[string]string {
	o := map[string]string{}
	for _, word := range words {
		k, v, _ := strings.Cut(word, "=")
		o[k] = v
	}
	return o
}

// number is the value of an option, or a default.
func number(o map[string]string, name string, def float64) float64 {
	if v, err := strconv.ParseFloat(o[name], 64); err == nil {
		return v
	}
	return def
}

// duration is the value of an option in seconds, or a default.
func duration(o map[string]string, name string, def float64) micros {
	return protocol.FromSeconds(number(o, name, def))
}

// seconds reads a word that is a number of seconds.
func seconds(word string) micros { return protocol.FromSeconds(numberOf(word, 0)) }

// numberOf reads a word that is a number, or a default.
func numberOf(word string, def float64) float64 {
	if v, err := strconv.ParseFloat(word, 64); err == nil {
		return v
	}
	return def
}

func thousandths(v float64) int64 { return int64(v * 1000) }
