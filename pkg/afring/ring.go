// Package afring provides the bounded queues that join the duties of a process.
package afring

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded queue with many producers and one consumer. A full queue refuses instead of blocking, so
// that a slow duty cannot stop the others.
type Queue[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a queue that holds up to size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// TryPush adds an item and reports whether there was room.
func (r *Queue[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// PushWithContext adds an item, waiting for room until ctx ends. It reports whether the item was added.
func (r *Queue[T]) PushWithContext(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the consumer's side.
func (r *Queue[T]) Items() <-chan T { return r.items }

// Len returns the number of items that wait.
func (r *Queue[T]) Len() int { return len(r.items) }

// RefusedCount returns how many items TryPush has refused.
func (r *Queue[T]) RefusedCount() uint64 { return r.refused.Load() }

// Consume calls fn for each item until ctx ends.
func (r *Queue[T]) Consume(ctx context.Context, fn func(T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-r.items:
			fn(item)
		}
	}
}
