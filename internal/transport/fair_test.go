package transport

import (
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 200) }

// drawnMeter is a meter with a drawn rate and largest call, and the number of changes that it sent
// of each priority.
type drawnMeter struct {
	meter   *Meter
	rate    float64
	largest int
	sent    [numPriorities]float64 // changes, by priority
}

func (d *drawnMeter) add(p Priority, changes int) {
	d.meter.Add(Metered{Priority: p, Changes: changes, Expires: protocol.Forever, Send: func() { d.sent[p] += float64(changes) }, Expire: func() {}})
}

// waiting returns the number of queued calls of a priority.
func (d *drawnMeter) waiting(p Priority) int {
	class, n := subqueueOf(p)
	return len(d.meter.writes.flows[class].subqueues[n].calls)
}

func drawMeter(t *rapid.T) *drawnMeter {
	d := &drawnMeter{rate: float64(rapid.IntRange(10, 100).Draw(t, "rate")), largest: rapid.IntRange(2, 5).Draw(t, "largest")}
	d.meter = NewMeter(1e6, d.rate, 1, d.largest)
	return d
}

// While some classes always have more calls waiting than the rate allows, each of them gets its
// share by weight, to within one or two calls. A class without calls uses nothing, and the whole
// rate is used.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawMeter(t)
		sizes := map[Priority]int{}
		totalWeight := 0.0
		for p := LatencyCritical; p < FinalRecord; p++ {
			if rapid.Bool().Draw(t, "waits") {
				sizes[p] = rapid.IntRange(1, d.largest).Draw(t, "changes")
				totalWeight += weights[p]
			}
		}
		seconds := rapid.IntRange(5, 40).Draw(t, "seconds")
		for i := range seconds * 20 {
			for p := LatencyCritical; p < FinalRecord; p++ {
				for n := d.waiting(p); sizes[p] > 0 && n < 200; n++ {
					d.add(p, sizes[p])
				}
			}
			d.meter.Run(protocol.Micros(i) * protocol.Second / 20)
		}
		totalSent := 0.0
		for _, n := range d.sent {
			totalSent += n
		}
		maxSent := d.rate*(float64(seconds)-0.05) + d.meter.changes.burst
		if len(sizes) > 0 && (totalSent > maxSent+1e-6 || totalSent < maxSent-float64(d.largest)) {
			t.Fatalf("sent %g changes, the rate allows %g", totalSent, maxSent)
		}
		for p, size := range sizes {
			if share := totalSent * weights[p] / totalWeight; d.sent[p] < share-float64(d.largest+size) {
				t.Errorf("class %d sent %g changes, its share of %g is %g", p, d.sent[p], totalSent, share)
			}
		}
	})
}

// Launch records and final records of jobs share the rate of one class. Together they get the share
// of the class. While both have more calls waiting than the rate allows, each gets half of it, to
// within one or two calls. If one of them has no calls, the other gets the whole share.
func TestFairSubqueues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawMeter(t)
		sizes := map[Priority]int{}
		for _, p := range []Priority{User, Urgent, FinalRecord} {
			if p == Urgent || rapid.IntRange(0, 3).Draw(t, "waits") > 0 {
				sizes[p] = rapid.IntRange(1, d.largest).Draw(t, "changes")
			}
		}
		seconds := rapid.IntRange(5, 40).Draw(t, "seconds")
		for i := range seconds * 20 {
			for _, p := range []Priority{User, Urgent, FinalRecord} {
				for n := d.waiting(p); sizes[p] > 0 && n < 200; n++ {
					d.add(p, sizes[p])
				}
			}
			d.meter.Run(protocol.Micros(i) * protocol.Second / 20)
		}
		class := d.sent[Urgent] + d.sent[FinalRecord]
		share := class + d.sent[User]
		if sizes[User] > 0 {
			share *= weights[Urgent] / (weights[Urgent] + weights[User])
		}
		if slack := float64(2 * d.largest); class < share-slack || class > share+slack {
			t.Errorf("the class sent %g changes, its share is %g", class, share)
		}
		if difference := d.sent[Urgent] - d.sent[FinalRecord]; sizes[FinalRecord] > 0 && (difference > float64(2*d.largest) || difference < float64(-2*d.largest)) {
			t.Errorf("sent %g changes of launch records and %g of final records", d.sent[Urgent], d.sent[FinalRecord])
		}
	})
}

