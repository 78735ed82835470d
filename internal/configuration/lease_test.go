package configuration

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
)

// deployment is one leader after another and some other controllers, with messages that
// come at any time, in any order, again, or not at all.
type deployment struct {
	now      micros // true time
	revision uint64 // committed
	reported uint64 // told to be in force
	epoch    uint64
	leader   *Granter
	names    []string
	others   map[string]*follower
	mail     []func()
}

type follower struct {
	holder Holder
	born   micros
	fast   micros // its clock gains so many parts of 10,000
	frozen bool
}

func (d *deployment) clock(f *follower) micros {
	since := d.now - f.born
	return protocol.Second + since + since*f.fast/10_000
}

func (d *deployment) ask(name string) {
	q, needs := d.leader.NextGrant(name, d.epoch)
	epoch := d.epoch
	d.mail = append(d.mail, func() {
		f := d.others[name]
		if f.frozen {
			return
		}
		f.holder.ApplyGrant(d.clock(f), q, needs)
		life, at, revision := f.holder.Incarnation, d.clock(f), f.holder.Revision
		d.mail = append(d.mail, func() {
			if d.epoch == epoch {
				d.leader.OnAck(name, life, at, revision, d.now)
			}
		})
	})
}

// Whatever comes late, whoever is frozen, ends, is back at once or leads: nobody holds a
// lease on a revision older than one that was told to be in force.
func TestNobodyHoldsAnOlderRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &deployment{others: make(map[string]*follower), epoch: 1, leader: NewGranter(0, 0)}
		lives := uint64(0)
		begin := func(name string) {
			lives++
			d.others[name] = &follower{holder: Holder{Incarnation: lives}, born: d.now, fast: micros(rapid.IntRange(-5, 5).Draw(t, "fast"))}
		}
		for i := range rapid.IntRange(1, 3).Draw(t, "others") {
			d.names = append(d.names, fmt.Sprint(i))
			begin(d.names[i])
		}
		log := ""
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(d.names).Draw(t, "who")
			what := rapid.SampledFrom([]string{"ask", "ask", "deliver", "deliver", "deliver", "deliver", "again", "lose", "commit", "time", "time", "wait", "wait", "freeze", "restart", "lead"}).Draw(t, "what")
			log += fmt.Sprintf("%.2f %s %s\n", d.now.Seconds(), what, name)
			switch what {
			case "ask":
				d.ask(name)
			case "deliver", "again", "lose":
				if len(d.mail) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(d.mail)-1).Draw(t, "which")
				deliver := d.mail[i]
				if what != "again" {
					d.mail = append(d.mail[:i:i], d.mail[i+1:]...)
				}
				if what != "lose" {
					deliver()
				}
			case "commit":
				d.revision++
				d.leader.SetRevision(d.revision, d.now)
			case "time":
				d.now += micros(rapid.SampledFrom([]int{10, 300, 1000, 2000, 3900, 4100}).Draw(t, "ms")) * protocol.Millisecond
			case "wait":
				if d.leader.InForce(d.revision, d.now, d.names) {
					d.reported = d.revision
				} else if r := d.leader.NewestInForce(d.now, d.names); r > d.reported {
					d.reported = r
				}
			case "freeze":
				d.others[name].frozen = !d.others[name].frozen
			case "restart":
				begin(name)
			case "lead":
				d.epoch++
				d.leader = NewGranter(d.revision, d.now)
			}
			for _, name := range d.names {
				f := d.others[name]
				if !f.frozen && f.holder.Holds(d.clock(f)) && f.holder.Revision < d.reported {
					t.Fatalf("%s goes by %d, and %d is in force\n%s", name, f.holder.Revision, d.reported, log)
				}
			}
		}
	})
}

// A revision is in force as soon as all have said so, and without one of them after its
// lease; changes that keep coming don't put that off.
func TestInForce(t *testing.T) {
	g := NewGranter(3, 0)
	others := []string{"a", "b"}
	g.SetRevision(4, 10*protocol.Second)
	g.OnAck("a", 1, 5, 4, 11*protocol.Second)
	if g.InForce(4, 11*protocol.Second, others) || !g.InForce(3, 11*protocol.Second, others) {
		t.Error("one of two has not said so")
	}
	g.OnAck("b", 2, 5, 4, 11*protocol.Second)
	if !g.InForce(4, 11*protocol.Second, others) {
		t.Error("both have said so")
	}
	for r := uint64(5); r < 30; r++ {
		g.SetRevision(r, micros(r)*3*protocol.Second)
	}
	at := 29 * 3 * protocol.Second
	if !g.InForce(27, at, others) || g.InForce(29, at, others) || g.NewestInForce(at, others) != 27 {
		t.Errorf("the newest in force is %d", g.NewestInForce(at, others))
	}
	if len(g.revisions) > 4 {
		t.Errorf("%d revisions are remembered", len(g.revisions))
	}
	g.OnAck("b", 3, 1, 0, at) // back at once: it knows nothing, and holds nothing
	if q, document := g.NextGrant("b", 9); !document || q.Incarnation != 3 || q.HeardAt != 1 || q.Revision != 29 {
		t.Errorf("%+v %t", q, document)
	}
}
