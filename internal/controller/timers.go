package controller

import "container/heap"

// timer is a function that is due at a point in time.
type timer struct {
	at  micros
	seq uint64
	run func()
}

// timerHeap orders timers by due time, and timers with the same due time by creation.
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
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// timerQueue contains the timers that have not run yet.
type timerQueue struct {
	timers   timerHeap
	timerSeq uint64
}

// after runs a function after a delay, with the resolution of ticks.
func (env *environment) after(delay micros, run func()) {
	env.timerSeq++
	heap.Push(&env.timers, timer{env.now.Steady + delay, env.timerSeq, run})
}

// runTimers runs the timers that are due. Timers that are created meanwhile run with a later event.
func (env *environment) runTimers() {
	last := env.timerSeq
	for len(env.timers) > 0 && env.timers[0].at <= env.now.Steady && env.timers[0].seq <= last {
		heap.Pop(&env.timers).(timer).run()
	}
}
