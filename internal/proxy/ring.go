package proxy

import "sync/atomic"

// ring is a bounded queue of many writers and one reader. Neither side waits:
// a full ring refuses.
type ring[T any] struct {
	cells []cell[T]
	mask  uint64
	head  atomic.Uint64
	tail  uint64
}

// cell holds one value; turn tells whose move it is: equal to the position for
// the writer, one more for the reader.
type cell[T any] struct {
	turn  atomic.Uint64
	value T
}

// newRing returns a ring with room for at least size values.
func newRing[T any](size int) *ring[T] {
	capacity := 1
	for capacity < size {
		capacity *= 2
	}
	r := &ring[T]{cells: make([]cell[T], capacity), mask: uint64(capacity - 1)}
	for i := range r.cells {
		r.cells[i].turn.Store(uint64(i))
	}
	return r
}

// put adds a value, or reports false when the ring is full.
func (r *ring[T]) put(value T) bool {
	for {
		position := r.head.Load()
		c := &r.cells[position&r.mask]
		turn := c.turn.Load()
		if turn < position {
			return false
		}
		if turn == position && r.head.CompareAndSwap(position, position+1) {
			c.value = value
			c.turn.Store(position + 1)
			return true
		}
	}
}

// take removes the oldest value. Only one goroutine may call it.
func (r *ring[T]) take() (T, bool) {
	var zero T
	c := &r.cells[r.tail&r.mask]
	if c.turn.Load() != r.tail+1 {
		return zero, false
	}
	value := c.value
	c.value = zero
	c.turn.Store(r.tail + uint64(len(r.cells)))
	r.tail++
	return value, true
}
