package transport

import (
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 200) }

// drawn is a meter with classes that always have calls with changes waiting, and what was
// sent of each.
type drawn struct {
	m       *Meter
	rate    float64
	largest int
	sent    [priorities]float64 // changes, by priority
}

func (d *drawn) add(p Priority, changes int) {
	d.m.Add(Metered{Priority: p, Changes: changes, Expires: protocol.Forever, Send: func() { d.sent[p] += float64(changes) }, Expire: func() {}})
}

// waiting is how many calls of a priority wait.
func (d *drawn) waiting(p Priority) int {
	class, n := laneOf(p)
	return len(d.m.edits.flows[class].lanes[n].calls)
}

func drawMeter(t *rapid.T) *drawn {
	d := &drawn{rate: float64(rapid.IntRange(10, 100).Draw(t, "rate")), largest: rapid.IntRange(2, 5).Draw(t, "largest")}
	d.m = NewMeter(1e6, d.rate, 1, d.largest)
	return d
}

// While some classes always have more to send than they may, each gets its part by weight
// of what is sent, but for a call or two; a class that has nothing to send takes nothing,
// and nothing of the rate is left unused.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawMeter(t)
		sizes := map[Priority]int{}
		total := 0.0
		for p := Pressing; p < Ending; p++ {
			if rapid.Bool().Draw(t, "waits") {
				sizes[p] = rapid.IntRange(1, d.largest).Draw(t, "changes")
				total += weights[p]
			}
		}
		seconds := rapid.IntRange(5, 40).Draw(t, "seconds")
		for i := range seconds * 20 {
			for p := Pressing; p < Ending; p++ {
				for n := d.waiting(p); sizes[p] > 0 && n < 200; n++ {
					d.add(p, sizes[p])
				}
			}
			d.m.Run(protocol.Micros(i) * protocol.Second / 20)
		}
		all := 0.0
		for _, n := range d.sent {
			all += n
		}
		most := d.rate*(float64(seconds)-0.05) + d.m.changes.burst
		if len(sizes) > 0 && (all > most+1e-6 || all < most-float64(d.largest)) {
			t.Fatalf("%g changes sent, %g may be", all, most)
		}
		for p, size := range sizes {
			if part := all * weights[p] / total; d.sent[p] < part-float64(d.largest+size) {
				t.Errorf("class %d sent %g changes, its part of %g is %g", p, d.sent[p], all, part)
			}
		}
	})
}

// Records of launches and of jobs that are over share the part of one class: together they
// have what the class has, beside the others, and while both have more to send than they may,
// each has half of that, but for a call or two. If one of them has nothing to send the other
// has it all.
func TestFairLanes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawMeter(t)
		sizes := map[Priority]int{}
		for _, p := range []Priority{User, Urgent, Ending} {
			if p == Urgent || rapid.IntRange(0, 3).Draw(t, "waits") > 0 {
				sizes[p] = rapid.IntRange(1, d.largest).Draw(t, "changes")
			}
		}
		seconds := rapid.IntRange(5, 40).Draw(t, "seconds")
		for i := range seconds * 20 {
			for _, p := range []Priority{User, Urgent, Ending} {
				for n := d.waiting(p); sizes[p] > 0 && n < 200; n++ {
					d.add(p, sizes[p])
				}
			}
			d.m.Run(protocol.Micros(i) * protocol.Second / 20)
		}
		class := d.sent[Urgent] + d.sent[Ending]
		part := class + d.sent[User]
		if sizes[User] > 0 {
			part *= weights[Urgent] / (weights[Urgent] + weights[User])
		}
		if slack := float64(2 * d.largest); class < part-slack || class > part+slack {
			t.Errorf("the class sent %g changes, its part is %g", class, part)
		}
		if apart := d.sent[Urgent] - d.sent[Ending]; sizes[Ending] > 0 && (apart > float64(2*d.largest) || apart < float64(-2*d.largest)) {
			t.Errorf("%g changes of launches and %g of jobs that are over", d.sent[Urgent], d.sent[Ending])
		}
	})
}

