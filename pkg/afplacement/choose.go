package afplacement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

//go:generate stringer -type=Tier -linecomment -output=choose_string.go

// Tier is the storage from which an endpoint loads a model's checkpoint.
type Tier int

// The tiers, from the fastest to the slowest.
const (
	TierMemory Tier = iota // memory
	TierDisk               // disk
	TierRemote             // remote
)

const (
	// evictionDelay is the expected time until the memory of an evicted model is free.
	evictionDelay = 300 * time.Millisecond
	// maxMissedReports is the number of consecutive missed reports after which an endpoint gets no new replicas.
	maxMissedReports = 3
	// firstReportTimeout is how long the replicas on an endpoint count after a take-over without a report. An owner
	// requests the reports of all endpoints at once, repeats the request each second, and abandons a request after 2 s.
	firstReportTimeout = 3 * time.Second
	// maxFullSpeedAdapterLoads is the number of concurrent adapter loads over all endpoints that run at full speed.
	maxFullSpeedAdapterLoads = 32
	// reservedAdapters is the number of adapters of the largest size for which an endpoint reserves memory.
	reservedAdapters = 2
	// loadHedgeFactor is the multiple of its estimated time after which a load no longer counts as a replica, so that
	// another replica may be loaded.
	loadHedgeFactor = 3
	// minEvictionIdleTime is the time without requests after which a model may be evicted to make room for another one.
	minEvictionIdleTime = time.Second
)

// Candidate is an endpoint considered for a replica. It is encoded as JSON for operators; the tags keep the field names
// of that form.
type Candidate struct {
	Endpoint string
	Tier     Tier
	// LoadTime is the time that a load from the tier takes when it starts at once and runs at full speed.
	LoadTime time.Duration `json:"Bare"`
	// TimeToReady is the estimated time until the replica can serve.
	TimeToReady time.Duration `json:"Ready"`
	// FreeMemory is the memory in MB that is not charged.
	FreeMemory int64 `json:"Free"`
	// Evictions are the idle models that must be unloaded first.
	Evictions []string `json:"Evict"`
	// MustWait means that the load cannot start yet, because memory is being freed or the weight store is at its limit.
	MustWait bool `json:"Wait"`
}

// nearestTier returns the fastest tier that holds the model's checkpoint for the endpoint.
func (v View) nearestTier(endpoint, model string) Tier {
	switch v.reports[endpoint].status.Cache[model] {
	case "memory":
		return TierMemory
	case "disk":
		return TierDisk
	}
	return TierRemote
}

// loadTime returns the configured time of a load from the tier.
func loadTime(m arbutusfork.Model, t Tier) time.Duration {
	ms := m.StoreLoadMillis
	switch t {
	case TierMemory:
		ms = m.MemoryLoadMillis
	case TierDisk:
		ms = m.DiskLoadMillis
	}
	return time.Duration(ms) * time.Millisecond
}

// replicaCandidates returns the endpoints that can take a replica, sorted by the time until it can serve. It leaves
// memory for adapters free, unless that makes the replica ready more than a quarter later or makes a load wait that
// could start at once.
func (v View) replicaCandidates(r Record, model string, reserved map[string]int64, now time.Time) []Candidate {
	adapterMemory := v.reservedAdapterMemory()
	list := v.fittingCandidates(r, model, reserved, 0, now)
	if adapterMemory == 0 || len(list) == 0 {
		return list
	}
	withReserve := v.fittingCandidates(r, model, reserved, adapterMemory, now)
	if len(withReserve) > 0 && withReserve[0].TimeToReady <= list[0].TimeToReady*5/4 && (list[0].MustWait || !withReserve[0].MustWait) {
		return withReserve
	}
	return list
}

// fittingCandidates returns the endpoints that can take a replica and, for a base model, still have the reserve in MB
// free afterwards.
func (v View) fittingCandidates(r Record, model string, reserved map[string]int64, reserve int64, now time.Time) []Candidate {
	m := v.cfg.Models[model]
	var out []Candidate
	for _, name := range slices.Sorted(maps.Keys(v.cfg.Endpoints)) {
		if !v.acceptsReplicas(name) || v.isOccupied(r, placement{name, model}) {
			continue
		}
		if m.IsAdapter() && !v.isServing(r, placement{name, m.BaseName()}) {
			continue
		}
		ep := v.cfg.Endpoints[name]
		c := Candidate{Endpoint: name, Tier: v.nearestTier(name, model), FreeMemory: ep.MemoryMB - v.ChargedMemory(r, name) - reserved[name]}
		c.LoadTime = loadTime(m, c.Tier)
		if !m.IsAdapter() {
			c.FreeMemory -= reserve
		}
		if v.variant.ignoreMemoryLimit {
			c.FreeMemory = m.MemoryMB
		}
		if c.FreeMemory < m.MemoryMB && !v.planEvictions(r, ep, m, &c, now) {
			continue
		}
		v.estimateReadyTime(r, m, &c, now)
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		if c := cmp.Compare(a.TimeToReady, b.TimeToReady); c != 0 && !v.cfg.Overrides.IgnoreCaches {
			return c
		}
		if c := cmp.Compare(len(a.Evictions), len(b.Evictions)); c != 0 {
			return c
		}
		return cmp.Compare(b.FreeMemory, a.FreeMemory)
	})
	return out
}

