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
	urgent  bool
	writing bool
}

// pages spreads entries over records of limited size, and writes the records
// that changed: a few changes of the state service then carry what would
// otherwise be one each. A write depends on the record's own stamp, so that one
// that is applied late can't bring back what it said before.
type pages struct {
	prefix string
	list   []*page
	of     map[string]*page
	busy   bool
	next   micros
	last   int // number of the newest record
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

// put says that an entry is new or has changed, and when it has to be written.
func (p *pages) put(name string, size, room int, due micros, urgent bool) {
	g := p.of[name]
	if g == nil {
		for _, o := range p.list {
			if o.size+size <= room {
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

// writePages writes the records that are due, as many as one transaction takes.
func (c *Controller) writePages(p *pages) {
	at := c.at.Steady
	if p.busy || at < p.next {
		return
	}
	// Before any is taken for the transaction: what was taken when a lost one was come
	// upon counted as being written for ever. After a single transaction without an answer
	// that carried two records, launches in the first were not recorded any more, so they
	// never left.
	for _, g := range p.list {
		if g.due <= at && g.lost && !g.writing {
			c.restamp(p, g)
			return
		}
	}
	var when []protocol.Condition
	var then []protocol.Change
	var batch []*page
	var applied []func()
	size, prio := 0, prioNormal
	for _, g := range p.list {
		if g.due > at || g.writing {
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
		if g.urgent {
			prio = prioUrgent
		}
		g.writing, g.due, g.urgent = true, protocol.Forever, false
		if len(then) == c.platform.TxnOps {
			break
		}
	}
	if len(then) == 0 {
		return
	}
	p.busy = true
	if p == c.term.launchPages {
		when = c.underRevision(when)
	}
	c.lead(prio, when, then, func(o txnOutcome, r protocol.TxnResult) {
		p.busy = false
		c.outdated(o, r)
		for i, g := range batch {
			g.writing = false
			if o == txnApplied {
				g.stamp = r.Stamp
				if applied[i] != nil {
					applied[i]()
				}
				continue
			}
			g.due, g.urgent = c.at.Steady, true
			g.lost = g.lost || o == txnUnknown || o == txnRefused && slices.Contains(r.Failed, g.key)
		}
		if o != txnApplied {
			p.next = c.at.Steady + 300*protocol.Millisecond
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
}

// restamp finds out which stamp a record has after a write without an answer.
func (c *Controller) restamp(p *pages, g *page) {
	t := c.term
	p.busy = true
	c.get(prioUrgent, g.key, func(e protocol.Entry, found, ok bool) {
		if c.term != t {
			return
		}
		p.busy = false
		if !ok {
			p.next = c.at.Steady + 300*protocol.Millisecond
			return
		}
		g.lost, g.stamp = false, e.Stamp // 0 where there is none
	})
}
