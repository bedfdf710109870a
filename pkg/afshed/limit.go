// Package afshed decides which requests are delayed or refused while there is too little of something that they share: units of
// a customer's limit, or places at the endpoints that run a model. It has no clock and no lock: times and state are arguments.
//
// It is built for fleets of up to 100 VMs with 16 customers and 200 requests a second of 1,110 prompt tokens on average. Urgent
// requests have a target of 500 ms, patient ones one of 4 to 6 s. The demand may rise to three times the usual one, and that of one
// customer to six times its limit.
package afshed

import (
	"math"
	"slices"
	"time"
)

const (
	// patientTarget is the target latency from which a request counts as patient. Urgent kinds have 600 ms or less and patient ones
	// 4 s or more.
	patientTarget = 2 * time.Second
	// MaxAsks bounds how often one request asks for units. The first ask gets a place in the queue and the second one the units; the
	// others cover a change of the VM that keeps the queue and urgent requests that went first.
	MaxAsks = 8
	// MinAskInterval is the least time between two asks of one request, so that times that are estimated too short cause no
	// stream of messages.
	MinAskInterval = 10 * time.Millisecond
	// maxWaiters bounds the requests of one customer that wait for units. A customer at six times its limit of 16,000 tokens/s has
	// about 60 requests of 1,400 tokens within a wait of 5 s.
	maxWaiters = 1024
	// maxQueueWait bounds the time for which a place is given out, whatever a message asks for.
	maxQueueWait = 10 * time.Second
	// claimTime is how long units are kept for a request after the time at which it was to ask again. A spend request takes up to
	// 250 ms, and a VM whose processor time is a quota may pause for a tenth of a second.
	claimTime = 500 * time.Millisecond
	// newWaitFraction is the part of its longest wait up to which a request gets a place. The rest is for urgent requests that go
	// first, so that few are refused after a wait.
	newWaitFraction = 0.85
	// largestTime is for how long smaller requests leave enough units for the largest one that was refused, and largestFraction the
	// most that they leave, as a fraction of the burst.
	largestTime     = 2 * time.Second
	largestFraction = 0.75
	// lightFraction is the part of the mean size up to which a request is light, and lightShare the part of the rate up to which light
	// requests are granted without a turn. Refusing one large request serves many light ones, which cannot wait for their turn.
	lightFraction = 0.2
	lightShare    = 0.25
	// sizeWeight is the weight of a request in the mean size.
	sizeWeight = 0.02
	// maxReturnTime bounds the time that is added to the wait of a refused request because of those refused before, and maxRefused
	// their number. It is the longest Retry-After of the gateway.
	maxReturnTime = 5 * time.Second
	maxRefused    = 256
)

// IsPatient reports whether a request with the target latency leaves units to urgent requests. A request without a target is not
// known to be patient.
func IsPatient(target time.Duration) bool { return target >= patientTarget }

// LimitWait returns how long a request may wait for units of its customer's limit: until its target less the expected time of
// service, and at most maxWait, after which the caller leaves. It returns zero for a request that must get them at once: one without
// a target, and one that costs more than the limit ever holds.
func LimitWait(target, service, waited, maxWait time.Duration, cost, burst int64) time.Duration {
	if target <= 0 || cost > burst {
		return 0
	}
	return max(min(target-service-waited, maxWait, maxQueueWait), 0)
}

// UnitRequest asks for units of a customer's limit.
type UnitRequest struct {
	// Ticket identifies the request in all its asks. Zero means that it does not wait.
	Ticket uint64
	// Units is what the request costs. Zero units with a ticket give up the place of the request.
	Units int64
	// IsPatient means that the request leaves units to urgent ones.
	IsPatient bool
	// MaxWait is how long the request can wait from now on.
	MaxWait time.Duration
}

// Next returns when a request that got no units asks again. It returns false if the request is refused instead, because the units
// come too late or it has asked too often.
func (r UnitRequest) Next(retryAfter time.Duration, asks int) (time.Duration, bool) {
	if r.Ticket == 0 || retryAfter <= 0 || retryAfter > r.MaxWait || asks >= MaxAsks {
		return 0, false
	}
	return min(max(retryAfter, MinAskInterval), r.MaxWait), true
}

