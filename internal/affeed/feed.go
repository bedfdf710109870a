// Package affeed keeps local copies of the platform's objects. A Feed copies all objects of one kind: it lists them, then
// watches for changes, and lists them again when the platform no longer has the history that the watch needs.
package affeed

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	// suspendCheckInterval is the time between two checks whether a suspended feed is still suspended.
	suspendCheckInterval = 100 * time.Millisecond
	// maxResumeAge is how long after the last answer a watch may go on from its version without a new list. The platform keeps
	// the history of some 20 s.
	maxResumeAge = 8 * time.Second
)

// Gap is what may be missing from a list although it existed a moment before.
type Gap struct {
	// Outage is how long the platform had been unreachable before the list, or zero. Entries may have expired meanwhile.
	Outage time.Duration
	// WentBack means that the store came back from an older copy since the previous list.
	WentBack bool
}

// MayLackEntries reports whether entries may be missing whose writers are alive and will write them again.
func (g Gap) MayLackEntries() bool { return g.Outage > 0 || g.WentBack }

// Feed keeps a copy of all objects of one kind. Set the exported fields before Run. The functions are called from the
// goroutine of Run.
type Feed struct {
	// Kind is the kind of the objects.
	Kind string
	// List returns all objects of the kind and the version of the collection, as afobject.Client does.
	List func(ctx context.Context, kind string) ([]afobject.Object, int64, error)
	// PollChanges calls fn with each change after the version since, as afobject.Client does.
	PollChanges func(ctx context.Context, kind string, since int64, wait func() time.Duration, fn func(afobject.Event)) error
	// PollTimeout returns how long the platform may hold one call to wait for a change. A call whose connection has died is
	// noticed only after this time.
	PollTimeout func() time.Duration
	// PollDelay returns the time between two calls after a change, so that changes in quick succession need one call.
	PollDelay func() time.Duration
	// Coordinator is shared by all feeds of this VM.
	Coordinator *RetryCoordinator
	// OnList is called with each complete list.
	OnList func(objects []afobject.Object, gap Gap)
	// OnChange is called with the changes after a list: with the last one to each object in an answer of the platform, so that
	// a copy that catches up doesn't show states that are over.
	OnChange func(afobject.Event)
	// OnOutdatedChange is called, before OnChange, with the changes of an answer that a later one in it replaces. It may be nil.
	OnOutdatedChange func(afobject.Event)
	// OnCopy is called after OnList, and after the changes of an answer, with the version of the collection that they complete. It may
	// be nil.
	OnCopy func(version int64)
	// IsSuspended reports whether this VM receives the changes from another VM, so that the feed need not call the
	// platform. Nil means never.
	IsSuspended func() bool
	// OnExpired is called when the platform no longer has the history that the watch needs. It may be nil.
	OnExpired func()
	// Held is the memory of the copy. It may be nil.
	Held  *afmemory.Holder
	Timer *aftimer.Service
	Log   *slog.Logger

	// mu protects the fields up to staleTimeout.
	mu       sync.Mutex
	position Position
	// objectBytes holds the sizes of the objects in the copy by name.
	objectBytes map[string]int
	// cancelWatch ends the running watch. It is nil while none runs.
	cancelWatch context.CancelFunc
	// staleSince is when the copy was first found to be behind another VM's copy, or when the watch was last restarted for
	// that reason. It is zero while the copy is not behind.
	staleSince time.Time
	// staleTimeout is how long the copy must be behind before the watch is restarted. Zero means minStaleTimeout.
	staleTimeout time.Duration

	// isListRequested means that the next step is a new list instead of a watch.
	isListRequested bool
	// isCompared means that the copy was compared with another VM's copy. differsSince is when it was first found to differ
	// from it, or zero if it did not at the last comparison.
	isCompared   bool
	differsSince time.Time

	// isPlatformLost is true while the platform is unreachable.
	isPlatformLost atomic.Bool
	// reachedAt is when the platform last answered, in Unix nanoseconds, or zero.
	reachedAt atomic.Int64
	// lossCount is the number of times that the platform became unreachable.
	lossCount atomic.Int64

	// version is the version of the collection up to which changes were received, as of versionAt. versionAt is zero if the next
	// watch needs a new list.
	version   int64
	versionAt time.Time
	// hasListed means that there was a list.
	hasListed bool
	// lostAt is when the platform became unreachable. It is zero while the platform is reachable.
	lostAt time.Time
	// retryDelay is the delay after the last failed call. It is zero after a success.
	retryDelay time.Duration
}

