package afplacement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

//go:generate stringer -type=Tier -linecomment -output=choose_string.go

// Tier is where the nearest copy of a checkpoint is.
type Tier int

// The tiers, from near to far.
const (
	TierMemory Tier = iota // memory
	TierDisk               // disk
	TierRemote             // remote
)

const (
	// evictTime is the expected time until the memory of an evicted model is free.
	evictTime = 300 * time.Millisecond
	// maxMisses is the number of missed reports after which an endpoint gets no new replicas.
	maxMisses = 3
	// reportPatience is how long replicas on an endpoint count after a take-over without a report. Owners ask every
	// endpoint at once and again each second, and give up a question after 2 s.
	reportPatience = 3 * time.Second
	// adapterLoads is the number of adapter loads over all endpoints that run at full speed.
	adapterLoads = 32
	// adapterReserve is the number of the largest adapters for which an endpoint keeps room.
	adapterReserve = 2
	// hedgeFactor is how many times its estimate a load may take before another replica is tried.
	hedgeFactor = 3
	// evictIdle is how long a model must have been unused to be evicted for another one.
	evictIdle = time.Second
)

// Candidate is an endpoint considered for a replica.
type Candidate struct {
	Endpoint string
	Tier     Tier
	// LoadTime is the load time from the tier without any waiting.
	LoadTime time.Duration `json:"Bare"`
	// TimeToReady is the estimated time until the replica can serve.
	TimeToReady time.Duration `json:"Ready"`
	// FreeMemory is the uncharged memory in MB.
	FreeMemory int64 `json:"Free"`
	// Evictions are the idle models that must go first.
	Evictions []string `json:"Evict"`
	// MustWait tells that the load cannot start yet: memory is being freed or the weight store has no room.
	MustWait bool `json:"Wait"`
}

// Tier returns the nearest tier of the model on the endpoint.
func (v View) tier(endpoint, model string) Tier {
	switch v.reports[endpoint].status.Cache[model] {
	case "memory":
		return TierMemory
	case "disk":
		return TierDisk
	}
	return TierRemote
}

func bare(m arbutusfork.Model, t Tier) time.Duration {
	ms := m.Remote
	switch t {
	case TierMemory:
		ms = m.Host
	case TierDisk:
		ms = m.Disk
	}
	return time.Duration(ms) * time.Millisecond
}

// candidates returns the endpoints that can take a replica, the one that is ready first in front. Base models leave
// room for adapters unless that makes them wait noticeably longer.
func (v View) candidates(r Record, model string, reserved map[string]int64, now time.Time) []Candidate {
	room := v.adapterRoom()
	list := v.fitting(r, model, reserved, 0, now)
	if room == 0 || len(list) == 0 {
		return list
	}
	roomy := v.fitting(r, model, reserved, room, now)
	if len(roomy) > 0 && roomy[0].TimeToReady <= list[0].TimeToReady*5/4 && (list[0].MustWait || !roomy[0].MustWait) {
		return roomy
	}
	return list
}

