package aftimer

import (
	"context"
	"time"
)

// Sleep returns after d, or when ctx ends. It reports whether d has passed.
func (s *Service) Sleep(ctx context.Context, d time.Duration) bool {
	due := make(chan struct{})
	sub := s.CallAfter(d, func(time.Time) { close(due) })
	defer sub.Stop()
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

// TickChannel returns a channel that gets a value each period until the subscription is stopped. A value that nobody has taken
// yet stands for all that follow.
func (s *Service) TickChannel(period time.Duration) (<-chan struct{}, *Subscription) {
	ticks := make(chan struct{}, 1)
	return ticks, s.CallEvery(period, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
}

// WithTimeout returns a context that ends with ctx or after d. The function releases it.
func (s *Service) WithTimeout(ctx context.Context, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	sub := s.CallAfter(d, func(time.Time) { cancel() })
	return ctx, func() {
		sub.Stop()
		cancel()
	}
}
