package afshed

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the averages of the demand. It is some times the length of a burst, which is one second of
	// the limit, and short enough for demand that moves within seconds.
	demandTime = 4 * time.Second
	// reserveMargin is the reserved rate as a multiple of the urgent demand, since urgent requests do not come evenly. With 1.2, fewer
	// large urgent requests than patient ones are served in a burst of three times the usual demand (98 % and 100 %, TestLimitLoads).
	reserveMargin = 2
	// minPatientShare is the part of their proportional share of the limit that patient requests have in any case. Customers pay for
	// them as much as for urgent ones or more. Below 1, the part of the urgent demand that is served is above that of the patient
	// demand: with one customer at six times its limit 42 % and 18 %.
	minPatientShare = 0.8
	// reserveTime is for how long the units that patient requests leave to urgent ones last at the reserved rate.
	reserveTime = 500 * time.Millisecond
	// maxRetryAfter bounds the estimated time until there are enough units.
	maxRetryAfter = time.Hour
)

// Reserve returns the rate of units that patient requests leave to urgent ones, from the rates of units that both asked for lately
// and the rate of the limit. Patient requests keep at least four fifths of their proportional share, so that they do not starve.
func Reserve(urgent, patient, limit float64) float64 {
	if urgent <= 0 {
		return 0
	}
	minPatient := minPatientShare * limit * patient / (urgent + patient)
	return max(min(urgent*reserveMargin, limit-minPatient), 0)
}

// demand is an exponential average of the rate of requested units. The zero value is no demand.
type demand struct {
	rate      float64
	updatedAt time.Time
}

// add adds requested units.
func (d *demand) add(now time.Time, units float64) {
	d.rate = d.perSecond(now) + units/demandTime.Seconds()
	d.updatedAt = now
}

// perSecond returns the rate of requested units.
func (d *demand) perSecond(now time.Time) float64 {
	if d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-max(now.Sub(d.updatedAt), 0).Seconds()/demandTime.Seconds())
}
