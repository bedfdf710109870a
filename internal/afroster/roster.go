// Package afroster keeps what this VM knows about the endpoints: their entries in the platform's store, the latest view
// of the engines from the placement holder, the requests that this VM and other VMs have in progress, and the health
// that follows from the results of requests. The placement holder is the VM that holds the placement lease and decides
// which engine loads which model.
package afroster

import (
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afhealth"
	"arbutusfork.example/arbutusfork/pkg/afwarm"
)

const (
	// viewTimeout is the age from which the placement holder's view is not used. The holder sends several views a second.
	viewTimeout = 3 * time.Second
	// lapsedEntryTimeout is how long an endpoint stays in use after its entry disappeared during an outage of the platform.
	// Running endpoints write their entries again within about 2 s.
	lapsedEntryTimeout = 1700 * time.Millisecond
)

// Load is the load of an endpoint by requests in progress.
type Load struct {
	// Requests is the number of requests in progress.
	Requests int
	// UnreadPromptTokens is the number of prompt tokens of requests without a first event of the response.
	UnreadPromptTokens int64
	// TotalTokens is the number of prompt and output tokens of all requests in progress.
	TotalTokens int64
}

// Add returns the sum of two loads.
func (l Load) Add(m Load) Load {
	return Load{Requests: l.Requests + m.Requests, UnreadPromptTokens: l.UnreadPromptTokens + m.UnreadPromptTokens, TotalTokens: l.TotalTokens + m.TotalTokens}
}

// EngineStatus is one engine in the placement holder's view, which all VMs receive.
type EngineStatus struct {
	// StartUnixMs is the start of the engine that the status describes, in Unix milliseconds.
	StartUnixMs int64
	// Models are the models that the engine has loaded.
	Models []afengine.LoadedModel
	// ClosingModels names the loaded models for which the engine gets no new requests.
	ClosingModels []string
}

// Endpoint is a copy of one endpoint's state for the choice of an endpoint.
type Endpoint struct {
	afengine.EndpointEntry
	// OwnLoad is the load by requests of this VM.
	OwnLoad Load
	// OtherVMsLoad is the load by requests of the other VMs in the placement holder's latest view.
	OtherVMsLoad Load
	// ClosingModels names the loaded models for which the endpoint gets no new requests.
	ClosingModels []string
	Health        afhealth.Tracker
	// SlotRatio is the factor by which the slots of a cold endpoint count. It is zero for warm endpoints.
	SlotRatio float64
	// Region is the region of the endpoint's data centre. It is empty if that is not known.
	Region string
}

// Roster holds the state of all endpoints. It is safe for concurrent use. Set Now before the first call.
type Roster struct {
	// Now returns the current time.
	Now func() time.Time
	// OnDoubtful is called with an entry that may be an old copy, if it was relayed and left out, or is in use. It must not block.
	OnDoubtful func(e afengine.EndpointEntry)
	// OnChange is called after each change that may allow a waiting request to run. It must not block.
	OnChange func()
	// Notices are what endpoints say about themselves.
	Notices Notices
	// ColdRule returns the rule for cold endpoints of a service. It must not block. Nil means that there is none.
	ColdRule func(service string) afwarm.Rule
	// RegionOf returns the region of a data centre, or an empty string if it is not known. It must not block. Nil means that none is.
	RegionOf func(centre string) string
	// IsEvacuated reports whether a data centre is evacuated. It must not block. Nil means that none ever is.
	IsEvacuated func(centre string) bool

	mu sync.Mutex
	// endpoints holds the endpoints by ID.
	endpoints map[string]*endpointState
	// viewReceivedAt is the time at which the placement holder's latest view arrived.
	viewReceivedAt time.Time
	// departures holds the endpoint processes that drain or were removed, by endpoint ID.
	departures map[string]departure
	// starts holds the latest start of each endpoint by ID, also of endpoints that are not listed.
	starts map[string]knownStart
	// doubtEndsAt is until when entries of departed processes may be old copies.
	doubtEndsAt time.Time
	// runningByEndpoint counts this VM's requests by endpoint and by model or model/adapter.
	runningByEndpoint map[string]map[string]int
	// ownLoads holds the load by this VM's requests by endpoint, also while an endpoint is not listed: the requests end later.
	ownLoads map[string]Load
	cold     coldState
}

