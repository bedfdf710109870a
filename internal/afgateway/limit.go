package afgateway

import (
	"math"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afkeeper"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// grantTimeout is the age from which the placement holder's grants are not used. Each VM then uses an equal share
	// of the limits.
	grantTimeout = 2 * time.Second
	// maxLimitRetryAfter bounds the Retry-After for a customer above its limit.
	maxLimitRetryAfter = 5 * time.Second
	// startLevelFraction is the level of a bucket at the start of a VM, as a fraction of its size. A restarted VM does
	// not know what it spent before, but has spent nothing while it was down.
	startLevelFraction = 0.6
)

// customerLimits holds this VM's shares of the customers' limits.
type customerLimits struct {
	mu         sync.Mutex
	byCustomer map[string]*tokenBucket
	// waiters counts the requests that may wait for units, by customer.
	waiters map[string]int
	// grantedAt is the time of the placement holder's latest grants.
	grantedAt time.Time
}

// tokenBucket is a token bucket with this VM's share of a customer's rate and burst.
type tokenBucket struct {
	// level is the number of units that the bucket contains.
	level float64
	// filledAt is the time up to which units were added. It is zero before the first request or grant.
	filledAt time.Time
	// grantedShare is the granted fraction of the rate.
	grantedShare float64
	// spentUnits is the number of units spent since the start of the VM.
	spentUnits int64
	// requested is the recent rate of requested units, including those of refused requests.
	requested rate
}

// limitShortage describes why a customer's limit does not cover a request.
type limitShortage struct {
	// retryAfter is the expected time until the bucket contains enough units.
	retryAfter time.Duration
	// cost is the cost of the request in units.
	cost int64
	// level is the number of units that the bucket contains.
	level float64
	// unitsPerSecond is this VM's share of the rate.
	unitsPerSecond float64
	// grantAge is the age of the placement holder's latest grants.
	grantAge time.Duration
}

// takeUnits takes cost units from the customer's bucket, or returns the shortage and false. Without recent grants, this
// VM uses fractionWithoutGrant of the limit.
func (l *customerLimits) takeUnits(c afroute.Customer, cost int64, fractionWithoutGrant float64, now time.Time) (limitShortage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.bucket(c.Name, now)
	share, burst := bucket.grantedShare, float64(c.Burst)
	isGrantRecent := now.Sub(l.grantedAt) <= grantTimeout
	if !isGrantRecent {
		share, burst = fractionWithoutGrant, fractionWithoutGrant*burst
	}
	// A request that exceeds the share of one VM must fit into a full bucket, or large requests would never run.
	burst = max(burst, min(float64(cost), float64(c.Burst)))
	unitsPerSecond := share * float64(c.RatePerSecond)
	if bucket.filledAt.IsZero() {
		bucket.filledAt = now
		if !isGrantRecent {
			bucket.level = startLevelFraction * fractionWithoutGrant * float64(c.Burst)
		}
	}
	bucket.level = min(bucket.level+unitsPerSecond*now.Sub(bucket.filledAt).Seconds(), burst)
	bucket.filledAt = now
	if bucket.level >= float64(cost) {
		bucket.level -= float64(cost)
		bucket.spentUnits += cost
		return limitShortage{}, true
	}
	shortage := limitShortage{retryAfter: maxLimitRetryAfter, cost: cost, level: bucket.level, unitsPerSecond: unitsPerSecond, grantAge: now.Sub(l.grantedAt)}
	if unitsPerSecond > 0 {
		wait := min((float64(cost)-bucket.level)/unitsPerSecond, maxLimitRetryAfter.Seconds())
		shortage.retryAfter = time.Duration(math.Ceil(wait*1000)) * time.Millisecond
	}
	return shortage, false
}

// recordDemand adds a request to the customer's recent rate of requested units.
func (l *customerLimits) recordDemand(customer string, cost int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(customer, now).requested.add(now, float64(cost))
}

// bucket returns the bucket of a customer, and adds one if there is none.
func (l *customerLimits) bucket(customer string, now time.Time) *tokenBucket {
	bucket := l.byCustomer[customer]
	if bucket == nil {
		bucket = &tokenBucket{requested: rate{updatedAt: now}}
		l.byCustomer[customer] = bucket
	}
	return bucket
}

// returnUnits returns the units of a request that did not run to the customer's bucket.
func (l *customerLimits) returnUnits(customer string, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bucket := l.byCustomer[customer]; bucket != nil {
		bucket.level += float64(cost)
		bucket.spentUnits -= cost
	}
}

// Usage returns the units that each customer spent and recently requested on this VM.
func (s *Server) Usage() map[string]afkeeper.CustomerUsage {
	s.init()
	l := &s.limits
	now := s.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]afkeeper.CustomerUsage, len(l.byCustomer))
	for name, bucket := range l.byCustomer {
		bucket.requested.decayTo(now)
		out[name] = afkeeper.CustomerUsage{SpentUnits: bucket.spentUnits, RequestedUnitRate: int64(bucket.requested.unitsPerSecond)}
	}
	return out
}

// SetGrants sets this VM's shares of the customers' limits. A customer that is not named has no share. The level of a
// bucket is reduced by the units spent since the use on which the grant is based.
func (s *Server) SetGrants(grants map[string]afkeeper.LimitGrant) {
	s.init()
	l := &s.limits
	now := s.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantedAt = now
	for name, bucket := range l.byCustomer {
		if _, isGranted := grants[name]; !isGranted {
			bucket.level, bucket.grantedShare, bucket.filledAt = min(bucket.level, 0), 0, now
		}
	}
	for name, grant := range grants {
		bucket := l.bucket(name, now)
		bucket.level = float64(grant.AvailableUnits - (bucket.spentUnits - grant.ReportedSpentUnits))
		bucket.grantedShare, bucket.filledAt = grant.RateFraction, now
	}
}
