package afmeasure

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afexample"
	"arbutusfork.example/arbutusfork/pkg/afqueue"
)

const (
	fairnessDuration    = 20 * time.Minute
	fairnessSlots       = 96
	fairnessWaitTimeout = 20 * time.Second
	// steadyLoadFactor is the demand of each customer that does not overload, as a part of its rate.
	steadyLoadFactor = 0.95
	overloadFactor   = 5
	fairnessClass    = "model"
	// smallRequestRatio is the fraction of requests that are small.
	smallRequestRatio = 0.8
)

// serviceOrder is an order in which waiting requests are served.
type serviceOrder struct {
	name string
	// ignoresCustomers queues all requests as those of one customer.
	ignoresCustomers bool
	// isFIFO serves in order of arrival, without the fair queue.
	isFIFO bool
}

var serviceOrders = []serviceOrder{
	{name: "fair queue"},
	{name: "one queue for all customers", ignoresCustomers: true},
	{name: "first come, first served", isFIFO: true},
}

// queuedRequest is one request of the fairness measurement.
type queuedRequest struct {
	afqueue.Entry
}

// customerTally sums up the requests of one customer.
type customerTally struct {
	offeredTokens, servedTokens int64
	expiredRequests             int
	waitTimes                   []time.Duration
}

// RunFairness simulates the waiting queue with one customer at five times its rate. For each deployment and order of
// service it prints the worst-served of the other customers.
func RunFairness(w io.Writer, seed uint64) error {
	for _, d := range afexample.Deployments() {
		if _, err := fmt.Fprintf(w, "\n%s, seed %d: one customer at %d times its rate, capacity is the sum of all rates\n%-30s %-18s %12s %12s %12s %14s\n",
			d.Name, seed, overloadFactor, "order of service", "worst-served", "share %", "p99 wait s", "others p99", "late requests"); err != nil {
			return err
		}
		for _, order := range serviceOrders {
			if _, err := fmt.Fprintln(w, measureServiceOrder(d, order, seed)); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureServiceOrder simulates one order of service with each customer in turn as the overloading one, and returns the
// table line of the worst-served other customer.
func measureServiceOrder(d afexample.Deployment, order serviceOrder, seed uint64) string {
	type outcome struct {
		customer        string
		share           float64
		p99, othersP99  time.Duration
		expiredRequests int
	}
	worst := outcome{share: 2}
	for _, overloading := range d.Customers {
		tallies := simulateQueue(d.Customers, overloading.Name, order, seed)
		for _, c := range d.Customers {
			t := tallies[c.Name]
			share := float64(t.servedTokens) / float64(t.offeredTokens)
			if c.Name == overloading.Name || share >= worst.share {
				continue
			}
			worst = outcome{customer: c.Name, share: share, p99: percentile(t.waitTimes, 99), expiredRequests: t.expiredRequests}
			var otherWaits []time.Duration
			for _, other := range d.Customers {
				if other.Name != c.Name && other.Name != overloading.Name {
					otherWaits = append(otherWaits, tallies[other.Name].waitTimes...)
				}
			}
			worst.othersP99 = percentile(otherWaits, 99)
		}
	}
	return fmt.Sprintf("%-30s %-18s %12.1f %12.2f %12.2f %14d",
		order.name, worst.customer, worst.share*100, worst.p99.Seconds(), worst.othersP99.Seconds(), worst.expiredRequests)
}

// percentile sorts the wait times and returns their p-th percentile, or 0 if there are none.
func percentile(waitTimes []time.Duration, p int) time.Duration {
	if len(waitTimes) == 0 {
		return 0
	}
	slices.Sort(waitTimes)
	return waitTimes[min(len(waitTimes)*p/100, len(waitTimes)-1)]
}

// simulateQueue serves the requests of all customers with slots whose total speed is the sum of the customers' rates.
func simulateQueue(customers []arbutusfork.Customer, overloading string, order serviceOrder, seed uint64) map[string]*customerTally {
	r := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(0, 0)
	var totalRate int64
	var arrivals []queuedRequest
	tallies := make(map[string]*customerTally)
	for _, c := range customers {
		totalRate += c.RatePerSecond
		tallies[c.Name] = &customerTally{}
		loadFactor := steadyLoadFactor
		if c.Name == overloading {
			loadFactor = overloadFactor
		}
		arrivals = append(arrivals, generateCustomerArrivals(r, c, loadFactor, start)...)
	}
	slices.SortFunc(arrivals, func(a, b queuedRequest) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	s := &queueServer{order: order, slotTokensPerSecond: float64(totalRate) / fairnessSlots, freeSlots: fairnessSlots, tallies: tallies}
	for i := range arrivals {
		a := &arrivals[i]
		a.ID = uint64(i)
		s.finishRequests(a.ArrivedAt)
		s.enqueueRequest(*a)
		s.startRequests(a.ArrivedAt)
	}
	s.finishRequests(start.Add(fairnessDuration + fairnessWaitTimeout))
	return tallies
}

// generateCustomerArrivals returns Poisson arrivals of the customer at its rate times loadFactor.
func generateCustomerArrivals(r *rand.Rand, c arbutusfork.Customer, loadFactor float64, start time.Time) []queuedRequest {
	const smallTokens, largeTokens = 200, 2000
	meanTokens := smallRequestRatio*smallTokens + (1-smallRequestRatio)*largeTokens
	meanIntervalSeconds := meanTokens / (loadFactor * float64(c.RatePerSecond))
	var out []queuedRequest
	for arrivalSeconds := 0.0; ; {
		arrivalSeconds += r.ExpFloat64() * meanIntervalSeconds
		if arrivalSeconds > fairnessDuration.Seconds() {
			return out
		}
		cost := int64(smallTokens)
		if r.Float64() > smallRequestRatio {
			cost = largeTokens
		}
		arrived := start.Add(time.Duration(arrivalSeconds * float64(time.Second)))
		out = append(out, queuedRequest{Entry: afqueue.Entry{
			Customer: c.Name, Weight: c.FairQueueWeight(), Class: fairnessClass, Cost: cost,
			ArrivedAt: arrived, Deadline: arrived.Add(fairnessWaitTimeout),
		}})
	}
}

// queueServer serves queued requests with slots of equal speed.
type queueServer struct {
	order               serviceOrder
	slotTokensPerSecond float64
	freeSlots           int
	fairQueue           afqueue.Queue
	fifoQueue           []afqueue.Entry // queue of the FIFO order
	slotFreeTimes       freeTimeHeap
	customerByRequestID map[uint64]string
	tallies             map[string]*customerTally
}

// enqueueRequest adds a request to the queue of the order of service.
func (s *queueServer) enqueueRequest(a queuedRequest) {
	t := s.tallies[a.Customer]
	t.offeredTokens += a.Cost
	if s.order.isFIFO {
		s.fifoQueue = append(s.fifoQueue, a.Entry)
		return
	}
	if s.customerByRequestID == nil {
		s.customerByRequestID = make(map[uint64]string)
	}
	s.customerByRequestID[a.ID] = a.Customer
	if s.order.ignoresCustomers {
		a.Customer, a.Weight = "all", 1
	}
	s.fairQueue.Push(a.Entry)
}

// nextRequest removes and returns the next request in the order of service. Requests past their deadline are dropped
// and counted as expired.
func (s *queueServer) nextRequest(now time.Time) (afqueue.Entry, bool) {
	if !s.order.isFIFO {
		for _, e := range s.fairQueue.RemoveExpired(now) {
			s.tallies[s.customerByRequestID[e.ID]].expiredRequests++
		}
		e, ok := s.fairQueue.Pop(now, func(string) bool { return true })
		e.Customer = cmp.Or(s.customerByRequestID[e.ID], e.Customer)
		return e, ok
	}
	for len(s.fifoQueue) > 0 {
		e := s.fifoQueue[0]
		s.fifoQueue = s.fifoQueue[1:]
		if e.Deadline.After(now) {
			return e, true
		}
		s.tallies[e.Customer].expiredRequests++
	}
	return afqueue.Entry{}, false
}

// startRequests starts waiting requests while slots are free.
func (s *queueServer) startRequests(now time.Time) {
	for s.freeSlots > 0 {
		e, ok := s.nextRequest(now)
		if !ok {
			return
		}
		s.freeSlots--
		t := s.tallies[e.Customer]
		t.servedTokens += e.Cost
		t.waitTimes = append(t.waitTimes, now.Sub(e.ArrivedAt))
		heap.Push(&s.slotFreeTimes, now.Add(time.Duration(float64(e.Cost)/s.slotTokensPerSecond*float64(time.Second))))
	}
}

// finishRequests ends the requests that are complete by now and starts waiting requests in their slots.
func (s *queueServer) finishRequests(now time.Time) {
	for len(s.slotFreeTimes) > 0 && !s.slotFreeTimes[0].After(now) {
		freeAt := heap.Pop(&s.slotFreeTimes).(time.Time)
		s.freeSlots++
		s.startRequests(freeAt)
	}
}

// freeTimeHeap implements heap.Interface for the instants at which occupied slots become free.
type freeTimeHeap []time.Time

func (h freeTimeHeap) Len() int           { return len(h) }
func (h freeTimeHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h freeTimeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *freeTimeHeap) Push(x any)        { *h = append(*h, x.(time.Time)) }

func (h *freeTimeHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	*h = old[:n]
	return x
}
