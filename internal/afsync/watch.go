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
	// probeTimeout leaves time for a second probe before evidence is too old.
	probeTimeout = time.Second
	maxProbes    = 2
	// minLag is how long a watch may stay behind a probe before it is taken for silent. The time doubles with
	// each watch that delivers nothing, since a slow platform is not a silent one.
	minLag     = time.Second
	maxLag     = 8 * time.Second
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// watch is one watch on the platform. Its fields belong to the goroutine of Run, but for inbox.
type watch struct {
	cancel context.CancelFunc
	// reached is the version up to which the watch has delivered all changes.
	reached int64
	// behind is when a probe first showed a version above reached, or zero.
	behind time.Time

	mu    sync.Mutex
	inbox []afobject.Event
}

// probe asks the platform for the version of the configuration.
func (s *Service) probe() {
	if s.probes >= maxProbes {
		return
	}
	s.probes++
	sent := s.Timer.Now()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
		defer cancel()
		version, err := s.Client.ConfigurationVersion(ctx)
		s.events.PushWithContext(s.ctx, func() {
			s.probes--
			if err != nil {
				s.log().Debug("platform probe failed", "error", err)
				return
			}
			s.updateEvidence(func(v afconfig.FreshnessView) afconfig.FreshnessView {
				return v.WithProbe(afconfig.Probe{Version: version, RequestedAt: sent})
			})
			s.compare(version, sent)
		})
	}()
}

// compare notes whether the watch is behind a probed version.
func (s *Service) compare(version int64, sent time.Time) {
	w := s.watch
	switch {
	case w == nil:
	case version <= w.reached:
		w.behind = time.Time{}
	case w.behind.IsZero():
		w.behind = sent
	case sent.Sub(w.behind) >= max(s.lag, minLag):
		s.log().Warn("watch is silent; reopening it", "reached", w.reached, "version", version)
		s.lag = min(2*max(s.lag, minLag), maxLag)
		s.closeWatch()
		s.openWatch()
	}
}

// checkWatch opens the watch if it is missing.
func (s *Service) checkWatch(now time.Time) {
	if s.watch == nil && !now.Before(s.retry) {
		s.openWatch()
	}
}

func (s *Service) closeWatch() {
	if s.watch != nil {
		s.watch.cancel()
		s.watch = nil
	}
}

// openWatch starts a watch from the version at hand, and from a list if there is none.
func (s *Service) openWatch() {
	ctx, cancel := context.WithCancel(s.ctx)
	since := s.Version()
	w := &watch{cancel: cancel, reached: since}
	s.watch = w
	go func() {
		defer cancel()
		var err error
		if since == 0 {
			since, err = s.list(ctx, w)
		}
		if err == nil {
			err = s.Client.Watch(ctx, "", since, func(e afobject.Event) { s.deliver(ctx, w, e) })
		}
		if afobject.IsKind(err, afobject.VersionExpired) {
			_, err = s.list(ctx, w)
		}
		s.events.PushWithContext(s.ctx, func() { s.watchEnded(w, err) })
	}()
}

// list reads all configuration objects and merges them.
func (s *Service) list(ctx context.Context, w *watch) (int64, error) {
	objects, version, err := s.Client.List(ctx, "")
	if err != nil {
		return 0, err
	}
	s.events.PushWithContext(ctx, func() {
		s.apply(afconfig.Delta{Version: version, IsFull: true, Objects: objects}, "list")
		w.reached = max(w.reached, version)
		s.backoff, s.lag = 0, 0
	})
	return version, nil
}

// deliver hands an event to the goroutine of Run. Events that arrive while it is busy are merged together.
func (s *Service) deliver(ctx context.Context, w *watch, e afobject.Event) {
	w.mu.Lock()
	w.inbox = append(w.inbox, e)
	first := len(w.inbox) == 1
	w.mu.Unlock()
	if first {
		s.events.PushWithContext(ctx, func() { s.merge(w) })
	}
}

// merge applies the events of a watch. A watch that has been replaced may still deliver; older objects and
// versions than those at hand change nothing.
func (s *Service) merge(w *watch) {
	w.mu.Lock()
	events := w.inbox
	w.inbox = nil
	w.mu.Unlock()
	d := afconfig.Delta{BaseVersion: w.reached, Version: w.reached}
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
	s.apply(d, "watch")
	w.reached, s.backoff, s.lag = d.Version, 0, 0
}

// watchEnded schedules the next watch, sooner after a watch that delivered something.
func (s *Service) watchEnded(w *watch, err error) {
	if s.watch != w {
		return
	}
	s.watch = nil
	level := slog.LevelInfo
	if s.backoff > 0 {
		level = slog.LevelDebug // The outage has been reported.
	}
	s.log().Log(s.ctx, level, "watch ended", "reached", w.reached, "error", err)
	s.retry = s.Timer.Now().Add(s.backoff)
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.Timer.CallAfter(s.retry.Sub(s.Timer.Now()), func(now time.Time) {
		s.events.TryPush(func() {
			if !now.After(s.standUntil) {
				s.checkWatch(now)
			}
		})
	})
}
