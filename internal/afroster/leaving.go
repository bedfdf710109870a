package afroster

import "arbutusfork.example/arbutusfork/pkg/afengine"

// State returns the state of an endpoint: that of its entry, or draining if the endpoint said that it leaves. Its entry may say so
// later or, while the platform is away, never.
func (r *Roster) State(e afengine.EndpointEntry) afengine.State {
	if r.IsLeaving != nil && r.IsLeaving(e.Start()) {
		return afengine.StateDraining
	}
	return e.State
}

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
