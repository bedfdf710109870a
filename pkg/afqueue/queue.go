// Package afqueue implements a fair queue: waiting requests are served so that each customer gets its weighted share of
// the tokens, and none is served after its deadline.
//
// The queue reads no clock and starts no goroutine: methods take the current time as an argument, and their results
// depend only on the earlier calls.
package afqueue

import (
	"container/heap"
	"time"
)

const (
	// sizePenaltyPerToken is the time by which each token of its cost delays a request among its customer's requests. At
	// 1 ms, a request of 1,000 tokens is served after small requests that arrive up to 1 s later.
	sizePenaltyPerToken = time.Millisecond
	// maxSizePenalty bounds the delay, so that a large request is overtaken only by requests that arrive up to 2 s later.
	maxSizePenalty = 2 * time.Second
	// sizePenaltyDivisor bounds the delay to 1/sizePenaltyDivisor of the time between arrival and deadline.
	sizePenaltyDivisor = 4
)

// Entry is one waiting request.
type Entry struct {
	// ID is unique among the waiting entries.
	ID uint64
	// Customer is the name of the customer that sent the request.
	Customer string
	// Weight is the customer's share of service relative to other customers. Values that are not positive count as 1.
	Weight float64
	// Class names the resource that the request waits for, such as a model. The resource can serve any entry of its class.
	Class string
	// Cost is the expected work in tokens.
	Cost int64
	// ArrivedAt is when the request arrived. It has a monotonic clock reading.
	ArrivedAt time.Time
	// Deadline has a monotonic clock reading. Pop does not return an entry at or after its deadline.
	Deadline time.Time
}

// Queue is a fair waiting queue. The zero value is ready to use. It is not safe for concurrent use.
type Queue struct {
	// classes holds only classes with waiting entries.
	classes     map[string]*resourceClass
	accounts    map[string]*customerAccount
	entriesByID map[uint64]*queuedEntry
	byDeadline  deadlineHeap
	// virtualTime is the highest token counter that a customer had when one of its entries was served. While no customer
	// waits, a customer that starts waiting begins at this value.
	virtualTime float64
}

// customerAccount counts the tokens served to one customer.
type customerAccount struct {
	name         string
	weight       float64
	tokenCounter float64 // tokenCounter is the sum of served tokens, each divided by the weight.
	waitingCount int
}

// queuedEntry is a waiting entry with its positions in the heaps.
type queuedEntry struct {
	Entry
	// sortKey orders the entries of one customer in one class: the arrival time plus a delay that grows with the cost.
	sortKey           time.Time
	keyHeapIndex      int // keyHeapIndex is the index in customerLine.byKey.
	deadlineHeapIndex int // deadlineHeapIndex is the index in Queue.byDeadline.
}

// resourceClass holds the entries of one class.
type resourceClass struct {
	name            string
	waitingCount    int
	customerLines   map[string]*customerLine
	serviceInterval serviceInterval
}

// customerLine holds the entries of one customer in one class.
type customerLine struct {
	account *customerAccount
	byKey   sortKeyHeap
}

// Push adds an entry. A customer that had none starts at the lowest counter of the waiting customers, so that it cannot
// save up service while it sends nothing.
func (q *Queue) Push(e Entry) {
	q.initMaps()
	a := q.accountOf(e)
	if a.waitingCount == 0 {
		a.tokenCounter = max(a.tokenCounter, q.lowestWaitingCounter())
	}
	a.waitingCount++
	it := &queuedEntry{Entry: e, sortKey: e.ArrivedAt.Add(sizePenalty(e))}
	c := q.classes[e.Class]
	if c == nil {
		c = &resourceClass{name: e.Class, customerLines: make(map[string]*customerLine), serviceInterval: serviceInterval{lastServedAt: e.ArrivedAt}}
		q.classes[e.Class] = c
	}
	c.waitingCount++
	l := c.customerLines[e.Customer]
	if l == nil {
		l = &customerLine{account: a}
		c.customerLines[e.Customer] = l
	}
	heap.Push(&l.byKey, it)
	heap.Push(&q.byDeadline, it)
	q.entriesByID[e.ID] = it
}

// Pop removes and returns the entry that is served next: among the classes for which isOpen returns true, the next
// entry of the customer with the lowest token counter. It charges the entry's cost to the customer.
func (q *Queue) Pop(now time.Time, isOpen func(class string) bool) (Entry, bool) {
	var best *queuedEntry
	var bestAccount *customerAccount
	for _, c := range q.classes {
		if !isOpen(c.name) {
			continue
		}
		for _, l := range c.customerLines {
			it := l.firstUnexpired(now)
			if it != nil && (best == nil || isServedBefore(l.account, it, bestAccount, best)) {
				best, bestAccount = it, l.account
			}
		}
	}
	if best == nil {
		return Entry{}, false
	}
	q.virtualTime = max(q.virtualTime, bestAccount.tokenCounter)
	bestAccount.tokenCounter += float64(best.Cost) / bestAccount.weight
	q.classes[best.Class].serviceInterval.recordServed(now)
	q.removeEntry(best)
	return best.Entry, true
}

