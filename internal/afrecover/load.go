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

// LoadGenerator sends a steady load and records what its callers see. Set the exported fields before Run.
type LoadGenerator struct {
	Deployment *Deployment
	// IsStrict makes each refusal other than for the rate, and each cut request, a violation.
	IsStrict bool

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
func (l *LoadGenerator) Run(ctx context.Context) (Report, error) {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}
	l.run = fmt.Sprintf("%x", time.Now().UnixNano())
	open := context.WithoutCancel(ctx)
	keys, err := l.Deployment.keys(ctx, l.client)
	if err != nil {
		return Report{}, err
	}
	l.keys = keys
	l.balancer = newBalancer(l.Deployment.OperatorsURLs)
	watch := &watch{fleet: l.Deployment}
	side, stop := context.WithCancel(open)
	var sides sync.WaitGroup
	sides.Go(func() { l.balancer.run(side) })
	sides.Go(func() { watch.run(side) })
	start := time.Now()
	var wg sync.WaitGroup
	for _, p := range CustomerProfiles {
		l.repeat(ctx, &wg, p.ShortRate, func(n int) { l.chat(open, p, n, p.ShortTokens, false) })
		l.repeat(ctx, &wg, p.StreamRate, func(n int) { l.chat(open, p, n, p.StreamTokens, true) })
		l.repeat(ctx, &wg, p.PaymentRate, func(n int) { l.pay(open, p, n) })
	}
	<-ctx.Done()
	end := time.Now()
	wg.Wait()
	stop()
	sides.Wait()
	return l.report(open, start, end, watch)
}

// repeat starts fn at the rate, in calls per second, until ctx ends.
func (l *LoadGenerator) repeat(ctx context.Context, wg *sync.WaitGroup, rate float64, fn func(n int)) {
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

func (l *LoadGenerator) chat(ctx context.Context, p Profile, n, tokens int, stream bool) {
	l.record(l.route(ctx, request{
		customer: p.Customer, key: l.keys[p.Customer], model: WarmModels[n%len(WarmModels)],
		tokens: tokens, stream: stream, deadline: requestDeadline,
	}, -1))
}

// route sends the request to the next ready VM other than except, and to another one if it cannot be connected.
func (l *LoadGenerator) route(ctx context.Context, q request, except int) Sample {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s := Sample{Customer: q.customer, VM: -1, SentAt: time.Now(), Result: ResultUnreached}
	s.HeaderAt, s.EndedAt = s.SentAt, s.SentAt
	for range dialAttempts {
		vm, ok := l.balancer.pick(except)
		if !ok {
			return s
		}
		if s = q.send(ctx, l.client, l.Deployment.CallersURLs[vm], vm); s.Result != ResultUnreached {
			return s
		}
		l.mu.Lock()
		l.redials++
		l.mu.Unlock()
		except = vm
	}
	return s
}

func (l *LoadGenerator) record(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}
