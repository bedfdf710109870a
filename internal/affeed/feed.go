// Package affeed keeps a copy of one kind of the platform's objects: a list, then a watch, and a list again whenever the
// watch cannot go on.
package affeed

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// firstRetry is the pause after a failed call. It doubles up to maxRetry, so that a fleet that waits for the
	// platform's return neither floods it nor is late for it: entries must be known again within 2 s.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// sharedPause is the pause from which one feed asks for all: the third failure in a row. Single answers can be lost
	// while the platform is there.
	sharedPause = 4 * firstRetry
	// probeWait is how long a call waits for a change while it is not known whether the platform is back.
	probeWait = 100 * time.Millisecond
	// suspendPeriod is how often a suspended feed looks whether it is still.
	suspendPeriod = 100 * time.Millisecond
	// behindTime is how long another copy must have been newer before the watch is taken for silent. A change reaches
	// all VMs within a call and a pause of some hundred milliseconds.
	behindTime = 600 * time.Millisecond
	// maxBehind bounds that time, which doubles while new watches bring nothing: a VM that is cut off from the platform would
	// ask once in behindTime otherwise.
	maxBehind = 4800 * time.Millisecond
)

// Position tells how far a copy is.
type Position struct {
	// Version is the latest version of an object that was seen, and ObjectCount the number of objects.
	Version     int64 `msgpack:"v"`
	ObjectCount int   `msgpack:"n"`
}

// IsBehind reports whether the copy at the position n is certainly newer than the one at m.
func (m Position) IsBehind(n Position) bool {
	return n.Version > m.Version || n.Version == m.Version && n.ObjectCount < m.ObjectCount
}

// Feed copies one kind. Set the fields before Run. The functions are called from the goroutine of Run.
type Feed struct {
	Kind string
	// List and PollChanges reach the platform as afobject.Client does.
	List        func(ctx context.Context, kind string) ([]afobject.Object, int64, error)
	PollChanges func(ctx context.Context, kind string, since int64, wait func() time.Duration, fn func(afobject.Event)) error
	// PollTimeout returns how long one call waits for a change. A call that has gone silent is noticed after that time only.
	PollTimeout func() time.Duration
	// PollDelay returns the time between two calls after a change, so that changes that come together cost one call.
	PollDelay func() time.Duration
	// Coordinator is shared with the other feeds of this VM.
	Coordinator *RetryCoordinator
	// OnList is called with each complete list. Outage is the time for which the platform could not be reached before.
	OnList func(objects []afobject.Object, outage time.Duration)
	// OnChange is called with each change after the list.
	OnChange func(afobject.Event)
	// IsSuspended reports that another VM tells about changes, so that the platform need not be asked. Nil means never.
	IsSuspended func() bool
	// OnExpired is called when the platform has dropped the history that the watch needs. Nil means that nobody asks.
	OnExpired func()
	Timer     *aftimer.Service
	Log       *slog.Logger

	mu    sync.Mutex
	mark  Position
	names map[string]bool
	stop  context.CancelFunc // stop ends the running watch. It is nil while there is none.
	// behind is since when another copy has been newer, or since the watch was begun anew for that. It is zero while none is.
	behind time.Time
	// patience is how long another copy must be newer before the watch is begun anew. Zero means behindTime.
	patience time.Duration

	// away is true while the platform is not reached, and losses counts how often that began.
	away   atomic.Bool
	losses atomic.Int64

	lost  time.Time // lost is when the platform was first found unreachable. It is zero while it is reached.
	pause time.Duration
}

// Run keeps the copy until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.suspended() {
			f.Timer.Sleep(ctx, suspendPeriod)
			continue
		}
		objects, version, err := f.List(ctx, f.Kind)
		if err != nil {
			f.failed(ctx, "list", err)
			continue
		}
		f.noteAll(objects)
		f.OnList(objects, f.reached())
		f.follow(ctx, version)
	}
}

// wait returns how long one call waits for a change.
func (f *Feed) wait() time.Duration {
	if !f.lost.IsZero() {
		return probeWait
	}
	return f.PollTimeout()
}

