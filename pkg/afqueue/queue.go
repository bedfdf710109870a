// Package afqueue orders waiting requests fairly over customers and within their deadlines.
//
// The queue holds no clock and starts nothing: each method takes the current time and its result depends only
// on the calls before it.
package afqueue

import (
	"container/heap"
	"time"
)

const (
	// agingPerToken is the head start that a request gives to others per token of its cost. At 1 ms a request of
	// 1,000 tokens lets small requests of the following second pass.
	agingPerToken = time.Millisecond
	// agingLimit bounds the head start, so that a large request is overtaken by 2 s of later arrivals at most.
	agingLimit = 2 * time.Second
	// agingShare bounds the head start to this fraction of the time that the request can wait.
	agingShare = 4
)

// Entry is one waiting request.
type Entry struct {
	// ID is unique among the entries that wait.
	ID       uint64
	Customer string
	// Weight is the customer's share of service relative to other customers. It is positive.
	Weight float64
	// Class names what the request waits for, such as a model. Entries of one class are interchangeable for the
	// resource that serves them.
	Class string
	// Cost is the expected work in tokens.
	Cost int64
	// ArrivedAt and Deadline carry monotonic readings. An entry is never returned by Pop at or after its deadline.
	ArrivedAt time.Time
	Deadline  time.Time
}

// Queue is a fair waiting queue. The zero value is ready to use. It is not safe for concurrent use.
type Queue struct {
	classes  map[string]*class
	accounts map[string]*account
	items    map[uint64]*item
	late     lateHeap
	// floor is the counter of the last served customer. It only rises.
	floor float64
}

// account is the virtual token counter of one customer.
type account struct {
	name    string
	weight  float64
	counter float64 // counter is the tokens served divided by the weight.
	waiting int
}

// item is an entry with its place in the heaps.
type item struct {
	Entry
	// key orders the entries of a customer: arrival plus a head start that grows with the cost.
	key   time.Time
	place int // place is the index in the customer's heap of the class.
	late  int // late is the index in the heap of deadlines.
}

// class holds the entries that wait for one resource.
type class struct {
	name    string
	waiting int
	lines   map[string]*line
	pace    pace
}

// line holds one customer's entries in one class.
type line struct {
	account *account
	items   itemHeap
}

// Push adds an entry that waits from now on.
func (q *Queue) Push(e Entry) {
	q.init()
	a := q.account(e)
	if a.waiting == 0 {
		a.counter = max(a.counter, q.minimum())
	}
	a.waiting++
	it := &item{Entry: e, key: e.ArrivedAt.Add(headStart(e))}
	c := q.classes[e.Class]
	if c == nil {
		c = &class{name: e.Class, lines: make(map[string]*line), pace: pace{last: e.ArrivedAt}}
		q.classes[e.Class] = c
	}
	c.waiting++
	l := c.lines[e.Customer]
	if l == nil {
		l = &line{account: a}
		c.lines[e.Customer] = l
	}
	heap.Push(&l.items, it)
	heap.Push(&q.late, it)
	q.items[e.ID] = it
}

// Pop takes the entry that is served next among the classes for which open is true. It charges the entry's
// cost to its customer.
func (q *Queue) Pop(now time.Time, open func(class string) bool) (Entry, bool) {
	var best *item
	var account *account
	for _, c := range q.classes {
		if !open(c.name) {
			continue
		}
		for _, l := range c.lines {
			it := l.first(now)
			if it != nil && (best == nil || precedes(l.account, it, account, best)) {
				best, account = it, l.account
			}
		}
	}
	if best == nil {
		return Entry{}, false
	}
	q.floor = max(q.floor, account.counter)
	account.counter += float64(best.Cost) / account.weight
	q.classes[best.Class].pace.served(now)
	q.remove(best)
	return best.Entry, true
}