// Run keeps the copy up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.checkSuspended() {
			f.Timer.Sleep(ctx, suspendCheckInterval)
			continue
		}
		isListRequested := f.takeListRequest()
		if !isListRequested && f.lostAt.IsZero() && !f.versionAt.IsZero() && f.Timer.Now().Sub(f.versionAt) < maxResumeAge {
			f.followChanges(ctx)
			continue
		}
		objects, version, err := f.List(ctx, f.Kind)
		if err != nil {
			f.handleFailure(ctx, "list", err)
			continue
		}
		f.recordList(objects)
		f.OnList(objects, Gap{Outage: f.recordReached(), WentBack: f.hasListed && afversion.Era(version) > afversion.Era(f.version)})
		f.version, f.versionAt, f.hasListed = version, f.Timer.Now(), true
		f.notifyCopy()
	}
}

func (f *Feed) checkSuspended() bool { return f.IsSuspended != nil && f.IsSuspended() }

// RestartWatch restarts the watch, for example because its running call may be held for too long or its history may have
// expired.
func (f *Feed) RestartWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// RequestList makes the feed list the objects again instead of following the changes.
func (f *Feed) RequestList() {
	f.mu.Lock()
	f.isListRequested = true
	f.mu.Unlock()
	f.RestartWatch()
}

// takeListRequest returns and clears the request for a new list.
func (f *Feed) takeListRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isRequested := f.isListRequested
	f.isListRequested = false
	return isRequested
}

// hasListRequest reports whether a new list was requested.
func (f *Feed) hasListRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isListRequested
}

// applyChanges applies the changes of one answer.
func (f *Feed) applyChanges(changes []afobject.Event) {
	last := make(map[string]int, len(changes))
	for i, e := range changes {
		last[e.Object.Name] = i
		f.recordChange(e)
	}
	for i, e := range changes {
		if last[e.Object.Name] != i && f.OnOutdatedChange != nil {
			f.OnOutdatedChange(e)
		}
	}
	for i, e := range changes {
		if last[e.Object.Name] == i {
			f.OnChange(e)
		}
	}
}

// notifyCopy calls OnCopy with the version of the copy.
func (f *Feed) notifyCopy() {
	if f.OnCopy != nil {
		f.OnCopy(f.version)
	}
}

// setCancelWatch sets the function that ends the running watch, or nil.
func (f *Feed) setCancelWatch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}

// followChanges watches for changes after the version of the copy. It returns when the history that the watch needs has
// expired, the feed is suspended or ctx ends.
func (f *Feed) followChanges(ctx context.Context) {
	for ctx.Err() == nil && !f.hasListRequest() {
		watchCtx, cancel := context.WithCancel(ctx)
		f.setCancelWatch(cancel)
		var changes []afobject.Event
		err := f.PollChanges(watchCtx, f.Kind, f.version, f.currentPollTimeout, func(e afobject.Event) {
			f.recordReached()
			if e.Type != afobject.Bookmark {
				changes = append(changes, e)
				return
			}
			f.applyChanges(changes)
			hasChanges := len(changes) > 0
			changes = nil
			f.version, f.versionAt = max(f.version, e.Object.Version), f.Timer.Now()
			if hasChanges {
				f.notifyCopy()
			}
			if f.checkSuspended() {
				cancel()
				return
			}
			if hasChanges {
				f.Timer.Sleep(ctx, f.PollDelay())
			}
		})
		f.setCancelWatch(nil)
		if f.checkSuspended() {
			cancel()
			return
		}
		isRestarted := watchCtx.Err() != nil
		cancel()
		if isRestarted {
			continue
		}
		if afobject.IsKind(err, afobject.VersionExpired) {
			f.versionAt = time.Time{}
			f.Log.Info("watch expired", "kind", f.Kind, "version", f.version)
			if f.OnExpired != nil {
				f.OnExpired()
			}
			return
		}
		if ctx.Err() == nil {
			f.handleFailure(ctx, "watch", err)
		}
	}
}
