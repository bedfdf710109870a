package afplacement

import (
	"maps"
	"math"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// minDemandTTL is the shortest time for which a VM's demand for a model stays valid without a new report. VMs
	// report every second in fleets of up to 100 VMs.
	minDemandTTL = 3 * time.Second
	// peakDecayTime is the time constant with which the peak of concurrent requests decays.
	peakDecayTime = 60 * time.Second
)

// modelDemand is the demand of all VMs for one model.
type modelDemand struct {
	byVM map[string]vmDemand
	// waitingSince is when the oldest request that still waits was first reported.
	waitingSince time.Time
	// peakRequests is the largest recent number of concurrent requests, as of peakAt.
	peakRequests float64
	// peakAt is when peakRequests was reached. The peak decays from then on.
	peakAt time.Time
}

// vmDemand is one VM's last report of its demand for a model.
type vmDemand struct {
	waitingRequests, runningRequests int
	reportedAt                       time.Time
	ttl                              time.Duration
}

// totalRequests returns the requests that wait and run on all VMs.
func (d modelDemand) totalRequests(now time.Time) (waiting, running int) {
	for _, w := range d.byVM {
		if now.Sub(w.reportedAt) < w.ttl {
			waiting += w.waitingRequests
			running += w.runningRequests
		}
	}
	return waiting, running
}

// demandTTL returns how long a VM's demand stays valid without a new report.
func (v View) demandTTL() time.Duration { return max(v.DemandTTL, minDemandTTL) }

// decayedPeak returns the peak of concurrent requests after its decay until now.
func (d modelDemand) decayedPeak(now time.Time) float64 {
	return d.peakRequests * math.Exp(-now.Sub(d.peakAt).Seconds()/peakDecayTime.Seconds())
}

func (v View) applyDemand(e DemandReported, now time.Time) View {
	d := v.demand[e.Model]
	waitingBefore, _ := d.totalRequests(now)
	vms := make(map[string]vmDemand, len(d.byVM)+1)
	for vm, w := range d.byVM {
		if now.Sub(w.reportedAt) < w.ttl {
			vms[vm] = w
		}
	}
	vms[e.VM] = vmDemand{waitingRequests: e.WaitingRequests, runningRequests: e.RunningRequests, reportedAt: now, ttl: v.demandTTL()}
	d.byVM = vms
	waiting, running := d.totalRequests(now)
	if waitingBefore == 0 || d.waitingSince.IsZero() {
		d.waitingSince = now
	}
	if n := float64(waiting + running); n >= d.decayedPeak(now) {
		d.peakRequests, d.peakAt = n, now
	}
	v.demand = mapWith(v.demand, e.Model, d)
	if waiting+running > 0 {
		v = v.recordUse(e.Model, now)
	}
	return v
}

func (v View) applyArrivals(e RequestsArrived, now time.Time) View {
	v.arrivalRates = mapWith(v.arrivalRates, e.Model, v.arrivalRates[e.Model].withArrivals(float64(e.Count), now))
	if used, ok := v.lastUsedAt[e.Model]; ok && now.Sub(used) > time.Second {
		v.idleGaps = v.idleGaps.withIdleTime(now.Sub(used))
	}
	return v.recordUse(e.Model, now)
}

// recordUse sets the time of the model's last use and, if it is an adapter, also that of its base model.
func (v View) recordUse(model string, now time.Time) View {
	v.lastUsedAt = mapWith(v.lastUsedAt, model, now)
	if base, adapter := arbutusfork.SplitModelName(model); adapter != "" {
		v.lastUsedAt[base] = now
	}
	return v
}

// maxReplicas returns the limit of replicas of the model.
func (v View) maxReplicas(model string) int {
	if n := v.cfg.Models[model].MaxReplicas; n > 0 {
		return n
	}
	return max(v.cfg.Service.Policy.MaxReplicas, 1)
}

// wantedModel is a model that needs replicas.
type wantedModel struct {
	model           string
	replicas        int
	waitingRequests int
	waitingSince    time.Time
}

// wantedModels returns the models that need replicas now, the longest waiting first. The base model of a wanted adapter
// is included.
func (v View) wantedModels(now time.Time) []wantedModel {
	byModel := make(map[string]wantedModel)
	slots := v.minEndpointSlots()
	for model, d := range v.demand {
		waiting, running := d.totalRequests(now)
		if waiting+running == 0 {
			continue
		}
		if _, ok := v.cfg.Models[model]; !ok {
			continue
		}
		w := wantedModel{model: model, waitingRequests: waiting, waitingSince: d.waitingSince, replicas: v.replicasNeededForSlots(slots, model, waiting+running)}
		byModel[model] = w
		base, adapter := arbutusfork.SplitModelName(model)
		if _, ok := v.cfg.Models[base]; adapter == "" || !ok {
			continue
		}
		b, ok := byModel[base]
		if !ok || w.waitingSince.Before(b.waitingSince) {
			b.waitingSince = w.waitingSince
		}
		b.model = base
		b.waitingRequests += waiting
		b.replicas = max(b.replicas, min(w.replicas, v.maxReplicas(base)))
		byModel[base] = b
	}
	return slices.SortedFunc(maps.Values(byModel), func(a, b wantedModel) int {
		if c := a.waitingSince.Compare(b.waitingSince); c != 0 {
			return c
		}
		if a.model < b.model {
			return -1
		}
		return 1
	})
}

// replicasNeeded returns the number of replicas that n concurrent requests need, at most the model's limit.
func (v View) replicasNeeded(model string, n int) int {
	return v.replicasNeededForSlots(v.minEndpointSlots(), model, n)
}

// replicasNeededForSlots is replicasNeeded for replicas with the given number of slots.
func (v View) replicasNeededForSlots(slots int, model string, n int) int {
	return min(max((n+slots-1)/slots, 1), v.maxReplicas(model))
}

// minEndpointSlots returns the smallest number of slots of the shard's endpoints, at least one.
func (v View) minEndpointSlots() int {
	slots := 0
	for _, ep := range v.cfg.Endpoints {
		if slots == 0 || ep.Slots < slots {
			slots = ep.Slots
		}
	}
	return max(slots, 1)
}

// hasRequests reports whether requests wait for or run on the model or, for a base model, one of its adapters.
func (v View) hasRequests(model string, now time.Time) bool {
	for name, d := range v.demand {
		base, _ := arbutusfork.SplitModelName(name)
		if name != model && base != model {
			continue
		}
		if waiting, running := d.totalRequests(now); waiting+running > 0 {
			return true
		}
	}
	return false
}
