// Package afroster keeps what this VM knows about the endpoints: the platform's entries, the placement holder's latest
// view of the engines, the requests that this VM and others have in progress, and how requests ended.
package afroster

import (
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afhealth"
)

const (
	// viewLife is how long the holder's view counts without a newer one. It is sent several times a second.
	viewLife = 3 * time.Second
	// lapseGrace is how long an endpoint that still answers stays in use after its entry lapsed while the platform was
	// away. Endpoints that live are back in the list within about 2 s.
	lapseGrace = 1700 * time.Millisecond
)

// Load counts requests in progress.
type Load struct {
	Requests int
	// UnreadPromptTokens is the number of prompt tokens that were sent and not answered yet, and TotalTokens all tokens of the requests.
	UnreadPromptTokens, TotalTokens int64
}

// Add returns the sum.
func (l Load) Add(m Load) Load {
	return Load{Requests: l.Requests + m.Requests, UnreadPromptTokens: l.UnreadPromptTokens + m.UnreadPromptTokens, TotalTokens: l.TotalTokens + m.TotalTokens}
}

// EngineStatus is the holder's view of one engine, as it is spread to all VMs.
type EngineStatus struct {
	StartUnixMs int64
	Models      []afengine.LoadedModel
	// ClosingModels names models that get no new requests on this engine.
	ClosingModels []string
}

// Endpoint is one endpoint as requests see it. It is a copy.
type Endpoint struct {
	afengine.EndpointEntry
	// OwnLoad is the load of this VM and OtherVMsLoad that of the other VMs, as last heard.
	OwnLoad, OtherVMsLoad Load
	ClosingModels         []string
	Health                afhealth.Tracker
}

// Roster is safe for concurrent use. Set Now before the first call.
type Roster struct {
	Now func() time.Time
	// OnChange is called after each change that may let a waiting request go on. It must not block.
	OnChange func()

	mu      sync.Mutex
	entries map[string]*entry
	// viewed is when the holder's view came.
	viewed time.Time
	own    map[string]map[string]int // own counts this VM's requests by endpoint and model or model/adapter.
}

type entry struct {
	afengine.EndpointEntry
	changed time.Time
	lapsed  time.Time // lapsed is when the entry disappeared. It is zero while it is listed.
	status  *EngineStatus
	own     Load
	others  Load // others is the load of the other VMs in the holder's latest view.
	health  afhealth.Tracker
}

func (r *Roster) init() {
	if r.entries == nil {
		r.entries = make(map[string]*entry)
		r.own = make(map[string]map[string]int)
	}
}

func (r *Roster) notify() {
	if r.OnChange != nil {
		r.OnChange()
	}
}

// PutEntry takes an entry of the platform's list and reports whether it differs in more than its counters.
func (r *Roster) PutEntry(e afengine.EndpointEntry) (fresh bool) {
	r.mu.Lock()
	r.init()
	old := r.entries[e.ID]
	n := &entry{EndpointEntry: e, changed: r.Now()}
	fresh = true
	if old != nil {
		n.own, n.others, n.health = old.own, old.others, old.health
		if old.StartUnixMs == e.StartUnixMs {
			n.status = old.status
			fresh = old.State != e.State || old.Address != e.Address || !old.lapsed.IsZero()
		}
	}
	r.entries[e.ID] = n
	r.mu.Unlock()
	r.notify()
	return fresh
}

// RemoveEntry takes the entry's removal. Held means that the platform may have lost the entry during an outage, so that
// the endpoint stays in use for a moment.
func (r *Roster) RemoveEntry(id string, held bool) {
	r.mu.Lock()
	r.init()
	if e := r.entries[id]; e != nil {
		if held {
			e.lapsed = r.Now()
		} else {
			delete(r.entries, id)
		}
	}
	r.mu.Unlock()
	r.notify()
}