// RemoveExpired removes and returns the entries whose deadline has passed.
func (q *Queue) RemoveExpired(now time.Time) []Entry {
	var out []Entry
	for len(q.byDeadline) > 0 && !q.byDeadline[0].Deadline.After(now) {
		it := q.byDeadline[0]
		q.removeEntry(it)
		out = append(out, it.Entry)
	}
	return out
}

// Remove removes the entry with the ID, for example after its caller stopped waiting. It reports whether the entry was
// waiting.
func (q *Queue) Remove(id uint64) bool {
	it := q.entriesByID[id]
	if it == nil {
		return false
	}
	q.removeEntry(it)
	return true
}

// AdjustCharge adds tokens to what the customer was charged: the actual cost of a served entry minus its expected cost.
func (q *Queue) AdjustCharge(customer string, tokens int64) {
	if a := q.accounts[customer]; a != nil {
		a.tokenCounter += float64(tokens) / a.weight
	}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.entriesByID) }

// CountWaiting returns the number of waiting entries of the class.
func (q *Queue) CountWaiting(class string) int {
	if c := q.classes[class]; c != nil {
		return c.waitingCount
	}
	return 0
}

// CountWaitingByClass returns the number of waiting entries of each class that has waiting entries.
func (q *Queue) CountWaitingByClass() map[string]int {
	out := make(map[string]int)
	for name, c := range q.classes {
		out[name] = c.waitingCount
	}
	return out
}

// EarliestDeadline returns the earliest deadline among the entries of the class. It returns false if none waits.
func (q *Queue) EarliestDeadline(class string) (time.Time, bool) {
	var earliest time.Time
	if c := q.classes[class]; c != nil {
		for _, l := range c.customerLines {
			for _, it := range l.byKey {
				if earliest.IsZero() || it.Deadline.Before(earliest) {
					earliest = it.Deadline
				}
			}
		}
	}
	return earliest, !earliest.IsZero()
}

func (q *Queue) initMaps() {
	if q.entriesByID == nil {
		q.classes = make(map[string]*resourceClass)
		q.accounts = make(map[string]*customerAccount)
		q.entriesByID = make(map[uint64]*queuedEntry)
	}
}

// accountOf returns the account of the entry's customer with the entry's weight. It creates the account if needed.
func (q *Queue) accountOf(e Entry) *customerAccount {
	a := q.accounts[e.Customer]
	if a == nil {
		a = &customerAccount{name: e.Customer}
		q.accounts[e.Customer] = a
	}
	a.weight = e.Weight
	if a.weight <= 0 {
		a.weight = 1
	}
	return a
}

// lowestWaitingCounter returns the lowest token counter among the customers with waiting entries, or the virtual time if
// there are none.
func (q *Queue) lowestWaitingCounter() float64 {
	low, found := 0.0, false
	for _, a := range q.accounts {
		if a.waitingCount > 0 && (!found || a.tokenCounter < low) {
			low, found = a.tokenCounter, true
		}
	}
	if !found {
		return q.virtualTime
	}
	return low
}

// removeEntry removes the entry from the heaps, the map and the counts.
func (q *Queue) removeEntry(it *queuedEntry) {
	c := q.classes[it.Class]
	l := c.customerLines[it.Customer]
	heap.Remove(&l.byKey, it.keyHeapIndex)
	heap.Remove(&q.byDeadline, it.deadlineHeapIndex)
	delete(q.entriesByID, it.ID)
	l.account.waitingCount--
	c.waitingCount--
	if len(l.byKey) == 0 {
		delete(c.customerLines, it.Customer)
	}
	// Pop visits every class, and thousands of adapters can be classes, so a class without waiting entries is deleted.
	if c.waitingCount == 0 {
		delete(q.classes, it.Class)
	}
}

// sizePenalty returns the time by which the entry's cost delays it among its customer's entries.
func sizePenalty(e Entry) time.Duration {
	d := min(time.Duration(e.Cost)*sizePenaltyPerToken, maxSizePenalty, e.Deadline.Sub(e.ArrivedAt)/sizePenaltyDivisor)
	return max(d, 0)
}

// firstUnexpired returns the next entry whose deadline has not passed. Expired entries are left for RemoveExpired.
func (l *customerLine) firstUnexpired(now time.Time) *queuedEntry {
	var best *queuedEntry
	if len(l.byKey) > 0 && l.byKey[0].Deadline.After(now) {
		return l.byKey[0]
	}
	for _, it := range l.byKey {
		if it.Deadline.After(now) && (best == nil || it.sortsBefore(best)) {
			best = it
		}
	}
	return best
}

// sortsBefore orders entries by sort key, then by ID.
func (it *queuedEntry) sortsBefore(other *queuedEntry) bool {
	if it.sortKey.Equal(other.sortKey) {
		return it.ID < other.ID
	}
	return it.sortKey.Before(other.sortKey)
}

// isServedBefore orders the next entries of two customers by token counter, then by sort key.
func isServedBefore(a *customerAccount, x *queuedEntry, b *customerAccount, y *queuedEntry) bool {
	if a.tokenCounter != b.tokenCounter {
		return a.tokenCounter < b.tokenCounter
	}
	return x.sortsBefore(y)
}
