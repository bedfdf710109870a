// Package afcentre keeps which data centres are evacuated on one VM. The placement holder reads it from the platform's store and tells
// the other VMs with each view; VMs without views read it themselves, and report it to the holder if they know a newer one. Package
// afevacuation decides which of two states is in force.
package afcentre

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"arbutusfork.example/arbutusfork/pkg/afevacuation"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// maxUnknownTime is how long after it has a configuration a VM is not ready because it does not know the state. A VM that cannot reach
// the store is better than none.
const maxUnknownTime = 2 * time.Second

// Service holds the state of one VM. Set the exported fields before the first call.
type Service struct {
	Timer *aftimer.Service
	Log   *slog.Logger
	// Metrics counts changes. The zero value counts nothing.
	Metrics Metrics
	// OnChange is called after each change of what is evacuated. It must not block.
	OnChange func()
	// OnReturn is called with a data centre whose evacuation ends, before it gets requests again. It must not block. Nil does nothing.
	OnReturn func(centre string)

	state atomic.Pointer[afevacuation.State]
	// isOverdue means that the state was not known in time after the VM got a configuration.
	isOverdue atomic.Bool

	// mu serializes changes of the state and guards the fields below.
	mu sync.Mutex
	// viewVersion is the version in the latest view. It is meaningful if hasViewState is set: the view had a state.
	viewVersion  int64
	hasViewState bool
	isConfigured bool
	// ignoredCount is the number of objects that the latest copy of the store had beyond the bounds.
	ignoredCount int
}

// source is the way by which a state reached this VM.
type source string

const (
	fromStore  source = "store"
	fromView   source = "holder"
	fromReport source = "vm"
	// fromTime means that an entry that the store lost has ended.
	fromTime source = "time"
)

// Metrics counts changes of what is evacuated.
type Metrics struct{ changes *prometheus.CounterVec }

// NewMetrics registers the metrics and returns them.
func NewMetrics(r prometheus.Registerer) Metrics {
	return Metrics{changes: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Name: "arbutusfork_evacuation_changes_total", Help: "Changes of evacuated data centres that this VM learnt of, by what changed.",
	}, []string{"change"})}
}

func (m Metrics) count(change string) {
	if m.changes != nil {
		m.changes.WithLabelValues(change).Inc()
	}
}

// RegisterGauges registers the metric that is read at each scrape.
func (s *Service) RegisterGauges(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutusfork_evacuated_centres", Help: "Data centres that are evacuated, as far as this VM knows.",
	}, func() float64 { return float64(len(s.Evacuations())) }))
}

// State returns the state.
func (s *Service) State() afevacuation.State {
	if state := s.state.Load(); state != nil {
		return *state
	}
	return afevacuation.State{}
}

// IsEvacuated reports whether a data centre is evacuated.
func (s *Service) IsEvacuated(centre string) bool {
	state := s.state.Load()
	// Each choice of an endpoint asks for all endpoints of a service.
	return state != nil && !state.IsEmpty() && state.IsEvacuated(centre, s.Timer.Now())
}

// Evacuations returns the entries that are in force by data centre.
func (s *Service) Evacuations() map[string]afevacuation.Entry {
	return maps.Collect(s.State().WithoutEnded(s.Timer.Now()).Entries())
}

// ApplyCopy applies a complete copy of the store: its version, and the versions of the objects by data centre.
func (s *Service) ApplyCopy(version int64, revisions map[string]int64) {
	kept, ignored := boundEntries(revisions)
	s.mu.Lock()
	if len(ignored) > s.ignoredCount {
		s.Log.Warn("evacuations beyond the bounds ignored", "names", ignored[:min(len(ignored), 8)], "count", len(ignored), "version", version)
	}
	s.ignoredCount = len(ignored)
	s.mu.Unlock()
	s.change(fromStore, func(state afevacuation.State, now time.Time) afevacuation.State {
		return state.WithCopy(version, kept, now)
	})
}

// ApplyView applies the state in a view of the holder. A view without a state shows that the holder does not know it.
func (s *Service) ApplyView(body []byte) error {
	version, err := s.applyMessage(fromView, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viewVersion, s.hasViewState = version, err == nil && len(body) > 0
	return err
}

// ApplyReport applies the state in the report of another VM, if it has one.
func (s *Service) ApplyReport(body []byte) error {
	_, err := s.applyMessage(fromReport, body)
	return err
}

// applyMessage applies an encoded state and returns its version. An empty one changes nothing.
func (s *Service) applyMessage(from source, body []byte) (int64, error) {
	if len(body) == 0 {
		return 0, nil
	}
	version, entries, err := decodeState(body, s.Timer.Now())
	if err != nil {
		return 0, &Error{Op: "apply", Kind: MalformedMessage, Err: err}
	}
	s.change(from, func(state afevacuation.State, now time.Time) afevacuation.State {
		return state.WithEntries(version, entries, now)
	})
	return version, nil
}

// HasViewState reports whether the latest view had a state, so that this VM need not read the store while it gets views.
func (s *Service) HasViewState() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasViewState
}

