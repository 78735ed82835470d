package controller

import (
	"maps"
	"slices"
	"strconv"

	"mapleslip/internal/protocol"
)

// page is one record that many entries share.
type page struct {
	key     string
	stamp   uint64
	lost    bool           // a write of it may have been applied or not: its stamp has to be read
	entries map[string]int // bytes that each may take
	size    int
	bytes   int     // of the record as the state service has it
	heirs   []*page // that took entries of it, and have to be durable before it is written without them
	due     micros  // when it has to be written, Forever: it is as it should be
	urgent  bool    // work waits for that
	writing writing
	alone   bool // a transaction with it was refused as malformed: it goes by itself
}

// writing is whether a record is on its way to the state service.
type writing uint8

const (
	notWriting writing = iota
	writingUrgent
	writingLater // may wait in line for a second or more
)

// pages spreads entries over records of limited size, and writes the records
// that changed: a few changes of the state service then carry what would
// otherwise be one each. A write depends on the record's own stamp, so that one
// that is applied late can't bring back what it said before.
type pages struct {
	prefix string
	list   []*page
	of     map[string]*page
	busy   [writingLater + 1]bool   // transactions that are on their way
	next   [writingLater + 1]micros // none before
	stamps bool                     // the stamp of a record that was lost is being read
	last   int                      // number of the newest record
	waited micros                   // since when records that nothing waits for wait for others
	// value makes the record of some entries; applied is called once it is durable.
	value func(names []string) (value []byte, applied func())
}

func (c *Controller) newPages(prefix string, value func([]string) ([]byte, func())) *pages {
	return &pages{prefix: prefix, of: make(map[string]*page), value: value}
}

// skip leaves a record that can't be read as it is; nothing else gets its number.
func (p *pages) skip(key string) {
	if n, err := strconv.Atoi(key[len(p.prefix):]); err == nil {
		p.last = max(p.last, n)
	}
}

// load takes a record that was read.
func (p *pages) load(e protocol.Entry) *page {
	p.skip(e.Key)
	g := &page{key: e.Key, stamp: e.Revision, bytes: len(e.Value), entries: make(map[string]int), due: protocol.Forever}
	p.list = append(p.list, g)
	return g
}

func (p *pages) enter(g *page, name string, size int) {
	g.entries[name] = size
	g.size += size
	p.of[name] = g
}

// adopt enters an entry of a record that was read. While a record is divided two name it:
// the one that was written last keeps it.
func (p *pages) adopt(g *page, name string, size int) {
	old := p.of[name]
	if old != nil && old.stamp > g.stamp {
		return
	}
	if old != nil {
		old.size -= old.entries[name]
		delete(old.entries, name)
	}
	p.enter(g, name, size)
}

// place is the record that a new entry comes into: one that has to be written anyway,
// before any of the others, so that a round's entries take as few changes as can be; nil:
// there is no room. A record on its way is no place where the entry would wait for it.
func (p *pages) place(size, room int, due micros) *page {
	var best *page
	for _, o := range p.list {
		if o.size+size > room || o.writing == writingLater {
			continue
		}
		if o.due <= due && o.writing == notWriting && o.due < protocol.Forever {
			return o
		}
		if best == nil || o.writing < best.writing || o.writing == best.writing && o.size < best.size {
			best = o
		}
	}
	return best
}

// put says that an entry is new or has changed, and when it has to be written. A new one
// gets no place in a record that it would have to wait for.
func (p *pages) put(name string, size, room int, due micros, urgent bool) {
	g := p.of[name]
	if g == nil {
		if g = p.place(size, room, due); g == nil {
			p.last++
			g = &page{key: p.prefix + strconv.Itoa(p.last), entries: make(map[string]int), due: protocol.Forever}
			p.list = append(p.list, g)
		}
		p.enter(g, name, size)
	}
	g.due, g.urgent = min(g.due, due), g.urgent || urgent
}

