package configuration

import (
	"maps"
	"slices"
	"strings"
)

// Document is what a revision says: values by key, as canonical JSON (a number, a text,
// true or false). What it has no key for is as the controllers' files say.
type Document map[string]string

// Change sets a key, or takes it out. "" is a key that is not there.
type Change struct{ Key, Old, New string }

// apply is the document after some changes.
func (d Document) apply(changes []Change) Document {
	n := maps.Clone(d)
	if n == nil {
		n = make(Document)
	}
	for _, c := range changes {
		if c.New == "" {
			delete(n, c.Key)
		} else {
			n[c.Key] = c.New
		}
	}
	return n
}

// revert is the document before some changes.
func (d Document) revert(changes []Change) Document {
	back := make([]Change, len(changes))
	for i, c := range changes {
		back[len(changes)-1-i] = Change{c.Key, c.New, c.Old}
	}
	return d.apply(back)
}

// Diff lists what leads from one document to another, in the order of the keys.
func Diff(from, to Document) []Change {
	var list []Change
	for key, v := range from {
		if to[key] != v {
			list = append(list, Change{key, v, to[key]})
		}
	}
	for key, v := range to {
		if from[key] == "" {
			list = append(list, Change{key, "", v})
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Validate says what is wrong with changes of a document, nil: nothing. It names the key.
func Validate(b *Baseline, d Document, changes []Change) error {
	teams := make(map[string]bool)
	for _, c := range changes {
		if part := strings.Split(c.Key, "/"); part[0] == "team" && len(part) == 3 {
			teams[part[1]] = true
		}
		if c.New == "" {
			if d[c.Key] == "" {
				return keyErrorf(c.Key, "is not set")
			}
			continue
		}
		if err := checkValue(b, c.Key, c.New); err != nil {
			return err
		}
	}
	after := d.apply(changes)
	s := Resolve(b, after)
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		t := s.Teams[name]
		for _, what := range []string{"cpus", "gpus"} {
			if amount, limit := teamAmounts[what](&t.Team); *limit > 0 && *amount > *limit {
				return keyErrorf("team/"+name+"/"+what, "a guarantee of %g is above the team's limit of %g", float64(*amount)/1000, float64(*limit)/1000)
			}
		}
	}
	if size, most := len(appendDocument(nil, after)), b.ValueBytes*documentPercent/100; size > most {
		return keyErrorf("changes", "the document would take %d bytes, and %d fit into a value of the state service with its history", size, most)
	}
	return nil
}
