package afgateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afpace"
	"arbutusfork.example/arbutusfork/pkg/afshed"
)

// acquiredEndpoint is an endpoint whose load already includes the request that acquired it.
type acquiredEndpoint struct {
	afroster.Endpoint
	request *afroster.RunningRequest
	// retryAt is when a retry of the budget was taken for a second attempt at the endpoint, or zero.
	retryAt time.Time
}

// waitingRequest is a request that waits for an endpoint.
type waitingRequest struct {
	service, model, adapter string
	// regions names the allowed regions. A request that may use only some endpoints does not keep others from the rest.
	regions string
	// order is what decides when its turn is.
	order afshed.Request
	// targetLatency is the intended time from the arrival to the first event or the response.
	targetLatency time.Duration
	// pickEndpoint returns an endpoint that can serve the request now. The caller holds the lock of the queue.
	pickEndpoint func() (acquiredEndpoint, bool)
	// acquired receives the endpoint that was assigned while the request waited.
	acquired chan acquiredEndpoint
	// isUnservable reports whether the request certainly cannot be served in time.
	isUnservable func() bool
	// shed is set before unservable is closed, if the request was refused because too many wait before it.
	shed afshed.Decision
	// unservable is closed if the request becomes unservable while it waits.
	unservable chan struct{}
	// isSecondAttempt means that the request is at a silent endpoint and waits for a place at another one. It does not keep later requests
	// from endpoints that it cannot use, and is not counted as waiting.
	isSecondAttempt bool
	// isRestricted means that the request cannot use all endpoints that others of its class can, so that these do not wait behind it. That
	// holds after a failure at an endpoint, and where requests leave starts at engines to urgent ones.
	isRestricted bool
	// needsStart means that the endpoint may still deny the request a start, so that it has a place only when recordStart is called.
	needsStart bool
	// silentEndpoint is the endpoint of the first live attempt of such a request, and empty for others.
	silentEndpoint string
}

// maxFailedPicks bounds how many requests of a class that can use fewer endpoints than others are tried in one dispatch, since each
// one searches all endpoints.
const maxFailedPicks = 8

// requestClass identifies the requests that wait for the same capacity.
type requestClass struct{ service, model, adapter, regions, silentEndpoint string }

// waitingQueue holds the requests that wait for an endpoint. Requests may overtake others that wait for another model.
type waitingQueue struct {
	now      func() time.Time
	mu       sync.Mutex
	requests []*waitingRequest
	// served holds how many requests of each kind got a place, by service.
	served map[string]*afshed.Served
	// departures holds how fast waiting requests get a place, for each class for which requests wait.
	departures map[requestClass]*afshed.Departures
	// slotWaiters are requests that wait for a slot of the endpoint that was chosen for them.
	slotWaiters map[*waitingRequest]bool
}

// addSlotWaiter adds a request that waits for a slot to those that countByModel counts, until the returned function is called.
func (q *waitingQueue) addSlotWaiter(request *waitingRequest) (remove func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.slotWaiters == nil {
		q.slotWaiters = make(map[*waitingRequest]bool)
	}
	q.slotWaiters[request] = true
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.slotWaiters, request)
	}
}

// acquireOrAdd returns an endpoint that can serve the request now, or adds the request to the queue. A request does not overtake others
// that wait for the same capacity and come before it.
func (q *waitingQueue) acquireOrAdd(request *waitingRequest) (acquiredEndpoint, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !request.isSecondAttempt && q.isBehindOthers(request) {
		q.insert(request)
		class := request.class()
		q.dispatchClass(&class)
		select {
		case e := <-request.acquired:
			return e, true
		default:
			return acquiredEndpoint{}, false
		}
	}
	if e, ok := request.pickEndpoint(); ok {
		q.recordPlace(request, q.order(request.service).Rank(request.order))
		return e, true
	}
	q.insert(request)
	return acquiredEndpoint{}, false
}

// insert adds a request. The caller holds the lock.
func (q *waitingQueue) insert(request *waitingRequest) {
	q.requests = append(q.requests, request)
	if q.departures == nil {
		q.departures = make(map[requestClass]*afshed.Departures)
	}
	if c := request.class(); !request.isSecondAttempt && q.departures[c] == nil {
		q.departures[c] = &afshed.Departures{Since: q.now()}
	}
}