// fitting returns the endpoints that can take a replica and keep the room free if it is a base model.
func (v View) fitting(r Record, model string, reserved map[string]int64, room int64, now time.Time) []Candidate {
	m := v.cfg.Models[model]
	var out []Candidate
	for _, name := range slices.Sorted(maps.Keys(v.cfg.Endpoints)) {
		if !v.usable(name) || v.occupied(r, place{name, model}) {
			continue
		}
		if m.IsAdapter() && !v.serving(r, place{name, m.Base()}) {
			continue
		}
		ep := v.cfg.Endpoints[name]
		c := Candidate{Endpoint: name, Tier: v.tier(name, model), FreeMemory: ep.Memory - v.ChargedMemory(r, name) - reserved[name]}
		c.LoadTime = bare(m, c.Tier)
		if !m.IsAdapter() {
			c.FreeMemory -= room
		}
		if v.variant.ignoreMemory {
			c.FreeMemory = m.Memory
		}
		if c.FreeMemory < m.Memory && !v.makeRoom(r, ep, m, &c, now) {
			continue
		}
		v.estimate(r, m, &c, now)
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

// adapterRoom returns the memory in MB that loads of base models leave free on each endpoint if they can. Without it
// an adapter of a base on a full endpoint waits until another model there is idle.
func (v View) adapterRoom() int64 {
	var largest int64
	for _, m := range v.cfg.Models {
		if m.IsAdapter() {
			largest = max(largest, m.Memory)
		}
	}
	return adapterReserve * largest
}

// usable reports whether the endpoint may get new replicas.
func (v View) usable(endpoint string) bool {
	rep, ok := v.reports[endpoint]
	return ok && !rep.asked.IsZero() && rep.misses < maxMisses && !rep.status.Leaving &&
		!v.cfg.Endpoints[endpoint].Leaving && !rep.asked.Before(v.tenure)
}

// occupied reports whether the place has an assignment or an order that may still be carried out, or is not known to be
// empty.
func (v View) occupied(r Record, p place) bool {
	if _, ok := r.Assignment(p.endpoint, p.model); ok {
		return true
	}
	for _, o := range r.Orders {
		if o.Endpoint == p.endpoint && o.Model == p.model && v.live(r, o) {
			return true
		}
	}
	state, _, known := v.presence(p)
	return !known || state != ""
}

// serving reports whether the model is loaded at the place and stays so.
func (v View) serving(r Record, p place) bool {
	a, ok := r.Assignment(p.endpoint, p.model)
	if !ok || a.State == AssignmentUnloading {
		return false
	}
	for _, o := range r.Orders {
		if o.Endpoint == p.endpoint && o.Model == p.model && o.Verb == VerbUnload && v.live(r, o) {
			return false
		}
	}
	state, _, known := v.presence(p)
	if !known {
		return a.State == AssignmentLoaded
	}
	return state == stateLoaded
}

// makeRoom looks for idle models whose eviction frees enough memory. Memory that is being freed counts first.
func (v View) makeRoom(r Record, ep arbutusfork.Endpoint, m arbutusfork.Model, c *Candidate, now time.Time) bool {
	free := c.FreeMemory
	for _, a := range r.Assignments {
		if a.Endpoint == ep.Name && a.State == AssignmentUnloading {
			free += v.charge(a)
		}
	}
	c.MustWait = true
	if free >= m.Memory {
		return true
	}
	idle := v.idle(r, ep.Name, m.Base(), now)
	for _, a := range idle {
		c.Evictions = append(c.Evictions, a.Model)
		free += v.charge(a)
		if free >= m.Memory {
			return true
		}
	}
	return false
}

// idle returns the evictable assignments of the endpoint, the least valuable first. Adapters come before their base.
func (v View) idle(r Record, endpoint, except string, now time.Time) []Assignment {
	var out []Assignment
	for _, a := range r.Assignments {
		if a.Endpoint != endpoint || a.State != AssignmentLoaded || a.Model == except {
			continue
		}
		if v.busy(a.Model, now) || now.Sub(v.used[a.Model]) < evictIdle {
			continue
		}
		out = append(out, a)
	}
	slices.SortStableFunc(out, func(a, b Assignment) int {
		abase, aad := arbutusfork.SplitModel(a.Model)
		bbase, bad := arbutusfork.SplitModel(b.Model)
		if abase == bbase && (aad == "") != (bad == "") {
			if aad != "" {
				return -1
			}
			return 1
		}
		return cmp.Compare(v.value(a, now), v.value(b, now))
	})
	return out
}

// estimate fills in the time until the replica can serve.
func (v View) estimate(r Record, m arbutusfork.Model, c *Candidate, now time.Time) {
	c.TimeToReady = c.LoadTime
	if c.MustWait {
		c.TimeToReady += evictTime
	}
	loads, remote, adapters := v.inProgress(r, c.Endpoint)
	if m.IsAdapter() {
		if n := adapters + 1; n > adapterLoads {
			c.TimeToReady = c.TimeToReady * time.Duration(n) / adapterLoads
		}
		return
	}
	// Loads on one endpoint share its bus; a tenth per load keeps equal endpoints apart.
	c.TimeToReady += c.LoadTime * time.Duration(loads) / 10
	if c.Tier != TierRemote {
		return
	}
	wait := v.storeWait(r, remote, now)
	c.MustWait = c.MustWait || wait > 0
	c.TimeToReady += wait + time.Duration(float64(c.LoadTime)*(v.slowdown(r, now)-1))
}

// slowdown returns by how much loads from the weight store presently take longer than their bare time: as the last
// ones did, or as long as those in progress have taken already.
func (v View) slowdown(r Record, now time.Time) float64 {
	out := max(v.pace, 1)
	for _, a := range r.Assignments {
		s, ok := v.starts[place{a.Endpoint, a.Model}]
		if ok && s.remote && a.State == AssignmentLoading && s.bare > 0 {
			out = max(out, float64(now.Sub(s.at))/float64(s.bare))
		}
	}
	return out
}

// inProgress counts loads on the endpoint, loads from the weight store and adapter loads of the shard.
func (v View) inProgress(r Record, endpoint string) (loads, remote, adapters int) {
	for _, a := range r.Assignments {
		if a.State != AssignmentLoading {
			continue
		}
		if _, adapter := arbutusfork.SplitModel(a.Model); adapter != "" {
			adapters++
			continue
		}
		if a.Endpoint == endpoint {
			loads++
		}
		if s, ok := v.starts[place{a.Endpoint, a.Model}]; !ok && v.tier(a.Endpoint, a.Model) == TierRemote || s.remote {
			remote++
		}
	}
	return loads, remote, adapters
}

// storeWait returns the time until the weight store has room for one more load at full speed.
func (v View) storeWait(r Record, remote int, now time.Time) time.Duration {
	var wait time.Duration
	shards := max(v.cfg.ShardCount, 1)
	if loads := v.cfg.Service.Loads / float64(shards); loads > 0 {
		if tokens := v.tokens(now); tokens < 1 {
			wait = time.Duration((1 - tokens) / loads * float64(time.Second))
		}
	}
	parallel := v.cfg.Service.Parallel
	if parallel <= 0 || remote < max(parallel/shards, 1) {
		return wait
	}
	// The earliest of the loads in progress makes room.
	first := time.Duration(-1)
	for _, a := range r.Assignments {
		s, ok := v.starts[place{a.Endpoint, a.Model}]
		if a.State != AssignmentLoading || !ok || !s.remote {
			continue
		}
		left := max(s.at.Add(s.ready).Sub(now), 100*time.Millisecond)
		if first < 0 || left < first {
			first = left
		}
	}
	return max(wait, first, 100*time.Millisecond)
}

// tokens returns the number of loads that the weight store's rate allows now.
func (v View) tokens(now time.Time) float64 {
	loads := v.cfg.Service.Loads / float64(max(v.cfg.ShardCount, 1))
	if loads <= 0 {
		return 1
	}
	burst := max(loads, 1)
	if v.filled.IsZero() {
		return burst
	}
	return min(burst, v.budget+loads*now.Sub(v.filled).Seconds())
}
