package slottable

// Functions for heaps of elements that define their own order. container/heap of the standard
// library converts each element to an interface, which costs one allocation per element; a
// scheduling cycle moves tens of thousands of them.

type ordered[T any] interface{ less(T) bool }

func initHeap[T ordered[T]](h []T) {
	for i := len(h)/2 - 1; i >= 0; i-- {
		siftDown(h, i)
	}
}

func siftDown[T ordered[T]](h []T, i int) {
	for {
		j := 2*i + 1
		if j >= len(h) {
			return
		}
		if j+1 < len(h) && h[j+1].less(h[j]) {
			j++
		}
		if !h[j].less(h[i]) {
			return
		}
		h[i], h[j] = h[j], h[i]
		i = j
	}
}

func siftUp[T ordered[T]](h []T, i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h[i].less(h[p]) {
			return
		}
		h[i], h[p] = h[p], h[i]
		i = p
	}
}

func pushHeap[T ordered[T]](h []T, v T) []T {
	h = append(h, v)
	siftUp(h, len(h)-1)
	return h
}

func popHeap[T ordered[T]](h []T) []T { return removeHeap(h, 0) }

func removeHeap[T ordered[T]](h []T, i int) []T {
	last := len(h) - 1
	h[i] = h[last]
	var zero T
	h[last] = zero
	h = h[:last]
	if i < last {
		fixHeap(h, i)
	}
	return h
}

func fixHeap[T ordered[T]](h []T, i int) {
	siftDown(h, i)
	siftUp(h, i)
}