// class returns the class of the request.
func (request *waitingRequest) class() requestClass {
	return requestClass{request.service, request.model, request.adapter, request.regions, request.silentEndpoint}
}

// isBehindOthers reports whether waiting requests of the same class come before a new one. The caller holds the lock.
func (q *waitingQueue) isBehindOthers(request *waitingRequest) bool {
	order := q.order(request.service)
	return slices.ContainsFunc(q.requests, func(other *waitingRequest) bool {
		// Requests that need a start can use the same endpoints, unless one was excluded. The dispatch finds out which can use one now.
		isAlike := !other.usesFewer(q.now()) || other.needsStart && request.needsStart
		return !other.isSecondAttempt && isAlike && other.class() == request.class() && order.Compare(other.order, request.order) < 0
	})
}

// usesFewer reports whether the request can use fewer endpoints than others of its class. One that expires soon cannot wait for the
// slots of endpoints that named a limit.
func (request *waitingRequest) usesFewer(now time.Time) bool {
	return request.isRestricted || request.order.ExpiresAt.Sub(now) < afpace.MaxAhead
}

// order returns the present order of the requests of a service. The caller holds the lock.
func (q *waitingQueue) order(service string) afshed.Order {
	if served := q.served[service]; served != nil {
		return served.Order(q.now())
	}
	return (&afshed.Served{}).Order(q.now())
}

// recordOutcome records whether a request got a place. The caller holds the lock.
func (q *waitingQueue) recordOutcome(request *waitingRequest, isServed bool) {
	if request.isSecondAttempt {
		return
	}
	if q.served == nil {
		q.served = make(map[string]*afshed.Served)
	}
	if q.served[request.service] == nil {
		q.served[request.service] = &afshed.Served{}
	}
	q.served[request.service].Record(request.order.Priority, isServed, q.now())
}

// recordPlace records that a request got a place, unless it still needs a start. The caller holds the lock.
func (q *waitingQueue) recordPlace(request *waitingRequest, rank afshed.Rank) {
	if !request.needsStart {
		q.recordOutcome(request, true)
		q.recordDeparture(request, rank)
	}
}

// recordStart records that a request that needed a start got one.
func (q *waitingQueue) recordStart(request *waitingRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordOutcome(request, true)
	q.recordDeparture(request, q.order(request.service).Rank(request.order))
}

// recordDeparture records that a request got a place while requests of its class wait. The caller holds the lock.
func (q *waitingQueue) recordDeparture(request *waitingRequest, rank afshed.Rank) {
	if d := q.departures[request.class()]; d != nil && !request.isSecondAttempt {
		d.Record(rank, request.order.Work, q.now())
	}
}

// estimate returns how fast waiting requests of a class and a rank get places. The caller holds the lock.
func (q *waitingQueue) estimate(class requestClass, rank afshed.Rank) afshed.Estimate {
	if d := q.departures[class]; d != nil {
		return d.Estimate(rank, q.now())
	}
	return afshed.Estimate{}
}

// recordExpiry records that a request left the queue without an endpoint.
func (q *waitingQueue) recordExpiry(request *waitingRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordOutcome(request, false)
}

// retry returns the endpoint that was assigned to a waiting request, or one that can serve it now. The request leaves the queue
// then.
func (q *waitingQueue) retry(request *waitingRequest) (acquiredEndpoint, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case e := <-request.acquired:
		return e, true
	default:
	}
	e, ok := request.pickEndpoint()
	if ok {
		if i := slices.Index(q.requests, request); i >= 0 {
			q.requests = slices.Delete(q.requests, i, i+1)
		}
	}
	return e, ok
}

// remove removes a request from the queue. It returns the endpoint that was assigned to the request in the meantime, if
// any.
func (q *waitingQueue) remove(request *waitingRequest) (acquiredEndpoint, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.requests, request); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
	isAlike := func(other *waitingRequest) bool { return other.class() == request.class() }
	if !slices.ContainsFunc(q.requests, isAlike) {
		delete(q.departures, request.class())
	}
	select {
	case e := <-request.acquired:
		return e, true
	default:
		return acquiredEndpoint{}, false
	}
}

