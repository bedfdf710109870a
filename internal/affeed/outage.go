package affeed

import (
	"context"
	"time"
)

const (
	// minRetryDelay is the delay after the first failed call. It doubles with each further failure up to maxRetryDelay. A
	// fleet that waits for the platform to recover must not flood it, and must have current copies within 2 s after the recovery.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the delay after a failed call.
	maxRetryDelay = 800 * time.Millisecond
	// coordinatedRetryDelay is the delay from which only one feed of the VM calls the platform, reached with the third
	// failure in a row. Fewer failures can be lost responses of a platform that is reachable.
	coordinatedRetryDelay = 4 * minRetryDelay
	// outagePollTimeout is how long the platform may hold a call to wait for a change during an outage. It is short, since
	// the end of the outage is noticed only when a call returns.
	outagePollTimeout = 100 * time.Millisecond
)

// currentPollTimeout returns how long the platform may hold the next call to wait for a change.
func (f *Feed) currentPollTimeout() time.Duration {
	if !f.lostAt.IsZero() {
		return outagePollTimeout
	}
	return f.PollTimeout()
}

// PlatformStatus reports whether the platform is unreachable and how often it has become so.
func (f *Feed) PlatformStatus() (isLost bool, losses int64) {
	return f.isPlatformLost.Load(), f.lossCount.Load()
}

// ReachedAt returns when the platform last answered, or the zero time.
func (f *Feed) ReachedAt() time.Time {
	if ns := f.reachedAt.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// handleFailure records that a call failed and waits until the next call is due.
func (f *Feed) handleFailure(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.lostAt.IsZero() {
		f.lostAt = f.Timer.Now()
		f.isPlatformLost.Store(true)
		f.lossCount.Add(1)
		f.Log.Warn("platform lost", "kind", f.Kind, "op", op, "error", err)
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	if f.retryDelay < coordinatedRetryDelay {
		f.Timer.Sleep(ctx, f.retryDelay)
		return
	}
	f.Coordinator.waitRetry(ctx, f, f.Timer, f.retryDelay)
}

// recordReached records a response of the platform and returns how long the platform had been unreachable before.
func (f *Feed) recordReached() time.Duration {
	f.retryDelay = 0
	f.reachedAt.Store(f.Timer.Now().UnixNano())
	if f.lostAt.IsZero() {
		return 0
	}
	outage := f.Timer.Now().Sub(f.lostAt)
	f.lostAt = time.Time{}
	f.isPlatformLost.Store(false)
	f.Coordinator.signalRecovered()
	f.Log.Info("platform regained", "kind", f.Kind, "outage", outage)
	return outage
}
