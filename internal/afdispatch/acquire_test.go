package afdispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

type result struct {
	lease   *Lease
	refusal *arbutusfork.Refusal
}

func (r *rig) acquire(ctx context.Context, req Request) chan result {
	out := make(chan result, 1)
	go func() {
		l, refusal := r.AcquireLease(ctx, req)
		out <- result{l, refusal}
	}()
	return out
}

// TestDeadline guards against a waiting request that is dropped, and against a refusal after its deadline.
func TestDeadline(t *testing.T) {
	r := newRig(t).run()
	req := r.request("cold", "a")
	req.Deadline = r.start.Add(time.Second)
	out := r.acquire(context.Background(), req)
	require.Equal(t, demand{"cold", 1}, <-r.demand)
	r.advance(time.Second - expiryMargin - time.Millisecond)
	require.Empty(t, out)
	r.advance(time.Second - expiryMargin)
	res := <-out
	require.Equal(t, arbutusfork.CodeDeadlineExceeded, res.refusal.Code)
	require.Equal(t, arbutusfork.OutcomeNotRun, res.refusal.Outcome)
	require.Equal(t, demand{"cold", 0}, <-r.demand)
}

// TestEarlyRefusal guards against letting a caller wait for a model that cannot be ready within its deadline,
// and against refusing one that can.
func TestEarlyRefusal(t *testing.T) {
	r := newRig(t)
	r.EstimateReady = func(model string) (time.Duration, bool) { return 30 * time.Second, model == "cold" }
	r.run()
	req := r.request("cold", "a")
	req.Deadline = r.start.Add(20 * time.Second)
	res := <-r.acquire(context.Background(), req)
	require.Equal(t, arbutusfork.CodeDeadlineExceeded, res.refusal.Code)
	require.Equal(t, 30*time.Second, res.refusal.RetryAfter)
	out := r.acquire(context.Background(), r.request("cold", "a"))
	require.Equal(t, demand{"cold", 1}, <-r.demand)
	r.set(model("cold", "e1", 1))
	r.RecheckWaiting("cold")
	require.NotNil(t, (<-out).lease)
}

// TestEarlyRefusalWhileWaiting guards against letting the first callers of a cold start wait out their deadline: they
// come before there is an estimate. An estimate that stands still, because its publisher is gone, refuses nobody later.
func TestEarlyRefusalWhileWaiting(t *testing.T) {
	var ready atomic.Int64
	r := newRig(t)
	r.EstimateReady = func(string) (time.Duration, bool) { d := time.Duration(ready.Load()); return d, d > 0 }
	r.run()
	short, long := r.request("cold", "a"), r.request("cold", "b")
	short.Deadline = r.start.Add(20 * time.Second)
	first := r.acquire(context.Background(), short)
	require.Equal(t, demand{"cold", 1}, <-r.demand)
	second := r.acquire(context.Background(), long)
	require.Equal(t, demand{"cold", 2}, <-r.demand)
	ready.Store(int64(30 * time.Second))
	r.advance(time.Second)
	res := <-first
	require.Equal(t, arbutusfork.CodeDeadlineExceeded, res.refusal.Code)
	require.Equal(t, arbutusfork.OutcomeNotRun, res.refusal.Outcome)
	require.Equal(t, 30*time.Second, res.refusal.RetryAfter)
	require.Equal(t, demand{"cold", 1}, <-r.demand)
	r.advance(40 * time.Second)
	r.settle()
	require.Empty(t, second)
	r.set(model("cold", "e1", 1))
	r.RecheckWaiting("cold")
	require.NotNil(t, (<-second).lease)
}

// TestColdBurst guards the demand of a cold start: it is told at once and whenever the number of waiting requests
// changes, down to none, and all of them are served when the replica comes, within its credit.
func TestColdBurst(t *testing.T) {
	r := newRig(t).run()
	const burst = 20
	outs := make([]chan result, burst)
	for i := range outs {
		outs[i] = r.acquire(context.Background(), r.request("cold", "a"))
	}
	for last := 0; last < burst; {
		d := <-r.demand
		require.Greater(t, d.waiting, last)
		last = d.waiting
	}
	require.Equal(t, map[string]int{"cold": burst}, r.CountWaitingByModel())
	r.set(model("cold", "e1", 3))
	r.RecheckWaiting("cold")
	r.settle()
	r.settle()
	for served := 0; served < burst; {
		var leases []*Lease
		for _, out := range outs {
			select {
			case res := <-out:
				require.NotNil(t, res.lease, res.refusal)
				leases = append(leases, res.lease)
			default:
			}
		}
		require.LessOrEqual(t, len(leases), 3, "more requests run than the credit allows")
		for _, l := range leases {
			l.Release(0)
		}
		served += len(leases)
		r.settle()
	}
	// Each round reports fewer waiting requests until none is left.
	for last := burst; last > 0; {
		d := <-r.demand
		require.Less(t, d.waiting, last)
		last = d.waiting
	}
}