func (f *Feed) suspended() bool { return f.IsSuspended != nil && f.IsSuspended() }

// PlatformStatus reports whether the platform is not reached, and how often that has begun.
func (f *Feed) PlatformStatus() (away bool, losses int64) { return f.away.Load(), f.losses.Load() }

// Position returns how far the copy is.
func (f *Feed) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mark
}

// ComparePosition takes the position of another VM's copy. If that one is newer, the watch is taken for silent and begun anew.
func (f *Feed) ComparePosition(other Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mark.IsBehind(other) {
		return
	}
	now := f.Timer.Now()
	if f.behind.IsZero() {
		f.behind = now
	}
	f.patience = max(f.patience, behindTime)
	if f.stop == nil || now.Sub(f.behind) < f.patience {
		return
	}
	f.behind, f.patience = now, min(2*f.patience, maxBehind)
	f.Log.Info("another VM's copy is newer; watching anew", "kind", f.Kind, "version", f.mark.Version, "other", other.Version)
	f.stop()
}

// RestartWatch begins the watch anew, because its wait is too long or its history may be gone.
func (f *Feed) RestartWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop != nil {
		f.stop()
	}
}

func (f *Feed) noteAll(objects []afobject.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names = make(map[string]bool, len(objects))
	for _, o := range objects {
		f.names[o.Name] = true
		f.mark.Version = max(f.mark.Version, o.Version)
	}
	f.mark.ObjectCount = len(f.names)
	f.caughtUp()
}

// caughtUp notes news from the platform. The caller holds mu.
func (f *Feed) caughtUp() { f.behind, f.patience = time.Time{}, 0 }

func (f *Feed) note(e afobject.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mark.Version = max(f.mark.Version, e.Object.Version)
	if e.Type == afobject.Deleted {
		delete(f.names, e.Object.Name)
	} else {
		f.names[e.Object.Name] = true
	}
	f.mark.ObjectCount = len(f.names)
	f.caughtUp()
}

// watching sets what ends the running watch.
func (f *Feed) watching(stop context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = stop
}

// follow watches until the history that the watch needs is gone.
func (f *Feed) follow(ctx context.Context, version int64) {
	for ctx.Err() == nil {
		watch, stop := context.WithCancel(ctx)
		f.watching(stop)
		changed := false
		err := f.PollChanges(watch, f.Kind, version, f.wait, func(e afobject.Event) {
			f.reached()
			if e.Type != afobject.Bookmark {
				changed = true
				f.note(e)
				f.OnChange(e)
				return
			}
			version = max(version, e.Object.Version)
			if f.suspended() {
				stop()
				return
			}
			if changed {
				changed = false
				f.Timer.Sleep(ctx, f.PollDelay())
			}
		})
		f.watching(nil)
		if f.suspended() {
			stop()
			return
		}
		kicked := watch.Err() != nil
		stop()
		if kicked {
			continue
		}
		if afobject.IsKind(err, afobject.VersionExpired) {
			f.Log.Info("watch expired; listing again", "kind", f.Kind, "version", version)
			if f.OnExpired != nil {
				f.OnExpired()
			}
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
		f.away.Store(true)
		f.losses.Add(1)
		f.Log.Warn("platform lost", "kind", f.Kind, "op", op, "error", err)
	}
	f.pause = min(max(2*f.pause, firstRetry), maxRetry)
	if f.pause < sharedPause {
		f.Timer.Sleep(ctx, f.pause)
		return
	}
	f.Coordinator.wait(ctx, f, f.Timer, f.pause)
}

// reached notes an answer and returns for how long there was none.
func (f *Feed) reached() time.Duration {
	f.pause = 0
	if f.lost.IsZero() {
		return 0
	}
	outage := f.Timer.Now().Sub(f.lost)
	f.lost = time.Time{}
	f.away.Store(false)
	f.Coordinator.end()
	f.Log.Info("platform regained", "kind", f.Kind, "outage", outage)
	return outage
}