// However many records of jobs that are over wait, one of launches that comes now and then
// waits for one call of theirs at most, and they for one of it.
func TestFairLaneWait(t *testing.T) {
	for light, heavy := range map[Priority]Priority{Urgent: Ending, Ending: Urgent} {
		m := NewMeter(1e6, 15, 1, 12)
		var order []Priority
		add := func(p Priority) {
			m.Add(Metered{Priority: p, Changes: 2, Expires: protocol.Forever, Send: func() { order = append(order, p) }, Expire: func() {}})
		}
		for range 200 {
			add(heavy)
		}
		m.Run(0)
		for at := protocol.Second; at < 10*protocol.Second; at += protocol.Second {
			m.Run(at - protocol.Second/20)
			order = nil
			add(light)
			m.Run(at + protocol.Second/2)
			if len(order) < 2 || order[0] != light && order[1] != light {
				t.Errorf("one of %d waits behind %d: %v", light, heavy, order)
			}
		}
		// Nothing is saved up by not asking.
		order = nil
		for range 40 {
			add(light)
		}
		for at := 10 * protocol.Second; at < 13*protocol.Second; at += protocol.Second / 20 {
			m.Run(at)
		}
		passed := 0
		for _, p := range order {
			if p == heavy {
				passed++
			}
		}
		if len(order) < 20 || passed < len(order)/2-1 {
			t.Errorf("%d of the next %d are of %d: %v", passed, len(order), heavy, order)
		}
	}
}

// However much the others have waiting, a class that asks for less than its part waits no
// longer than that part and the largest calls of the others take.
func TestFairWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawMeter(t)
		light := Priority(rapid.IntRange(int(Pressing), int(Normal)).Draw(t, "light"))
		total := 0.0
		for p := Pressing; p < Ending; p++ {
			total += weights[p]
			for range 2000 {
				if p != light {
					d.add(p, rapid.IntRange(1, d.largest).Draw(t, "changes"))
				}
				if d.waiting(p) > 40 {
					break
				}
			}
		}
		d.m.Run(0) // the burst is used up
		part := d.rate * weights[light] / total
		bound := protocol.FromSeconds(1/part+float64(int(Ending)*d.largest)/d.rate) + protocol.Second/10
		at := protocol.Second
		for range 5 {
			at += protocol.FromSeconds(2 / part)
			for p := Pressing; p < Ending; p++ {
				for n := d.waiting(p); p != light && n < 400; n++ {
					d.add(p, d.largest)
				}
			}
			d.m.Run(at)
			asked, before := at, d.sent[light]
			d.add(light, 1)
			for d.m.Run(at); d.sent[light] == before; d.m.Run(at) {
				if at += protocol.Second / 20; at-asked > bound {
					t.Fatalf("class %d waits for %d ms, at most %d", light, (at-asked)/1000, bound/1000)
				}
			}
		}
	})
}

// What is leadership's goes first whatever else waits, and what has waited for too long is
// told so exactly once and not sent.
func TestFairLeadershipAndExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawMeter(t)
		d.m.calls.rate, d.m.calls.burst, d.m.calls.level = 5, 5, 0
		d.m.changes.level = 0
		sent, expired := map[int]int{}, map[int]int{}
		leads := -1 // those of leadership that wait
		n := rapid.IntRange(1, 60).Draw(t, "calls")
		for i := range n {
			p := Priority(rapid.IntRange(0, int(priorities)-1).Draw(t, "class"))
			c := Metered{Priority: p, Changes: rapid.IntRange(0, d.largest).Draw(t, "changes"), Expires: protocol.FromSeconds(rapid.Float64Range(0.1, 30).Draw(t, "expires"))}
			waiting := &leads
			if p == Leadership {
				*waiting++
			}
			c.Send = func() {
				sent[i]++
				if p == Leadership {
					*waiting--
				} else if *waiting >= 0 && !d.m.reads.flows[Leadership].empty() {
					t.Errorf("a call of class %d passed one of leadership", p)
				}
			}
			c.Expire = func() {
				expired[i]++
				if p == Leadership {
					*waiting--
				}
			}
			d.m.Add(c)
		}
		for i := range 40 * 20 {
			d.m.Run(protocol.Micros(i) * protocol.Second / 20)
		}
		for i := range n {
			if sent[i]+expired[i] != 1 {
				t.Errorf("call %d: sent %d times, expired %d times", i, sent[i], expired[i])
			}
		}
		if d.m.Waiting() != 0 {
			t.Errorf("%d still wait", d.m.Waiting())
		}
	})
}
