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
	// forgetFullTime is the time after which a refusal says nothing any more.
	forgetFullTime = 4 * maxFullTime
)

// fullEndpoint is what a VM knows of an endpoint that refused a request because it was full. An endpoint's load by other VMs is known
// only some time later. A fullEndpoint is immutable.
type fullEndpoint struct {
	// ownRequests is the number of this VM's requests at the endpoint beside the one that it refused.
	ownRequests int
	// tokens is the size of the smallest request that it refused. It may have room for smaller ones.
	tokens    int64
	refusedAt time.Time
	// fullTime is the time after which one more request may be sent.
	fullTime time.Duration
}

// withRefusal returns the state after one more refusal of a request with so many tokens.
func (f fullEndpoint) withRefusal(ownRequests int, tokens int64, now time.Time) fullEndpoint {
	fullTime := min(max(2*f.fullTime, firstFullTime), maxFullTime)
	if now.Sub(f.refusedAt) < f.fullTime {
		fullTime = f.fullTime // The request was sent before the endpoint was known to be full, or is smaller.
	}
	if f.fullTime > 0 && now.Sub(f.refusedAt) < forgetFullTime {
		tokens = min(tokens, f.tokens)
	}
	return fullEndpoint{ownRequests: ownRequests, tokens: tokens, refusedAt: now, fullTime: fullTime}
}

// isFull reports whether the endpoint would probably refuse a request with so many tokens beside this VM's requests there.
func (f fullEndpoint) isFull(ownRequests int, tokens int64, now time.Time) bool {
	if f.fullTime <= 0 || tokens < f.tokens {
		return false
	}
	return ownRequests >= f.ownRequests+int(now.Sub(f.refusedAt)/f.fullTime)
}

// fullKey is an endpoint from its start to its end, and the model for which it refused: while it loads or unloads one, it serves others.
type fullKey struct {
	start          afengine.EndpointStart
	model, adapter string
}

// fullEndpoints holds the endpoints that refused a request because they were full.
type fullEndpoints struct {
	mu    sync.Mutex
	byKey map[fullKey]fullEndpoint
}

// add records a refusal and returns the state of the endpoint.
func (f *fullEndpoints) add(k fullKey, ownRequests int, tokens int64, now time.Time) fullEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byKey == nil {
		f.byKey = make(map[fullKey]fullEndpoint)
	}
	for other, e := range f.byKey {
		if now.Sub(e.refusedAt) > forgetFullTime {
			delete(f.byKey, other)
		}
	}
	f.byKey[k] = f.byKey[k].withRefusal(ownRequests, tokens, now)
	return f.byKey[k]
}

// get returns the state of an endpoint.
func (f *fullEndpoints) get(k fullKey) fullEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byKey[k]
}

// recordAnswer records that an endpoint took a request that was sent at a time.
func (f *fullEndpoints) recordAnswer(k fullKey, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byKey) > 0 && sentAt.After(f.byKey[k].refusedAt) {
		delete(f.byKey, k)
	}
}

// fullKey returns the key of an endpoint for the request's model.
func (p *proxiedRequest) fullKey(e afroster.Endpoint) fullKey {
	return fullKey{e.Start(), p.headers.Model, p.headers.Adapter}
}

// recordFull records that an endpoint refused the request, which the roster does not count any more.
func (p *proxiedRequest) recordFull(e afroster.Endpoint) {
	s, k := p.server, p.fullKey(e)
	state := s.full.add(k, s.Roster.OwnRequests(e.ID), p.headers.PromptTokens+p.headers.MaxOutputTokens, s.Timer.Now())
	s.dispatchWhenRoomMayBe(k, state, state.fullTime)
}

// dispatchWhenRoomMayBe dispatches the waiting requests each time that one more may be sent to a full endpoint. That changes nothing in
// the roster, so that the queue would not try again.
func (s *Server) dispatchWhenRoomMayBe(k fullKey, state fullEndpoint, after time.Duration) {
	s.Timer.CallAfter(after, func(now time.Time) {
		if s.full.get(k) != state || now.Sub(state.refusedAt) > forgetFullTime {
			return
		}
		go s.DispatchWaiting() // It may take as long as the search of all waiting requests.
		s.dispatchWhenRoomMayBe(k, state, state.fullTime)
	})
}

// isPausedOrFull reports whether the endpoint should not get the request now.
func (p *proxiedRequest) isPausedOrFull(e afroster.Endpoint) bool {
	s := p.server
	return s.isPaused(e) || s.full.get(p.fullKey(e)).isFull(e.OwnLoad.Requests, p.headers.PromptTokens+p.headers.MaxOutputTokens, s.Timer.Now())
}
