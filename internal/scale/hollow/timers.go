package hollow

import (
	"container/heap"
	"sync"
	"time"

	"mapleslip/internal/scale/wire"
)

// timers contains all timers of a process in one heap, which one goroutine serves. A timer
// can't be cancelled, so the function that it calls checks whether the call still applies.
type timers struct {
	mu     sync.Mutex
	heap   timerHeap
	seq    uint64
	wake   chan struct{}
	maxLag int64 // longest delay of a call since takeMaxLag was last called, microseconds
}

type timer struct {
	due int64
	seq uint64
	fn  func(now int64)
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(a, b int) bool {
	return h[a].due < h[b].due || h[a].due == h[b].due && h[a].seq < h[b].seq
}
func (h timerHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is part of heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func newTimers() *timers { return &timers{wake: make(chan struct{}, 1)} }

// schedule calls fn at a time, never earlier.
func (t *timers) schedule(due int64, fn func(now int64)) {
	t.mu.Lock()
	t.seq++
	heap.Push(&t.heap, timer{due, t.seq, fn})
	first := t.heap[0].seq == t.seq
	t.mu.Unlock()
	if first {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// next removes the first timer and returns its function if it is due. Otherwise it returns the
// time until the first timer is due.
func (t *timers) next(now int64) (fn func(int64), wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.heap) == 0 {
		return nil, time.Hour
	}
	if first := t.heap[0]; first.due > now {
		return nil, time.Duration(first.due-now) * time.Microsecond
	}
	first := heap.Pop(&t.heap).(timer)
	t.maxLag = max(t.maxLag, now-first.due)
	return first.fn, 0
}

// run calls the functions of timers when they are due, until stop is closed.
func (t *timers) run(stop <-chan struct{}) {
	sleep := time.NewTimer(time.Hour)
	defer sleep.Stop()
	for {
		now := wire.Now()
		fn, wait := t.next(now)
		if fn != nil {
			fn(now)
			continue
		}
		sleep.Reset(wait)
		select {
		case <-sleep.C:
		case <-t.wake:
		case <-stop:
			return
		}
	}
}

// takeMaxLag returns the longest delay of a timer since the last call of takeMaxLag.
func (t *timers) takeMaxLag(now int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	lag := t.maxLag
	if len(t.heap) > 0 { // the first timer may be overdue while the goroutine is busy
		lag = max(lag, now-t.heap[0].due)
	}
	t.maxLag = 0
	return lag
}
