package afrecover

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
)

// balancer chooses a VM for each request as the platform's load balancer does: in turn among the VMs whose
// readiness check succeeded last.
type balancer struct {
	operators []string

	mu    sync.Mutex
	next  int
	ready []bool
	// broken holds when the checks of each VM got no answer. An answer that the VM is not ready does not count.
	broken [][]time.Time
}

func newBalancer(operators []string) *balancer {
	return &balancer{operators: operators, ready: make([]bool, len(operators)), broken: make([][]time.Time, len(operators))}
}

// run checks each VM until ctx ends.
func (b *balancer) run(ctx context.Context) {
	var wg sync.WaitGroup
	for vm, operator := range b.operators {
		wg.Go(func() {
			client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			tick := time.NewTicker(probeInterval)
			defer tick.Stop()
			for {
				b.check(ctx, client, vm, operator)
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	}
	wg.Wait()
}

func (b *balancer) check(ctx context.Context, client *http.Client, vm int, operator string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, operator+"/readyz", nil)
	if err != nil {
		return
	}
	res, err := client.Do(req)
	ready := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_, _ = io.Copy(io.Discard, res.Body) // Only the status counts.
		_ = res.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[vm] = ready
	if err != nil && ctx.Err() == nil {
		b.broken[vm] = append(b.broken[vm], time.Now())
	}
}

// pick returns the next ready VM, other than the one given if there is another. It reports false if none is.
func (b *balancer) pick(except int) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.ready {
		vm := (b.next + i) % len(b.ready)
		if b.ready[vm] && vm != except {
			b.next = vm + 1
			return vm, true
		}
	}
	if except >= 0 && b.ready[except] {
		return except, true
	}
	return 0, false
}

// failed reports whether a check of the VM got no answer between the times, with the slack of one interval.
func (b *balancer) failed(vm int, from, until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	const slack = probeInterval + probeTimeout
	for _, t := range b.broken[vm] {
		if t.After(from.Add(-slack)) && t.Before(until.Add(slack)) {
			return true
		}
	}
	return false
}
