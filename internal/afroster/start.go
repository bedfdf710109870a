package afroster

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afstart"
)

// maxStarts bounds the endpoints whose latest start is kept. Of those that are not listed, the start that was heard of first is
// forgotten first. The largest deployment has 750 endpoints.
const maxStarts = 4096

// noticeTimeout is how long after its entry is gone what an endpoint said about itself is kept.
const noticeTimeout = time.Hour

// knownStart is the latest start of an endpoint.
type knownStart struct {
	afstart.Latest
	// removedAt is when the entry of the latest start was last removed, or zero if it was not.
	removedAt time.Time
}

// removeEndpoint removes an endpoint. The caller holds mu.
func (r *Roster) removeEndpoint(e *endpointState) {
	if known := r.starts[e.ID]; known.StartUnixMs() == e.StartUnixMs {
		known.removedAt = r.Now()
		r.starts[e.ID] = known
	}
	delete(r.endpoints, e.ID)
}

// WasListedLately reports whether an endpoint is listed, or was some time ago and is not known to have started again.
func (r *Roster) WasListedLately(e afengine.EndpointStart) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry := r.endpoints[e.Endpoint]; entry != nil && entry.Start() == e {
		return true
	}
	known := r.starts[e.Endpoint]
	return known.StartUnixMs() == e.StartUnixMs && !known.removedAt.IsZero() && r.Now().Sub(known.removedAt) < noticeTimeout
}

// Admit records that an entry was seen, and reports whether it counts. Otherwise it may be an old copy and must change nothing.
func (r *Roster) Admit(e afengine.EndpointEntry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordStart(e) && !r.isDoubtful(e)
}

// IsOutdated reports whether a later start of the endpoint is known than that of the entry, and nothing speaks against it.
func (r *Roster) IsOutdated(e afengine.EndpointEntry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.starts[e.ID].Latest
	return latest.IsSuperseded(e.StartUnixMs) && !latest.IsContested(r.Now())
}

// RecordHearsay records that something was heard about a start of an endpoint, other than its entry.
func (r *Roster) RecordHearsay(e afengine.EndpointStart) {
	r.changeStart(e.Endpoint, func(l afstart.Latest) afstart.Latest { return l.WithHearsay(e.StartUnixMs, r.Now()) })
}

// RecordWord records that an endpoint named its start in the answer to a request that was sent at askedAt.
func (r *Roster) RecordWord(e afengine.EndpointStart, askedAt time.Time) {
	r.changeStart(e.Endpoint, func(l afstart.Latest) afstart.Latest { return l.WithWord(e.StartUnixMs, askedAt, r.Now()) })
}

// changeStart changes the latest start of an endpoint. The entry in use may have become doubtful by it.
func (r *Roster) changeStart(id string, change func(afstart.Latest) afstart.Latest) {
	r.mu.Lock()
	before := r.starts[id].Latest
	after := change(before)
	r.setStart(id, after)
	e := r.endpoints[id]
	isDoubtful := e != nil && after.IsSuperseded(e.StartUnixMs) && !before.IsSuperseded(e.StartUnixMs)
	r.mu.Unlock()
	if after == before {
		return
	}
	if isDoubtful && r.OnDoubtful != nil {
		r.OnDoubtful(e.EndpointEntry)
	}
	r.notifyChange()
}

// recordStart records that an entry was seen, and reports whether its start counts. The caller holds mu.
func (r *Roster) recordStart(e afengine.EndpointEntry) bool {
	latest, counts := r.starts[e.ID].WithEntry(e.StartUnixMs, r.Now())
	r.setStart(e.ID, latest)
	return counts
}

// setStart sets the latest start of an endpoint. The caller holds mu.
func (r *Roster) setStart(id string, latest afstart.Latest) {
	if r.starts == nil {
		r.starts = make(map[string]knownStart)
	}
	known := r.starts[id]
	if known.StartUnixMs() != latest.StartUnixMs() {
		known.removedAt = time.Time{}
	}
	known.Latest = latest
	r.starts[id] = known
	if len(r.starts) <= maxStarts {
		return
	}
	oldest := ""
	for known, l := range r.starts {
		if r.endpoints[known] == nil && known != id && (oldest == "" || l.HeardAt().Before(r.starts[oldest].HeardAt())) {
			oldest = known
		}
	}
	delete(r.starts, oldest)
}

// RecordStoreReturned records that the platform's store was away, so that endpoints could not write their entries.
func (r *Roster) RecordStoreReturned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewContests()
}

// renewContests begins the contests of latest starts again. The caller holds mu.
func (r *Roster) renewContests() {
	for id, l := range r.starts {
		l.Latest = l.WithStoreReturned(r.Now())
		r.starts[id] = l
	}
}
