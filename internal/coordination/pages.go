package coordination

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
	due     micros // when it has to be written, Forever: it is as it should be
	urgent  bool   // work waits for that
	writing writing
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
	g := &page{key: e.Key, stamp: e.Stamp, entries: make(map[string]int), due: protocol.Forever}
	p.list = append(p.list, g)
	return g
}

func (p *pages) enter(g *page, name string, size int) {
	g.entries[name] = size
	g.size += size
	p.of[name] = g
}

// put says that an entry is new or has changed, and when it has to be written. A new one
// gets no place in a record that it would have to wait for.
func (p *pages) put(name string, size, room int, due micros, urgent bool) {
	g := p.of[name]
	if g == nil {
		for _, o := range p.list {
			if o.size+size <= room && o.writing != writingLater {
				g = o
				break
			}
		}
		if g == nil {
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
	switch {
	case urgent && !p.busy[writingUrgent] && at >= p.next[writingUrgent]:
		c.writeSome(p, writingUrgent)
	case later && !urgent && !p.busy[writingLater] && at >= p.next[writingLater]:
		c.writeSome(p, writingLater)
	}
}

// writeSome writes records that are due and of that urgency, in one transaction.
func (c *Controller) writeSome(p *pages, how writing) {
	at := c.at.Steady
	prio, most := prioUrgent, c.platform.TxnOps
	if how == writingLater {
		prio, most = prioNormal, min(laterPages, most)
	}
	var when []protocol.Condition
	var then []protocol.Change
	var batch []*page
	var applied []func()
	size := 0
	for _, g := range p.list {
		if g.due > at || g.writing != notWriting || g.urgent != (how == writingUrgent) {
			continue
		}
		if len(g.entries) == 0 && g.stamp == 0 {
			g.due = protocol.Forever
			continue
		}
		// A record of which nothing is left is emptied and not dropped: a late copy of
		// the write that made it, which depends on there being none, would bring it back
		// as the newest of all.
		ch := protocol.Change{Key: g.key}
		var done func()
		ch.Value, done = p.value(slices.Sorted(maps.Keys(g.entries)))
		if len(ch.Value) > c.platform.ValueBytes {
			c.split(p, g, len(ch.Value))
			continue
		}
		if size += len(ch.Value) + 100; size > txnBytes && len(then) > 0 {
			break
		}
		when = append(when, protocol.Condition{Key: g.key, Stamp: g.stamp})
		then = append(then, ch)
		batch, applied = append(batch, g), append(applied, done)
		g.writing, g.due, g.urgent = how, protocol.Forever, false
		if len(then) == most {
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
				g.stamp = r.Stamp
				if applied[i] != nil {
					applied[i]()
				}
				continue
			}
			g.due, g.urgent = c.at.Steady, g.urgent || how == writingUrgent
			g.lost = g.lost || o == txnUnknown || o == txnRefused && slices.Contains(r.Failed, g.key)
		}
		if o != txnApplied {
			p.next[how] = c.at.Steady + 300*protocol.Millisecond
		}
	})
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
	o := &page{key: p.prefix + strconv.Itoa(p.last), entries: make(map[string]int), due: c.at.Steady, urgent: true}
	p.list = append([]*page{o}, p.list...)
	for _, name := range names[len(names)/2:] {
		size := g.entries[name]
		g.size -= size
		delete(g.entries, name)
		p.enter(o, name, size)
	}
	// In the same transaction, or later.
	g.due, g.urgent = c.at.Steady, true
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
		g.lost, g.stamp = false, e.Stamp // 0 where there is none
	})
}