// TestCancel guards the slot of a request whose caller ends at the moment it is granted.
func TestCancel(t *testing.T) {
	r := newRig(t, model("m", "e1", 1)).run()
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		out := r.acquire(ctx, r.request("m", "a"))
		cancel()
		if res := <-out; res.lease != nil {
			res.lease.Release(0)
		}
	}
	requireGranted(t, r, r.request("m", "a")).Release(0)
	r.settle()
	require.Zero(t, r.state.endpoints["e1"].running)
}

// TestStop guards against requests that wait for ever when the service stops.
func TestStop(t *testing.T) {
	r := newRig(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = r.Run(ctx); close(done) }()
	out := r.acquire(context.Background(), r.request("cold", "a"))
	<-r.demand
	cancel()
	require.Equal(t, arbutusfork.CodeShuttingDown, (<-out).refusal.Code)
	<-done
	require.Equal(t, arbutusfork.CodeShuttingDown, (<-r.acquire(context.Background(), r.request("cold", "a"))).refusal.Code)
}

// TestChoose guards the order of preferences: this data centre, the engine that has the prefix, free slots.
func TestChoose(t *testing.T) {
	replicas := []afplacement.Replica{
		{Model: "m", Endpoint: "near1", Centre: "c1", Slots: 10},
		{Model: "m", Endpoint: "near2", Centre: "c1", Slots: 10},
		{Model: "m", Endpoint: "far", Centre: "c2", Slots: 10},
	}
	choose := func(prefix uint64, change func(*rig)) map[string]int {
		r := newRig(t, replicas...)
		r.Centre = "c1"
		r.init()
		if change != nil {
			change(r)
		}
		out := make(map[string]int)
		for range 300 {
			out[r.choose(Request{Model: "m", PrefixHash: prefix}, r.start).replica.Endpoint]++
		}
		return out
	}
	even := choose(0, nil)
	require.Less(t, even["far"], 50)
	require.Greater(t, min(even["near1"], even["near2"]), 80)
	homes := make(map[string]bool)
	for prefix := uint64(1); prefix < 30; prefix++ {
		c := choose(prefix, nil)
		for name, n := range c {
			if n > 250 {
				homes[name] = true
			}
		}
		require.LessOrEqual(t, len(c), 2, "a prefix is spread over all engines: %v", c)
	}
	require.True(t, homes["near1"] && homes["near2"], "all prefixes go to the same engine: %v", homes)
	full := choose(0, func(r *rig) { r.state.endpoint("near1").running = 10 })
	require.Zero(t, full["near1"])
	left := choose(0, func(r *rig) { r.state.endpoint("near2").left = r.start })
	require.Zero(t, left["near2"])
	failed := choose(0, func(r *rig) { r.state.endpoint("near2").until = r.start.Add(time.Second) })
	require.Zero(t, failed["near2"])
}

// TestBounds guards against waiting requests that exhaust the VM's memory, and against bytes that stay counted after
// their request has left.
func TestBounds(t *testing.T) {
	r := newRig(t)
	r.MaxWaitingRequests, r.MaxWaitingBytes = 2, 100
	r.run()
	big := func(n int64) Request {
		q := r.request("cold", "a")
		q.MemoryBytes = n
		return q
	}
	refused := func(q Request) {
		res := <-r.acquire(context.Background(), q)
		require.Equal(t, arbutusfork.CodeNoCapacity, res.refusal.Code)
		require.Equal(t, arbutusfork.OutcomeNotRun, res.refusal.Outcome)
	}
	ctx, cancel := context.WithCancel(context.Background())
	first := r.acquire(ctx, big(90))
	require.Equal(t, 1, (<-r.demand).waiting)
	refused(big(20))
	second := r.acquire(context.Background(), big(10))
	require.Equal(t, 2, (<-r.demand).waiting)
	refused(big(0))
	cancel()
	require.NotNil(t, (<-first).refusal)
	require.Equal(t, 1, (<-r.demand).waiting)
	third := r.acquire(context.Background(), big(90))
	require.Equal(t, 2, (<-r.demand).waiting)
	r.set(model("cold", "e1", 2))
	r.RecheckWaiting("cold")
	require.NotNil(t, (<-second).lease)
	require.NotNil(t, (<-third).lease)
}