// RemoveLapsedEntries removes the endpoints whose entry has been missing for too long and returns them.
func (r *Roster) RemoveLapsedEntries() (gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	for id, e := range r.entries {
		if !e.lapsed.IsZero() && now.Sub(e.lapsed) > lapseGrace {
			delete(r.entries, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// ApplyView takes the holder's view: the engines that changed, and the load of the other VMs on all endpoints.
func (r *Roster) ApplyView(changed map[string]EngineStatus, others map[string]Load) {
	r.mu.Lock()
	r.init()
	r.viewed = r.Now()
	for id, e := range r.entries {
		e.others = others[id]
		if s, ok := changed[id]; ok && s.StartUnixMs == e.StartUnixMs {
			e.status = &s
		}
	}
	r.mu.Unlock()
	r.notify()
}

// ApplyRelayedEntries takes entries that another VM passed on. They say nothing about models, so that what is known of these stays
// until the view tells more. If whole is set, endpoints that are missing are removed. It returns the entries that are new.
func (r *Roster) ApplyRelayedEntries(entries []afengine.EndpointEntry, removed []string, whole bool) (fresh []afengine.EndpointEntry) {
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.ID] = true
		if old, ok := r.Entry(e.ID); ok && old.StartUnixMs == e.StartUnixMs {
			e.Models, e.ModelsInMemory, e.ModelsOnDisk, e.AcceptedOrders = old.Models, old.ModelsInMemory, old.ModelsOnDisk, old.AcceptedOrders
		}
		if r.PutEntry(e) {
			fresh = append(fresh, e)
		}
	}
	if whole {
		for _, e := range r.Entries() {
			if !seen[e.ID] {
				removed = append(removed, e.ID)
			}
		}
	}
	for _, id := range removed {
		r.RemoveEntry(id, false)
	}
	return fresh
}

// UsableEndpoints returns the endpoints of a service that may get requests, in order of their IDs. Endpoints that drain or
// are known to be gone are left out.
func (r *Roster) UsableEndpoints(service string) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	var out []Endpoint
	for _, e := range r.entries {
		if e.Service != service || e.State != afengine.StateReady {
			continue
		}
		if !e.lapsed.IsZero() && now.Sub(e.lapsed) > lapseGrace {
			continue
		}
		x := Endpoint{EndpointEntry: e.EndpointEntry, OwnLoad: e.own, Health: e.health}
		if now.Sub(r.viewed) < viewLife {
			x.OtherVMsLoad = e.others
			if e.status != nil {
				x.Models, x.ClosingModels = e.status.Models, e.status.ClosingModels
			}
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b Endpoint) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return out
}

// Entry returns the platform's entry of an endpoint.
func (r *Roster) Entry(id string) (afengine.EndpointEntry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return afengine.EndpointEntry{}, false
	}
	return e.EndpointEntry, true
}

// Entries returns every entry.
func (r *Roster) Entries() []afengine.EndpointEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]afengine.EndpointEntry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.EndpointEntry)
	}
	return out
}

// RunningRequest is one request in progress at an endpoint.
type RunningRequest struct {
	roster     *Roster
	id         string
	key, model string
	load       Load
	read       bool
	ended      bool
}

// BeginRequest counts a request to an endpoint. Model and adapter are empty for plain services.
func (r *Roster) BeginRequest(id, model, adapter string, prompt, tokens int64) *RunningRequest {
	c := &RunningRequest{roster: r, id: id, model: model, load: Load{Requests: 1, UnreadPromptTokens: prompt, TotalTokens: tokens}}
	if adapter != "" {
		c.key = model + "/" + adapter
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if e := r.entries[id]; e != nil {
		e.own = e.own.Add(c.load)
		if e.health.IsTrialDue(r.Now()) {
			e.health = e.health.WithTrialStarted()
		}
	}
	r.count(c, 1)
	return c
}

func (r *Roster) count(c *RunningRequest, n int) {
	m := r.own[c.id]
	if m == nil {
		m = make(map[string]int)
		r.own[c.id] = m
	}
	for _, key := range []string{c.model, c.key} {
		if key == "" {
			continue
		}
		m[key] += n
		if m[key] <= 0 {
			delete(m, key)
		}
	}
	if len(m) == 0 {
		delete(r.own, c.id)
	}
}

// MarkPromptRead notes that the prompt has been read.
func (c *RunningRequest) MarkPromptRead() {
	r := c.roster
	r.mu.Lock()
	if c.read || c.ended {
		r.mu.Unlock()
		return
	}
	c.read = true
	if e := r.entries[c.id]; e != nil {
		e.own.UnreadPromptTokens -= c.load.UnreadPromptTokens
	}
	c.load.UnreadPromptTokens = 0
	r.mu.Unlock()
	r.notify()
}

// HealthResult says what a request's end tells about its endpoint.
type HealthResult int

// The verdicts.
const (
	HealthUnaffected HealthResult = iota
	HealthSuccess
	HealthFailure
)

// End takes the request out of the count. It may be called more than once.
func (c *RunningRequest) End(v HealthResult) {
	r := c.roster
	r.mu.Lock()
	if c.ended {
		r.mu.Unlock()
		return
	}
	c.ended = true
	if e := r.entries[c.id]; e != nil {
		e.own = e.own.Add(Load{Requests: -c.load.Requests, UnreadPromptTokens: -c.load.UnreadPromptTokens, TotalTokens: -c.load.TotalTokens})
		if v != HealthUnaffected {
			e.health = e.health.WithResult(v == HealthSuccess, r.Now())
		}
	}
	r.count(c, -1)
	r.mu.Unlock()
	r.notify()
}

// OwnLoads returns this VM's load by endpoint, and its requests by endpoint and model or adapter.
func (r *Roster) OwnLoads() (loads map[string]Load, running map[string]map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads = make(map[string]Load)
	running = make(map[string]map[string]int, len(r.own))
	for id, e := range r.entries {
		if e.own != (Load{}) {
			loads[id] = e.own
		}
	}
	for id, m := range r.own {
		c := make(map[string]int, len(m))
		for k, n := range m {
			c[k] = n
		}
		running[id] = c
	}
	return loads, running
}
