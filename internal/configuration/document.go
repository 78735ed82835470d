package configuration

import (
	"maps"
	"slices"
	"strings"
)

// Document is the content of a revision: values by key, as canonical JSON (a number, a string, true
// or false). A setting without a key in the document has its value from the controllers' files.
type Document map[string]string

// Change sets or removes a key. Old is "" if the key was not set before, New is "" if the change
// removes the key.
type Change struct{ Key, Old, New string }

// apply returns the document that results from changes of d.
func (d Document) apply(changes []Change) Document {
	result := maps.Clone(d)
	if result == nil {
		result = make(Document)
	}
	for _, c := range changes {
		if c.New == "" {
			delete(result, c.Key)
		} else {
			result[c.Key] = c.New
		}
	}
	return result
}

// revert returns the document from which changes led to d.
func (d Document) revert(changes []Change) Document {
	reversed := make([]Change, len(changes))
	for i, c := range changes {
		reversed[len(changes)-1-i] = Change{c.Key, c.New, c.Old}
	}
	return d.apply(reversed)
}

// Diff returns the changes that lead from one document to another, sorted by key.
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

// Validate checks changes of a document. An error names the invalid key.
func Validate(b *Baseline, d Document, changes []Change) error {
	teams := make(map[string]bool)
	for _, c := range changes {
		if parts := strings.Split(c.Key, "/"); parts[0] == "team" && len(parts) == 3 {
			teams[parts[1]] = true
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
		for _, setting := range []string{"cpus", "gpus"} {
			if amount, limit := teamAmounts[setting](&t.Team); *limit > 0 && *amount > *limit {
				return keyErrorf("team/"+name+"/"+setting, "a guarantee of %g is above the team's limit of %g", float64(*amount)/1000, float64(*limit)/1000)
			}
		}
	}
	if size, maxBytes := len(appendDocument(nil, after)), b.ValueBytes*documentPercent/100; size > maxBytes {
		return keyErrorf("changes", "the document would take %d bytes, and %d fit into a value of the state service with its history", size, maxBytes)
	}
	return nil
}