// drop takes an entry out. Its record is written by due, Forever: when
// something else changes.
func (p *pages) drop(name string, due micros) {
	g := p.of[name]
	if g == nil {
		return
	}
	g.size -= g.entries[name]
	delete(g.entries, name)
	delete(p.of, name)
	g.due = min(g.due, due)
}

// txnBytes is how much of a transaction records may take; its limit is 64 KiB.
const txnBytes = 56 << 10

// laterPages is how many records a transaction carries that nothing waits for: each is
// kept from being written again for as long as that takes, which is long while others wait.
const laterPages = 3

// laterWaits is how long records that nothing waits for are held back by those that
// something waits for.
const laterWaits = 2 * protocol.Second

// writePages writes the records that are due: those that work waits for, as many as one
// transaction takes, and besides some of those that it doesn't, if there are no others.
// Together they had machines that had just come up wait for seven seconds to be recorded,
// and the urgent tasks that were put on them with it, until the images of all others were.
func (c *Controller) writePages(p *pages) {
	at := c.at.Steady
	if p.stamps {
		return
	}
	// Before any is taken for the transaction: what was taken when a lost one was come
	// upon counted as being written for ever. After a single transaction without an answer
	// that carried two records, launches in the first were not recorded any more, so they
	// never left. Nor is any written before the lost one's stamp is known: carried out after
	// another that names the same task, it would be the newer of the two to a new leader.
	urgent, later := false, false
	for _, g := range p.list {
		if g.due > at || g.writing != notWriting {
			continue
		}
		if g.lost {
			if at >= p.next[writingUrgent] {
				c.restamp(p, g)
			}
			return
		}
		urgent, later = urgent || g.urgent, later || !g.urgent
	}
	if !later || !urgent || p.busy[writingLater] {
		p.waited = at
	}
	if urgent && !p.busy[writingUrgent] && at >= p.next[writingUrgent] {
		c.writeSome(p, writingUrgent)
	}
	// Where something is urgent all the time the others get their turn now and then.
	if later && (!urgent || at-p.waited >= laterWaits) && !p.busy[writingLater] && at >= p.next[writingLater] {
		c.writeSome(p, writingLater)
	}
}

// writeSome writes records that are due and of that urgency, in one transaction.
func (c *Controller) writeSome(p *pages, how writing) {
	at := c.at.Steady
	prio, most := prioUrgent, c.limits.target.changes
	if how == writingLater {
		prio, most = prioNormal, min(laterPages, most)
	}
	if p.dividing() {
		most = c.limits.allowed.changes // a record and its parts go together if they can
	}
	var when []protocol.Condition
	var then []protocol.Change
	var batch []*page
	var applied []func()
	var sizes []int
	size := 0
	for _, g := range p.list {
		if g.due > at || g.writing != notWriting || g.urgent != (how == writingUrgent) {
			continue
		}
		if len(g.entries) == 0 && g.stamp == 0 {
			g.due = protocol.Forever
			continue
		}
		if !g.heirsKept(batch) || g.alone && len(then) > 0 {
			continue
		}
		// A record of which nothing is left is emptied and not dropped: a late copy of
		// the write that made it, which depends on there being none, would bring it back
		// as the newest of all.
		ch := protocol.Change{Key: g.key}
		var done func()
		ch.Value, done = p.value(slices.Sorted(maps.Keys(g.entries)))
		if len(ch.Value) > c.limits.target.valueBytes {
			c.split(p, g, len(ch.Value))
			continue
		}
		if size += len(ch.Value) + 100; size > txnBytes && len(then) > 0 {
			break
		}
		when = append(when, protocol.Condition{Key: g.key, Revision: g.stamp})
		then = append(then, ch)
		batch, applied = append(batch, g), append(applied, done)
		g.writing, g.due, g.urgent = how, protocol.Forever, false
		sizes = append(sizes, len(ch.Value))
		if len(then) == most || g.alone {
			break
		}
	}
	if len(then) == 0 {
		return
	}
	p.busy[how] = true
	if p == c.term.launchPages {
		when = c.underRevision(when)
		c.term.launchesSent = at
	}
	c.lead(prio, when, then, func(o txnOutcome, r protocol.TxnResult) {
		p.busy[how] = false
		c.outdated(o, r)
		for i, g := range batch {
			g.writing = notWriting
			if o == txnApplied {
				g.stamp, g.bytes, g.heirs, g.alone = r.Revision, sizes[i], nil, false
				if applied[i] != nil {
					applied[i]()
				}
				continue
			}
			g.due, g.urgent = c.at.Steady, g.urgent || how == writingUrgent
			g.alone = g.alone || o == txnMalformed
			g.lost = g.lost || o == txnUnknown || o == txnRefused && slices.Contains(r.Conflicts, g.key)
		}
		if o == txnMalformed && len(batch) == 1 {
			batch[0].due = c.at.Steady + unwritableAgain // it is told of, and holds up no others
			return
		}
		if o != txnApplied {
			p.next[how] = c.at.Steady + 300*protocol.Millisecond
		}
	})
}

