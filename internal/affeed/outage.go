package affeed

import (
	"context"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// askerLife is how long ago the feed that asks during an outage may have asked last. After it another one takes over.
const askerLife = 2 * maxRetry

// RetryCoordinator is shared by the feeds of one VM: while the platform is not reached, one of them asks and the others wait for
// it. The zero value is ready to use.
type RetryCoordinator struct {
	mu    sync.Mutex
	asker *Feed
	asked time.Time
	// over is closed when the platform is reached. It is nil outside of outages.
	over chan struct{}
}

// wait returns when the feed should call the platform again after a call that failed.
func (o *RetryCoordinator) wait(ctx context.Context, f *Feed, timer *aftimer.Service, pause time.Duration) {
	for {
		over, turn := o.ask(f, timer.Now())
		mine, d := turn <= 0, turn
		if mine {
			d = pause
		}
		c, cancel := timer.WithTimeout(ctx, d)
		select {
		case <-c.Done():
		case <-over:
			mine = true
		}
		cancel()
		if mine || ctx.Err() != nil {
			return
		}
	}
}

// ask makes the feed the one that asks if no other is, or returns the time until it may be.
func (o *RetryCoordinator) ask(f *Feed, now time.Time) (over <-chan struct{}, turn time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over == nil {
		o.over = make(chan struct{})
	}
	if o.asker != nil && o.asker != f {
		turn = askerLife - now.Sub(o.asked)
	}
	if turn <= 0 {
		o.asker, o.asked = f, now
	}
	return o.over, turn
}

// end lets all feeds call the platform.
func (o *RetryCoordinator) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.over != nil {
		close(o.over)
		o.asker, o.over = nil, nil
	}
}
