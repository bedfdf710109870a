package afqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func isAlwaysOpen(string) bool { return true }

// queueModel is the reference state that the queue is compared with after each step.
type queueModel struct {
	queue   Queue
	now     time.Time
	lastID  uint64
	waiting map[uint64]Entry
}

func (m *queueModel) push(t *rapid.T) {
	m.lastID++
	e := Entry{
		ID: m.lastID, Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Weight: rapid.Float64Range(0.5, 8).Draw(t, "weight"), Class: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
		Cost: rapid.Int64Range(0, 5000).Draw(t, "cost"), ArrivedAt: m.now,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "deadline")) * time.Millisecond),
	}
	m.queue.Push(e)
	m.waiting[e.ID] = e
}

func (m *queueModel) next(t *rapid.T) {
	open := rapid.SampledFrom([]string{"x", "y", "xy"}).Draw(t, "open")
	isOpen := func(class string) bool { return open == "xy" || open == class }
	e, ok := m.queue.Pop(m.now, isOpen)
	if !ok {
		for _, w := range m.waiting {
			require.False(t, isOpen(w.Class) && w.Deadline.After(m.now), "Pop returned nothing although an open class has an unexpired entry")
		}
		return
	}
	require.Equal(t, m.waiting[e.ID], e, "Pop returned an entry that was not waiting")
	require.True(t, e.Deadline.After(m.now), "Pop returned an entry at or after its deadline")
	for _, w := range m.waiting {
		if w.Customer == e.Customer && w.Class == e.Class && w.Deadline.After(m.now) {
			require.False(t, w.ArrivedAt.Add(maxSizePenalty).Before(e.ArrivedAt), "overtaken by a request that arrived more than 2 s later")
		}
	}
	delete(m.waiting, e.ID)
}

func (m *queueModel) expire(t *rapid.T) {
	for _, e := range m.queue.RemoveExpired(m.now) {
		require.Contains(t, m.waiting, e.ID)
		require.False(t, e.Deadline.After(m.now), "removed before its deadline")
		delete(m.waiting, e.ID)
	}
	for _, e := range m.waiting {
		require.True(t, e.Deadline.After(m.now), "an expired entry is still waiting")
	}
}

// TestQueueModel guards against entries that are lost, served twice, served after their deadline or starved by smaller
// entries, under random sequences of calls.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{now: start, waiting: make(map[uint64]Entry)}
		t.Repeat(map[string]func(*rapid.T){
			"push":   m.push,
			"next":   m.next,
			"expire": m.expire,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(1, m.lastID+1).Draw(t, "id")
				_, waits := m.waiting[id]
				require.Equal(t, waits, m.queue.Remove(id))
				delete(m.waiting, id)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(m.waiting), m.queue.Len())
				require.Equal(t, len(m.waiting), m.queue.CountWaiting("x")+m.queue.CountWaiting("y"))
			},
		})
	})
}

// customerFlow generates requests of one customer at a constant rate.
type customerFlow struct {
	name         string
	weight       float64
	cost         int64
	period       time.Duration
	nextAt       time.Time
	sentTokens   int64
	servedTokens int64
}

// serveFlows serves the flows for the duration with one server.
func serveFlows(flows []*customerFlow, tokensPerSecond float64, duration time.Duration) {
	var q Queue
	var lastID uint64
	now := start
	for now.Before(start.Add(duration)) {
		for _, f := range flows {
			for !f.nextAt.After(now) {
				lastID++
				q.Push(Entry{
					ID: lastID, Customer: f.name, Weight: f.weight, Class: "m", Cost: f.cost,
					ArrivedAt: f.nextAt, Deadline: f.nextAt.Add(10 * time.Second),
				})
				f.sentTokens += f.cost
				f.nextAt = f.nextAt.Add(f.period)
			}
		}
		q.RemoveExpired(now)
		e, ok := q.Pop(now, isAlwaysOpen)
		if !ok {
			now = now.Add(time.Millisecond)
			continue
		}
		for _, f := range flows {
			if f.name == e.Customer {
				f.servedTokens += f.cost
			}
		}
		now = now.Add(time.Duration(float64(e.Cost) / tokensPerSecond * float64(time.Second)))
	}
}

