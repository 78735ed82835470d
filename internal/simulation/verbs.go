package simulation

import (
	"errors"
	"fmt"
	"strings"
)

// verb carries out a line of a trace. words contains the words of the line, starting with the name
// of the verb.
type verb func(w *World, words []string) error

// verbs contains the verbs of lines with a time, by name.
var verbs map[string]verb

// init fills verbs. A composite literal would be an initialization cycle, since some verbs carry
// out others by way of the table.
func init() {
	verbs = make(map[string]verb)
	for _, group := range []map[string]verb{userVerbs(), nodeVerbs(), machineVerbs(), serviceVerbs(), networkVerbs(), operatorVerbs()} {
		for name, v := range group {
			if verbs[name] != nil {
				panic("simulation: two verbs " + name)
			}
			verbs[name] = v
		}
	}
	verbs["expect"] = func(w *World, words []string) error { return w.expect(words[1:]) }
}

var (
	errNoSuchNode    = errors.New("no such node")
	errNoSuchJob     = errors.New("no such job")
	errNoSuchMachine = errors.New("no such machine")
)

// runVerb carries out a line of a trace, without its time.
func (w *World) runVerb(words []string) error {
	w.note("-- %s", strings.Join(words, " "))
	v := verbs[words[0]]
	if v == nil {
		return fmt.Errorf("unknown word %s", words[0])
	}
	return v(w, words)
}
