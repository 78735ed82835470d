package simulation

import (
	"errors"
	"fmt"
	"strings"
)

// verb does what a line of a trace says. The first word names it.
type verb func(w *World, words []string) error

// verbs are those of lines with an instant.
var verbs map[string]verb

// init fills the table: some verbs carry out others.
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

// act does what a line of a trace says.
func (w *World) act(words []string) error {
	w.note("-- %s", strings.Join(words, " "))
	v := verbs[words[0]]
	if v == nil {
		return fmt.Errorf("unknown word %s", words[0])
	}
	return v(w, words)
}
