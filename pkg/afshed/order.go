package afshed

import (
	"cmp"
	"math"
	"time"
)

const (
	// promotionTime is how long before its expiry a request of a kind that is served too little goes first. Streams run for 4 to 10 s at
	// engines with 32 places or more, so that a place becomes free at some engine several times a second.
	promotionTime = time.Second
	// minServedShare is the part of the requests of a less urgent kind that is served in any case, in relation to that of the more
	// urgent ones, so that it does not starve.
	minServedShare = 0.25
	// servedTime is the time constant of the averages of what is served. A VM of a large fleet gets 3 requests a second.
	servedTime = 10 * time.Second
)

// Request is a request that waits for a place at an endpoint.
type Request struct {
	// Priority is the kind of the request. Zero is the most urgent.
	Priority  int
	ArrivedAt time.Time
	// StartBy is until when the request must get a place to meet its target.
	StartBy time.Time
	// ExpiresAt is when the wait is over, since the caller would leave before the answer.
	ExpiresAt time.Time
	// Work is the number of tokens of the prompt and the largest output.
	Work int64
	// IsStarted means that an endpoint has begun to answer the request or is silent, so that it needs another one at once. It never
	// counts as late.
	IsStarted bool
}

// Served holds how many requests of each kind got a place lately. The zero value knows of none. It is not safe for concurrent use.
type Served struct {
	byPriority map[int]servedKind
}

// servedKind holds decaying counts of requests that got a place and of all that ended their wait.
type servedKind struct{ served, ended decayingCount }

// decayingCount is a count in which an event weighs less with its age.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (c decayingCount) at(now time.Time) float64 {
	return c.value * math.Exp(-max(now.Sub(c.updatedAt), 0).Seconds()/servedTime.Seconds())
}

func (c decayingCount) withEvent(now time.Time) decayingCount {
	return decayingCount{value: c.at(now) + 1, updatedAt: now}
}

// Record records whether a request got a place.
func (s *Served) Record(priority int, isServed bool, now time.Time) {
	if s.byPriority == nil {
		s.byPriority = make(map[int]servedKind)
	}
	k := s.byPriority[priority]
	k.ended = k.ended.withEvent(now)
	if isServed {
		k.served = k.served.withEvent(now)
	}
	s.byPriority[priority] = k
}

// Order compares requests at one time.
type Order struct {
	now time.Time
	// promoted holds the kinds whose requests go first shortly before they expire.
	promoted map[int]bool
}

// Order returns the order of requests at a time. A kind is promoted if less than minServedShare of what is served of a more urgent one
// is served of it.
func (s *Served) Order(now time.Time) Order {
	o := Order{now: now}
	for priority, k := range s.byPriority {
		for other, kind := range s.byPriority {
			if other < priority && k.share(now) < minServedShare*kind.share(now) {
				if o.promoted == nil {
					o.promoted = make(map[int]bool)
				}
				o.promoted[priority] = true
			}
		}
	}
	return o
}

// share returns the part of the requests that got a place.
func (k servedKind) share(now time.Time) float64 {
	ended := k.ended.at(now)
	if ended < 1 {
		return 1
	}
	return k.served.at(now) / ended
}

// The groups of requests, in the order in which they are served.
const (
	// groupStarving are requests of promoted kinds that expire soon.
	groupStarving = iota
	// groupDue are requests that can still meet their target, and late ones that expire soon.
	groupDue
	groupLate
)

// group returns the group of a request, and whether it cannot meet its target any more.
func (o Order) group(r Request) (group int, isLate bool) {
	isLate = !r.IsStarted && r.StartBy.Before(o.now)
	expiresSoon := r.ExpiresAt.Sub(o.now) < promotionTime
	switch {
	case expiresSoon && o.promoted[r.Priority]:
		return groupStarving, isLate
	case isLate && !expiresSoon:
		return groupLate, isLate
	}
	return groupDue, isLate
}

// Rank returns the rank of a request.
func (o Order) Rank(r Request) Rank {
	_, isLate := o.group(r)
	return Rank{Priority: r.Priority, IsLate: isLate, IsPromoted: o.promoted[r.Priority]}
}

// Compare returns a negative number if a is served before b, among requests that wait for the same capacity. Requests of a kind that
// starves go first when they expire soon. Then come requests that can still meet their target or that expire soon, the more urgent
// kind first and within a kind those that can meet their target, and then the other late ones. Among equals, the least time left goes
// first, and then the smaller work.
func (o Order) Compare(a, b Request) int {
	groupOfA, isLate := o.group(a)
	groupOfB, isOtherLate := o.group(b)
	due := func(r Request) time.Time {
		if isLate {
			return r.ExpiresAt
		}
		return r.StartBy
	}
	return cmp.Or(
		cmp.Compare(groupOfA, groupOfB), cmp.Compare(a.Priority, b.Priority), compareBools(isLate, isOtherLate), due(a).Compare(due(b)),
		cmp.Compare(a.Work, b.Work), a.ArrivedAt.Compare(b.ArrivedAt),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