// dispatch assigns endpoints to all waiting requests that can be served now, and ends the wait of unservable requests.
func (q *waitingQueue) dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatchClass(nil)
}

// dispatchClass dispatches the requests of one class, or all requests if only is nil. Requests that became unservable are only looked
// for among all. The caller holds the lock.
func (q *waitingQueue) dispatchClass(only *requestClass) {
	orders := q.sort()
	type rankKey struct {
		class requestClass
		rank  afshed.Rank
	}
	failedPicks, estimates := map[requestClass]int{}, map[rankKey]afshed.Estimate{}
	blocked, isWaiting, ahead := map[requestClass]bool{}, map[requestClass]bool{}, map[rankKey]afshed.Ahead{}
	q.requests = slices.DeleteFunc(q.requests, func(request *waitingRequest) bool {
		// A request at a silent endpoint can use fewer endpoints than the others of its model, and not more.
		ordinary := requestClass{request.service, request.model, request.adapter, request.regions, ""}
		class := request.class()
		if only != nil && class != *only {
			return false
		}
		key := rankKey{class, orders[request.service].Rank(request.order)}
		if !blocked[ordinary] && !blocked[class] {
			if e, ok := request.pickEndpoint(); ok {
				request.acquired <- e
				q.recordPlace(request, key.rank)
				return true
			}
			failedPicks[class]++
			blocked[class] = !request.usesFewer(q.now()) || failedPicks[class] >= maxFailedPicks
		}
		if only == nil && !request.isSecondAttempt && request.isUnservable() {
			close(request.unservable)
			return true
		}
		if _, isKnown := estimates[key]; !isKnown {
			estimates[key] = q.estimate(class, key.rank)
		}
		if !request.isSecondAttempt && !request.order.IsStarted {
			request.shed = estimates[key].Decide(ahead[key], request.order.ExpiresAt.Sub(q.now()))
		}
		if request.shed.IsRefused {
			q.recordOutcome(request, false)
			close(request.unservable)
			return true
		}
		isWaiting[class] = true
		ahead[key] = ahead[key].With(request.order)
		return false
	})
	for class := range q.departures {
		if (only == nil || class == *only) && !isWaiting[class] {
			delete(q.departures, class)
		}
	}
}

// sort sorts the requests by service and by the order of each, and returns the orders. The caller holds the lock.
func (q *waitingQueue) sort() map[string]afshed.Order {
	orders := map[string]afshed.Order{}
	for _, request := range q.requests {
		if _, ok := orders[request.service]; !ok {
			orders[request.service] = q.order(request.service)
		}
	}
	slices.SortStableFunc(q.requests, func(a, b *waitingRequest) int {
		if c := strings.Compare(a.service, b.service); c != 0 {
			return c
		}
		return orders[a.service].Compare(a.order, b.order)
	})
	return orders
}

// length returns the number of waiting requests.
func (q *waitingQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, request := range q.requests {
		if !request.isSecondAttempt {
			n++
		}
	}
	return n
}

// countByModel counts the waiting requests by model and adapter.
func (q *waitingQueue) countByModel(now time.Time) map[demandKey]waitCounts {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[demandKey]waitCounts)
	add := func(request *waitingRequest) {
		if request.model == "" || request.isSecondAttempt {
			return
		}
		k := demandKey{request.model, request.adapter}
		counts := out[k]
		counts.requests++
		if now.Sub(request.order.ArrivedAt) < request.targetLatency {
			counts.withinTarget++
		}
		counts.oldestAge = max(counts.oldestAge, now.Sub(request.order.ArrivedAt))
		out[k] = counts
	}
	for _, request := range q.requests {
		add(request)
	}
	for request := range q.slotWaiters {
		add(request)
	}
	return out
}

// waitCounts describes the requests that wait for one model or adapter.
type waitCounts struct {
	requests int
	// withinTarget is the number of requests that have waited for less than their target latency.
	withinTarget int
	// oldestAge is the longest time since the arrival of a request.
	oldestAge time.Duration
}
