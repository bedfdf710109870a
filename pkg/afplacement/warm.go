package afplacement

import (
	"math"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// shortWindow and longWindow are the time constants of the two arrival rate estimates.
	shortWindow = 2 * time.Minute
	longWindow  = 30 * time.Minute
	// defaultCold and defaultIdle apply where the service's policy sets no cost.
	defaultCold = 1
	defaultIdle = 0.02
	// sheetLead is how far ahead the sheet is read, so that a model stays loaded for a row that starts soon.
	sheetLead = 5 * time.Minute
	// minHold is how long a replica stays after its last use in any case. Bursts of one caller pause for less.
	minHold = 10 * time.Second
	// learn is how long a new owner keeps what it finds loaded, since it does not know the arrivals before its time.
	learn = shortWindow
	// sweep is the period at which idle replicas are weighed. It bounds the owner's work on events.
	sweep = time.Second
)

// rate estimates a model's arrival rate with exponential decay over two windows.
type rate struct {
	short, long float64
	at          time.Time
}

func (x rate) decayed(now time.Time) rate {
	if x.at.IsZero() {
		return rate{at: now}
	}
	d := now.Sub(x.at).Seconds()
	x.short *= math.Exp(-d / shortWindow.Seconds())
	x.long *= math.Exp(-d / longWindow.Seconds())
	x.at = now
	return x
}

func (x rate) add(n float64, now time.Time) rate {
	x = x.decayed(now)
	x.short += n
	x.long += n
	return x
}

// perSecond returns the estimated arrivals per second.
func (x rate) perSecond(now time.Time) float64 {
	x = x.decayed(now)
	return max(x.short/shortWindow.Seconds(), x.long/longWindow.Seconds())
}

// arrivals returns the expected arrivals per second of the model: the observed ones or, where it expects more,
// the accepted sheet.
func (v View) arrivals(model string, now time.Time) float64 {
	return max(v.rates[model].perSecond(now), v.sheetRate(model, now))
}

func (v View) sheetRate(model string, now time.Time) float64 {
	t := now.UTC()
	minute := t.Hour()*60 + t.Minute()
	ahead := minute + int(sheetLead.Minutes())
	var perHour float64
	for _, row := range v.cfg.Sheet {
		if row.Model == model && row.From <= ahead && minute < row.Until {
			perHour += row.Requests
		}
	}
	return perHour / 3600
}

// cold returns the cost of one second of cold-start wait.
func (v View) cold() float64 {
	if cost := v.cfg.Service.Policy.Cold; cost > 0 {
		return cost
	}
	return defaultCold
}

// saving returns the expected cold-start cost per second that holding the replica avoids.
func (v View) saving(a Assignment, now time.Time) float64 {
	m := v.cfg.Models[a.Model]
	cost := v.cold()
	saved := v.arrivals(a.Model, now) * bare(m, v.tier(a.Endpoint, a.Model)).Seconds() * cost
	if m.IsAdapter() {
		return saved
	}
	// A base also saves the cold starts of the adapters that are loaded on it. Whole numbers make the sum independent
	// of the order of the map.
	var adapters int64
	for name, x := range v.rates {
		if base, adapter := arbutusfork.SplitModel(name); adapter != "" && base == a.Model {
			adapters += int64(x.perSecond(now) * 1e9)
		}
	}
	return saved + float64(adapters)/1e9*bare(m, v.tier(a.Endpoint, a.Model)).Seconds()*cost
}

// holding returns the cost per second of the accelerator share that the replica occupies.
func (v View) holding(a Assignment) float64 {
	ep := v.cfg.Endpoints[a.Endpoint]
	cost := v.cfg.Service.Policy.Idle
	if cost <= 0 {
		cost = defaultIdle
	}
	if ep.Memory <= 0 {
		return 0
	}
	return cost * float64(max(ep.Accelerators, 1)) * float64(a.Memory) / float64(ep.Memory)
}

// idleFor returns the time since the replica's last use, or since this VM has known the replica.
func (v View) idleFor(a Assignment, now time.Time) time.Duration {
	if used, ok := v.used[a.Model]; ok {
		return now.Sub(used)
	}
	return now.Sub(v.tenure)
}

// describe returns what the rules about idle replicas depend on.
func (v View) describe(a Assignment, now time.Time) IdleReplica {
	x := v.rates[a.Model].decayed(now)
	return IdleReplica{
		Model: a.Model, Memory: a.Memory, IdleTime: v.idleFor(a, now),
		RecentRate: x.short / shortWindow.Seconds(), LongTermRate: x.long / longWindow.Seconds(), PlannedRate: v.sheetRate(a.Model, now),
		LoadTime:        bare(v.cfg.Models[a.Model], v.tier(a.Endpoint, a.Model)),
		ColdStartSaving: v.saving(a, now), HoldingCost: v.holding(a),
	}
}

// value orders replicas for eviction, the lowest first.
func (v View) value(a Assignment, now time.Time) float64 {
	if fn := v.cfg.Overrides.EvictionValue; fn != nil {
		return fn(v.describe(a, now))
	}
	return v.saving(a, now) / float64(max(a.Memory, 1))
}

// keep reports whether an idle replica is worth its memory.
func (v View) keep(a Assignment, now time.Time) bool {
	if v.busy(a.Model, now) {
		return true
	}
	if fn := v.cfg.Overrides.KeepReplica; fn != nil {
		return fn(v.describe(a, now))
	}
	_, used := v.used[a.Model]
	if idle := v.idleFor(a, now); used && idle < minHold || !used && idle < learn {
		return true
	}
	h := v.describe(a, now)
	return v.outlook(now).pays(h.IdleTime, h.LoadTime.Seconds()*v.cold()/max(h.HoldingCost, 1e-9), h.PlannedRate)
}
