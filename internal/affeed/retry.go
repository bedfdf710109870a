package affeed

import (
	"context"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// proberTimeout is how long the prober may be without a call to the platform before another feed takes over, for example
// because the prober was suspended.
const proberTimeout = 2 * maxRetryDelay

// RetryCoordinator coordinates the retries of all feeds of one VM during an outage of the platform, so that the VM does not
// call the platform with every feed: one feed, the prober, retries, and the others wait until it succeeds. The zero value
// is ready to use.
type RetryCoordinator struct {
	mu sync.Mutex
	// prober is the feed that retries. It is nil while no feed waits.
	prober *Feed
	// probedAt is when the prober last began to wait for its next call.
	probedAt time.Time
	// recovered is closed when a feed has reached the platform. It is nil while no feed waits.
	recovered chan struct{}
}

// waitRetry returns when the feed should call the platform again after a failed call.
func (c *RetryCoordinator) waitRetry(ctx context.Context, f *Feed, timer *aftimer.Service, retryDelay time.Duration) {
	for {
		recovered, untilTakeover := c.claimProber(f, timer.Now())
		isProber, delay := untilTakeover <= 0, untilTakeover
		if isProber {
			delay = retryDelay
		}
		waitCtx, cancel := timer.WithTimeout(ctx, delay)
		select {
		case <-waitCtx.Done():
		case <-recovered:
			isProber = true
		}
		cancel()
		if isProber || ctx.Err() != nil {
			return
		}
	}
}

// claimProber makes the feed the prober and returns a duration of zero or less, unless another feed is the prober. It then
// returns the time until the feed may take over.
func (c *RetryCoordinator) claimProber(f *Feed, now time.Time) (recovered <-chan struct{}, untilTakeover time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recovered == nil {
		c.recovered = make(chan struct{})
	}
	if c.prober != nil && c.prober != f {
		untilTakeover = proberTimeout - now.Sub(c.probedAt)
	}
	if untilTakeover <= 0 {
		c.prober, c.probedAt = f, now
	}
	return c.recovered, untilTakeover
}

// signalRecovered ends the wait of all feeds, which then call the platform.
func (c *RetryCoordinator) signalRecovered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recovered != nil {
		close(c.recovered)
		c.prober, c.recovered = nil, nil
	}
}