// reservedAdapterMemory returns the memory in MB that loads of base models leave free on each endpoint where possible.
// Without the reserve, an adapter of a base model on a full endpoint waits until another model there becomes idle.
func (v View) reservedAdapterMemory() int64 {
	var largest int64
	for _, m := range v.cfg.Models {
		if m.IsAdapter() {
			largest = max(largest, m.MemoryMB)
		}
	}
	return reservedAdapters * largest
}

// acceptsReplicas reports whether the endpoint may get new replicas.
func (v View) acceptsReplicas(endpoint string) bool {
	report, ok := v.reports[endpoint]
	return ok && !report.requestedAt.IsZero() && report.missedReports < maxMissedReports && !report.status.Leaving &&
		!v.cfg.Endpoints[endpoint].IsLeaving && !report.requestedAt.Before(v.takeoverSentAt) && !v.record.isUnobserved(endpoint)
}

// isOccupied reports whether the placement has an assignment, an order that may still be carried out, or a model that
// the endpoint reports. A placement without a valid report counts as occupied.
func (v View) isOccupied(r Record, p placement) bool {
	if _, ok := r.Assignment(p.endpoint, p.model); ok {
		return true
	}
	for _, o := range r.Orders {
		if o.Endpoint == p.endpoint && o.Model == p.model && v.canExecute(r, o) {
			return true
		}
	}
	state, _, known := v.reportedModel(p)
	return !known || state != ""
}

// isServing reports whether the model is loaded at the placement and is not being unloaded.
func (v View) isServing(r Record, p placement) bool {
	a, ok := r.Assignment(p.endpoint, p.model)
	if !ok || a.State == AssignmentUnloading {
		return false
	}
	for _, o := range r.Orders {
		if o.Endpoint == p.endpoint && o.Model == p.model && o.Verb == VerbUnload && v.canExecute(r, o) {
			return false
		}
	}
	state, _, known := v.reportedModel(p)
	if !known {
		return a.State == AssignmentLoaded
	}
	return state == stateLoaded
}

// planEvictions sets the candidate's evictions: idle models whose unloading frees enough memory, in addition to memory
// that is already being freed. It reports whether the memory suffices.
func (v View) planEvictions(r Record, ep arbutusfork.Endpoint, m arbutusfork.Model, c *Candidate, now time.Time) bool {
	free := c.FreeMemory
	for _, a := range r.Assignments {
		if a.Endpoint == ep.Name && a.State == AssignmentUnloading {
			free += v.assignmentMemory(a)
		}
	}
	c.MustWait = true
	if free >= m.MemoryMB {
		return true
	}
	idle := v.evictableAssignments(r, ep.Name, m.BaseName(), now)
	for _, a := range idle {
		c.Evictions = append(c.Evictions, a.Model)
		free += v.assignmentMemory(a)
		if free >= m.MemoryMB {
			return true
		}
	}
	return false
}

// evictableAssignments returns the assignments of the endpoint that may be evicted, the least valuable first. Adapters
// come before their base model.
func (v View) evictableAssignments(r Record, endpoint, except string, now time.Time) []Assignment {
	var out []Assignment
	for _, a := range r.Assignments {
		if a.Endpoint != endpoint || a.State != AssignmentLoaded || a.Model == except {
			continue
		}
		if v.hasRequests(a.Model, now) || now.Sub(v.lastUsedAt[a.Model]) < minEvictionIdleTime {
			continue
		}
		out = append(out, a)
	}
	slices.SortStableFunc(out, func(a, b Assignment) int {
		aBase, aAdapter := arbutusfork.SplitModelName(a.Model)
		bBase, bAdapter := arbutusfork.SplitModelName(b.Model)
		if aBase == bBase && (aAdapter == "") != (bAdapter == "") {
			if aAdapter != "" {
				return -1
			}
			return 1
		}
		return cmp.Compare(v.evictionValue(a, now), v.evictionValue(b, now))
	})
	return out
}

