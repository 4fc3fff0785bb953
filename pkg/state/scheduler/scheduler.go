package scheduler

import (
	"container/heap"
	"time"
)

// Timer is a timer that belongs to an owner and is stored with it, such as in a field.
type Timer[T any] struct {
	Owner T
	at    time.Time
	// position is the index in the heap plus one; 0 means that the timer is not set.
	position int
}

// At returns the time for which the timer was last set.
func (t *Timer[T]) At() time.Time {
	return t.at
}

// TimerQueue is a queue of timers ordered by time.
type TimerQueue[T any] struct {
	heap timerHeap[T]
}

// Set sets a timer to a time, whether or not it was set before.
func (q *TimerQueue[T]) Set(t *Timer[T], at time.Time) {
	t.at = at
	if t.position == 0 {
		heap.Push(&q.heap, t)
		return
	}
	heap.Fix(&q.heap, t.position-1)
}

// Clear removes a timer from the queue; it does nothing if the timer is not set.
func (q *TimerQueue[T]) Clear(t *Timer[T]) {
	if t.position > 0 {
		heap.Remove(&q.heap, t.position-1)
	}
}

// Next returns the earliest time, or false if no timer is set.
func (q *TimerQueue[T]) Next() (time.Time, bool) {
	if len(q.heap) == 0 {
		return time.Time{}, false
	}
	return q.heap[0].at, true
}

// Due returns the earliest timer that is not after now, without removing it, or nil.
func (q *TimerQueue[T]) Due(now time.Time) *Timer[T] {
	if len(q.heap) == 0 || q.heap[0].at.After(now) {
		return nil
	}
	return q.heap[0]
}

type timerHeap[T any] []*Timer[T]

// Len returns the number of timers.
func (h timerHeap[T]) Len() int { return len(h) }

// Less orders timers by time.
func (h timerHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap exchanges two timers.
func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i + 1
	h[j].position = j + 1
}

// Push appends a timer.
func (h *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	*h = append(*h, t)
	t.position = len(*h)
}

// Pop removes the last timer.
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	t.position = 0
	return t
}