// However many final records wait, an occasional launch record waits for at most one of them, and
// the other way round.
func TestFairSubqueueWait(t *testing.T) {
	for light, heavy := range map[Priority]Priority{Urgent: FinalRecord, FinalRecord: Urgent} {
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
				t.Errorf("a call of priority %d waits behind several of priority %d: %v", light, heavy, order)
			}
		}
		// The subqueue accumulates no allowance while it has no calls.
		order = nil
		for range 40 {
			add(light)
		}
		for at := 10 * protocol.Second; at < 13*protocol.Second; at += protocol.Second / 20 {
			m.Run(at)
		}
		heavyCalls := 0
		for _, p := range order {
			if p == heavy {
				heavyCalls++
			}
		}
		if len(order) < 20 || heavyCalls < len(order)/2-1 {
			t.Errorf("%d of the next %d calls are of priority %d, want half of at least 20: %v", heavyCalls, len(order), heavy, order)
		}
	}
}

// However many calls of the other classes wait, a call of a class that uses less than its share
// waits no longer than it takes to send it at that share, plus the largest calls of the others.
func TestFairWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawMeter(t)
		light := Priority(rapid.IntRange(int(LatencyCritical), int(Normal)).Draw(t, "light"))
		totalWeight := 0.0
		for p := LatencyCritical; p < FinalRecord; p++ {
			totalWeight += weights[p]
			for range 2000 {
				if p != light {
					d.add(p, rapid.IntRange(1, d.largest).Draw(t, "changes"))
				}
				if d.waiting(p) > 40 {
					break
				}
			}
		}
		d.meter.Run(0) // uses up the burst
		share := d.rate * weights[light] / totalWeight
		bound := protocol.FromSeconds(1/share+float64(int(FinalRecord)*d.largest)/d.rate) + protocol.Second/10
		at := protocol.Second
		for range 5 {
			at += protocol.FromSeconds(2 / share)
			for p := LatencyCritical; p < FinalRecord; p++ {
				for n := d.waiting(p); p != light && n < 400; n++ {
					d.add(p, d.largest)
				}
			}
			d.meter.Run(at)
			queuedAt, sentBefore := at, d.sent[light]
			d.add(light, 1)
			for d.meter.Run(at); d.sent[light] == sentBefore; d.meter.Run(at) {
				if at += protocol.Second / 20; at-queuedAt > bound {
					t.Fatalf("class %d waits for %d ms, want at most %d ms", light, (at-queuedAt)/1000, bound/1000)
				}
			}
		}
	})
}

// Leadership calls are sent before all others. Each call is either sent once, or expires once and
// is not sent.
func TestFairLeadershipAndExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawMeter(t)
		d.meter.calls.rate, d.meter.calls.burst, d.meter.calls.tokens = 5, 5, 0
		d.meter.changes.tokens = 0
		sent, expired := map[int]int{}, map[int]int{}
		leadershipWaiting := -1 // number of waiting leadership calls, less 1
		n := rapid.IntRange(1, 60).Draw(t, "calls")
		for i := range n {
			p := Priority(rapid.IntRange(0, int(numPriorities)-1).Draw(t, "class"))
			c := Metered{Priority: p, Changes: rapid.IntRange(0, d.largest).Draw(t, "changes"), Expires: protocol.FromSeconds(rapid.Float64Range(0.1, 30).Draw(t, "expires"))}
			counter := &leadershipWaiting
			if p == Leadership {
				*counter++
			}
			c.Send = func() {
				sent[i]++
				if p == Leadership {
					*counter--
				} else if *counter >= 0 && !d.meter.reads.flows[Leadership].empty() {
					t.Errorf("a call of class %d was sent before a leadership call", p)
				}
			}
			c.Expire = func() {
				expired[i]++
				if p == Leadership {
					*counter--
				}
			}
			d.meter.Add(c)
		}
		for i := range 40 * 20 {
			d.meter.Run(protocol.Micros(i) * protocol.Second / 20)
		}
		for i := range n {
			if sent[i]+expired[i] != 1 {
				t.Errorf("call %d: sent %d times, expired %d times", i, sent[i], expired[i])
			}
		}
		if d.meter.Waiting() != 0 {
			t.Errorf("%d calls still wait", d.meter.Waiting())
		}
	})
}
