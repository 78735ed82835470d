package users

import (
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// Operators configures the load of configuration changes. Its rate is not scaled by the part of
// a deployment that is simulated: a day has the same number of changes at any size.
type Operators struct {
	Rate      float64 `toml:"rate"`      // changes per second
	Operators int     `toml:"operators"` // concurrent writers, assigned to the regions in turn
	// Weights of the kinds of changes.
	Limits     float64 `toml:"limits"`     // a team's limit is lowered or reset
	Guarantees float64 `toml:"guarantees"` // a team's guarantee is lowered or reset
	Drains     float64 `toml:"drains"`     // a machine's drain is begun or ended
	Ceilings   float64 `toml:"ceilings"`   // the ceiling of rented machines in a zone is set or reset
	Drained    float64 `toml:"drained"`    // maximum share of the machines that are drained at once
}

// Check returns the first invalid value, or nil.
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

// Bounds contains the teams, machines and ceilings from which changes are drawn.
type Bounds struct {
	Teams    []protocol.Team // as in the platform's settings file: no limit above theirs is drawn
	Machines []string
	Ceilings map[string]int // number of existing machines by "type/zone"
}

// change is a generated configuration change. It creates one revision.
type change struct {
	id       string
	operator int
	region   string
	due      int64
	set      map[string]string
}

// maxDrained limits the drains in the configuration's document, whose size is limited to 60% of
// a value of the state service.
const maxDrained = 40

// lowestShare is the share of a team's limit or guarantee in the platform's settings below which
// no change lowers it.
const lowestShare = 0.6

// changeDrawer draws the keys and values of changes in the order in which they are due.
type changeDrawer struct {
	*Plan
	rng         *rand.Rand
	ceilingKeys []string
	isSet       map[string]bool // the keys that are set once the changes so far are made
	drained     []string        // machines that are drained then, the first one for longest
}

// drawChanges generates all changes of a run as a Poisson process, in the order in which they
// are due. The next change of a key that is set usually removes it, so that the document stays
// small.
func (p *Plan) drawChanges(seed uint64) []*change {
	o := p.Operators
	d := &changeDrawer{Plan: p, rng: rand.New(rand.NewPCG(seed, 0xc0f16)), ceilingKeys: slices.Sorted(maps.Keys(p.Bounds.Ceilings)), isSet: make(map[string]bool)}
	var all []*change
	for t := d.rng.ExpFloat64() / o.Rate; t < float64(p.DurationUS)/second; t += d.rng.ExpFloat64() / o.Rate {
		i := len(all)
		key, value := d.draw()
		// All changes of a key have the same operator, which keeps their order.
		operator := int(crc32.ChecksumIEEE([]byte(key)) % uint32(o.Operators))
		all = append(all, &change{
			id: fmt.Sprintf("c-%06d", i+1), operator: operator, region: p.Regions[operator%len(p.Regions)],
			due: p.BeginUS + int64(math.Round(t*second)), set: map[string]string{key: value},
		})
	}
	return all
}

// draw draws the key and the value of a change; "" removes the key.
func (d *changeDrawer) draw() (key, value string) {
	o := d.Operators
	at := d.rng.Float64() * (o.Limits + o.Guarantees + o.Drains + o.Ceilings)
	switch {
	case at < o.Limits:
		return d.drawTeamChange(func(t *protocol.Team) (string, int64, int64) {
			if t.Limit.GPU > 0 && d.rng.IntN(2) == 0 {
				return "gpus_max", t.Guarantee.GPU, t.Limit.GPU
			}
			return "cpus_max", t.Guarantee.CPU, t.Limit.CPU
		})
	case at < o.Limits+o.Guarantees:
		return d.drawTeamChange(func(t *protocol.Team) (string, int64, int64) { return "cpus", 0, t.Guarantee.CPU })
	case at < o.Limits+o.Guarantees+o.Drains:
		return d.drawDrain()
	}
	k := d.ceilingKeys[d.rng.IntN(len(d.ceilingKeys))]
	ceiling := d.Bounds.Ceilings[k]
	return d.toggle("rent/"+k, func() string { return strconv.Itoa(ceiling + d.rng.IntN(ceiling/4+2)) })
}

// toggle usually removes a key that is set. Otherwise it sets the key to a value.
func (d *changeDrawer) toggle(key string, drawValue func() string) (string, string) {
	if d.isSet[key] && d.rng.IntN(4) > 0 {
		delete(d.isSet, key)
		return key, ""
	}
	d.isSet[key] = true
	return key, drawValue()
}

// drawTeamChange draws a limit or a guarantee of a team. pick returns its key and its bounds.
func (d *changeDrawer) drawTeamChange(pick func(t *protocol.Team) (key string, from, to int64)) (key, value string) {
	t := d.Bounds.Teams[d.rng.IntN(len(d.Bounds.Teams))]
	key, from, to := pick(&t)
	from = max(from, int64(float64(to)*lowestShare))
	return d.toggle("team/"+t.Name+"/"+key, func() string {
		v := from + d.rng.Int64N(max(1, to-from))
		return strconv.FormatFloat(float64(min(to, (v+999)/1000*1000))/1000, 'f', -1, 64)
	})
}

// drawDrain draws a machine to drain, or ends the longest drain.
func (d *changeDrawer) drawDrain() (key, value string) {
	machines := d.Bounds.Machines
	most := min(maxDrained, len(machines), max(1, int(d.Operators.Drained*float64(len(machines)))))
	if len(d.drained) >= most || len(d.drained) > 0 && d.rng.IntN(2) == 0 {
		key, d.drained = "drain/machine/"+d.drained[0], d.drained[1:]
		return key, ""
	}
	m := machines[d.rng.IntN(len(machines))]
	for slices.Contains(d.drained, m) {
		m = machines[d.rng.IntN(len(machines))]
	}
	d.drained = append(d.drained, m)
	return "drain/machine/" + m, `"finish"`
}

// changeState is the progress of a change.
type changeState uint8

const (
	reading changeState = iota // the operator requests the latest revision
	posting                    // the operator requests the next revision with the change
	waiting                    // the change is made, but may not be in force everywhere
	inForce
	refused // the controller refused the change; the answer contains the reason
	givenUp // no conclusive answer for a minute
)

func (s changeState) final() bool { return s >= inForce }

// pendingChange is a change in progress. It reads no clock and sends no requests: callers pass
// times and answers.
type pendingChange struct {
	*change
	state       changeState
	retryStart  int64 // time of its beginning; in the state waiting, time at which it was made
	expected    uint64
	revision    uint64 // that contains the change
	newRevision bool   // it created a revision; false if the document had the values already
	conflicts   int    // number of times that another change created the next revision first
	refusal     string // reason of a refusal
}

// start begins to make the change.
func (c *change) start(at int64) *pendingChange { return &pendingChange{change: c, retryStart: at} }

// request returns the next request for the change.
func (c *pendingChange) request() (method, path string, body []byte) {
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

// handleAnswer handles the answer to the request. It returns the pause before the next request,
// microseconds.
func (c *pendingChange) handleAnswer(a answer, at int64) (pause int64) {
	switch {
	case a.status == 200 && c.state == reading:
		c.state, c.expected = posting, fastjsonUint(a.body, "revision")
	case a.status == 200 && c.state == posting:
		c.state, c.retryStart = waiting, at
		c.revision, c.newRevision = fastjsonUint(a.body, "revision"), fastjson.GetBool(a.body, "changed")
	case a.status == 200:
		c.state = inForce
	case a.status == 409 && c.state == posting && at < c.retryStart+retryLimit && fastjsonUint(a.body, "revision") != c.expected:
		c.state = reading
		c.conflicts++
	case (a.status == 400 || a.status == 422) && c.state == posting:
		c.state, c.refusal = refused, fastjson.GetString(a.body, "error")
	default:
		pause = max(minRetryDelay, min(a.retryAfter, maxRetryDelay))
		if at+pause > c.retryStart+retryLimit {
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

// findHistoryProblems returns the problems of a history, whose first entry is the oldest. sent
// contains the ids of the changes that were requested. accepted contains the revisions of the
// changes that controllers had reported as made before the history was read.
func findHistoryProblems(history []configuration.Entry, sent map[string]bool, accepted map[string]uint64) (problems []string) {
	addProblem := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	revisions := make(map[string]uint64)
	for i, e := range history {
		if e.Revision != uint64(i)+1 {
			addProblem("the history has revision %d as its entry %d", e.Revision, i+1)
			return problems // the revisions of all later entries differ as well
		}
		if earlier := revisions[e.ID]; earlier > 0 {
			addProblem("change %s is in the history twice, as revisions %d and %d", e.ID, earlier, e.Revision)
		}
		revisions[e.ID] = e.Revision
		if !sent[e.ID] {
			addProblem("revision %d is by change %q, which nobody asked for", e.Revision, e.ID)
		}
	}
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range accepted {
			if !yield(id) {
				return
			}
		}
	}) {
		if revisions[id] != accepted[id] {
			addProblem("change %s was told made as revision %d, the history has it as %d", id, accepted[id], revisions[id])
		}
	}
	return problems
}
