package afgateway

import (
	"math"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// rateTimeConstant is the time constant of the exponential averages, since demand moves between models within
	// seconds.
	rateTimeConstant = 4 * time.Second
	// sessionTimeout is how long the endpoint of a session is kept after its latest prompt, once maxSessions are kept.
	sessionTimeout = 20 * time.Second
	// maxSessions bounds the sessions whose endpoints are kept.
	maxSessions = 4096
)

// demandKey identifies a model, or an adapter of a model.
type demandKey struct{ model, adapter string }

// demandRates holds the recent rates of requests by model and adapter.
type demandRates struct {
	mu      sync.Mutex
	byModel map[demandKey]*rate
}

// rate holds exponential averages of the number of events and of the units that come with them.
type rate struct {
	updatedAt       time.Time
	eventsPerSecond float64
	unitsPerSecond  float64
}

// add adds one event with its units to the averages.
func (r *rate) add(now time.Time, units float64) {
	r.decayTo(now)
	r.eventsPerSecond += 1 / rateTimeConstant.Seconds()
	r.unitsPerSecond += units / rateTimeConstant.Seconds()
}

// decayTo reduces the averages by the time since their last update.
func (r *rate) decayTo(now time.Time) {
	factor := math.Exp(-now.Sub(r.updatedAt).Seconds() / rateTimeConstant.Seconds())
	r.eventsPerSecond *= factor
	r.unitsPerSecond *= factor
	r.updatedAt = now
}

// recordRequest adds a request and its prompt tokens to the rates of its model and adapter.
func (d *demandRates) recordRequest(model, adapter string, promptTokens int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := demandKey{model, adapter}
	r := d.byModel[k]
	if r == nil {
		r = &rate{updatedAt: now}
		d.byModel[k] = r
	}
	r.add(now, float64(promptTokens))
}

// Demand returns the demand for each model and adapter by requests of this VM: the waiting requests, and the rates of
// requests and of prompt tokens.
func (s *Server) Demand() []afassign.Demand {
	s.init()
	now := s.Timer.Now()
	waitingByModel := s.queue.countByModel(now)
	s.demandRates.mu.Lock()
	defer s.demandRates.mu.Unlock()
	out := make([]afassign.Demand, 0, len(s.demandRates.byModel))
	for k, r := range s.demandRates.byModel {
		r.decayTo(now)
		w := waitingByModel[k]
		const minRate = 0.01 // A lower rate than one request in 100 s is not significant.
		if r.eventsPerSecond < minRate && w.requests == 0 {
			delete(s.demandRates.byModel, k)
			continue
		}
		delete(waitingByModel, k)
		out = append(out, afassign.Demand{
			Model: k.model, Adapter: k.adapter, WaitingRequests: w.requests, OnTimeRequests: w.withinTarget, LongestWait: w.oldestAge, RequestRate: r.eventsPerSecond, PromptTokenRate: r.unitsPerSecond,
		})
	}
	for k, w := range waitingByModel {
		out = append(out, afassign.Demand{Model: k.model, Adapter: k.adapter, WaitingRequests: w.requests, OnTimeRequests: w.withinTarget, LongestWait: w.oldestAge})
	}
	return out
}

// DispatchWaiting assigns endpoints to waiting requests. It is called after the state of the endpoints has changed.
func (s *Server) DispatchWaiting() { s.queue.dispatch() }

// loadDelays holds the expected times at which models that no engine has loaded will be loaded, or their earliest
// possible times.
type loadDelays struct {
	mu              sync.Mutex
	loadedAtByModel map[string]time.Time
}

// SetLoadDelays sets the expected times until models are loaded, or the earliest possible ones, and dispatches
// waiting requests.
func (s *Server) SetLoadDelays(delays map[string]time.Duration) {
	now := s.Timer.Now()
	loadedAtByModel := make(map[string]time.Time, len(delays))
	for model, delay := range delays {
		loadedAtByModel[model] = now.Add(delay)
	}
	s.loadDelays.mu.Lock()
	s.loadDelays.loadedAtByModel = loadedAtByModel
	s.loadDelays.mu.Unlock()
	s.DispatchWaiting()
}

// loadedAt returns the expected time at which a model will be loaded. It returns false if the time is unknown.
func (d *loadDelays) loadedAt(model string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.loadedAtByModel[model]
	return t, ok
}

// session holds the endpoint that read the latest prompt of a session.
type session struct {
	endpointID string
	usedAt     time.Time
}

// sessions holds the sessions by the key that sessionKey returns.
type sessions struct {
	mu    sync.Mutex
	byKey map[string]session
}

// sessionKey returns the key of the session to which a request belongs, which is the last part of its prompt, or an
// empty string.
func sessionKey(headers RequestHeaders) string {
	if len(headers.PromptParts) == 0 {
		return ""
	}
	return headers.Model + "/" + headers.Adapter + "/" + headers.PromptParts[len(headers.PromptParts)-1].ID
}

// findEndpoint returns the ID of the endpoint that read the latest prompt of the session, or an empty string.
func (s *sessions) findEndpoint(headers RequestHeaders) string {
	key := sessionKey(headers)
	if key == "" {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key].endpointID
}

// recordEndpoint records the endpoint that read the latest prompt of the session. If there are too many sessions, it
// removes those past sessionTimeout, and all sessions if too many remain.
func (s *sessions) recordEndpoint(headers RequestHeaders, endpointID string, now time.Time) {
	key := sessionKey(headers)
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byKey) >= maxSessions {
		for k, old := range s.byKey {
			if now.Sub(old.usedAt) > sessionTimeout {
				delete(s.byKey, k)
			}
		}
		if len(s.byKey) >= maxSessions {
			clear(s.byKey)
		}
	}
	s.byKey[key] = session{endpointID, now}
}

// isStream reports whether the route's responses are relayed event by event.
func isStream(r afroute.Route) bool { return r.Kind == afroute.KindStreaming }
