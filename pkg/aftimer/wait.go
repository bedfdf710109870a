package aftimer

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx ends. It reports whether d has passed.
func (s *Service) Sleep(ctx context.Context, d time.Duration) bool {
	elapsed := make(chan struct{})
	sub := s.CallAfter(d, func(time.Time) { close(elapsed) })
	defer sub.Stop()
	select {
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}

// TickChannel returns a channel that receives a value in each period until the subscription is stopped. The channel holds
// one value: further ticks are dropped until the reader receives it, so that a slow reader does not block the service.
func (s *Service) TickChannel(period time.Duration) (<-chan struct{}, *Subscription) {
	ticks := make(chan struct{}, 1)
	return ticks, s.CallEvery(period, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
}

// WithTimeout returns a context that ends when ctx ends or d has passed. The returned function cancels the context and
// stops its timer; the caller must call it.
func (s *Service) WithTimeout(ctx context.Context, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	sub := s.CallAfter(d, func(time.Time) { cancel() })
	return ctx, func() {
		sub.Stop()
		cancel()
	}
}
