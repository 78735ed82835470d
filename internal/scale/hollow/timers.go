package hollow

import (
	"container/heap"
	"sync"
	"time"

	"mapleslip/internal/scale/wire"
)

// timers are all of a process, in one heap with one goroutine. A timer can't be taken
// back: what it calls looks whether it is still wanted.
type timers struct {
	mu   sync.Mutex
	heap timerHeap
	seq  uint64
	wake chan struct{}
	lag  int64 // the longest since it was last asked for, microseconds
}

type timer struct {
	at  int64
	seq uint64
	fn  func(now int64)
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
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

// at has fn called at an instant, not before.
func (t *timers) at(at int64, fn func(now int64)) {
	t.mu.Lock()
	t.seq++
	heap.Push(&t.heap, timer{at, t.seq, fn})
	first := t.heap[0].seq == t.seq
	t.mu.Unlock()
	if first {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// next takes the first timer if it is due, or says how long it is until then.
func (t *timers) next(now int64) (fn func(int64), wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.heap) == 0 {
		return nil, time.Hour
	}
	if first := t.heap[0]; first.at > now {
		return nil, time.Duration(first.at-now) * time.Microsecond
	}
	first := heap.Pop(&t.heap).(timer)
	t.lag = max(t.lag, now-first.at)
	return first.fn, 0
}

// run calls timers as they are due, until stop is closed.
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

// longest is the longest lag of a timer since the last call.
func (t *timers) longest(now int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	lag := t.lag
	if len(t.heap) > 0 { // one that waits for the goroutine just now
		lag = max(lag, now-t.heap[0].at)
	}
	t.lag = 0
	return lag
}
