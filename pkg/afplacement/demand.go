package afplacement

import (
	"maps"
	"math"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// demandLife is how long a VM's count stays valid without a new one, unless View.Life is longer. Up to 100 VMs
	// send a summary each second.
	demandLife = 3 * time.Second
	// peakDecay is the time constant with which the need for several replicas fades.
	peakDecay = 60 * time.Second
)

// demand is what VMs report about one model.
type demand struct {
	vms map[string]wants
	// since is when the oldest request that still waits was first reported.
	since time.Time
	// peak is the largest recent concurrency, decayed since peaked.
	peak   float64
	peaked time.Time
}

type wants struct {
	waiting, running int
	at               time.Time
	life             time.Duration
}

// totals returns the requests that wait and run on all VMs.
func (d demand) totals(now time.Time) (waiting, running int) {
	for _, w := range d.vms {
		if now.Sub(w.at) < w.life {
			waiting += w.waiting
			running += w.running
		}
	}
	return waiting, running
}

// life returns how long a VM's count stays valid without a new one.
func (v View) life() time.Duration { return max(v.DemandTTL, demandLife) }

// level returns the decayed peak concurrency.
func (d demand) level(now time.Time) float64 {
	return d.peak * math.Exp(-now.Sub(d.peaked).Seconds()/peakDecay.Seconds())
}

func (v View) wanted(e DemandReported, now time.Time) View {
	d := v.demand[e.Model]
	before, _ := d.totals(now)
	vms := make(map[string]wants, len(d.vms)+1)
	for vm, w := range d.vms {
		if now.Sub(w.at) < w.life {
			vms[vm] = w
		}
	}
	vms[e.VM] = wants{waiting: e.WaitingRequests, running: e.RunningRequests, at: now, life: v.life()}
	d.vms = vms
	waiting, running := d.totals(now)
	if before == 0 || d.since.IsZero() {
		d.since = now
	}
	if n := float64(waiting + running); n >= d.level(now) {
		d.peak, d.peaked = n, now
	}
	v.demand = with(v.demand, e.Model, d)
	if waiting+running > 0 {
		v = v.touch(e.Model, now)
	}
	return v
}

func (v View) arrived(e RequestsArrived, now time.Time) View {
	v.rates = with(v.rates, e.Model, v.rates[e.Model].add(float64(e.Count), now))
	if used, ok := v.used[e.Model]; ok && now.Sub(used) > time.Second {
		v.gaps = v.gaps.add(now.Sub(used))
	}
	return v.touch(e.Model, now)
}

// touch notes the use of a model, and of its base if it is an adapter.
func (v View) touch(model string, now time.Time) View {
	v.used = with(v.used, model, now)
	if base, adapter := arbutusfork.SplitModel(model); adapter != "" {
		v.used[base] = now
	}
	return v
}

// bound returns how many replicas of the model may exist at once.
func (v View) bound(model string) int {
	if n := v.cfg.Models[model].Replicas; n > 0 {
		return n
	}
	return max(v.cfg.Service.Policy.Replicas, 1)
}

// want is a model that needs replicas.
type want struct {
	model   string
	count   int
	waiting int
	since   time.Time
}

// wantedModels returns the models that need replicas now, the longest waiting one first. The base of a wanted
// adapter is wanted before the adapter.
func (v View) wantedModels(now time.Time) []want {
	wants := make(map[string]want)
	slots := v.fewestSlots()
	for model, d := range v.demand {
		waiting, running := d.totals(now)
		if waiting+running == 0 {
			continue
		}
		if _, ok := v.cfg.Models[model]; !ok {
			continue
		}
		w := want{model: model, waiting: waiting, since: d.since, count: v.replicasOf(slots, model, waiting+running)}
		wants[model] = w
		base, adapter := arbutusfork.SplitModel(model)
		if _, ok := v.cfg.Models[base]; adapter == "" || !ok {
			continue
		}
		b, ok := wants[base]
		if !ok || w.since.Before(b.since) {
			b.since = w.since
		}
		b.model = base
		b.waiting += waiting
		b.count = max(b.count, min(w.count, v.bound(base)))
		wants[base] = b
	}
	return slices.SortedFunc(maps.Values(wants), func(a, b want) int {
		if c := a.since.Compare(b.since); c != 0 {
			return c
		}
		if a.model < b.model {
			return -1
		}
		return 1
	})
}

// replicasFor returns the number of replicas that n concurrent requests need, within the bound.
func (v View) replicasFor(model string, n int) int { return v.replicasOf(v.fewestSlots(), model, n) }

// replicasOf is replicasFor with the slots of one replica.
func (v View) replicasOf(slots int, model string, n int) int {
	return min(max((n+slots-1)/slots, 1), v.bound(model))
}

// fewestSlots returns the smallest number of slots of an endpoint, at least one.
func (v View) fewestSlots() int {
	slots := 0
	for _, ep := range v.cfg.Endpoints {
		if slots == 0 || ep.Slots < slots {
			slots = ep.Slots
		}
	}
	return max(slots, 1)
}

// busy reports whether requests wait for or run on the model or, for a base, on one of its adapters.
func (v View) busy(model string, now time.Time) bool {
	for name, d := range v.demand {
		base, _ := arbutusfork.SplitModel(name)
		if name != model && base != model {
			continue
		}
		if waiting, running := d.totals(now); waiting+running > 0 {
			return true
		}
	}
	return false
}
