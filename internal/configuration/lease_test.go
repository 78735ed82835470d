package configuration

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
)

// deployment simulates a sequence of leaders with a set of followers. Messages may arrive at any
// time, in any order, more than once, or not at all.
type deployment struct {
	now       micros // true time
	revision  uint64 // committed
	reported  uint64 // newest revision reported to be in force
	epoch     uint64
	leader    *Granter
	names     []string
	followers map[string]*follower
	messages  []func()
}

type follower struct {
	holder    Holder
	startedAt micros
	clockGain micros // its clock is fast by this many parts of 10,000
	frozen    bool
}

func (d *deployment) clockOf(f *follower) micros {
	since := d.now - f.startedAt
	return protocol.Second + since + since*f.clockGain/10_000
}

func (d *deployment) sendGrant(name string) {
	grant, needsDocument := d.leader.NextGrant(name, d.epoch)
	epoch := d.epoch
	d.messages = append(d.messages, func() {
		f := d.followers[name]
		if f.frozen {
			return
		}
		f.holder.ApplyGrant(d.clockOf(f), grant, needsDocument)
		incarnation, at, revision := f.holder.Incarnation, d.clockOf(f), f.holder.Revision
		d.messages = append(d.messages, func() {
			if d.epoch == epoch {
				d.leader.OnAck(name, incarnation, at, revision, d.now)
			}
		})
	})
}

// No follower may hold a lease on a revision older than one that was reported to be in force,
// however messages are delayed, repeated or lost, and whichever controllers freeze, restart or
// become the leader.
func TestNoLeaseOnOlderRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &deployment{followers: make(map[string]*follower), epoch: 1, leader: NewGranter(0, 0)}
		incarnations := uint64(0)
		startFollower := func(name string) {
			incarnations++
			d.followers[name] = &follower{holder: Holder{Incarnation: incarnations}, startedAt: d.now, clockGain: micros(rapid.IntRange(-5, 5).Draw(t, "fast"))}
		}
		for i := range rapid.IntRange(1, 3).Draw(t, "others") {
			d.names = append(d.names, fmt.Sprint(i))
			startFollower(d.names[i])
		}
		log := ""
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(d.names).Draw(t, "who")
			event := rapid.SampledFrom([]string{"ask", "ask", "deliver", "deliver", "deliver", "deliver", "again", "lose", "commit", "time", "time", "wait", "wait", "freeze", "restart", "lead"}).Draw(t, "what")
			log += fmt.Sprintf("%.2f %s %s\n", d.now.Seconds(), event, name)
			switch event {
			case "ask":
				d.sendGrant(name)
			case "deliver", "again", "lose":
				if len(d.messages) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(d.messages)-1).Draw(t, "which")
				deliver := d.messages[i]
				if event != "again" {
					d.messages = append(d.messages[:i:i], d.messages[i+1:]...)
				}
				if event != "lose" {
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
				d.followers[name].frozen = !d.followers[name].frozen
			case "restart":
				startFollower(name)
			case "lead":
				d.epoch++
				d.leader = NewGranter(d.revision, d.now)
			}
			for _, name := range d.names {
				f := d.followers[name]
				if !f.frozen && f.holder.Holds(d.clockOf(f)) && f.holder.Revision < d.reported {
					t.Fatalf("%s uses revision %d, but %d was reported to be in force\n%s", name, f.holder.Revision, d.reported, log)
				}
			}
		}
	})
}

// A revision is in force as soon as all followers have acknowledged it, or, if one does not, when
// that one's lease has expired. Further changes must not delay this.
func TestInForce(t *testing.T) {
	g := NewGranter(3, 0)
	followers := []string{"a", "b"}
	g.SetRevision(4, 10*protocol.Second)
	g.OnAck("a", 1, 5, 4, 11*protocol.Second)
	if g.InForce(4, 11*protocol.Second, followers) || !g.InForce(3, 11*protocol.Second, followers) {
		t.Error("revision 4 is in force before both followers acknowledged it, or revision 3 is not")
	}
	g.OnAck("b", 2, 5, 4, 11*protocol.Second)
	if !g.InForce(4, 11*protocol.Second, followers) {
		t.Error("revision 4 is not in force although both followers acknowledged it")
	}
	for r := uint64(5); r < 30; r++ {
		g.SetRevision(r, micros(r)*3*protocol.Second)
	}
	at := 29 * 3 * protocol.Second
	if !g.InForce(27, at, followers) || g.InForce(29, at, followers) || g.NewestInForce(at, followers) != 27 {
		t.Errorf("the newest in force is %d", g.NewestInForce(at, followers))
	}
	if len(g.revisions) > 4 {
		t.Errorf("%d revisions are remembered", len(g.revisions))
	}
	g.OnAck("b", 3, 1, 0, at) // restarted, without a document and a lease
	if grant, needsDocument := g.NextGrant("b", 9); !needsDocument || grant.Incarnation != 3 || grant.AcknowledgedAt != 1 || grant.Revision != 29 {
		t.Errorf("got grant %+v, needs document: %t", grant, needsDocument)
	}
}
