package afgateway

import (
	"maps"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// durationWindow is how long the slowest answer of a route counts, and up to as long again.
	durationWindow = time.Minute
	// durationFactor times the slowest recent answer of a route is how long a further one may take.
	durationFactor = 1.25
	// minAnswers is the number of recent answers of a route below which the slowest of them says too little.
	minAnswers = 8
)

// slowestAnswers is the number of a route's answers and the duration of the slowest, in the present window and in the one
// before. It is immutable.
type slowestAnswers struct {
	windowStartedAt             time.Time
	present, previous           time.Duration
	presentCount, previousCount int
}

// withAnswer returns the value after an answer that ended at now and took d.
func (a slowestAnswers) withAnswer(d time.Duration, now time.Time) slowestAnswers {
	switch age := now.Sub(a.windowStartedAt); {
	case age >= 2*durationWindow:
		a = slowestAnswers{windowStartedAt: now}
	case age >= durationWindow:
		a = slowestAnswers{windowStartedAt: now, previous: a.present, previousCount: a.presentCount}
	}
	a.present = max(a.present, d)
	a.presentCount++
	return a
}

// latestEnd returns by when a request that is sent now has probably ended, at the latest by its deadline.
func (a slowestAnswers) latestEnd(deadline, now time.Time) time.Time {
	if a.presentCount+a.previousCount < minAnswers || now.Sub(a.windowStartedAt) >= 2*durationWindow {
		return deadline
	}
	if end := now.Add(time.Duration(durationFactor * float64(max(a.present, a.previous)))); end.Before(deadline) {
		return end
	}
	return deadline
}

// stopState holds when the process ends and how long answers take, by which it is decided which requests are still taken.
type stopState struct {
	mu sync.Mutex
	// abortAt is when requests in progress are aborted. It is zero while no stop was announced.
	abortAt time.Time
	// slowestByRoute holds the slowest answers by the name of the route.
	slowestByRoute map[string]slowestAnswers
}

// recordAnswer records how long the answer to a request of a route took, without the wait for an endpoint.
func (s *stopState) recordAnswer(route string, d time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowestByRoute == nil {
		s.slowestByRoute = make(map[string]slowestAnswers)
	}
	if _, isKnown := s.slowestByRoute[route]; !isKnown {
		// The route may be the new name of another one.
		maps.DeleteFunc(s.slowestByRoute, func(_ string, a slowestAnswers) bool { return now.Sub(a.windowStartedAt) >= 2*durationWindow })
	}
	s.slowestByRoute[route] = s.slowestByRoute[route].withAnswer(d, now)
}

// mayOutlast reports whether a request of a route that is sent now may be in progress when requests are aborted.
func (s *stopState) mayOutlast(route string, deadline, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.abortAt.IsZero() && s.slowestByRoute[route].latestEnd(deadline, now).After(s.abortAt)
}

// AnnounceStop makes the server refuse requests as not run that may not end before AbortRunningRequests is called at the given
// time. Other requests are taken until RefuseNewRequests.
func (s *Server) AnnounceStop(abortAt time.Time) {
	s.stop.mu.Lock()
	defer s.stop.mu.Unlock()
	s.stop.abortAt = abortAt
}

// refuseBeforeStop returns the refusal of a request that no endpoint has run and that may not end before the process does, or nil.
func (p *proxiedRequest) refuseBeforeStop() *arbutusfork.Refusal {
	if !p.server.stop.mayOutlast(p.route.Name, p.deadline, p.server.Timer.Now()) {
		return nil
	}
	p.caller.CloseAfterResponse() // The caller's next request is to reach another VM.
	return newRefusal(arbutusfork.CodeShuttingDown, "the server stops before the request would end", stopRetryAfter)
}