// TestShareUnderOverload guards against one customer that sends five times its rate and takes service from customers
// that stay within their rates: each of these must get at least 90 % of the tokens that it asked for.
func TestShareUnderOverload(t *testing.T) {
	const tokensPerSecond, duration = 2000.0, 45 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var flows []*customerFlow
		totalWeight := 0.0
		for i := range rapid.IntRange(2, 5).Draw(t, "customers") {
			f := &customerFlow{name: fmt.Sprint("c", i), nextAt: start, weight: rapid.Float64Range(1, 6).Draw(t, "weight"), cost: rapid.Int64Range(20, 300).Draw(t, "cost")}
			totalWeight += f.weight
			flows = append(flows, f)
		}
		for i, f := range flows {
			rate := tokensPerSecond * f.weight / totalWeight
			if i == 0 {
				rate *= 5
			}
			f.period = time.Duration(float64(f.cost) / rate * float64(time.Second))
		}
		serveFlows(flows, tokensPerSecond, duration)
		for _, f := range flows[1:] {
			require.GreaterOrEqual(t, float64(f.servedTokens), 0.9*float64(f.sentTokens), "customer %s of weight %.2f", f.name, f.weight)
		}
	})
}

// TestReturnFromIdle guards against a customer that is idle for a while and is then served before all others, because
// its token counter stayed low.
func TestReturnFromIdle(t *testing.T) {
	var q Queue
	push := func(id uint64, customer string) {
		q.Push(Entry{ID: id, Customer: customer, Weight: 1, Class: "m", Cost: 100, ArrivedAt: start, Deadline: start.Add(time.Hour)})
	}
	for id := uint64(1); id <= 100; id++ {
		push(id, "busy")
	}
	for range 50 {
		_, ok := q.Pop(start, isAlwaysOpen)
		require.True(t, ok)
	}
	for id := uint64(201); id <= 300; id++ {
		push(id, "idle")
	}
	served := map[string]int{}
	for range 40 {
		e, _ := q.Pop(start, isAlwaysOpen)
		served[e.Customer]++
	}
	require.Equal(t, 20, served["busy"])
}

// TestEstimate guards against an estimate that counts another customer's load, and against one that leaves out earlier
// requests of the same customer.
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
		_, ok := q.Pop(now.Add(-time.Nanosecond), isAlwaysOpen)
		require.True(t, ok || !now.Before(start.Add(5*time.Second)))
	}
	require.Zero(t, q.EstimateWait(entry(99, "light"), 0))
	require.Greater(t, q.EstimateWait(entry(99, "heavy"), 0), 5*time.Second)
	require.Equal(t, 7*time.Second, q.EstimateWait(entry(99, "light"), 7*time.Second))
}

// TestLargeNotStarved guards against a large request that is never served because its customer keeps sending small
// ones: it must be overtaken only by requests that arrive within 2 s after it.
func TestLargeNotStarved(t *testing.T) {
	var q Queue
	push := func(id uint64, cost int64, at time.Time) {
		q.Push(Entry{ID: id, Customer: "a", Weight: 1, Class: "m", Cost: cost, ArrivedAt: at, Deadline: at.Add(time.Minute)})
	}
	push(1, 1_000_000, start)
	for n := uint64(1); ; n++ {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		push(n+1, 1, now)
		e, ok := q.Pop(now, isAlwaysOpen)
		require.True(t, ok)
		if e.ID == 1 {
			require.LessOrEqual(t, now, start.Add(maxSizePenalty+200*time.Millisecond))
			require.Greater(t, now, start.Add(time.Second), "the large request was served before the small ones")
			return
		}
		require.Less(t, n, uint64(100), "the large request was not served within 10 s")
	}
}
