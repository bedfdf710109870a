package affeed

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// store is a platform whose watches can hear nothing.
type store struct {
	mu      sync.Mutex
	objects []afobject.Object
	version int64
	silent  bool
	expired bool
	polls   int
	fail    error
}

func (s *store) list(context.Context, string) ([]afobject.Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.objects), s.version, s.fail
}

// set changes the store between two steps of the feed.
func (s *store) set(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

// poll answers when there is a change, or with a bookmark alone after the wait. A call that meets a silent store is never
// answered.
func (s *store) poll(ctx context.Context, kind string, since int64, wait func() time.Duration, fn func(afobject.Event)) error {
	const step = 10 * time.Millisecond
	for {
		s.set(func() { s.polls++ })
		lost := false
		for end := time.Now().Add(wait()); ; {
			events, silent, err := s.changes(since)
			if err != nil {
				return err
			}
			lost = lost || silent
			if !lost && (len(events) > 0 || !time.Now().Before(end)) {
				for _, e := range events {
					since = max(since, e.Object.Version)
					fn(e)
				}
				fn(afobject.Event{Type: afobject.Bookmark, Object: afobject.Object{Kind: kind, Version: since}})
				break
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(step):
			}
		}
	}
}

func (s *store) changes(since int64) (events []afobject.Event, silent bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail != nil {
		return nil, false, s.fail
	}
	if s.expired {
		s.expired = false
		return nil, false, &afobject.Error{Op: "watch", Kind: afobject.VersionExpired}
	}
	for _, o := range s.objects {
		if o.Version > since {
			events = append(events, afobject.Event{Type: afobject.Modified, Object: o})
		}
	}
	return events, s.silent, nil
}

func (s *store) put(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for i := range s.objects {
		if s.objects[i].Name == name {
			s.objects[i].Version = s.version
			return
		}
	}
	s.objects = append(s.objects, afobject.Object{Name: name, Version: s.version})
}

func newFeed(s *store, got map[string]int64) *Feed {
	take := func(o afobject.Object) { got[o.Name] = o.Version }
	return &Feed{
		Kind: "config", List: s.list, PollChanges: s.poll, PollTimeout: func() time.Duration { return time.Second },
		PollDelay: func() time.Duration { return 0 }, Coordinator: &RetryCoordinator{},
		OnList: func(objects []afobject.Object, _ time.Duration) {
			for _, o := range objects {
				take(o)
			}
		},
		OnChange: func(e afobject.Event) { take(e.Object) },
		Timer:    &aftimer.Service{}, Log: slog.New(slog.DiscardHandler),
	}
}

func run(t *testing.T, f *Feed) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	go f.Timer.Run(ctx)
	go f.Run(ctx)
}

// Guards against a watch that hears nothing while changes are made: another VM's copy shows that it is behind.
func TestSilentWatchIsBegunAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{version: 1, silent: true}
		s.put("main")
		got := map[string]int64{}
		f := newFeed(s, got)
		run(t, f)
		pass(time.Second)
		require.Equal(t, int64(2), got["main"])
		s.put("main")
		pass(3 * time.Second)
		require.Equal(t, int64(2), got["main"], "the watch is silent")
		s.set(func() { s.silent = false })
		f.ComparePosition(Position{Version: 3, ObjectCount: 1})
		pass(behindTime)
		require.Equal(t, int64(2), got["main"], "the change may still be on its way")
		f.ComparePosition(Position{Version: 3, ObjectCount: 1})
		pass(200 * time.Millisecond)
		require.Equal(t, int64(3), got["main"])
		polls := 0
		s.set(func() { polls = s.polls })
		f.ComparePosition(Position{Version: 3, ObjectCount: 1})
		pass(100 * time.Millisecond)
		s.set(func() { require.Equal(t, polls, s.polls, "an equal copy starts nothing") })
	})
}

// Guards against a VM that is cut off from the platform and asks it several times a second, because other VMs know more.
func TestCutOffVMAsksLessAndLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{version: 1}
		s.put("main")
		got := map[string]int64{}
		f := newFeed(s, got)
		f.PollTimeout = func() time.Duration { return time.Minute }
		run(t, f)
		pass(time.Second)
		s.set(func() { s.silent = true })
		polls := 0
		s.set(func() { polls = s.polls })
		compare := func(d time.Duration) {
			for ; d > 0; d -= behindTime / 6 {
				f.ComparePosition(Position{Version: 3, ObjectCount: 1})
				pass(behindTime / 6)
			}
		}
		compare(9 * time.Second)
		s.set(func() { require.LessOrEqual(t, s.polls-polls, 5, "calls in 9 s") })
		s.put("main")
		s.set(func() { s.silent = false })
		compare(maxBehind + behindTime)
		require.Equal(t, int64(3), got["main"])
		s.put("main")
		s.set(func() { s.silent = true })
		pass(time.Second)
		s.set(func() { s.silent = false })
		f.ComparePosition(Position{Version: 4, ObjectCount: 1})
		pass(behindTime)
		f.ComparePosition(Position{Version: 4, ObjectCount: 1})
		pass(100 * time.Millisecond)
		require.Equal(t, int64(4), got["main"], "once it has caught up, the next silence is noticed as soon as the first")
	})
}