// LimitLevel is the state of a customer's limit.
type LimitLevel struct {
	// Units is the number of units that may be spent now.
	Units float64
	// PerSecond is the rate at which units are added, above zero.
	PerSecond float64
	// Burst is the most that Units can become.
	Burst float64
}

// limitWaiter is a request that was told when to ask again.
type limitWaiter struct {
	request UnitRequest
	// dueAt is when the request was first told to ask again. From then on, no later request goes before it.
	dueAt time.Time
	// keptUntil is when its place ends unless it asks again.
	keptUntil time.Time
}

// LimitQueue holds the requests of one customer that wait for units. The zero value is an empty queue. It is not safe for concurrent
// use.
//
// Each waiting request has a time at which it is due, and the units of those that are due earlier are kept from the others. A queue
// only delays: units are taken from the level when they are granted, so that the limit holds even if the queue is lost.
type LimitQueue struct {
	waiters         []limitWaiter
	urgent, patient limitClass
	// meanUnits is the mean size of the requests, and light the demand of the light ones.
	meanUnits float64
	light     demand
	// patientFreeAt is when the part of the rate that is left to patient requests has served those that came before.
	patientFreeAt time.Time
}

// limitClass is what a queue knows about the urgent or the patient requests.
type limitClass struct {
	demand demand
	// largest is the size of the largest request that was refused until largestUntil. Smaller ones leave it as many units, since they
	// would otherwise take each unit before the large ones find enough.
	largest      float64
	largestUntil time.Time
	// refused are requests that were refused and whose callers have not come back yet.
	refused []refusedUnits
}

// refusedUnits are the units of a refused request, until its caller should come back.
type refusedUnits struct {
	units float64
	until time.Time
}

// refuse records a refusal and returns the time after which the caller should come back: in turn after those that were refused
// before, at most maxReturnTime from now on.
func (c *limitClass) refuse(units float64, wait time.Duration, perSecond float64, now time.Time) time.Duration {
	c.refused = slices.DeleteFunc(c.refused, func(r refusedUnits) bool { return now.After(r.until) })
	before := 0.0
	for _, r := range c.refused {
		before += r.units
	}
	wait = max(wait, min(wait+seconds(before/perSecond), maxReturnTime))
	if len(c.refused) < maxRefused {
		c.refused = append(c.refused, refusedUnits{units, now.Add(wait)})
	}
	return wait
}

// WaitingUnits returns the units that the waiting requests need.
func (q *LimitQueue) WaitingUnits() float64 {
	units := 0.0
	for _, w := range q.waiters {
		units += float64(w.request.Units)
	}
	return units
}

// Ask reports whether the units are granted. If not, it returns the time until there should be enough; if that is within MaxWait,
// the request has got a place in the queue, and should ask again then. The caller deducts granted units from the level.
func (q *LimitQueue) Ask(level LimitLevel, r UnitRequest, now time.Time) (retryAfter time.Duration, isGranted bool) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w limitWaiter) bool { return now.After(w.keptUntil) })
	index := -1
	if r.Ticket != 0 {
		index = slices.IndexFunc(q.waiters, func(w limitWaiter) bool { return w.request.Ticket == r.Ticket })
	}
	var known limitWaiter
	isKnown := index >= 0
	if isKnown {
		known = q.waiters[index]
		q.waiters = slices.Delete(q.waiters, index, index+1)
	}
	if r.Units <= 0 {
		return 0, true
	}
	class := q.class(r)
	units, maxWait := float64(r.Units), min(r.MaxWait, maxQueueWait)
	if !isKnown && q.isLight(level, units, now) && units <= level.Units {
		return 0, true
	}
	var wait time.Duration
	if isKnown {
		wait = level.timeUntil(units+q.unitsDueBy(known.dueAt), 0)
	} else {
		class.demand.add(now, units)
		maxWait = time.Duration(float64(maxWait) * newWaitFraction)
		wait = q.newWait(level, r, now)
	}
	hasPlace := r.Ticket != 0 && wait <= maxWait && units <= level.Burst && len(q.waiters) < maxWaiters
	if r.IsPatient && !isKnown && (wait <= 0 || hasPlace) {
		q.patientFreeAt = now.Add(q.patientDelay(now) + seconds(units/q.patientRate(level, now)))
	}
	if wait <= 0 {
		return 0, true
	}
	if hasPlace {
		w := limitWaiter{request: r, dueAt: now.Add(wait), keptUntil: now.Add(wait + claimTime)}
		if isKnown {
			w.dueAt = known.dueAt
		}
		q.waiters = append(q.waiters, w)
		return wait, false
	}
	if units >= class.largestRefused(now) {
		class.largest, class.largestUntil = units, now.Add(largestTime)
	}
	perSecond := level.PerSecond
	if r.IsPatient {
		perSecond = q.patientRate(level, now)
	}
	return max(class.refuse(units, wait, perSecond, now), r.MaxWait+time.Millisecond), false
}

