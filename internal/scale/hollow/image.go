package hollow

import (
	"cmp"
	"slices"
)

// image is on a machine, or on its way.
type image struct {
	name    string
	size    int64 // thousandths of a GB
	here    bool
	left    float64 // of the size, on its way
	waiters int     // tasks that need it to start
	users   int     // tasks on the machine that have it
	used    int64   // when last
}

// images are those of a machine: those that are fetched share its rate, of those that
// are there the least recently used ones go when the cache is full.
type images struct {
	rate    float64 // thousandths of a GB per microsecond
	cache   int64   // thousandths of a GB
	list    map[string]*image
	at      int64 // when `left` of the fetches was worked out
	fetches []*image
}

// want is the image, which begins to be fetched if it isn't there.
func (m *images) want(now int64, name string, size int64) *image {
	i := m.list[name]
	if i == nil {
		m.advance(now)
		i = &image{name: name, size: size, left: float64(size)}
		m.list[name] = i
		m.fetches = append(m.fetches, i)
	}
	return i
}

// advance counts what the fetches have got since the last time.
func (m *images) advance(now int64) {
	if n := len(m.fetches); n > 0 {
		share := m.rate * float64(now-m.at) / float64(n)
		for _, i := range m.fetches {
			i.left -= share
		}
	}
	m.at = now
}

// arrived takes the fetches that are complete.
func (m *images) arrived(now int64) (list []*image) {
	m.advance(now)
	m.fetches = slices.DeleteFunc(m.fetches, func(i *image) bool {
		if i.left > m.rate/2 {
			return false
		}
		i.here, i.used = true, now
		list = append(list, i)
		return true
	})
	if list != nil {
		m.evict()
	}
	return list
}

// due is when the next fetch is complete, 0: there is none.
func (m *images) due() int64 {
	if len(m.fetches) == 0 {
		return 0
	}
	least := m.fetches[0].left
	for _, i := range m.fetches {
		least = min(least, i.left)
	}
	return m.at + int64(max(least, 0)*float64(len(m.fetches))/m.rate) + 1
}

// unwanted gives a fetch up that no task waits for any more.
func (m *images) unwanted(now int64, i *image) {
	if i.here || i.waiters > 0 {
		return
	}
	m.advance(now)
	m.fetches = slices.DeleteFunc(m.fetches, func(f *image) bool { return f == i })
	delete(m.list, i.name)
}

// evict drops the least recently used images that no task has until the rest fits.
func (m *images) evict() {
	var size int64
	var idle []*image
	for _, i := range m.list {
		if i.here {
			size += i.size
			if i.users == 0 && i.waiters == 0 {
				idle = append(idle, i)
			}
		}
	}
	if size <= m.cache {
		return
	}
	slices.SortFunc(idle, func(a, b *image) int { return cmp.Or(cmp.Compare(a.used, b.used), cmp.Compare(a.name, b.name)) })
	for _, i := range idle {
		if size <= m.cache {
			return
		}
		size -= i.size
		delete(m.list, i.name)
	}
}