// Guards against a long wait that goes on after the VM has lost the holder that told it about changes.
func TestRestartEndsSilentWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{version: 1, silent: true}
		s.put("main")
		got := map[string]int64{}
		f := newFeed(s, got)
		run(t, f)
		pass(time.Second)
		s.put("main")
		s.set(func() { s.silent = false })
		f.RestartWatch()
		pass(100 * time.Millisecond)
		require.Equal(t, int64(3), got["main"])
	})
}

// Guards against changes that are missed when the platform has dropped the history that the watch needs.
func TestExpiredWatchListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{version: 1}
		s.put("main")
		got := map[string]int64{}
		run(t, newFeed(s, got))
		pass(100 * time.Millisecond)
		s.put("main")
		s.set(func() { s.expired = true })
		pass(2 * time.Second)
		require.Equal(t, int64(3), got["main"])
	})
}

// Guards against a copy that is late after an outage: entries must be known again within 2 s of the return.
func TestBackAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{version: 1, fail: &afobject.Error{Op: "list", Kind: afobject.PlatformUnavailable}}
		got := map[string]int64{}
		run(t, newFeed(s, got))
		pass(30 * time.Second)
		s.put("main")
		s.set(func() { s.fail = nil })
		pass(time.Second)
		require.Equal(t, int64(2), got["main"])
	})
}

// pass lets the bubble's time go by until all of the feed's steps are done.
func pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// Guards against VMs that ask a platform that is away with every feed: one asks, and all go on when it is back.
func TestOneFeedAsksDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{version: 1, fail: &afobject.Error{Op: "list", Kind: afobject.PlatformUnavailable}}
		s.put("main")
		outage := &RetryCoordinator{}
		var mu sync.Mutex
		calls := 0
		heard := make([]map[string]int64, 3)
		for i := range heard {
			heard[i] = map[string]int64{}
			f := newFeed(s, heard[i])
			f.Coordinator = outage
			f.List = func(ctx context.Context, kind string) ([]afobject.Object, int64, error) {
				mu.Lock()
				calls++
				mu.Unlock()
				return s.list(ctx, kind)
			}
			run(t, f)
		}
		const length = 8 * time.Second
		pass(length)
		mu.Lock()
		require.LessOrEqual(t, calls, int(length/maxRetry)+3+6, "one feed's calls and the first three of all")
		mu.Unlock()
		s.set(func() { s.fail = nil })
		pass(maxRetry + 100*time.Millisecond)
		for _, got := range heard {
			require.Equal(t, int64(2), got["main"], "all feeds go on within one pause")
		}
	})
}

// Guards against feeds that wait for good because the one that asks is suspended during the outage.
func TestSuspendedAskerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{version: 1, fail: &afobject.Error{Op: "list", Kind: afobject.PlatformUnavailable}}
		s.put("main")
		outage := &RetryCoordinator{}
		var suspended atomic.Bool
		first := newFeed(s, map[string]int64{})
		first.Coordinator, first.IsSuspended = outage, suspended.Load
		run(t, first)
		pass(300 * time.Millisecond)
		got := map[string]int64{}
		second := newFeed(s, got)
		second.Coordinator = outage
		run(t, second)
		pass(300 * time.Millisecond)
		suspended.Store(true)
		pass(2 * askerLife)
		s.set(func() { s.fail = nil })
		pass(maxRetry + 100*time.Millisecond)
		require.Equal(t, int64(2), got["main"])
	})
}

// Guards against a feed that waits for another one after a single lost answer, although the platform is there.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		away := &store{version: 1, fail: &afobject.Error{Op: "list", Kind: afobject.PlatformUnavailable}}
		outage := &RetryCoordinator{}
		other := newFeed(away, map[string]int64{})
		other.Coordinator = outage
		run(t, other)
		pass(5 * time.Second)
		s := &store{version: 1, fail: away.fail}
		s.put("main")
		got := map[string]int64{}
		f := newFeed(s, got)
		f.Coordinator = outage
		run(t, f)
		pass(firstRetry / 2)
		s.set(func() { s.fail = nil })
		pass(2 * firstRetry)
		require.Equal(t, int64(2), got["main"])
	})
}

// Guards against feeds that wait for one whose call waits for a change in a platform that is back: a configuration must be
// in force within 2 s.
func TestReturnIsNoticedWithoutAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries, config := &store{version: 1}, &store{version: 1}
		config.put("main")
		outage := &RetryCoordinator{}
		slow := newFeed(entries, map[string]int64{})
		slow.Coordinator, slow.PollTimeout = outage, func() time.Duration { return 20 * time.Second }
		got := map[string]int64{}
		f := newFeed(config, got)
		f.Coordinator = outage
		run(t, slow)
		run(t, f)
		pass(time.Second)
		require.Equal(t, int64(2), got["main"])
		fail := &afobject.Error{Op: "watch", Kind: afobject.PlatformUnavailable}
		entries.set(func() { entries.fail = fail })
		slow.RestartWatch()
		pass(3 * time.Second)
		config.set(func() { config.fail = fail })
		pass(6 * time.Second)
		entries.set(func() { entries.fail = nil })
		config.set(func() { config.fail = nil })
		config.put("main")
		pass(maxRetry + 2*probeWait)
		require.Equal(t, int64(3), got["main"])
	})
}
