// Package aftimer provides a timer service that calls its subscribers at their due times.
//
// Run drives the service from the clock of the process. Tests call AdvanceTo instead, so that they control the time.
package aftimer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// maxIdleSleep limits the sleep of Run while there is no subscription.
const maxIdleSleep = time.Hour

// Service calls the functions of its subscriptions when they are due. It is safe for concurrent use, and the zero value
// is ready to use.
type Service struct {
	// Clock returns the current time with a monotonic reading. Nil means time.Now. Set it before the first call.
	Clock func() time.Time

	mu            sync.Mutex
	manualNow     time.Time // manualNow is the time set by AdvanceTo. It is zero while the service follows Clock.
	subscriptions subscriptionHeap
	// lastSeq is the seq of the newest subscription.
	lastSeq uint64
	// wakeRun signals Run that a new subscription is due before the end of its sleep.
	wakeRun chan struct{}
}

// Subscription is a periodic or single call that is scheduled in a Service. Stop ends it.
type Subscription struct {
	service *Service
	dueAt   time.Time
	// period is the time between two calls. Zero means a single call.
	period time.Duration
	fn     func(now time.Time)
	// seq is the order of subscription. It orders subscriptions that are due at the same time.
	seq uint64
	// heapIndex is the position in the heap of the service, or -1 after removal.
	heapIndex int
}

// Now returns the service's current time.
func (s *Service) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentTime()
}

// currentTime returns the service's current time. The caller must hold mu.
func (s *Service) currentTime() time.Time {
	if !s.manualNow.IsZero() {
		return s.manualNow
	}
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// CallEvery calls fn once in each period, first after one period, until the subscription is stopped. The argument of fn
// is the time at which the call was due. fn must not block, because one goroutine calls all subscribers.
func (s *Service) CallEvery(period time.Duration, fn func(now time.Time)) *Subscription {
	return s.subscribe(period, period, fn)
}

// CallAfter calls fn once after d unless the subscription is stopped before. The argument of fn is the time at which the
// call was due. fn must not block, because one goroutine calls all subscribers.
func (s *Service) CallAfter(d time.Duration, fn func(now time.Time)) *Subscription {
	return s.subscribe(d, 0, fn)
}

// subscribe adds a subscription that is first due after d, and wakes Run if no other one is due earlier.
func (s *Service) subscribe(d, period time.Duration, fn func(now time.Time)) *Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSeq++
	sub := &Subscription{service: s, dueAt: s.currentTime().Add(d), period: period, fn: fn, seq: s.lastSeq}
	heap.Push(&s.subscriptions, sub)
	if sub.heapIndex == 0 {
		select {
		case s.wakeChannel() <- struct{}{}:
		default:
		}
	}
	return sub
}

// wakeChannel returns wakeRun and creates the channel on first use. The caller must hold mu.
func (s *Service) wakeChannel() chan struct{} {
	if s.wakeRun == nil {
		s.wakeRun = make(chan struct{}, 1)
	}
	return s.wakeRun
}

// Stop ends the subscription. A call that has already started may still be running when Stop returns. It may be called
// more than once.
func (sub *Subscription) Stop() {
	s := sub.service
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.period = 0
	if sub.heapIndex >= 0 {
		heap.Remove(&s.subscriptions, sub.heapIndex)
	}
}

// Run drives the service from its clock until ctx ends. It sleeps until the next subscription is due, because a fixed
// tick of 5 ms takes 1.5 % of a core in an idle process.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	wakeRun := s.wakeChannel()
	s.mu.Unlock()
	timer := time.NewTimer(s.timeUntilNextCall())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wakeRun:
		case <-timer.C:
			s.callDueSubscribers(s.Now())
		}
		timer.Reset(s.timeUntilNextCall())
	}
}

// timeUntilNextCall returns the time until the next subscription is due, or maxIdleSleep if there is none.
func (s *Service) timeUntilNextCall() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.subscriptions) == 0 {
		return maxIdleSleep
	}
	return max(s.subscriptions[0].dueAt.Sub(s.currentTime()), 0)
}

// AdvanceTo sets the service's time and calls the subscribers that are due by then, in the order of their due times.
// After the first call of AdvanceTo the service no longer follows its clock.
func (s *Service) AdvanceTo(now time.Time) {
	s.callDueSubscribers(now)
	s.mu.Lock()
	s.manualNow = now
	s.mu.Unlock()
}

// callDueSubscribers calls the subscribers that are due at now, without holding mu, in the order of their due times.
func (s *Service) callDueSubscribers(now time.Time) {
	for {
		sub, dueAt := s.takeNextDue(now)
		if sub == nil {
			return
		}
		sub.fn(dueAt)
	}
}

// takeNextDue returns the earliest subscription that is due at now, with its due time, and schedules its next call. It
// removes a subscription without a period. It returns nil if none is due.
func (s *Service) takeNextDue(now time.Time) (*Subscription, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.subscriptions) == 0 || s.subscriptions[0].dueAt.After(now) {
		return nil, time.Time{}
	}
	sub := s.subscriptions[0]
	dueAt := sub.dueAt
	if !s.manualNow.IsZero() && dueAt.After(s.manualNow) {
		s.manualNow = dueAt
	}
	if sub.period <= 0 {
		heap.Pop(&s.subscriptions)
		return sub, dueAt
	}
	sub.dueAt = dueAt.Add(sub.period)
	if s.manualNow.IsZero() && sub.dueAt.Before(now) {
		// After a pause of the process, one call replaces all the missed calls.
		sub.dueAt = now.Add(sub.period)
	}
	heap.Fix(&s.subscriptions, 0)
	return sub, dueAt
}

// subscriptionHeap implements heap.Interface. Subscriptions with equal due times are ordered by seq.
type subscriptionHeap []*Subscription

func (h subscriptionHeap) Len() int { return len(h) }

func (h subscriptionHeap) Less(i, j int) bool {
	if h[i].dueAt.Equal(h[j].dueAt) {
		return h[i].seq < h[j].seq
	}
	return h[i].dueAt.Before(h[j].dueAt)
}

func (h subscriptionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *subscriptionHeap) Push(x any) {
	sub := x.(*Subscription)
	sub.heapIndex = len(*h)
	*h = append(*h, sub)
}

func (h *subscriptionHeap) Pop() any {
	subscriptions := *h
	n := len(subscriptions)
	sub := subscriptions[n-1]
	subscriptions[n-1] = nil
	*h = subscriptions[:n-1]
	sub.heapIndex = -1
	return sub
}