// endpointState is the state of one endpoint.
type endpointState struct {
	afengine.EndpointEntry
	changedAt time.Time
	// lapsedAt is the time at which the entry disappeared during an outage of the platform. It is zero for listed entries.
	lapsedAt     time.Time
	engineStatus *EngineStatus
	// otherVMsLoad is the load by requests of the other VMs in the placement holder's latest view.
	otherVMsLoad  Load
	healthTracker afhealth.Tracker
}

func (r *Roster) initMaps() {
	if r.endpoints == nil {
		r.endpoints = make(map[string]*endpointState)
		r.runningByEndpoint = make(map[string]map[string]int)
		r.ownLoads = make(map[string]Load)
	}
}

// notifyChange calls OnChange. The caller must not hold mu.
func (r *Roster) notifyChange() {
	if r.OnChange != nil {
		r.OnChange()
	}
}

// PutEntry adds or replaces the entry of an endpoint. It reports whether the endpoint is new, has restarted, was lapsed, has
// turned cold, or has another state or address. An entry of an earlier start than the latest one changes nothing.
func (r *Roster) PutEntry(e afengine.EndpointEntry) (changed bool) {
	e = r.EffectiveEntry(e)
	r.mu.Lock()
	r.initMaps()
	if !r.recordStart(e) {
		r.mu.Unlock()
		return false
	}
	r.recordEntry(e)
	isTurnedCold := r.recordColdEntry(e)
	old := r.endpoints[e.ID]
	if old != nil && old.StartUnixMs == e.StartUnixMs && e.AcceptedOrders < old.AcceptedOrders && r.Now().Before(r.doubtEndsAt) {
		// The entry is an old copy: an engine's count of accepted orders rises until it ends.
		e.Models, e.ModelsInMemory, e.ModelsOnDisk, e.AcceptedOrders = old.Models, old.ModelsInMemory, old.ModelsOnDisk, old.AcceptedOrders
	}
	updated := &endpointState{EndpointEntry: e, changedAt: r.Now()}
	changed = true
	if old != nil {
		updated.otherVMsLoad, updated.healthTracker = old.otherVMsLoad, old.healthTracker
		if old.StartUnixMs == e.StartUnixMs {
			updated.engineStatus = old.engineStatus
			changed = old.State != e.State || old.Address != e.Address || !old.lapsedAt.IsZero()
		}
	}
	r.endpoints[e.ID] = updated
	r.mu.Unlock()
	r.notifyChange()
	return changed || isTurnedCold
}

// RemoveEntry removes the entry of an endpoint. MayReturn means that the platform may have lost the entry during an outage:
// the endpoint then stays in use until RemoveLapsedEntries removes it.
func (r *Roster) RemoveEntry(id string, mayReturn bool) {
	r.mu.Lock()
	r.initMaps()
	if e := r.endpoints[id]; e != nil {
		if mayReturn {
			if e.lapsedAt.IsZero() {
				e.lapsedAt = r.Now()
			}
		} else {
			// Soon after the store went back, the entry may be missing because its endpoint has not written it again.
			if !r.Now().Before(r.doubtEndsAt) {
				r.recordDeparture(e.EndpointEntry, true)
			}
			r.removeEndpoint(e)
		}
	}
	r.mu.Unlock()
	r.notifyChange()
}

// RemoveLapsedEntries removes the endpoints whose entries have been missing for longer than lapsedEntryTimeout and returns
// their IDs.
func (r *Roster) RemoveLapsedEntries() (removed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	for id, e := range r.endpoints {
		if !e.lapsedAt.IsZero() && now.Sub(e.lapsedAt) > lapsedEntryTimeout {
			r.removeEndpoint(e)
			removed = append(removed, id)
		}
	}
	return removed
}

// ApplyView applies a view of the placement holder: the status of the engines that changed, and the load of each endpoint
// by requests of the other VMs.
func (r *Roster) ApplyView(engines map[string]EngineStatus, otherVMsLoads map[string]Load) {
	r.mu.Lock()
	r.initMaps()
	r.viewReceivedAt = r.Now()
	for id, e := range r.endpoints {
		e.otherVMsLoad = otherVMsLoads[id]
		if s, ok := engines[id]; ok && s.StartUnixMs == e.StartUnixMs {
			e.engineStatus = &s
		}
	}
	r.mu.Unlock()
	r.notifyChange()
}