// RemoveExpired takes the entries whose deadline has come.
func (q *Queue) RemoveExpired(now time.Time) []Entry {
	var out []Entry
	for len(q.late) > 0 && !q.late[0].Deadline.After(now) {
		it := q.late[0]
		q.remove(it)
		out = append(out, it.Entry)
	}
	return out
}

// Remove takes an entry whose caller no longer waits. It reports whether the entry was waiting.
func (q *Queue) Remove(id uint64) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	q.remove(it)
	return true
}

// AdjustCharge corrects the charge of a served entry by the difference between its actual and its expected cost.
func (q *Queue) AdjustCharge(customer string, difference int64) {
	if a := q.accounts[customer]; a != nil {
		a.counter += float64(difference) / a.weight
	}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.items) }

// CountWaiting returns the number of entries that wait for the class.
func (q *Queue) CountWaiting(name string) int {
	if c := q.classes[name]; c != nil {
		return c.waiting
	}
	return 0
}

// CountWaitingByClass returns the number of waiting entries of each class that has any.
func (q *Queue) CountWaitingByClass() map[string]int {
	out := make(map[string]int)
	for name, c := range q.classes {
		out[name] = c.waiting
	}
	return out
}

// EarliestDeadline returns the earliest deadline among the entries of the class.
func (q *Queue) EarliestDeadline(name string) (time.Time, bool) {
	var first time.Time
	if c := q.classes[name]; c != nil {
		for _, l := range c.lines {
			for _, it := range l.items {
				if first.IsZero() || it.Deadline.Before(first) {
					first = it.Deadline
				}
			}
		}
	}
	return first, !first.IsZero()
}

func (q *Queue) init() {
	if q.items == nil {
		q.classes = make(map[string]*class)
		q.accounts = make(map[string]*account)
		q.items = make(map[uint64]*item)
	}
}

func (q *Queue) account(e Entry) *account {
	a := q.accounts[e.Customer]
	if a == nil {
		a = &account{name: e.Customer}
		q.accounts[e.Customer] = a
	}
	a.weight = e.Weight
	if a.weight <= 0 {
		a.weight = 1
	}
	return a
}

// minimum returns the lowest counter of a customer that waits, or the counter of the last served customer.
func (q *Queue) minimum() float64 {
	low, found := 0.0, false
	for _, a := range q.accounts {
		if a.waiting > 0 && (!found || a.counter < low) {
			low, found = a.counter, true
		}
	}
	if !found {
		return q.floor
	}
	return low
}

func (q *Queue) remove(it *item) {
	c := q.classes[it.Class]
	l := c.lines[it.Customer]
	heap.Remove(&l.items, it.place)
	heap.Remove(&q.late, it.late)
	delete(q.items, it.ID)
	l.account.waiting--
	c.waiting--
	if len(l.items) == 0 {
		delete(c.lines, it.Customer)
	}
	// Pop looks at every class, so the thousands of adapters that nothing waits for must not be kept.
	if c.waiting == 0 {
		delete(q.classes, it.Class)
	}
}

func headStart(e Entry) time.Duration {
	d := min(time.Duration(e.Cost)*agingPerToken, agingLimit, e.Deadline.Sub(e.ArrivedAt)/agingShare)
	return max(d, 0)
}

// first returns the line's next entry that is not late. Late entries are left for RemoveExpired.
func (l *line) first(now time.Time) *item {
	var best *item
	if len(l.items) > 0 && l.items[0].Deadline.After(now) {
		return l.items[0]
	}
	for _, it := range l.items {
		if it.Deadline.After(now) && (best == nil || it.before(best)) {
			best = it
		}
	}
	return best
}

func (it *item) before(other *item) bool {
	if it.key.Equal(other.key) {
		return it.ID < other.ID
	}
	return it.key.Before(other.key)
}

// precedes orders two customers' next entries by counter, then by key.
func precedes(a *account, x *item, b *account, y *item) bool {
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return x.before(y)
}
