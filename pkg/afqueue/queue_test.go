package afqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func always(string) bool { return true }

// model is what the queue must agree with after each step.
type model struct {
	q       Queue
	now     time.Time
	ids     uint64
	waiting map[uint64]Entry
}

func (m *model) push(t *rapid.T) {
	m.ids++
	e := Entry{
		ID: m.ids, Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Weight: rapid.Float64Range(0.5, 8).Draw(t, "weight"), Class: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
		Cost: rapid.Int64Range(0, 5000).Draw(t, "cost"), ArrivedAt: m.now,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "deadline")) * time.Millisecond),
	}
	m.q.Push(e)
	m.waiting[e.ID] = e
}

func (m *model) next(t *rapid.T) {
	open := rapid.SampledFrom([]string{"x", "y", "xy"}).Draw(t, "open")
	isOpen := func(class string) bool { return open == "xy" || open == class }
	e, ok := m.q.Pop(m.now, isOpen)
	if !ok {
		for _, w := range m.waiting {
			require.False(t, isOpen(w.Class) && w.Deadline.After(m.now), "an entry that could be served was held back")
		}
		return
	}
	require.Equal(t, m.waiting[e.ID], e, "an entry was served that did not wait")
	require.True(t, e.Deadline.After(m.now), "served after its deadline")
	for _, w := range m.waiting {
		if w.Customer == e.Customer && w.Class == e.Class && w.Deadline.After(m.now) {
			require.False(t, w.ArrivedAt.Add(agingLimit).Before(e.ArrivedAt), "overtaken by a request that came more than 2 s later")
		}
	}
	delete(m.waiting, e.ID)
}

func (m *model) expire(t *rapid.T) {
	for _, e := range m.q.RemoveExpired(m.now) {
		require.Contains(t, m.waiting, e.ID)
		require.False(t, e.Deadline.After(m.now), "refused before its deadline")
		delete(m.waiting, e.ID)
	}
	for _, e := range m.waiting {
		require.True(t, e.Deadline.After(m.now), "a late entry was kept")
	}
}

// TestQueueModel guards against entries that are lost, served twice, served late or starved by smaller ones.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start, waiting: make(map[uint64]Entry)}
		t.Repeat(map[string]func(*rapid.T){
			"push":   m.push,
			"next":   m.next,
			"expire": m.expire,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(1, m.ids+1).Draw(t, "id")
				_, waits := m.waiting[id]
				require.Equal(t, waits, m.q.Remove(id))
				delete(m.waiting, id)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(m.waiting), m.q.Len())
				require.Equal(t, len(m.waiting), m.q.CountWaiting("x")+m.q.CountWaiting("y"))
			},
		})
	})
}

// flow sends requests of one customer at a constant rate.
type flow struct {
	name   string
	weight float64
	cost   int64
	period time.Duration
	next   time.Time
	sent   int64
	served int64
}

// run serves the flows with one server of the given speed in tokens per second.
func run(flows []*flow, speed float64, length time.Duration) {
	var q Queue
	var ids uint64
	now := start
	for now.Before(start.Add(length)) {
		for _, f := range flows {
			for !f.next.After(now) {
				ids++
				q.Push(Entry{
					ID: ids, Customer: f.name, Weight: f.weight, Class: "m", Cost: f.cost,
					ArrivedAt: f.next, Deadline: f.next.Add(10 * time.Second),
				})
				f.sent += f.cost
				f.next = f.next.Add(f.period)
			}
		}
		q.RemoveExpired(now)
		e, ok := q.Pop(now, always)
		if !ok {
			now = now.Add(time.Millisecond)
			continue
		}
		for _, f := range flows {
			if f.name == e.Customer {
				f.served += f.cost
			}
		}
		now = now.Add(time.Duration(float64(e.Cost) / speed * float64(time.Second)))
	}
}

// TestShareUnderOverload guards the share of customers that stay within their rate while one sends five times
// its own: each gets at least 90 % of what it sent.
func TestShareUnderOverload(t *testing.T) {
	const speed, length = 2000.0, 45 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var flows []*flow
		total := 0.0
		for i := range rapid.IntRange(2, 5).Draw(t, "customers") {
			f := &flow{name: fmt.Sprint("c", i), next: start, weight: rapid.Float64Range(1, 6).Draw(t, "weight"), cost: rapid.Int64Range(20, 300).Draw(t, "cost")}
			total += f.weight
			flows = append(flows, f)
		}
		for i, f := range flows {
			rate := speed * f.weight / total
			if i == 0 {
				rate *= 5
			}
			f.period = time.Duration(float64(f.cost) / rate * float64(time.Second))
		}
		run(flows, speed, length)
		for _, f := range flows[1:] {
			require.GreaterOrEqual(t, float64(f.served), 0.9*float64(f.sent), "customer %s of weight %.2f", f.name, f.weight)
		}
	})
}

// TestReturnFromIdle guards against a customer that saves up service while it sends nothing.
func TestReturnFromIdle(t *testing.T) {
	var q Queue
	push := func(id uint64, customer string) {
		q.Push(Entry{ID: id, Customer: customer, Weight: 1, Class: "m", Cost: 100, ArrivedAt: start, Deadline: start.Add(time.Hour)})
	}
	for id := uint64(1); id <= 100; id++ {
		push(id, "busy")
	}
	for range 50 {
		_, ok := q.Pop(start, always)
		require.True(t, ok)
	}
	for id := uint64(201); id <= 300; id++ {
		push(id, "idle")
	}
	served := map[string]int{}
	for range 40 {
		e, _ := q.Pop(start, always)
		served[e.Customer]++
	}
	require.Equal(t, 20, served["busy"])
}

// TestEstimate guards against refusing a request because of another customer's load, and against accepting one
// that its own requests ahead make too late.
func TestEstimate(t *testing.T) {
	var q Queue
	now := start
	entry := func(id uint64, customer string) Entry {
		return Entry{ID: id, Customer: customer, Weight: 1, Class: "m", Cost: 10, ArrivedAt: now, Deadline: now.Add(5 * time.Second)}
	}
	for id := uint64(1); id <= 20; id++ {
		q.Push(entry(id, "heavy"))
	}
	for range 5 {
		now = now.Add(time.Second)
		_, ok := q.Pop(now.Add(-time.Nanosecond), always)
		require.True(t, ok || !now.Before(start.Add(5*time.Second)))
	}
	require.Zero(t, q.EstimateWait(entry(99, "light"), 0))
	require.Greater(t, q.EstimateWait(entry(99, "heavy"), 0), 5*time.Second)
	require.Equal(t, 7*time.Second, q.EstimateWait(entry(99, "light"), 7*time.Second))
}

// TestLargeNotStarved guards a large request against a customer's endless small ones: it is served once those
// that came within 2 s after it are.
func TestLargeNotStarved(t *testing.T) {
	var q Queue
	push := func(id uint64, cost int64, at time.Time) {
		q.Push(Entry{ID: id, Customer: "a", Weight: 1, Class: "m", Cost: cost, ArrivedAt: at, Deadline: at.Add(time.Minute)})
	}
	push(1, 1_000_000, start)
	for n := uint64(1); ; n++ {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		push(n+1, 1, now)
		e, ok := q.Pop(now, always)
		require.True(t, ok)
		if e.ID == 1 {
			require.LessOrEqual(t, now, start.Add(agingLimit+200*time.Millisecond))
			require.Greater(t, now, start.Add(time.Second), "small requests have no priority")
			return
		}
		require.Less(t, n, uint64(100), "the large request starves")
	}
}
