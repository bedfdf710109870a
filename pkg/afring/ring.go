// Package afring provides the bounded rings that join the duties of a process.
package afring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue with many producers and one consumer. A full ring refuses instead of blocking, so
// that a slow duty cannot stop the others.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Push adds an item and reports whether there was room.
func (r *Ring[T]) Push(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Wait adds an item, waiting for room until ctx ends. It reports whether the item was added.
func (r *Ring[T]) Wait(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Items returns the consumer's side.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns how many items Push has refused.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

// Drain calls fn for each item until ctx ends.
func (r *Ring[T]) Drain(ctx context.Context, fn func(T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-r.items:
			fn(item)
		}
	}
}
