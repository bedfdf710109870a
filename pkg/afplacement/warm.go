package afplacement

import (
	"math"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// shortRateWindow is the time constant of the short-term estimate of arrival rates.
	shortRateWindow = 2 * time.Minute
	// longRateWindow is the time constant of the long-term estimate of arrival rates.
	longRateWindow = 30 * time.Minute
	// defaultColdStartCost is the cost of one second of cold-start wait if the service's policy sets none.
	defaultColdStartCost = 1
	// defaultHoldingCost is the cost of one accelerator for one second if the service's policy sets none.
	defaultHoldingCost = 0.02
	// sheetLookahead is how long before its start a sheet row counts, so that a model stays loaded for the row.
	sheetLookahead = 5 * time.Minute
	// minHoldTime is the shortest time for which a replica stays loaded after its last use. Pauses in the bursts of one
	// caller are shorter.
	minHoldTime = 10 * time.Second
	// newOwnerHoldTime is how long a new owner keeps replicas that have had no request, since it has no arrival rates
	// from the time before its take-over.
	newOwnerHoldTime = shortRateWindow
	// sweepInterval is the period at which idle replicas are checked. It bounds the owner's work on events.
	sweepInterval = time.Second
)

// arrivalRate estimates a model's arrival rate with exponential decay over two windows.
type arrivalRate struct {
	shortCount, longCount float64
	updatedAt             time.Time
}

// decayedTo returns the estimate with its counts decayed until now.
func (x arrivalRate) decayedTo(now time.Time) arrivalRate {
	if x.updatedAt.IsZero() {
		return arrivalRate{updatedAt: now}
	}
	d := now.Sub(x.updatedAt).Seconds()
	x.shortCount *= math.Exp(-d / shortRateWindow.Seconds())
	x.longCount *= math.Exp(-d / longRateWindow.Seconds())
	x.updatedAt = now
	return x
}

// withArrivals returns the estimate after n arrivals.
func (x arrivalRate) withArrivals(n float64, now time.Time) arrivalRate {
	x = x.decayedTo(now)
	x.shortCount += n
	x.longCount += n
	return x
}

// perSecond returns the estimated arrivals per second: the larger of the two windows' rates.
func (x arrivalRate) perSecond(now time.Time) float64 {
	x = x.decayedTo(now)
	return max(x.shortCount/shortRateWindow.Seconds(), x.longCount/longRateWindow.Seconds())
}

// expectedArrivalRate returns the expected arrivals per second of the model: the larger of the observed rate and the
// rate planned in the accepted sheet.
func (v View) expectedArrivalRate(model string, now time.Time) float64 {
	return max(v.arrivalRates[model].perSecond(now), v.plannedArrivalRate(model, now))
}

// plannedArrivalRate returns the arrivals per second that the accepted sheet plans for the model.
func (v View) plannedArrivalRate(model string, now time.Time) float64 {
	t := now.UTC()
	minute := t.Hour()*60 + t.Minute()
	lookaheadEnd := minute + int(sheetLookahead.Minutes())
	var perHour float64
	for _, row := range v.cfg.Sheet {
		if row.Model == model && row.StartMinute <= lookaheadEnd && minute < row.EndMinute {
			perHour += row.RequestsPerHour
		}
	}
	return perHour / 3600
}

// coldStartCost returns the cost of one second of cold-start wait.
func (v View) coldStartCost() float64 {
	if cost := v.cfg.Service.Policy.ColdStartCost; cost > 0 {
		return cost
	}
	return defaultColdStartCost
}

// coldStartSaving returns the expected cold-start cost per second that holding the replica avoids.
func (v View) coldStartSaving(a Assignment, now time.Time) float64 {
	m := v.cfg.Models[a.Model]
	cost := v.coldStartCost()
	saved := v.expectedArrivalRate(a.Model, now) * loadTime(m, v.nearestTier(a.Endpoint, a.Model)).Seconds() * cost
	if m.IsAdapter() {
		return saved
	}
	// A base model also saves the cold starts of the adapters that are loaded on it. Integers make the sum independent
	// of the map's iteration order.
	var adapters int64
	for name, x := range v.arrivalRates {
		if base, adapter := arbutusfork.SplitModelName(name); adapter != "" && base == a.Model {
			adapters += int64(x.perSecond(now) * 1e9)
		}
	}
	return saved + float64(adapters)/1e9*loadTime(m, v.nearestTier(a.Endpoint, a.Model)).Seconds()*cost
}

// holdingCost returns the cost per second of the share of accelerators that the replica occupies.
func (v View) holdingCost(a Assignment) float64 {
	ep := v.cfg.Endpoints[a.Endpoint]
	cost := v.cfg.Service.Policy.IdleCost
	if cost <= 0 {
		cost = defaultHoldingCost
	}
	if ep.MemoryMB <= 0 {
		return 0
	}
	return cost * float64(max(ep.Accelerators, 1)) * float64(a.Memory) / float64(ep.MemoryMB)
}

// idleTime returns the time since the replica's last use, or since the take-over if it has had no request since then.
func (v View) idleTime(a Assignment, now time.Time) time.Duration {
	if used, ok := v.lastUsedAt[a.Model]; ok {
		return now.Sub(used)
	}
	return now.Sub(v.takeoverSentAt)
}

// idleReplica returns the inputs of the rules about idle replicas.
func (v View) idleReplica(a Assignment, now time.Time) IdleReplica {
	x := v.arrivalRates[a.Model].decayedTo(now)
	return IdleReplica{
		Model: a.Model, Memory: a.Memory, IdleTime: v.idleTime(a, now),
		RecentRate: x.shortCount / shortRateWindow.Seconds(), LongTermRate: x.longCount / longRateWindow.Seconds(), PlannedRate: v.plannedArrivalRate(a.Model, now),
		LoadTime:        loadTime(v.cfg.Models[a.Model], v.nearestTier(a.Endpoint, a.Model)),
		ColdStartSaving: v.coldStartSaving(a, now), HoldingCost: v.holdingCost(a),
	}
}

// evictionValue returns the value by which replicas are ordered for eviction, the lowest first.
func (v View) evictionValue(a Assignment, now time.Time) float64 {
	if fn := v.cfg.Overrides.EvictionValue; fn != nil {
		return fn(v.idleReplica(a, now))
	}
	return v.coldStartSaving(a, now) / float64(max(a.Memory, 1))
}

// shouldKeepReplica reports whether a replica is in use or worth its memory.
func (v View) shouldKeepReplica(a Assignment, now time.Time) bool {
	if v.hasRequests(a.Model, now) {
		return true
	}
	if fn := v.cfg.Overrides.KeepReplica; fn != nil {
		return fn(v.idleReplica(a, now))
	}
	_, used := v.lastUsedAt[a.Model]
	if idle := v.idleTime(a, now); used && idle < minHoldTime || !used && idle < newOwnerHoldTime {
		return true
	}
	h := v.idleReplica(a, now)
	return v.hazardRates(now).isHoldingWorthwhile(h.IdleTime, h.LoadTime.Seconds()*v.coldStartCost()/max(h.HoldingCost, 1e-9), h.PlannedRate)
}
