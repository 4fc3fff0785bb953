package queuer

import "context"

// Queue is a bounded first-in, first-out queue between goroutines.
type Queue[T any] struct {
	items chan T
}

// New returns a queue that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// TryPush adds an item and reports whether there was room.
func (q *Queue[T]) TryPush(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Push adds an item. If the queue is full, it waits for room, at most until the context
// ends, and then returns the error of the context.
func (q *Queue[T]) Push(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel to receive from.
func (q *Queue[T]) Items() <-chan T {
	return q.items
}
