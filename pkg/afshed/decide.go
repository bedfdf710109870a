package afshed

import (
	"math"
	"slices"
	"time"
)

const (
	// departureTime is for how long a departure counts. Streams run for 4 to 10 s.
	departureTime = 10 * time.Second
	// maxDepartures bounds the departures that are kept for one queue.
	maxDepartures = 64
	// minDepartures is the number of departures below which their rate says too little.
	minDepartures = 8
	// maxDepartureAge is the time after the latest departure from which the rate is not known: the last engine that runs the model may
	// be gone, and another one may load it.
	maxDepartureAge = 2 * time.Second
	// rateDeviations is how many standard deviations the rate may be above the measured one. Above three, one decision in a thousand
	// would be wrong at a steady rate.
	rateDeviations = 3
	// growthTime is the time within which the capacity may double: a second engine loads the model, from the weight store in 6 s. In a
	// part of this time, it may grow by this part.
	growthTime = 6 * time.Second
)

// Rank is what decides first, among requests that wait for the same capacity, which one gets a place. A place that went to a request
// could have gone to any of a lower rank.
type Rank struct {
	Priority int
	IsLate   bool
	// IsPromoted means that the request will go first before it expires.
	IsPromoted bool
}

// isAtMost reports whether a place that went to a request of another rank could have gone to one of this rank.
func (r Rank) isAtMost(other Rank) bool {
	return r.Priority < other.Priority || r.Priority == other.Priority && (!r.IsLate || other.IsLate)
}

// Departures holds when waiting requests of one model got a place. It must begin when the first of them begins to wait and end when
// none waits, so that a gap between two departures means that no capacity was free. A value is not safe for concurrent use.
type Departures struct {
	// Since is the time since which requests have waited without a break.
	Since time.Time
	// latest are the latest departures in order of time.
	latest []departure
}

type departure struct {
	at   time.Time
	rank Rank
	work int64
}

// Record records that a request of a rank with so much work got a place.
func (d *Departures) Record(rank Rank, work int64, now time.Time) {
	d.latest = slices.DeleteFunc(d.latest, func(e departure) bool { return now.Sub(e.at) > departureTime })
	if len(d.latest) >= maxDepartures {
		d.Since = d.latest[0].at
		d.latest = slices.Delete(d.latest, 0, 1)
	}
	d.latest = append(d.latest, departure{now, rank, work})
}

// Ahead is what goes before a request among those of its rank.
type Ahead struct {
	Requests int
	// Work is in tokens.
	Work int64
}

// With returns the value with one more request.
func (a Ahead) With(r Request) Ahead { return Ahead{a.Requests + 1, a.Work + r.Work} }

// Decision is what happens to a request that finds no place at once.
type Decision struct {
	// IsRefused means that the request certainly gets no place within its longest wait. Otherwise it waits.
	IsRefused bool
	// RetryAfter is the expected time until the requests ahead have got a place, if the request is refused.
	RetryAfter time.Duration
}

// Estimate is how fast requests of a rank get places. The zero value knows nothing.
type Estimate struct {
	// requests and work are what got places in the elapsed time, own the part of the same or a lower rank.
	requests, work, ownRequests, ownWork float64
	// elapsed is in seconds.
	elapsed float64
}

// Estimate returns how fast requests of a rank get places, or the zero value without enough departures. Nothing is known of requests
// that will be promoted.
func (d *Departures) Estimate(rank Rank, now time.Time) Estimate {
	since := d.Since
	if earliest := now.Add(-departureTime); since.Before(earliest) {
		since = earliest
	}
	e := Estimate{elapsed: now.Sub(since).Seconds()}
	for _, departure := range d.latest {
		if departure.at.Before(since) {
			continue
		}
		e.requests++
		e.work += float64(departure.work)
		if rank.isAtMost(departure.rank) {
			e.ownRequests++
			e.ownWork += float64(departure.work)
		}
	}
	if rank.IsPromoted || e.requests < minDepartures || e.elapsed <= 0 || now.Sub(d.latest[len(d.latest)-1].at) > maxDepartureAge {
		return Estimate{}
	}
	return e
}

// Decide decides whether a request waits that can wait for maxWait. If nothing is known, or if it may get a place should places become
// free more often, it waits.
func (e Estimate) Decide(ahead Ahead, maxWait time.Duration) Decision {
	if e.elapsed <= 0 || ahead.Requests == 0 || maxWait <= 0 {
		return Decision{}
	}
	// The upper bound of a count that may be zero has a margin of its own.
	most := e.ownRequests + rateDeviations*math.Sqrt(e.ownRequests+1) + rateDeviations + e.requests*min(maxWait.Seconds()/growthTime.Seconds(), 1)
	shortest := min(float64(ahead.Requests)/most, float64(ahead.Work)/(most*max(e.work, 1)/e.requests)) * e.elapsed
	if shortest <= maxWait.Seconds() {
		return Decision{}
	}
	expected := float64(ahead.Requests) / max(e.ownRequests, 1) * e.elapsed
	if e.ownWork > 0 {
		expected = max(expected, float64(ahead.Work)/e.ownWork*e.elapsed)
	}
	return Decision{IsRefused: true, RetryAfter: seconds(expected)}
}
