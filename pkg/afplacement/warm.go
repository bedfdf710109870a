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

// saving returns the expected cold-start cost per second that holding the replica avoids.
func (v View) saving(a Assignment, now time.Time) float64 {
	m := v.cfg.Models[a.Model]
	cost := v.cfg.Service.Policy.Cold
	if cost <= 0 {
		cost = defaultCold
	}
	saved := v.arrivals(a.Model, now) * bare(m, v.tier(a.Endpoint, a.Model)).Seconds() * cost
	if m.IsAdapter() {
		return saved
	}
	// A base also saves the cold starts of the adapters that are loaded on it.
	for name, x := range v.rates {
		if base, adapter := arbutusfork.SplitModel(name); adapter != "" && base == a.Model {
			saved += x.perSecond(now) * bare(m, v.tier(a.Endpoint, a.Model)).Seconds() * cost
		}
	}
	return saved
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

// keep reports whether an idle replica is worth its memory.
func (v View) keep(a Assignment, now time.Time) bool {
	if v.busy(a.Model, now) || now.Sub(v.used[a.Model]) < minHold {
		return true
	}
	if _, used := v.used[a.Model]; !used && now.Sub(v.tenure) < learn {
		return true
	}
	return v.saving(a, now) >= v.holding(a)
}
