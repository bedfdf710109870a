package afsync

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// probeTimeout limits one probe. It leaves time for a second probe before the previous one expires.
	probeTimeout = time.Second
	// maxRunningProbes is the limit of unanswered probes.
	maxRunningProbes = 2
	// minWatchLagLimit is how long a watch may lag behind the version of a probe before it counts as stalled. The limit
	// doubles with each stalled watch up to maxWatchLagLimit, since a slow platform may only delay events.
	minWatchLagLimit = time.Second
	maxWatchLagLimit = 8 * time.Second
	// minWatchBackoff is the delay before the next watch after a second failure in a row. The delay doubles up to
	// maxWatchBackoff.
	minWatchBackoff = 250 * time.Millisecond
	maxWatchBackoff = 4 * time.Second
)

// watch is one watch on the platform. Only the goroutine of Run uses its fields, except mu and pendingEvents.
type watch struct {
	cancel context.CancelFunc
	// deliveredVersion is the version up to which the watch has delivered all changes.
	deliveredVersion int64
	// behindSince is when the first probe was sent whose version was above deliveredVersion. It is zero if the watch
	// does not lag.
	behindSince time.Time

	// mu guards pendingEvents.
	mu            sync.Mutex
	pendingEvents []afobject.Event
}

// probePlatform requests the configuration version from the platform, to show that the snapshot is current.
func (s *Service) probePlatform() {
	if s.runningProbes >= maxRunningProbes {
		return
	}
	s.runningProbes++
	sentAt := s.Timer.Now()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
		defer cancel()
		version, err := s.Client.ConfigurationVersion(ctx)
		s.events.PushWithContext(s.ctx, func() {
			s.runningProbes--
			if err != nil {
				s.log().Debug("platform probe failed", "error", err)
				return
			}
			s.updateFreshness(func(v afconfig.FreshnessView) afconfig.FreshnessView {
				return v.WithProbe(afconfig.Probe{Version: version, RequestedAt: sentAt})
			})
			s.checkWatchLag(version, sentAt)
		})
	}()
}

// checkWatchLag compares the watch with a probed version, and reopens a watch that has lagged for too long.
func (s *Service) checkWatchLag(version int64, sentAt time.Time) {
	w := s.watch
	switch {
	case w == nil:
	case version <= w.deliveredVersion:
		w.behindSince = time.Time{}
	case w.behindSince.IsZero():
		w.behindSince = sentAt
	case sentAt.Sub(w.behindSince) >= max(s.maxWatchLag, minWatchLagLimit):
		s.log().Warn("stalled configuration watch restarted", "reached", w.deliveredVersion, "version", version)
		s.maxWatchLag = min(2*max(s.maxWatchLag, minWatchLagLimit), maxWatchLagLimit)
		s.closeWatch()
		s.openWatch()
	}
}

// openMissingWatch opens a watch if none is open and the backoff has passed.
func (s *Service) openMissingWatch(now time.Time) {
	if s.watch == nil && !now.Before(s.nextWatchAt) {
		s.openWatch()
	}
}

func (s *Service) closeWatch() {
	if s.watch != nil {
		s.watch.cancel()
		s.watch = nil
	}
}

// openWatch starts a watch from the version of the snapshot. If the snapshot is empty, it lists the configuration first.
func (s *Service) openWatch() {
	ctx, cancel := context.WithCancel(s.ctx)
	since := s.Version()
	w := &watch{cancel: cancel, deliveredVersion: since}
	s.watch = w
	go func() {
		defer cancel()
		var err error
		if since == 0 {
			since, err = s.listConfiguration(ctx, w)
		}
		if err == nil {
			err = s.Client.Watch(ctx, "", since, func(e afobject.Event) { s.queueEvent(ctx, w, e) })
		}
		if afobject.IsKind(err, afobject.VersionExpired) {
			_, err = s.listConfiguration(ctx, w)
		}
		s.events.PushWithContext(s.ctx, func() { s.scheduleWatch(w, err) })
	}()
}

// listConfiguration reads all configuration objects from the platform and merges them into the snapshot.
func (s *Service) listConfiguration(ctx context.Context, w *watch) (int64, error) {
	objects, version, err := s.Client.List(ctx, "")
	if err != nil {
		return 0, err
	}
	s.events.PushWithContext(ctx, func() {
		if s.Version() == 0 {
			s.heldRequestsEndAt = s.Timer.Now().Add(heldRequestPeriod)
		}
		s.applyDelta(afconfig.Delta{Version: version, IsFull: true, Objects: objects, Baseline: version}, "list")
		w.deliveredVersion = max(w.deliveredVersion, version)
		s.watchBackoff, s.maxWatchLag = 0, 0
	})
	return version, nil
}

// queueEvent passes an event to the goroutine of Run. Events that arrive while that goroutine is busy are applied as one
// delta.
func (s *Service) queueEvent(ctx context.Context, w *watch, e afobject.Event) {
	w.mu.Lock()
	w.pendingEvents = append(w.pendingEvents, e)
	first := len(w.pendingEvents) == 1
	w.mu.Unlock()
	if first {
		s.events.PushWithContext(ctx, func() { s.applyPendingEvents(w) })
	}
}

// applyPendingEvents applies the pending events of a watch. A watch that has been replaced may still deliver events; an
// object or version older than that of the snapshot has no effect.
func (s *Service) applyPendingEvents(w *watch) {
	w.mu.Lock()
	events := w.pendingEvents
	w.pendingEvents = nil
	w.mu.Unlock()
	d := afconfig.Delta{BaseVersion: w.deliveredVersion, Version: w.deliveredVersion}
	for _, e := range events {
		d.Version = max(d.Version, e.Object.Version)
		if e.Type == afobject.Bookmark {
			continue
		}
		if e.Type == afobject.Deleted {
			e.Object.Spec = nil
		}
		d.Objects = append(d.Objects, e.Object)
	}
	s.applyDelta(d, "watch")
	w.deliveredVersion, s.watchBackoff, s.maxWatchLag = d.Version, 0, 0
}

// scheduleWatch schedules the next watch after w has ended. The delay grows with each watch that delivers no event.
func (s *Service) scheduleWatch(w *watch, err error) {
	if s.watch != w {
		return
	}
	s.watch = nil
	level := slog.LevelInfo
	if s.watchBackoff > 0 {
		level = slog.LevelDebug // The first failure has been logged at level Info.
	}
	s.log().Log(s.ctx, level, "configuration watch ended", "reached", w.deliveredVersion, "error", err)
	s.nextWatchAt = s.Timer.Now().Add(s.watchBackoff)
	s.watchBackoff = min(max(2*s.watchBackoff, minWatchBackoff), maxWatchBackoff)
	s.Timer.CallAfter(s.nextWatchAt.Sub(s.Timer.Now()), func(now time.Time) {
		s.events.TryPush(func() {
			if !now.After(s.temporaryWatchEndsAt) {
				s.openMissingWatch(now)
			}
		})
	})
}
