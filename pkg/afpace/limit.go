// Package afpace keeps the requests that all VMs send to an endpoint within a limit that the endpoint names in its answers.
//
// One VM paces the requests to an endpoint: it gives out slots, which are instants at which one request may be sent. Others
// ask it for a slot before they send. While it does not answer, a substitute gives out slots at half the rate, so that both
// together, should they work at the same time, stay within one and a half times the limit.
package afpace

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// maxLimits bounds the endpoints whose limits are known. The limits that were named longest ago are dropped first.
	maxLimits = 4096
	// limitTimeout is how long a limit holds without another answer of the endpoint. A rarely used endpoint may get no request
	// for minutes. An endpoint that has lifted its limit says so in its next answer, since it still gets requests.
	limitTimeout = 10 * time.Minute
	// relevantChange is the fraction by which a limit must change to be a new fact for other VMs, and refreshInterval is the
	// time after which an unchanged limit is one.
	relevantChange  = 0.1
	refreshInterval = time.Minute
)

// Limit is what an endpoint said about its limit in its latest answer.
type Limit struct {
	// PerSecond is the number of requests a second that the endpoint takes. Zero means that the limit was lifted.
	PerSecond float64
	// NamedAt is when the answer arrived. On other VMs it is later by the delay of the messages.
	NamedAt time.Time
	// Number orders the answers of an endpoint, since the times of late messages do not: an answer has a higher one than all that the
	// VM that got it knew. It is 0 for answers from VMs of earlier builds.
	Number int64
}

// Interval returns the time between two requests at the limit.
func (l Limit) Interval() time.Duration { return interval(l.PerSecond) }

// interval returns the time between two requests at a rate, at most a minute.
func interval(perSecond float64) time.Duration {
	return time.Duration(min(float64(time.Second)/max(perSecond, 1e-9), float64(time.Minute)))
}

// Limits holds the limits of all endpoints that named one. It is immutable; the With methods return changed copies.
type Limits struct {
	byEndpoint map[afengine.EndpointStart]Limit
}

// Limit returns the limit of an endpoint. It returns false if there is none.
func (l Limits) Limit(e afengine.EndpointStart, now time.Time) (Limit, bool) {
	limit, ok := l.byEndpoint[e]
	return limit, ok && limit.PerSecond > 0 && now.Sub(limit.NamedAt) < limitTimeout
}

// ByEndpoint returns what the endpoints named latest, including limits that were lifted. The caller must not change the map.
func (l Limits) ByEndpoint() map[afengine.EndpointStart]Limit { return l.byEndpoint }

// Digest returns a hash of the endpoints that have a limit. It does not depend on the limits themselves, of which VMs may
// know slightly different values. It is 0 if no endpoint has a limit.
func (l Limits) Digest(now time.Time) uint64 {
	sum := uint64(0)
	for e := range l.byEndpoint {
		if _, isLimited := l.Limit(e, now); isLimited {
			sum += xxhash.Sum64String(e.Endpoint + "\x00" + strconv.FormatInt(e.StartUnixMs, 10))
		}
	}
	return sum
}

// Knows reports whether the endpoint named a limit lately, which may have been lifted.
func (l Limits) Knows(e afengine.EndpointStart) bool {
	_, ok := l.byEndpoint[e]
	return ok
}

// WithOwnAnswer returns the limits after this VM got an answer of an endpoint, as WithAnswers does.
func (l Limits) WithOwnAnswer(e afengine.EndpointStart, perSecond float64, now time.Time) (changed Limits, news map[afengine.EndpointStart]Limit) {
	number := max(l.byEndpoint[e].Number+1, now.UnixMilli())
	return l.WithAnswers(map[afengine.EndpointStart]Limit{e: {PerSecond: perSecond, NamedAt: now, Number: number}}, now)
}

// WithAnswers returns the limits after answers of endpoints that named a limit, or none if PerSecond is zero. Answers may be
// reported in any order. It also returns those of which other VMs should learn.
func (l Limits) WithAnswers(named map[afengine.EndpointStart]Limit, now time.Time) (changed Limits, news map[afengine.EndpointStart]Limit) {
	news = make(map[afengine.EndpointStart]Limit)
	for e, limit := range named {
		if now.Sub(limit.NamedAt) < limitTimeout && l.isNews(e, limit) {
			news[e] = limit
		}
	}
	if len(news) == 0 {
		return l, nil
	}
	changed.byEndpoint = make(map[afengine.EndpointStart]Limit, len(l.byEndpoint)+len(news))
	maps.Copy(changed.byEndpoint, l.byEndpoint)
	maps.Copy(changed.byEndpoint, news)
	changed.dropOldest(now)
	// VMs that pass on what they do not keep would do so for ever.
	maps.DeleteFunc(news, func(e afengine.EndpointStart, _ Limit) bool { return !changed.Knows(e) })
	return changed, news
}

// isNews reports whether other VMs should learn of an answer of an endpoint.
func (l Limits) isNews(e afengine.EndpointStart, limit Limit) bool {
	known, isKnown := l.byEndpoint[e]
	switch {
	case !isKnown:
		return limit.PerSecond > 0
	case !limit.isLater(known):
		return false
	}
	return isRelevant(known.PerSecond, limit.PerSecond) || limit.PerSecond > 0 && limit.NamedAt.Sub(known.NamedAt) >= refreshInterval
}

// isLater reports whether the answer with the limit was given after that with another one.
func (l Limit) isLater(other Limit) bool {
	if l.Number == 0 || other.Number == 0 {
		return l.NamedAt.After(other.NamedAt)
	}
	return l.Number > other.Number
}

// isRelevant reports whether two limits differ by more than relevantChange.
func isRelevant(a, b float64) bool {
	return (a == 0) != (b == 0) || max(a, b)-min(a, b) > relevantChange*max(a, b)
}

// dropOldest removes the limits that have expired, and the oldest ones if there are too many. The map must not be shared.
func (l Limits) dropOldest(now time.Time) {
	maps.DeleteFunc(l.byEndpoint, func(_ afengine.EndpointStart, limit Limit) bool { return now.Sub(limit.NamedAt) >= limitTimeout })
	if len(l.byEndpoint) <= maxLimits {
		return
	}
	oldestFirst := slices.SortedFunc(maps.Keys(l.byEndpoint), func(a, b afengine.EndpointStart) int {
		return l.byEndpoint[a].NamedAt.Compare(l.byEndpoint[b].NamedAt)
	})
	for _, e := range oldestFirst[:len(oldestFirst)-maxLimits] {
		delete(l.byEndpoint, e)
	}
}
