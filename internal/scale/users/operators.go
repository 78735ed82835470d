package users

import (
	"fmt"
	"hash/crc32"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// Operators is the load of changes of the configuration. Its rate is not scaled by the
// part of a deployment that is played: a day has as many changes whatever the size.
type Operators struct {
	Rate      float64 `toml:"rate"`      // changes a second
	Operators int     `toml:"operators"` // writers at once, over the regions in turn
	// Weights of the kinds of changes.
	Limits     float64 `toml:"limits"`     // of teams, lowered and taken back
	Guarantees float64 `toml:"guarantees"` // of teams, lowered and taken back
	Drains     float64 `toml:"drains"`     // of a machine, and taken back
	Ceilings   float64 `toml:"ceilings"`   // of rental, in a zone
	Drained    float64 `toml:"drained"`    // share of the machines that are drained at once, at most
}

// Check finds the first value that is impossible.
func (o *Operators) Check() *protocol.KeyError {
	for _, n := range []struct {
		key          string
		v, low, high float64
	}{
		{"rate", o.Rate, 0.001, 1000},
		{"operators", float64(o.Operators), 1, 100},
		{"limits", o.Limits, 0, 1000},
		{"guarantees", o.Guarantees, 0, 1000},
		{"drains", o.Drains, 0, 1000},
		{"ceilings", o.Ceilings, 0, 1000},
		{"drained", o.Drained, 0, 0.5},
	} {
		if !(n.v >= n.low && n.v <= n.high) {
			return &protocol.KeyError{Key: n.key, Problem: fmt.Sprintf("must be from %g to %g", n.low, n.high)}
		}
	}
	switch {
	case o.Limits+o.Guarantees+o.Drains+o.Ceilings <= 0:
		return &protocol.KeyError{Key: "limits", Problem: "one of limits, guarantees, drains and ceilings must be above 0"}
	case o.Drains > 0 && o.Drained == 0:
		return &protocol.KeyError{Key: "drained", Problem: "must be above 0 where there are drains"}
	}
	return nil
}

// Bounds are what changes are drawn from.
type Bounds struct {
	Teams    []protocol.Team // as in the platform's file: no limit above it is drawn
	Machines []string
	Ceilings map[string]int // machines there by "type/zone"
}

// change is one that was drawn. It makes one revision.
type change struct {
	id       string
	operator int
	region   string
	due      int64
	set      map[string]string
}

// mostDrained bounds the drains of the document, which has 60% of a value.
const mostDrained = 40

// lowest is the share of the platform's limit, and of a guarantee, down to which they are
// lowered.
const lowest = 0.6

// changes draws all changes of a run in the order in which they are due, a Poisson
// process. What is set is mostly taken out the next time, so
// that the document stays small.
func (p *Plan) changes(seed uint64) []*change {
	o, b := p.Operators, p.Bounds
	r := rand.New(rand.NewPCG(seed, 0xc0f16))
	kinds := slices.Sorted(func(yield func(string) bool) {
		for k := range b.Ceilings {
			if !yield(k) {
				return
			}
		}
	})
	var drained []string
	most := min(mostDrained, len(b.Machines), max(1, int(o.Drained*float64(len(b.Machines)))))
	in := make(map[string]bool) // keys that are set, if all is made in the order in which it is due
	// turn takes a key out that is set, mostly, or else gives it a value.
	turn := func(key string, draw func() string) (string, string) {
		if in[key] && r.IntN(4) > 0 {
			delete(in, key)
			return key, ""
		}
		in[key] = true
		return key, draw()
	}
	team := func(low func(t *protocol.Team) (key string, from, to int64)) (key, value string) {
		t := b.Teams[r.IntN(len(b.Teams))]
		key, from, to := low(&t)
		from = max(from, int64(float64(to)*lowest))
		return turn("team/"+t.Name+"/"+key, func() string {
			v := from + r.Int64N(max(1, to-from))
			return strconv.FormatFloat(float64(min(to, (v+999)/1000*1000))/1000, 'f', -1, 64)
		})
	}
	draw := func() (key, value string) {
		at := r.Float64() * (o.Limits + o.Guarantees + o.Drains + o.Ceilings)
		switch {
		case at < o.Limits:
			return team(func(t *protocol.Team) (string, int64, int64) {
				if t.Limit.GPU > 0 && r.IntN(2) == 0 {
					return "gpus_max", t.Guarantee.GPU, t.Limit.GPU
				}
				return "cpus_max", t.Guarantee.CPU, t.Limit.CPU
			})
		case at < o.Limits+o.Guarantees:
			return team(func(t *protocol.Team) (string, int64, int64) { return "cpus", 0, t.Guarantee.CPU })
		case at < o.Limits+o.Guarantees+o.Drains:
			if len(drained) >= most || len(drained) > 0 && r.IntN(2) == 0 {
				key, drained = "drain/machine/"+drained[0], drained[1:]
				return key, ""
			}
			m := b.Machines[r.IntN(len(b.Machines))]
			for slices.Contains(drained, m) {
				m = b.Machines[r.IntN(len(b.Machines))]
			}
			drained = append(drained, m)
			return "drain/machine/" + m, `"finish"`
		}
		k := kinds[r.IntN(len(kinds))]
		return turn("rent/"+k, func() string { return strconv.Itoa(b.Ceilings[k] + r.IntN(b.Ceilings[k]/4+2)) })
	}
	var all []*change
	for t := r.ExpFloat64() / o.Rate; t < float64(p.DurationUS)/second; t += r.ExpFloat64() / o.Rate {
		i := len(all)
		key, value := draw()
		operator := int(crc32.ChecksumIEEE([]byte(key)) % uint32(o.Operators)) // so that what is set and taken out stays in order
		all = append(all, &change{
			id: fmt.Sprintf("c-%06d", i+1), operator: operator, region: p.Regions[operator%len(p.Regions)],
			due: p.BeginUS + int64(math.Round(t*second)), set: map[string]string{key: value},
		})
	}
	return all
}

// changeState is how far a change has come.
type changeState uint8

const (
	reading changeState = iota // its operator reads the last revision
	posting                    // and asks for the next one
	waiting                    // it is made: until it is in force everywhere
	inForce
	refused // it can't be: the answer says why
	givenUp // nobody could say for a minute
)

func (s changeState) over() bool { return s >= inForce }

// changing is a change that is being made. It has no clock and makes no requests.
type changing struct {
	*change
	state     changeState
	since     int64 // when its operator began with it; while it waits, when it was made
	expected  uint64
	revision  uint64 // that was made
	changed   bool   // it made one: false, the document had it so already
	conflicts int    // times that somebody else was first
	why       string // it was refused
}

// begin has an operator take it up.
func (c *change) begin(at int64) *changing { return &changing{change: c, since: at} }

// request is what to ask for now.
func (c *changing) request() (method, path string, body []byte) {
	switch c.state {
	case reading:
		return "GET", "/api/config", nil
	case posting:
		r := &configuration.Request{Expected: c.expected, Who: fmt.Sprintf("operator-%d", c.operator), Why: "scale run", ID: c.id, Set: c.set}
		return "POST", "/api/config", configuration.AppendRequest(nil, r)
	default:
		return "GET", fmt.Sprintf("/api/config/wait?revision=%d", c.revision), nil
	}
}

// answered takes the answer to it. It says how long to pause before the next request,
// microseconds.
func (c *changing) answered(a answer, at int64) (pause int64) {
	switch {
	case a.status == 200 && c.state == reading:
		c.state, c.expected = posting, fastjsonUint(a.body, "revision")
	case a.status == 200 && c.state == posting:
		c.state, c.since = waiting, at
		c.revision, c.changed = fastjsonUint(a.body, "revision"), fastjson.GetBool(a.body, "changed")
	case a.status == 200:
		c.state = inForce
	case a.status == 409 && c.state == posting && at < c.since+retryFor && fastjsonUint(a.body, "revision") != c.expected:
		c.state = reading
		c.conflicts++
	case (a.status == 400 || a.status == 422) && c.state == posting:
		c.state, c.why = refused, fastjson.GetString(a.body, "error")
	default:
		pause = max(leastRetry, min(a.retryAfter, mostRetry))
		if at+pause > c.since+retryFor {
			c.state, pause = givenUp, 0
		}
	}
	return pause
}

func fastjsonUint(body []byte, key string) uint64 {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return 0
	}
	return v.GetUint64(key)
}

// judgeHistory says what is wrong with a history that was read, the oldest entry first.
// sent are the ids of the requests that were made, accepted the revisions of those that
// were told made before the history was read.
func judgeHistory(history []configuration.Entry, sent map[string]bool, accepted map[string]uint64) (problems []string) {
	bad := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	of := make(map[string]uint64)
	for i, e := range history {
		if e.Revision != uint64(i)+1 {
			bad("the history has revision %d as its entry %d", e.Revision, i+1)
			return problems // all that follow are off as well
		}
		if was := of[e.ID]; was > 0 {
			bad("change %s is in the history twice, as revisions %d and %d", e.ID, was, e.Revision)
		}
		of[e.ID] = e.Revision
		if !sent[e.ID] {
			bad("revision %d is by change %q, which nobody asked for", e.Revision, e.ID)
		}
	}
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range accepted {
			if !yield(id) {
				return
			}
		}
	}) {
		if of[id] != accepted[id] {
			bad("change %s was told made as revision %d, the history has it as %d", id, accepted[id], of[id])
		}
	}
	return problems
}
