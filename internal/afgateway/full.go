package afgateway

import (
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
)

const (
	// firstFullTime and maxFullTime bound the time after which one more request is sent to an endpoint that refused the latest one. The
	// time doubles with each refusal in a row, since each refused request costs a retry of the budget.
	firstFullTime = 150 * time.Millisecond
	maxFullTime   = 1200 * time.Millisecond
)

// fullEndpoint is what a VM knows of an endpoint that refused a request because it was full. An endpoint's load by other VMs is known
// only some time later. A fullEndpoint is immutable.
type fullEndpoint struct {
	// ownRequests is the number of this VM's requests at the endpoint beside the one that it refused.
	ownRequests int
	refusedAt   time.Time
	// fullTime is the time after which one more request may be sent.
	fullTime time.Duration
}

// withRefusal returns the state after one more refusal.
func (f fullEndpoint) withRefusal(ownRequests int, now time.Time) fullEndpoint {
	fullTime := min(max(2*f.fullTime, firstFullTime), maxFullTime)
	if now.Sub(f.refusedAt) < f.fullTime {
		fullTime = f.fullTime // The request was sent before the endpoint was known to be full.
	}
	return fullEndpoint{ownRequests: ownRequests, refusedAt: now, fullTime: fullTime}
}

// isFull reports whether the endpoint would probably refuse one more request beside this VM's requests there.
func (f fullEndpoint) isFull(ownRequests int, now time.Time) bool {
	if f.fullTime <= 0 {
		return false
	}
	return ownRequests >= f.ownRequests+int(now.Sub(f.refusedAt)/f.fullTime)
}

// fullEndpoints holds the endpoints that refused a request because they were full.
type fullEndpoints struct {
	mu      sync.Mutex
	byStart map[afengine.EndpointStart]fullEndpoint
}

// recordRefusal records that an endpoint refused a request, which the roster does not count any more.
func (f *fullEndpoints) recordRefusal(s *Server, e afroster.Endpoint) {
	now, own := s.Timer.Now(), s.Roster.OwnRequests(e.ID)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byStart == nil {
		f.byStart = make(map[afengine.EndpointStart]fullEndpoint)
	}
	for start, other := range f.byStart {
		if now.Sub(other.refusedAt) > 4*maxFullTime {
			delete(f.byStart, start)
		}
	}
	next := f.byStart[e.Start()].withRefusal(own, now)
	f.byStart[e.Start()] = next
	// The end of the time changes nothing in the roster, so that the queue would not try again.
	s.Timer.CallAfter(next.fullTime, func(time.Time) { s.DispatchWaiting() })
}

// recordAnswer records that an endpoint took a request that was sent at a time.
func (f *fullEndpoints) recordAnswer(e afroster.Endpoint, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byStart) > 0 && sentAt.After(f.byStart[e.Start()].refusedAt) {
		delete(f.byStart, e.Start())
	}
}

// isFull reports whether an endpoint would probably refuse a request.
func (f *fullEndpoints) isFull(e afroster.Endpoint, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byStart) > 0 && f.byStart[e.Start()].isFull(e.OwnLoad.Requests, now)
}

// isPausedOrFull reports whether the endpoint should get no request now.
func (s *Server) isPausedOrFull(e afroster.Endpoint) bool {
	return s.isPaused(e) || s.full.isFull(e, s.Timer.Now())
}
