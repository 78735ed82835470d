package controller

import "container/heap"

type timer struct {
	at  micros
	seq uint64
	fn  func()
}

// timers is a heap by time.
type timers []timer

func (h timers) Len() int { return len(h) }

func (h timers) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}

func (h timers) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

func (h *timers) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// after runs fn once the time has come, within the resolution of ticks.
func (env *environment) after(d micros, fn func()) {
	env.timerSeq++
	heap.Push(&env.timers, timer{env.now.Steady + d, env.timerSeq, fn})
}

func (env *environment) runTimers() {
	for last := env.timerSeq; len(env.timers) > 0 && env.timers[0].at <= env.now.Steady && env.timers[0].seq <= last; {
		heap.Pop(&env.timers).(timer).fn()
	}
}
