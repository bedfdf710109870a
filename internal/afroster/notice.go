package afroster

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Notices connects the roster to what endpoints say about themselves. Its functions must not block. Nil functions mean that no
// endpoint said anything.
type Notices struct {
	// IsLeaving reports whether an endpoint said that it leaves.
	IsLeaving func(e afengine.EndpointStart) bool
	// PausedUntil returns the end of the pause for which an endpoint asked, and whether it is in a pause.
	PausedUntil func(e afengine.EndpointStart) (time.Time, bool)
	// HasPauses reports whether any endpoint is in a pause.
	HasPauses func() bool
}

// State returns the state of an endpoint: that of its entry, or draining if the endpoint said that it leaves, a later start of it
// is known or its data centre is evacuated. Its entry may say so later or, while the platform is away, never.
func (r *Roster) State(e afengine.EndpointEntry) afengine.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(e)
}

// state is State. The caller holds mu.
func (r *Roster) state(e afengine.EndpointEntry) afengine.State {
	if r.IsInEvacuatedCentre(e) {
		return afengine.StateDraining
	}
	return r.stateWithoutEvacuation(e)
}

// stateWithoutEvacuation is the state that an endpoint would have if its data centre were not evacuated. The caller holds mu.
func (r *Roster) stateWithoutEvacuation(e afengine.EndpointEntry) afengine.State {
	if r.starts[e.ID].IsSuperseded(e.StartUnixMs) {
		return afengine.StateDraining
	}
	if r.Notices.IsLeaving != nil && r.Notices.IsLeaving(e.Start()) {
		return afengine.StateDraining
	}
	return e.State
}

// PausedUntil returns the end of the pause for which an endpoint asked, and whether it is in a pause.
func (r *Roster) PausedUntil(e afengine.EndpointStart) (time.Time, bool) {
	if r.Notices.PausedUntil == nil {
		return time.Time{}, false
	}
	return r.Notices.PausedUntil(e)
}

// HasPauses reports whether any endpoint is in a pause for which it asked.
func (r *Roster) HasPauses() bool { return r.Notices.HasPauses != nil && r.Notices.HasPauses() }

// IsServing reports whether an endpoint is listed, has not restarted and does not drain.
func (r *Roster) IsServing(e afengine.EndpointStart) bool {
	entry, ok := r.Entry(e.Endpoint)
	return ok && entry.Start() == e && r.State(entry) == afengine.StateReady
}

// IsListed reports whether an endpoint is listed and has not restarted.
func (r *Roster) IsListed(e afengine.EndpointStart) bool {
	entry, ok := r.Entry(e.Endpoint)
	return ok && entry.Start() == e
}
