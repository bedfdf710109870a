package afroster

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afstart"
)

// maxStarts bounds the endpoints whose latest start is kept. Of those that are not listed, the start that was heard of first is
// forgotten first. The largest deployment has 750 endpoints.
const maxStarts = 4096

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
	latest := r.starts[e.ID]
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
	before := r.starts[id]
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
		r.starts = make(map[string]afstart.Latest)
	}
	r.starts[id] = latest
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
		r.starts[id] = l.WithStoreReturned(r.Now())
	}
}
