package afrecover

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// requestDeadline is sent with each request of the load.
	requestDeadline = 8 * time.Second
	// requestTimeout is when the driver gives up a request that a frozen VM holds.
	requestTimeout = 25 * time.Second
	// dialAttempts is how many VMs the balancer tries when no connection can be made.
	dialAttempts = 3
	idleConns    = 64
)

// Load sends a steady load and records what its callers see. Set the exported fields before Run.
type Load struct {
	Fleet *Fleet
	// Strict makes each refusal other than for the rate, and each cut request, a violation.
	Strict bool

	client   *http.Client
	balancer *balancer
	keys     map[string]string
	run      string

	mu       sync.Mutex
	samples  []Sample
	payments []Payment
	redials  int
}

// Run sends the load until ctx ends and then waits for the open requests.
func (l *Load) Run(ctx context.Context) (Report, error) {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}
	l.run = fmt.Sprintf("%x", time.Now().UnixNano())
	open := context.WithoutCancel(ctx)
	keys, err := l.Fleet.keys(ctx, l.client)
	if err != nil {
		return Report{}, err
	}
	l.keys = keys
	l.balancer = newBalancer(l.Fleet.OperatorsURLs)
	watch := &watch{fleet: l.Fleet}
	side, stop := context.WithCancel(open)
	var sides sync.WaitGroup
	sides.Go(func() { l.balancer.run(side) })
	sides.Go(func() { watch.run(side) })
	start := time.Now()
	var wg sync.WaitGroup
	for _, p := range Profiles {
		l.repeat(ctx, &wg, p.Short, func(n int) { l.chat(open, p, n, p.ShortTokens, false) })
		l.repeat(ctx, &wg, p.Streams, func(n int) { l.chat(open, p, n, p.StreamTokens, true) })
		l.repeat(ctx, &wg, p.Payments, func(n int) { l.pay(open, p, n) })
	}
	<-ctx.Done()
	end := time.Now()
	wg.Wait()
	stop()
	sides.Wait()
	return l.report(open, start, end, watch)
}

// repeat starts fn at the rate, in calls per second, until ctx ends.
func (l *Load) repeat(ctx context.Context, wg *sync.WaitGroup, rate float64, fn func(n int)) {
	if rate <= 0 {
		return
	}
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				wg.Go(func() { fn(n) })
			}
		}
	})
}

func (l *Load) chat(ctx context.Context, p Profile, n, tokens int, stream bool) {
	l.record(l.route(ctx, request{
		customer: p.Customer, key: l.keys[p.Customer], model: Models[n%len(Models)],
		tokens: tokens, stream: stream, deadline: requestDeadline,
	}, -1))
}

// route sends the request to the next ready VM other than except, and to another one if it cannot be connected.
func (l *Load) route(ctx context.Context, q request, except int) Sample {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s := Sample{Customer: q.customer, VM: -1, Sent: time.Now(), Result: Unreached}
	s.First, s.End = s.Sent, s.Sent
	for range dialAttempts {
		vm, ok := l.balancer.pick(except)
		if !ok {
			return s
		}
		if s = q.send(ctx, l.client, l.Fleet.CallersURLs[vm], vm); s.Result != Unreached {
			return s
		}
		l.mu.Lock()
		l.redials++
		l.mu.Unlock()
		except = vm
	}
	return s
}

func (l *Load) record(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}
