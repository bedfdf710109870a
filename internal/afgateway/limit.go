package afgateway

import (
	"math"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afkeeper"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// grantLife is how long the holder's grant counts. After it each VM keeps to an equal part.
	grantLife = 2 * time.Second
	// maxLimitWait bounds Retry-After for a customer above its limit.
	maxLimitWait = 5 * time.Second
	// startLevel is the part of its bucket with which a VM starts. A VM that restarts has forgotten what it spent, but
	// did not spend while it was down.
	startLevel = 0.6
)

// limits holds this VM's part of the customers' limits.
type limits struct {
	mu      sync.Mutex
	m       map[string]*allowance
	granted time.Time
}

// allowance is a token bucket with this VM's part of a customer's rate and burst.
type allowance struct {
	level float64
	at    time.Time
	// part is the granted part of the rate.
	part float64
	// spent counts what was spent since the start.
	spent int64
	asked rate
}

// shortage tells why a request does not fit a customer's limit.
type shortage struct {
	// after is the time until there should be enough.
	after time.Duration
	// cost and level are in the customer's units, perSecond is this VM's part of the rate.
	cost             int64
	level, perSecond float64
	// granted is the age of the holder's grant.
	granted time.Duration
}

// take reserves cost units, or returns why it cannot. Without fresh grants this VM uses the given part of the limit.
func (l *limits) take(c afroute.Customer, cost int64, equal float64, now time.Time) (shortage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(c.Name, now)
	part, burst := a.part, float64(c.Burst)
	if part <= 0 || now.Sub(l.granted) > grantLife {
		part, burst = equal, equal*burst
	}
	// A request above the part of one VM must fit into a full bucket, or large requests would never run.
	burst = max(burst, min(float64(cost), float64(c.Burst)))
	perSecond := part * float64(c.RatePerSecond)
	if a.at.IsZero() {
		a.level, a.at = startLevel*equal*float64(c.Burst), now
	}
	a.asked.add(now, float64(cost))
	a.level = min(a.level+perSecond*now.Sub(a.at).Seconds(), burst)
	a.at = now
	if a.level >= float64(cost) {
		a.level -= float64(cost)
		a.spent += cost
		return shortage{}, true
	}
	short := shortage{after: maxLimitWait, cost: cost, level: a.level, perSecond: perSecond, granted: now.Sub(l.granted)}
	if perSecond > 0 {
		wait := min((float64(cost)-a.level)/perSecond, maxLimitWait.Seconds())
		short.after = time.Duration(math.Ceil(wait*1000)) * time.Millisecond
	}
	return short, false
}

func (l *limits) account(customer string, now time.Time) *allowance {
	a := l.m[customer]
	if a == nil {
		a = &allowance{asked: rate{at: now}}
		l.m[customer] = a
	}
	return a
}

// put returns units of a request that did not run.
func (l *limits) put(customer string, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.m[customer]; a != nil {
		a.level += float64(cost)
		a.spent -= cost
	}
}

// Usage returns what the customers spent and asked for on this VM.
func (s *Server) Usage() map[string]afkeeper.CustomerUsage {
	s.init()
	l := &s.limits
	now := s.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]afkeeper.CustomerUsage, len(l.m))
	for name, a := range l.m {
		a.asked.decay(now)
		out[name] = afkeeper.CustomerUsage{SpentUnits: a.spent, RequestedUnitRate: int64(a.asked.units)}
	}
	return out
}

// SetGrants takes this VM's part of each customer's limit.
func (s *Server) SetGrants(grants map[string]afkeeper.LimitGrant) {
	s.init()
	l := &s.limits
	now := s.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted = now
	for name, g := range grants {
		a := l.account(name, now)
		a.level = float64(g.AvailableUnits - (a.spent - g.ReportedSpentUnits))
		a.part, a.at = g.RateFraction, now
	}
}
