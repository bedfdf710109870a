// Package affeed keeps a copy of one kind of the platform's objects: a list, then a watch, and a list again whenever the
// watch cannot go on.
package affeed

import (
	"context"
	"log/slog"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// firstRetry is the pause after a failed call. It doubles up to maxRetry, so that a fleet that waits for the
	// platform's return neither floods it nor is late for it: entries must be known again within 2 s.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// batchPause is the pause between two waiting calls after a change. Changes that come at once are one call then.
	batchPause = 100 * time.Millisecond
)

// Feed copies one kind. Set the fields before Run. The functions are called from the goroutine of Run.
type Feed struct {
	Kind string
	// List and Watch reach the platform as afobject.Client does.
	List  func(ctx context.Context, kind string) ([]afobject.Object, int64, error)
	Watch func(ctx context.Context, kind string, since int64, fn func(afobject.Event)) error
	// All is called with each complete list. Outage is the time for which the platform could not be reached before.
	All func(objects []afobject.Object, outage time.Duration)
	// Change is called with each change after the list.
	Change func(afobject.Event)
	Timer  *aftimer.Service
	Log    *slog.Logger

	lost  time.Time // lost is when the platform was first found unreachable. It is zero while it is reached.
	pause time.Duration
}

// Run keeps the copy until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		objects, version, err := f.List(ctx, f.Kind)
		if err != nil {
			f.failed(ctx, "list", err)
			continue
		}
		f.All(objects, f.reached())
		f.follow(ctx, version)
	}
}

// follow watches until the history that the watch needs is gone.
func (f *Feed) follow(ctx context.Context, version int64) {
	for ctx.Err() == nil {
		watch, stop := context.WithCancel(ctx)
		changed := false
		err := f.Watch(watch, f.Kind, version, func(e afobject.Event) {
			f.reached()
			version = max(version, e.Object.Version)
			if e.Type != afobject.Bookmark {
				changed = true
				f.Change(e)
				return
			}
			if changed {
				changed = false
				f.sleep(ctx, batchPause)
			}
		})
		stop()
		if afobject.IsKind(err, afobject.Expired) {
			f.Log.Info("watch expired; listing again", "kind", f.Kind, "version", version)
			return
		}
		if ctx.Err() == nil {
			f.failed(ctx, "watch", err)
		}
	}
}

func (f *Feed) failed(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.lost.IsZero() {
		f.lost = f.Timer.Now()
		f.Log.Warn("platform lost", "kind", f.Kind, "op", op, "error", err)
	}
	f.pause = min(max(2*f.pause, firstRetry), maxRetry)
	f.sleep(ctx, f.pause)
}

// reached notes an answer and returns for how long there was none.
func (f *Feed) reached() time.Duration {
	f.pause = 0
	if f.lost.IsZero() {
		return 0
	}
	outage := f.Timer.Now().Sub(f.lost)
	f.lost = time.Time{}
	f.Log.Info("platform regained", "kind", f.Kind, "outage", outage)
	return outage
}

func (f *Feed) sleep(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	sub := f.Timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