// ApplyRelayedEntries applies entries that another VM relayed and returns those that are new or changed. Relayed entries do
// not contain models, so that the known models of an endpoint are kept until the next view. IsComplete means that entries
// contains all endpoints; endpoints that are missing from it are removed.
func (r *Roster) ApplyRelayedEntries(entries []afengine.EndpointEntry, removed []string, isComplete bool) (changed []afengine.EndpointEntry) {
	listed, doubtful := make(map[string]bool, len(entries)), make(map[string]bool)
	for _, e := range entries {
		if !r.Admit(e) {
			doubtful[e.ID] = true
			if r.OnDoubtful != nil {
				r.OnDoubtful(e)
			}
			continue
		}
		listed[e.ID] = true
		if old, ok := r.Entry(e.ID); ok && old.StartUnixMs == e.StartUnixMs {
			e.Models, e.ModelsInMemory, e.ModelsOnDisk, e.AcceptedOrders = old.Models, old.ModelsInMemory, old.ModelsOnDisk, old.AcceptedOrders
		}
		if r.PutEntry(e) {
			changed = append(changed, e)
		}
	}
	if isComplete {
		for _, e := range r.Entries() {
			switch {
			case doubtful[e.ID]:
				// A running endpoint writes the entry of its latest start again.
				r.RemoveEntry(e.ID, true)
			case !listed[e.ID]:
				removed = append(removed, e.ID)
			}
		}
	}
	for _, id := range removed {
		r.RemoveEntry(id, false)
	}
	if isComplete {
		r.RecordFirstList()
	}
	return changed
}

// UsableEndpoints returns the endpoints of a service that may get requests, sorted by ID. Endpoints that drain and endpoints
// whose entries have been lapsed for longer than lapsedEntryTimeout are left out.
func (r *Roster) UsableEndpoints(service string) []Endpoint {
	return r.Candidates(service, func([]afengine.LoadedModel, []string) bool { return true }).Endpoints
}

// Candidates are the endpoints from which one is chosen for a request.
type Candidates struct {
	// Endpoints are the usable endpoints that can serve the request's model, sorted by ID.
	Endpoints []Endpoint
	// UsableCount is the number of all usable endpoints of the service, and EjectedCount that of the ejected ones among them.
	UsableCount, EjectedCount int
	// EvacuatedCount is the number of endpoints of the service that would be usable if their data centres were not evacuated.
	EvacuatedCount int
}

// Candidates returns the usable endpoints of a service whose loaded and closing models the function accepts. The others are
// only counted: a service may have hundreds of endpoints of which few hold a model, and each choice needs the candidates.
func (r *Roster) Candidates(service string, accepts func(models []afengine.LoadedModel, closing []string) bool) Candidates {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	isViewRecent := now.Sub(r.viewReceivedAt) < viewTimeout
	slotRatio := r.coldRule(service).SlotRatio()
	var candidates Candidates
	for _, e := range r.endpoints {
		if e.Service != service || r.stateWithoutEvacuation(e.EndpointEntry) != afengine.StateReady {
			continue
		}
		if !e.lapsedAt.IsZero() && now.Sub(e.lapsedAt) > lapsedEntryTimeout {
			continue
		}
		if r.IsInEvacuatedCentre(e.EndpointEntry) {
			candidates.EvacuatedCount++
			continue
		}
		candidates.UsableCount++
		if e.healthTracker.IsEjected(now) {
			candidates.EjectedCount++
		}
		models, closing := e.Models, []string(nil)
		if isViewRecent && e.engineStatus != nil {
			models, closing = e.engineStatus.Models, e.engineStatus.ClosingModels
		}
		if !accepts(models, closing) {
			continue
		}
		endpoint := Endpoint{EndpointEntry: e.EndpointEntry, OwnLoad: r.ownLoads[e.ID], Health: e.healthTracker, ClosingModels: closing}
		endpoint.Models = models
		if isViewRecent {
			endpoint.OtherVMsLoad = e.otherVMsLoad
		}
		if isCold, _ := r.coldStateOf(e.EndpointEntry); isCold {
			endpoint.SlotRatio = slotRatio
		}
		if r.RegionOf != nil {
			endpoint.Region = r.RegionOf(e.Centre)
		}
		candidates.Endpoints = append(candidates.Endpoints, endpoint)
	}
	slices.SortFunc(candidates.Endpoints, func(a, b Endpoint) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return candidates
}

// Entry returns the entry of the endpoint with an ID.
func (r *Roster) Entry(id string) (afengine.EndpointEntry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[id]
	if e == nil {
		return afengine.EndpointEntry{}, false
	}
	return e.EndpointEntry, true
}

// Entries returns the entries of all endpoints in no particular order.
func (r *Roster) Entries() []afengine.EndpointEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]afengine.EndpointEntry, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		out = append(out, e.EndpointEntry)
	}
	return out
}
