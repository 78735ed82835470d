package hollow

import (
	"cmp"
	"slices"
)

// image is a container image that is on a machine or being fetched.
type image struct {
	name      string
	size      int64 // thousandths of a GB
	present   bool
	remaining float64 // part of the size that is still to be fetched
	waiters   int     // tasks that need the image to start
	users     int     // tasks on the machine that use the image
	lastUsed  int64   // time of the last fetch or use by a task
}

// imageCache contains the images of a machine. Concurrent fetches share the fetch rate. When
// the cache is full, the least recently used images that no task needs are evicted.
type imageCache struct {
	fetchRate float64 // thousandths of a GB per microsecond
	capacity  int64   // thousandths of a GB
	byName    map[string]*image
	updatedAt int64 // time at which `remaining` of the fetches was computed
	fetches   []*image
}

// getOrFetch returns an image, and starts its fetch if it is neither present nor being fetched.
func (m *imageCache) getOrFetch(now int64, name string, size int64) *image {
	i := m.byName[name]
	if i == nil {
		m.advance(now)
		i = &image{name: name, size: size, remaining: float64(size)}
		m.byName[name] = i
		m.fetches = append(m.fetches, i)
	}
	return i
}

// advance subtracts what the fetches have received since the last call.
func (m *imageCache) advance(now int64) {
	if n := len(m.fetches); n > 0 {
		share := m.fetchRate * float64(now-m.updatedAt) / float64(n)
		for _, i := range m.fetches {
			i.remaining -= share
		}
	}
	m.updatedAt = now
}

// completeFetches marks the images of completed fetches as present, returns them and evicts
// images if the cache is full.
func (m *imageCache) completeFetches(now int64) (completed []*image) {
	m.advance(now)
	m.fetches = slices.DeleteFunc(m.fetches, func(i *image) bool {
		if i.remaining > m.fetchRate/2 {
			return false
		}
		i.present, i.lastUsed = true, now
		completed = append(completed, i)
		return true
	})
	if completed != nil {
		m.evict()
	}
	return completed
}

// nextCompletion returns the time at which the next fetch completes, 0 if there is no fetch.
func (m *imageCache) nextCompletion() int64 {
	if len(m.fetches) == 0 {
		return 0
	}
	least := m.fetches[0].remaining
	for _, i := range m.fetches {
		least = min(least, i.remaining)
	}
	return m.updatedAt + int64(max(least, 0)*float64(len(m.fetches))/m.fetchRate) + 1
}

// cancelUnneededFetch cancels the fetch of an image that no task waits for any more.
func (m *imageCache) cancelUnneededFetch(now int64, i *image) {
	if i.present || i.waiters > 0 {
		return
	}
	m.advance(now)
	m.fetches = slices.DeleteFunc(m.fetches, func(f *image) bool { return f == i })
	delete(m.byName, i.name)
}

// evict drops the least recently used images that no task needs until the rest fits.
func (m *imageCache) evict() {
	var size int64
	var idle []*image
	for _, i := range m.byName {
		if i.present {
			size += i.size
			if i.users == 0 && i.waiters == 0 {
				idle = append(idle, i)
			}
		}
	}
	if size <= m.capacity {
		return
	}
	slices.SortFunc(idle, func(a, b *image) int { return cmp.Or(cmp.Compare(a.lastUsed, b.lastUsed), cmp.Compare(a.name, b.name)) })
	for _, i := range idle {
		if size <= m.capacity {
			return
		}
		size -= i.size
		delete(m.byName, i.name)
	}
}
