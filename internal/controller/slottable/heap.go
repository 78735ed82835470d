package slottable

// A heap of values that know their order. That of the standard library makes
// every value an interface, which costs an allocation for each: a cycle moves
// tens of thousands.

type ordered[T any] interface{ less(T) bool }

func initHeap[T ordered[T]](h []T) {
	for i := len(h)/2 - 1; i >= 0; i-- {
		down(h, i)
	}
}

func down[T ordered[T]](h []T, i int) {
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

func up[T ordered[T]](h []T, i int) {
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
	up(h, len(h)-1)
	return h
}

func popHeap[T ordered[T]](h []T) []T { return removeHeap(h, 0) }

func removeHeap[T ordered[T]](h []T, i int) []T {
	last := len(h) - 1
	h[i] = h[last]
	var none T
	h[last] = none
	h = h[:last]
	if i < last {
		fix(h, i)
	}
	return h
}

func fix[T ordered[T]](h []T, i int) {
	down(h, i)
	up(h, i)
}