// estimateReadyTime sets the candidate's time until the replica can serve.
func (v View) estimateReadyTime(r Record, m arbutusfork.Model, c *Candidate, now time.Time) {
	c.TimeToReady = c.LoadTime
	if c.MustWait {
		c.TimeToReady += evictionDelay
	}
	loads, storeLoads, adapters := v.loadsInProgress(r, c.Endpoint)
	if m.IsAdapter() {
		if n := adapters + 1; n > maxFullSpeedAdapterLoads {
			c.TimeToReady = c.TimeToReady * time.Duration(n) / maxFullSpeedAdapterLoads
		}
		return
	}
	// Loads on one endpoint share its bus. A tenth of the load time for each of them spreads loads over equal endpoints.
	c.TimeToReady += c.LoadTime * time.Duration(loads) / 10
	if c.Tier != TierRemote {
		return
	}
	storeWait := v.weightStoreWait(r, storeLoads, now)
	c.MustWait = c.MustWait || storeWait > 0
	c.TimeToReady += storeWait + time.Duration(float64(c.LoadTime)*(v.loadSlowdown(r, now)-1))
}

// loadSlowdown returns the factor by which loads from the weight store currently exceed their load time: the average of
// the last completed loads, or the ratio already reached by a load in progress if that is larger.
func (v View) loadSlowdown(r Record, now time.Time) float64 {
	slowdown := max(v.storeSlowdown, 1)
	for _, a := range r.Assignments {
		start, ok := v.loadStarts[placement{a.Endpoint, a.Model}]
		if ok && start.fromStore && a.State == AssignmentLoading && start.loadTime > 0 {
			slowdown = max(slowdown, float64(now.Sub(start.startedAt))/float64(start.loadTime))
		}
	}
	return slowdown
}

// loadsInProgress counts the loads of base models on the endpoint and, over the whole shard, the loads from the weight
// store and the adapter loads.
func (v View) loadsInProgress(r Record, endpoint string) (loads, storeLoads, adapters int) {
	for _, a := range r.Assignments {
		if a.State != AssignmentLoading {
			continue
		}
		if _, adapter := arbutusfork.SplitModelName(a.Model); adapter != "" {
			adapters++
			continue
		}
		if a.Endpoint == endpoint {
			loads++
		}
		if start, ok := v.loadStarts[placement{a.Endpoint, a.Model}]; !ok && v.nearestTier(a.Endpoint, a.Model) == TierRemote || start.fromStore {
			storeLoads++
		}
	}
	return loads, storeLoads, adapters
}

// weightStoreWait returns the time until the weight store can take one more load at full speed.
func (v View) weightStoreWait(r Record, storeLoads int, now time.Time) time.Duration {
	var wait time.Duration
	shards := max(v.cfg.ShardCount, 1)
	if loadsPerSecond := v.cfg.Service.LoadsPerSecond / float64(shards); loadsPerSecond > 0 {
		if available := v.availableLoads(now); available < 1 {
			wait = time.Duration((1 - available) / loadsPerSecond * float64(time.Second))
		}
	}
	parallel := v.cfg.Service.ParallelLoads
	if parallel <= 0 || storeLoads < max(parallel/shards, 1) {
		return wait
	}
	// The store can take another load when the first load in progress ends.
	earliest := time.Duration(-1)
	for _, a := range r.Assignments {
		start, ok := v.loadStarts[placement{a.Endpoint, a.Model}]
		if a.State != AssignmentLoading || !ok || !start.fromStore {
			continue
		}
		remaining := max(start.startedAt.Add(start.timeToReady).Sub(now), 100*time.Millisecond)
		if earliest < 0 || remaining < earliest {
			earliest = remaining
		}
	}
	return max(wait, earliest, 100*time.Millisecond)
}

// availableLoads returns the number of loads that may start now within the weight store's rate limit, as a token
// bucket.
func (v View) availableLoads(now time.Time) float64 {
	loadsPerSecond := v.cfg.Service.LoadsPerSecond / float64(max(v.cfg.ShardCount, 1))
	if loadsPerSecond <= 0 {
		return 1
	}
	burst := max(loadsPerSecond, 1)
	if v.loadBudgetAt.IsZero() {
		return burst
	}
	return min(burst, v.loadBudget+loadsPerSecond*now.Sub(v.loadBudgetAt).Seconds())
}
