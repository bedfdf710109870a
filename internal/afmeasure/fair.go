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
	fairLength   = 20 * time.Minute
	fairSlots    = 96
	fairDeadline = 20 * time.Second
	// steadyLoad is what each customer asks for, as a part of what it pays for; the overloading one asks for overload.
	steadyLoad = 0.95
	overload   = 5
	fairClass  = "model"
	// smallPart of the requests are small.
	smallPart = 0.8
)

// discipline is an order of service.
type discipline struct {
	name string
	// flat lets the queue see one customer, so that it serves in order of arrival and size.
	flat bool
	// fifo serves in order of arrival only.
	fifo bool
}

var disciplines = []discipline{
	{name: "fair queue"},
	{name: "one queue for all customers", flat: true},
	{name: "first come, first served", fifo: true},
}

// fairRequest is one request of the fairness measurement.
type fairRequest struct {
	afqueue.Entry
}

// tally is what one customer got.
type tally struct {
	offered, served int64 // tokens
	late            int
	waits           []time.Duration
}

// RunFairness measures the waiting queue with one customer at five times its rate and prints, for each deployment and
// order of service, the worst-served of the others.
func RunFairness(w io.Writer, seed uint64) error {
	for _, d := range afexample.Deployments() {
		if _, err := fmt.Fprintf(w, "\n%s, seed %d: one customer at %d times its rate, capacity is the sum of all rates\n%-30s %-18s %12s %12s %12s %14s\n",
			d.Name, seed, overload, "order of service", "worst-served", "share %", "p99 wait s", "others p99", "late requests"); err != nil {
			return err
		}
		for _, order := range disciplines {
			if _, err := fmt.Fprintln(w, fairLine(d, order, seed)); err != nil {
				return err
			}
		}
	}
	return nil
}

// fairLine runs one order of service with each customer in turn as the overloading one, and reports the worst outcome.
func fairLine(d afexample.Deployment, order discipline, seed uint64) string {
	type outcome struct {
		customer   string
		share      float64
		p99, other time.Duration
		late       int
	}
	worst := outcome{share: 2}
	for _, greedy := range d.Customers {
		tallies := serveFairly(d.Customers, greedy.Name, order, seed)
		for _, c := range d.Customers {
			t := tallies[c.Name]
			share := float64(t.served) / float64(t.offered)
			if c.Name == greedy.Name || share >= worst.share {
				continue
			}
			worst = outcome{customer: c.Name, share: share, p99: percentile(t.waits, 99), late: t.late}
			var rest []time.Duration
			for _, o := range d.Customers {
				if o.Name != c.Name && o.Name != greedy.Name {
					rest = append(rest, tallies[o.Name].waits...)
				}
			}
			worst.other = percentile(rest, 99)
		}
	}
	return fmt.Sprintf("%-30s %-18s %12.1f %12.2f %12.2f %14d",
		order.name, worst.customer, worst.share*100, worst.p99.Seconds(), worst.other.Seconds(), worst.late)
}

func percentile(waits []time.Duration, p int) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(len(waits)*p/100, len(waits)-1)]
}

// serveFairly runs the queue before slots whose speed together is the sum of the customers' rates.
func serveFairly(customers []arbutusfork.Customer, greedy string, order discipline, seed uint64) map[string]*tally {
	r := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(0, 0)
	var total int64
	var arrivals []fairRequest
	tallies := make(map[string]*tally)
	for _, c := range customers {
		total += c.RatePerSecond
		tallies[c.Name] = &tally{}
		load := steadyLoad
		if c.Name == greedy {
			load = overload
		}
		arrivals = append(arrivals, fairArrivals(r, c, load, start)...)
	}
	slices.SortFunc(arrivals, func(a, b fairRequest) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	s := &fairServer{order: order, speed: float64(total) / fairSlots, free: fairSlots, tallies: tallies}
	for i := range arrivals {
		a := &arrivals[i]
		a.ID = uint64(i)
		s.until(a.ArrivedAt)
		s.push(*a)
		s.match(a.ArrivedAt)
	}
	s.until(start.Add(fairLength + fairDeadline))
	return tallies
}

func fairArrivals(r *rand.Rand, c arbutusfork.Customer, load float64, start time.Time) []fairRequest {
	const small, large = 200, 2000
	mean := smallPart*small + (1-smallPart)*large
	gap := mean / (load * float64(c.RatePerSecond))
	var out []fairRequest
	for at := 0.0; ; {
		at += r.ExpFloat64() * gap
		if at > fairLength.Seconds() {
			return out
		}
		cost := int64(small)
		if r.Float64() > smallPart {
			cost = large
		}
		arrived := start.Add(time.Duration(at * float64(time.Second)))
		out = append(out, fairRequest{Entry: afqueue.Entry{
			Customer: c.Name, Weight: c.FairQueueWeight(), Class: fairClass, Cost: cost,
			ArrivedAt: arrived, Deadline: arrived.Add(fairDeadline),
		}})
	}
}

// fairServer serves requests with a number of slots of one speed.
type fairServer struct {
	order   discipline
	speed   float64 // speed is in tokens per second of one slot.
	free    int
	queue   afqueue.Queue
	line    []afqueue.Entry // line is the queue of first come, first served.
	busy    endings
	names   map[uint64]string
	tallies map[string]*tally
}

func (s *fairServer) push(a fairRequest) {
	t := s.tallies[a.Customer]
	t.offered += a.Cost
	if s.order.fifo {
		s.line = append(s.line, a.Entry)
		return
	}
	if s.names == nil {
		s.names = make(map[uint64]string)
	}
	s.names[a.ID] = a.Customer
	if s.order.flat {
		a.Customer, a.Weight = "all", 1
	}
	s.queue.Push(a.Entry)
}

// next returns the next request in the order of service, after refusing late ones.
func (s *fairServer) next(now time.Time) (afqueue.Entry, bool) {
	if !s.order.fifo {
		for _, e := range s.queue.RemoveExpired(now) {
			s.tallies[s.names[e.ID]].late++
		}
		e, ok := s.queue.Pop(now, func(string) bool { return true })
		e.Customer = cmp.Or(s.names[e.ID], e.Customer)
		return e, ok
	}
	for len(s.line) > 0 {
		e := s.line[0]
		s.line = s.line[1:]
		if e.Deadline.After(now) {
			return e, true
		}
		s.tallies[e.Customer].late++
	}
	return afqueue.Entry{}, false
}

func (s *fairServer) match(now time.Time) {
	for s.free > 0 {
		e, ok := s.next(now)
		if !ok {
			return
		}
		s.free--
		t := s.tallies[e.Customer]
		t.served += e.Cost
		t.waits = append(t.waits, now.Sub(e.ArrivedAt))
		heap.Push(&s.busy, now.Add(time.Duration(float64(e.Cost)/s.speed*float64(time.Second))))
	}
}

// until ends the requests that are done by now and gives their slots on.
func (s *fairServer) until(now time.Time) {
	for len(s.busy) > 0 && !s.busy[0].After(now) {
		at := heap.Pop(&s.busy).(time.Time)
		s.free++
		s.match(at)
	}
}

// endings is a heap of the moments when slots become free.
type endings []time.Time

func (h endings) Len() int           { return len(h) }
func (h endings) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h endings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endings) Push(x any)        { *h = append(*h, x.(time.Time)) }

func (h *endings) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	*h = old[:n]
	return x
}