// isLight reports whether a new request is small beside the others and the light requests together need only a small part of the limit.
func (q *LimitQueue) isLight(level LimitLevel, units float64, now time.Time) bool {
	if q.meanUnits == 0 {
		q.meanUnits = units
	}
	q.meanUnits += sizeWeight * (units - q.meanUnits)
	if units > lightFraction*q.meanUnits {
		return false
	}
	q.light.add(now, units)
	return q.light.perSecond(now) <= lightShare*level.PerSecond
}

// newWait returns the time until there should be enough units for a request that has no place in the queue.
func (q *LimitQueue) newWait(level LimitLevel, r UnitRequest, now time.Time) time.Duration {
	needed := max(float64(r.Units), min(q.class(r).largestRefused(now), largestFraction*level.Burst))
	if r.IsPatient {
		reserved := level.PerSecond - q.patientRate(level, now)
		inTurn := q.patientDelay(now) + seconds(needed/level.PerSecond)
		needed += max(min(reserved*reserveTime.Seconds(), level.Burst-needed), 0)
		// It gets its units when the level allows it, or in its turn in the part of the rate that is left to its class.
		return min(level.timeUntil(needed+q.WaitingUnits(), reserved), inTurn)
	}
	// Urgent requests that came before go first, and patient ones that become due meanwhile.
	wait, before := time.Duration(0), -1.0
	for {
		units := 0.0
		for _, w := range q.waiters {
			if !w.request.IsPatient || !w.dueAt.After(now.Add(wait)) {
				units += float64(w.request.Units)
			}
		}
		if units <= before {
			return wait
		}
		before = units
		wait = level.timeUntil(needed+units, 0)
	}
}

// patientRate returns the part of the rate that is left to patient requests.
func (q *LimitQueue) patientRate(level LimitLevel, now time.Time) float64 {
	return level.PerSecond - Reserve(q.urgent.demand.perSecond(now), q.patient.demand.perSecond(now), level.PerSecond)
}

// patientDelay returns the time until this part has served the requests that came before.
func (q *LimitQueue) patientDelay(now time.Time) time.Duration {
	return max(q.patientFreeAt.Sub(now), 0)
}

// unitsDueBy returns the units of the waiting requests that are due by a time.
func (q *LimitQueue) unitsDueBy(t time.Time) float64 {
	units := 0.0
	for _, w := range q.waiters {
		if !w.dueAt.After(t) {
			units += float64(w.request.Units)
		}
	}
	return units
}

// class returns what the queue knows about the class of a request.
func (q *LimitQueue) class(r UnitRequest) *limitClass {
	if r.IsPatient {
		return &q.patient
	}
	return &q.urgent
}

// largestRefused returns the units of the largest request that was refused lately.
func (c *limitClass) largestRefused(now time.Time) float64 {
	if now.After(c.largestUntil) {
		return 0
	}
	return c.largest
}

// timeUntil returns the time until the level has the units, if the reserved part of the rate is left to others.
func (l LimitLevel) timeUntil(units, reserved float64) time.Duration {
	missing := units - l.Units
	if missing <= 0 {
		return 0
	}
	return seconds(missing / (l.PerSecond - reserved))
}

// seconds returns a duration in whole milliseconds, at most maxRetryAfter.
func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(min(s, maxRetryAfter.Seconds())*1000)) * time.Millisecond
}
