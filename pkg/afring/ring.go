// Package afring provides bounded queues that pass items between the goroutines of a process.
package afring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded queue with many producers and one consumer. TryPush refuses items while the queue is full, so that
// a slow consumer does not block its producers.
type Queue[T any] struct {
	items        chan T
	refusedCount atomic.Uint64
}

// New returns an empty queue that holds up to size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// TryPush adds an item unless the queue is full. It reports whether the item was added.
func (q *Queue[T]) TryPush(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.refusedCount.Add(1)
		return false
	}
}

// PushWithContext adds an item. While the queue is full, it waits until there is room or ctx ends. It reports whether
// the item was added.
func (q *Queue[T]) PushWithContext(ctx context.Context, item T) bool {
	select {
	case q.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the channel from which the consumer receives the items.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// RefusedCount returns the number of items that TryPush has refused since the queue was created.
func (q *Queue[T]) RefusedCount() uint64 { return q.refusedCount.Load() }

// Consume receives items and calls fn for each of them until ctx ends.
func (q *Queue[T]) Consume(ctx context.Context, fn func(T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-q.items:
			fn(item)
		}
	}
}
