package afroster

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// departureDoubtTime is how long after the platform's store went back the entry of a departed endpoint may be an old copy.
	// The store removes the entry of an endpoint that has ended within three heartbeats of its return.
	departureDoubtTime = 10 * time.Second
	// maxDepartures bounds the departures that are kept. The oldest is forgotten first.
	maxDepartures = 4096
)

// departure is what is known about an endpoint process that drains or whose entry was removed for good.
type departure struct {
	startUnixMs int64
	isDraining  bool
	isRemoved   bool
	recordedAt  time.Time
}

// RecordStoreWentBack records that the platform's store came back from an older copy, which may show departed endpoints as
// ready.
func (r *Roster) RecordStoreWentBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubtEndsAt = r.Now().Add(departureDoubtTime)
	r.renewContests()
}

// IsDoubtful reports whether an entry may be an old copy: of the entry of an endpoint process that has departed, or of an earlier
// start of the endpoint.
func (r *Roster) IsDoubtful(e afengine.EndpointEntry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDoubtful(e)
}

// isDoubtful is IsDoubtful. The caller holds mu.
func (r *Roster) isDoubtful(e afengine.EndpointEntry) bool {
	if !r.starts[e.ID].Accepts(e.StartUnixMs, r.Now()) {
		return true
	}
	d, ok := r.departures[e.ID]
	return ok && d.isRemoved && !d.isDraining && d.startUnixMs == e.StartUnixMs && r.Now().Before(r.doubtEndsAt)
}

// HasNamedStart reports whether an entry with this ID has named the start of its endpoint, as far as this VM knows.
func (r *Roster) HasNamedStart(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	return e != nil && e.StartUnixMs != 0 || r.departures[id].startUnixMs != 0
}

// EffectiveEntry returns the entry as it is after what is known about its endpoint process: one that drains never becomes ready
// again, whatever an old copy of its entry says.
func (r *Roster) EffectiveEntry(e afengine.EndpointEntry) afengine.EndpointEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.departures[e.ID]; ok && d.isDraining && d.startUnixMs == e.StartUnixMs {
		e.State = afengine.StateDraining
	}
	return e
}

// RecordDraining records that an endpoint process drains, for which an entry that is no longer the latest is enough.
func (r *Roster) RecordDraining(e afengine.EndpointEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordDeparture(e, false)
}

// recordDeparture records that an endpoint process drains, or that its entry was removed. The caller holds mu.
func (r *Roster) recordDeparture(e afengine.EndpointEntry, isRemoved bool) {
	if e.StartUnixMs == 0 {
		return // The process can't be told from the next one.
	}
	if r.departures == nil {
		r.departures = make(map[string]departure)
	}
	d := r.departures[e.ID]
	if d.startUnixMs != e.StartUnixMs {
		d = departure{startUnixMs: e.StartUnixMs}
	}
	d.isDraining, d.isRemoved, d.recordedAt = d.isDraining || e.State == afengine.StateDraining, d.isRemoved || isRemoved, r.Now()
	r.departures[e.ID] = d
	if len(r.departures) > maxDepartures {
		r.forgetOldestDeparture()
	}
}

// forgetOldestDeparture removes the departure that was recorded first. The caller holds mu.
func (r *Roster) forgetOldestDeparture() {
	oldest := ""
	for id, d := range r.departures {
		if oldest == "" || d.recordedAt.Before(r.departures[oldest].recordedAt) {
			oldest = id
		}
	}
	delete(r.departures, oldest)
}

// recordEntry updates the departures with an entry that was put. The caller holds mu.
func (r *Roster) recordEntry(e afengine.EndpointEntry) {
	if e.State == afengine.StateDraining {
		r.recordDeparture(e, false)
		return
	}
	// The process was removed by mistake, or another one has the ID now.
	delete(r.departures, e.ID)
}
