package waker

import (
	"container/heap"
	"time"
)

// Alarm is the timer of an owner, kept in a field of the owner or beside it.
type Alarm[T any] struct {
	Owner T
	at    time.Time
	// position is the index in the heap plus one; 0 means that the timer is not set.
	position int
}

// At returns the time for which the timer was last set.
func (a *Alarm[T]) At() time.Time {
	return a.at
}

// Alarms is a queue of timers ordered by time.
type Alarms[T any] struct {
	heap timerHeap[T]
}

// Set sets a timer to a time, whether or not it was set before.
func (s *Alarms[T]) Set(a *Alarm[T], at time.Time) {
	a.at = at
	if a.position == 0 {
		heap.Push(&s.heap, a)
		return
	}
	heap.Fix(&s.heap, a.position-1)
}

// Clear removes a timer from the queue; it does nothing if the timer is not set.
func (s *Alarms[T]) Clear(a *Alarm[T]) {
	if a.position > 0 {
		heap.Remove(&s.heap, a.position-1)
	}
}

// Next returns the earliest time, or false if no timer is set.
func (s *Alarms[T]) Next() (time.Time, bool) {
	if len(s.heap) == 0 {
		return time.Time{}, false
	}
	return s.heap[0].at, true
}

// Due returns the earliest timer that is not after now, without removing it, or nil.
func (s *Alarms[T]) Due(now time.Time) *Alarm[T] {
	if len(s.heap) == 0 || s.heap[0].at.After(now) {
		return nil
	}
	return s.heap[0]
}

type timerHeap[T any] []*Alarm[T]

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
	a := x.(*Alarm[T])
	*h = append(*h, a)
	a.position = len(*h)
}

// Pop removes the last timer.
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	*h = (*h)[:last]
	a.position = 0
	return a
}
