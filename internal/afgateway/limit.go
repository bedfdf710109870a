package afgateway

import (
	"math"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// shareLife is how long the holder's division of the limits counts. After it each VM keeps to an equal part.
	shareLife = 2 * time.Second
	// maxLimitWait bounds Retry-After for a customer above its limit.
	maxLimitWait = 5 * time.Second
	// startLevel is the part of a bucket with which a VM starts. A VM that restarts has forgotten what it spent.
	startLevel = 0.3
)

// limits holds this VM's part of the customers' limits.
type limits struct {
	mu     sync.Mutex
	m      map[string]*allowance
	shares map[string]float64
	shared time.Time
}

// allowance is a token bucket with this VM's part of a customer's rate and burst.
type allowance struct {
	level float64
	at    time.Time
	// burst and rate are the parts at the last use.
	burst, rate float64
	asked       rate
}

// part returns this VM's part of a customer's limit.
func (l *limits) part(customer string, listed int, now time.Time) float64 {
	if p, ok := l.shares[customer]; ok && now.Sub(l.shared) < shareLife {
		return p
	}
	return 1 / float64(max(listed, 1))
}

// take reserves cost units, or returns the time after which they should be there.
func (l *limits) take(c afroute.Customer, cost int64, listed int, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := l.part(c.Name, listed, now)
	burst, perSecond := part*float64(c.Burst), part*float64(c.Rate)
	// A request above the part of one VM must fit into a full bucket, or large requests would never run.
	burst = max(burst, min(float64(cost), float64(c.Burst)))
	a := l.m[c.Name]
	if a == nil {
		a = &allowance{level: startLevel * burst, at: now, asked: rate{at: now}}
		l.m[c.Name] = a
	}
	a.asked.add(now, float64(cost))
	a.level = min(a.level+perSecond*now.Sub(a.at).Seconds(), burst)
	a.at, a.burst, a.rate = now, burst, perSecond
	if a.level >= float64(cost) {
		a.level -= float64(cost)
		return 0, true
	}
	if perSecond <= 0 {
		return maxLimitWait, false
	}
	wait := time.Duration(math.Min((float64(cost)-a.level)/perSecond, maxLimitWait.Seconds()) * float64(time.Second))
	return wait, false
}

// put returns units of a request that did not run.
func (l *limits) put(customer string, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.m[customer]; a != nil {
		a.level = min(a.level+float64(cost), a.burst)
	}
}

func (l *limits) usage(now time.Time) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.m))
	for name, a := range l.m {
		a.asked.decay(now)
		if n := int64(a.asked.units); n > 0 {
			out[name] = n
		}
	}
	return out
}

// SetShares takes this VM's part of each customer's limit.
func (s *Server) SetShares(shares map[string]float64) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	s.limits.shares, s.limits.shared = shares, s.Timer.Now()
}
