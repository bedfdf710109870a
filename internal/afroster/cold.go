package afroster

import (
	"slices"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afwarm"
)

// coldState is what is known about the cold times of the endpoints.
type coldState struct {
	// trackers holds the trackers by endpoint ID, also of endpoints that are not listed.
	trackers map[string]afwarm.Tracker
	// hasList means that all endpoints were listed once, so that an endpoint that is new has just started.
	hasList bool
	// reported holds the endpoints that TakeColdChanges returned as cold.
	reported map[string]bool
}

// ColdChange is the change of an endpoint from warm to cold or back.
type ColdChange struct {
	afengine.EndpointEntry
	IsCold bool
	// Left is the remaining cold time.
	Left time.Duration
}

// coldRule returns the rule of a service.
func (r *Roster) coldRule(service string) afwarm.Rule {
	if r.ColdRule == nil {
		return afwarm.Rule{}
	}
	return r.ColdRule(service)
}

// ColdState reports whether an endpoint is cold, whatever its start, and until when. Endpoints of services without a rule never are.
func (r *Roster) ColdState(e afengine.EndpointStart) (isCold bool, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.endpoints[e.Endpoint]; state != nil {
		return r.coldStateOf(state.EndpointEntry)
	}
	return false, time.Time{}
}

// coldStateOf is ColdState. The caller holds mu.
func (r *Roster) coldStateOf(e afengine.EndpointEntry) (isCold bool, until time.Time) {
	rule := r.coldRule(e.Service)
	if !rule.IsActive() {
		return false, time.Time{}
	}
	until, isCold = r.cold.trackers[e.ID].ColdUntil(rule.ColdTime, r.Now())
	return isCold, until
}

// recordColdEntry records the cold time in an entry that was put, and reports whether the endpoint became cold by it. The caller
// holds mu.
func (r *Roster) recordColdEntry(e afengine.EndpointEntry) (isTurnedCold bool) {
	wasCold, _ := r.coldStateOf(e)
	tracker, isKnown := r.cold.trackers[e.ID]
	if isKnown && r.endpoints[e.ID] == nil {
		// The endpoint was out of use.
		tracker = tracker.WithPossibleStart(r.Now())
	}
	r.setTracker(e.ID, tracker.WithEntry(e.StartUnixMs, e.ColdRemaining, !r.cold.hasList, r.Now()))
	isCold, _ := r.coldStateOf(e)
	return isCold && !wasCold
}

// setTracker sets the tracker of an endpoint, and drops those of endpoints that are not listed if there are too many. The caller
// holds mu.
func (r *Roster) setTracker(id string, t afwarm.Tracker) {
	if r.cold.trackers == nil {
		r.cold.trackers = make(map[string]afwarm.Tracker)
	}
	r.cold.trackers[id] = t
	if len(r.cold.trackers) <= maxStarts {
		return
	}
	for other := range r.cold.trackers {
		if r.endpoints[other] == nil && other != id {
			delete(r.cold.trackers, other)
		}
	}
}

// RecordFirstList records that all endpoints were listed, so that an endpoint that is new from now on has just started.
func (r *Roster) RecordFirstList() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold.hasList = true
}

// RecordConnectionFailure records that an endpoint refused or reset a connection, after which it may start again.
func (r *Roster) RecordConnectionFailure(e afengine.EndpointStart) {
	r.recordPossibleStarts(func(entry afengine.EndpointEntry) bool { return entry.ID == e.Endpoint })
}

// RecordCentreReturned records that a data centre was returned to service, so that its endpoints are cold.
func (r *Roster) RecordCentreReturned(centre string) {
	r.recordPossibleStarts(func(entry afengine.EndpointEntry) bool { return entry.Centre == centre })
}

// recordPossibleStarts begins the cold time of some endpoints.
func (r *Roster) recordPossibleStarts(includes func(afengine.EndpointEntry) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.endpoints {
		if includes(e.EndpointEntry) {
			r.setTracker(id, r.cold.trackers[id].WithPossibleStart(r.Now()))
		}
	}
}

// TakeColdChanges returns the endpoints that have become cold or warm since the last call, sorted by ID. An endpoint that was removed
// is reported neither way.
func (r *Roster) TakeColdChanges() []ColdChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	cold := make(map[string]bool)
	var changes []ColdChange
	for id, e := range r.endpoints {
		isCold, until := r.coldStateOf(e.EndpointEntry)
		if isCold {
			cold[id] = true
		}
		if isCold != r.cold.reported[id] {
			changes = append(changes, ColdChange{EndpointEntry: e.EndpointEntry, IsCold: isCold, Left: max(until.Sub(r.Now()), 0)})
		}
	}
	r.cold.reported = cold
	slices.SortFunc(changes, func(a, b ColdChange) int { return strings.Compare(a.ID, b.ID) })
	return changes
}

// ColdCount returns the number of listed endpoints that are cold.
func (r *Roster) ColdCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.endpoints {
		if isCold, _ := r.coldStateOf(e.EndpointEntry); isCold {
			n++
		}
	}
	return n
}