// EncodeState returns the state for a view, or nothing if it is not known.
func (s *Service) EncodeState() []byte {
	state := s.State()
	if !state.IsKnown() {
		return nil
	}
	body, err := encodeState(state, s.Timer.Now())
	if err != nil {
		s.Log.Error("evacuations not encoded", "error", err)
		return nil
	}
	return body
}

// ReportState returns the version of the state for this VM's report, and the state if it is newer than that of the latest view.
func (s *Service) ReportState() (version int64, body []byte) {
	s.mu.Lock()
	isNewer := !s.hasViewState || s.State().Version() > s.viewVersion
	s.mu.Unlock()
	if isNewer {
		body = s.EncodeState()
	}
	return s.State().Version(), body
}

// change replaces the state, logs and counts what changed, and calls OnChange.
func (s *Service) change(from source, next func(state afevacuation.State, now time.Time) afevacuation.State) {
	s.mu.Lock()
	now, before := s.Timer.Now(), s.State()
	after := next(before, now)
	for centre := range before.Entries() {
		if _, isEvacuated := after.Entry(centre); !isEvacuated && s.OnReturn != nil {
			s.OnReturn(centre)
		}
	}
	s.state.Store(&after)
	hasChanged := s.recordChanges(before, after, from, now)
	s.mu.Unlock()
	if hasChanged && s.OnChange != nil {
		s.OnChange()
	}
}

// recordChanges logs and counts the changes between two states, and reports whether there are any. The caller holds mu.
func (s *Service) recordChanges(before, after afevacuation.State, from source, now time.Time) (hasChanged bool) {
	hasChanged = !before.IsKnown() && after.IsKnown()
	for centre, e := range after.Entries() {
		old, wasEvacuated := before.Entry(centre)
		if e.IsLost() && !e.EndsAt.Equal(old.EndsAt) {
			s.Timer.CallAfter(e.EndsAt.Sub(now), func(time.Time) { s.dropEnded() })
		}
		switch {
		case e.IsLost() && (!wasEvacuated || !old.IsLost()):
			s.Metrics.count("lost")
			s.Log.Warn("evacuation stays although the store lost it", "centre", centre, "revision", e.Revision, "version", after.Version(),
				"age", now.Sub(e.KnownAt), "left", e.EndsAt.Sub(now), "source", string(from))
		case !e.IsLost() && (!wasEvacuated || old.IsLost() || old.Revision != e.Revision):
			s.Metrics.count("begun")
			s.Log.Info("data centre evacuated", "centre", centre, "revision", e.Revision, "version", after.Version(), "age", now.Sub(e.KnownAt),
				"source", string(from))
		default:
			continue
		}
		hasChanged = true
	}
	for centre, old := range before.Entries() {
		if _, isEvacuated := after.Entry(centre); !isEvacuated {
			hasChanged = true
			s.Metrics.count("ended")
			s.Log.Info("evacuation of data centre ended", "centre", centre, "revision", old.Revision, "version", after.Version(),
				"age", now.Sub(old.KnownAt), "source", string(from), "lost", old.IsLost())
		}
	}
	return hasChanged
}

// dropEnded removes the entries that the store lost and that have ended.
func (s *Service) dropEnded() {
	s.change(fromTime, func(state afevacuation.State, now time.Time) afevacuation.State { return state.WithoutEnded(now) })
}

// RecordConfiguration records that this VM has a configuration. The time within which it must know the state begins with the first.
func (s *Service) RecordConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isConfigured {
		return
	}
	s.isConfigured = true
	s.Timer.CallAfter(maxUnknownTime, func(time.Time) {
		s.isOverdue.Store(true)
		if !s.State().IsKnown() {
			s.Log.Info("evacuations not known in time, ready without them", "timeout", maxUnknownTime)
		}
	})
}

// IsReady reports whether the state is known, or has not become known in time.
func (s *Service) IsReady() bool { return s.isOverdue.Load() || s.State().IsKnown() }
