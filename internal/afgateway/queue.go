package afgateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afroster"
)

// placed is an endpoint with the count of the request there.
type placed struct {
	afroster.Endpoint
	claim *afroster.RunningRequest
}

// ticket is one waiting request.
type ticket struct {
	service, model, adapter string
	urgency                 int
	arrived                 time.Time
	// target is the time from arrival within which an answer earns its full worth.
	target time.Duration
	// pick returns an endpoint that can serve the request now. It is called with the queue's lock held.
	pick  func() (placed, bool)
	given chan placed
	// hopeless returns true once it is known that the request cannot be served in time.
	hopeless func() bool
	// spoiled is closed when that is found out while the request waits.
	spoiled chan struct{}
}

// queue holds the requests that wait for an endpoint. The most urgent go first, those of one rank in order of arrival,
// and a request that cannot go on lets others pass, since each waits for its own model.
type queue struct {
	mu      sync.Mutex
	tickets []*ticket
}

// tryOrWait returns an endpoint at once, or lets the request wait.
func (q *queue) tryOrWait(t *ticket) (placed, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e, ok := t.pick(); ok {
		return e, true
	}
	at, _ := slices.BinarySearchFunc(q.tickets, t, (*ticket).compare)
	q.tickets = slices.Insert(q.tickets, at, t)
	return placed{}, false
}

func (t *ticket) compare(u *ticket) int {
	return cmp.Or(cmp.Compare(t.urgency, u.urgency), t.arrived.Compare(u.arrived))
}

// leave takes a request out. It returns the endpoint that the request was given in the meantime, if any.
func (q *queue) leave(t *ticket) (placed, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.tickets, t); i >= 0 {
		q.tickets = slices.Delete(q.tickets, i, i+1)
	}
	select {
	case e := <-t.given:
		return e, true
	default:
		return placed{}, false
	}
}

// wake lets the requests go on that can.
func (q *queue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	type class struct{ service, model, adapter string }
	stuck := map[class]bool{}
	q.tickets = slices.DeleteFunc(q.tickets, func(t *ticket) bool {
		c := class{t.service, t.model, t.adapter}
		if !stuck[c] {
			if e, ok := t.pick(); ok {
				t.given <- e
				return true
			}
			stuck[c] = true
		}
		if t.hopeless() {
			close(t.spoiled)
			return true
		}
		return false
	})
}

// size returns the number of waiting requests.
func (q *queue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.tickets)
}

// waiting counts the waiting requests by what they wait for.
func (q *queue) waiting(now time.Time) map[demandKey]waitCount {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[demandKey]waitCount)
	for _, t := range q.tickets {
		if t.model == "" {
			continue
		}
		k := demandKey{t.model, t.adapter}
		c := out[k]
		c.n++
		if now.Sub(t.arrived) < t.target {
			c.fresh++
		}
		c.oldest = max(c.oldest, now.Sub(t.arrived))
		out[k] = c
	}
	return out
}

type waitCount struct {
	n      int
	fresh  int // fresh counts those that may still be answered within their target.
	oldest time.Duration
}
