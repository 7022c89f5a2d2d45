// Package steptest is for tests only: it holds what the in-process networks of
// reducers have in common, which are a virtual clock with an ordered queue of
// work, processes that stand still, and the reading of transcripts' arguments.
package steptest

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of work. Work that falls due at one
// time runs in the order in which it was queued. The zero value is ready.
type Clock struct {
	// Now is the time since the start.
	Now   time.Duration
	queue queue
	count int
}

// At queues work for a time.
func (c *Clock) At(at time.Duration, run func()) {
	c.count++
	heap.Push(&c.queue, work{at: at, order: c.count, run: run})
}

// After queues work for the end of a delay.
func (c *Clock) After(delay time.Duration, run func()) { c.At(c.Now+delay, run) }

// RunNext moves the clock to the next work and does it, unless that falls due
// after end. It reports whether there was any.
func (c *Clock) RunNext(end time.Duration) bool {
	if len(c.queue) == 0 || c.queue[0].at > end {
		return false
	}
	next := heap.Pop(&c.queue).(work)
	c.Now = max(c.Now, next.at)
	next.run()
	return true
}

// RunTo moves the clock to a time and does all work that falls due.
func (c *Clock) RunTo(end time.Duration) {
	for c.RunNext(end) {
	}
	c.Now = end
}

// RunFor moves the clock on.
func (c *Clock) RunFor(d time.Duration) { c.RunTo(c.Now + d) }

// work is a function that runs at a time.
type work struct {
	at    time.Duration
	order int
	run   func()
}

// queue is a heap of work, the first due on top.
type queue []work

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q *queue) Push(x any) { *q = append(*q, x.(work)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