// unwritableAgain is how long a record is left alone that the state service refuses for
// another reason than its limits.
const unwritableAgain = 60 * protocol.Second

// dividing reports whether a record is being divided.
func (p *pages) dividing() bool {
	for _, g := range p.list {
		if len(g.heirs) > 0 {
			return true
		}
	}
	return false
}

// heirsKept reports whether what was taken out of a record is durable elsewhere, or comes
// to be with it: else a successor would not find it. What a record waits for is as urgent
// as the record.
func (g *page) heirsKept(batch []*page) bool {
	kept := true
	for _, o := range g.heirs {
		if o.stamp == 0 && len(o.entries) > 0 && !slices.Contains(batch, o) {
			kept = false
			o.urgent = o.urgent || g.urgent // it waits for them
		}
	}
	return kept
}

// divideLarge brings records that are stored above what is written now under it, one of
// each kind at a time and after everything else, so that nothing has to be divided when
// the state service takes no larger ones any more.
func (c *Controller) divideLarge() {
	t := c.term
	for _, p := range []*pages{t.launchPages, t.hostPages, t.donePages, t.bookingPages} {
		var large *page
		left := 0
		for _, g := range p.list {
			if g.bytes <= c.limits.target.valueBytes {
				continue
			}
			if left++; g.due < protocol.Forever || g.writing != notWriting || len(g.heirs) > 0 {
				large = nil
				break
			}
			if large == nil {
				large = g
			}
		}
		if large != nil {
			large.due = c.at.Steady
			c.log.Info("dividing a record", "key", large.key, "bytes", large.bytes, "most", c.limits.target.valueBytes, "left", left)
		}
	}
}

// split moves half of a record that came out too long to another one. Both are
// written; the one that takes them first, in case only one gets through.
func (c *Controller) split(p *pages, g *page, size int) {
	names := slices.Sorted(maps.Keys(g.entries))
	if len(names) < 2 {
		c.log.Error("record too long", "key", g.key, "bytes", size)
		g.due = c.at.Steady + 60*protocol.Second
		return
	}
	p.last++
	o := &page{key: p.prefix + strconv.Itoa(p.last), entries: make(map[string]int), due: c.at.Steady, urgent: g.urgent}
	p.list = append([]*page{o}, p.list...)
	g.heirs = append(g.heirs, o)
	for _, name := range names[len(names)/2:] {
		size := g.entries[name]
		g.size -= size
		delete(g.entries, name)
		p.enter(o, name, size)
	}
	g.due = c.at.Steady // in the same transaction, or later
}

// restamp finds out which stamp a record has after a write without an answer.
func (c *Controller) restamp(p *pages, g *page) {
	t := c.term
	p.stamps = true
	c.get(prioUrgent, g.key, func(e protocol.Entry, found, ok bool) {
		if c.term != t {
			return
		}
		p.stamps = false
		if !ok {
			p.next[writingUrgent] = c.at.Steady + 300*protocol.Millisecond
			return
		}
		g.lost, g.stamp = false, e.Revision // 0 where there is none
	})
}
