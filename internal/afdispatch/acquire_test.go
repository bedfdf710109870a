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

type acquired struct {
	lease   *Lease
	refusal *arbutusfork.Refusal
}

func (h *harness) acquire(ctx context.Context, req Request) chan acquired {
	out := make(chan acquired, 1)
	go func() {
		l, refusal := h.AcquireLease(ctx, req)
		out <- acquired{l, refusal}
	}()
	return out
}

// TestDeadline guards against a waiting request that gets no result, and against one that is refused only after its
// deadline.
func TestDeadline(t *testing.T) {
	h := newHarness(t).startOwner()
	req := h.newRequest("cold", "a")
	req.Deadline = h.startedAt.Add(time.Second)
	out := h.acquire(context.Background(), req)
	require.Equal(t, waitingChange{"cold", 1}, <-h.waitingChanges)
	h.advance(time.Second - expiryMargin - time.Millisecond)
	require.Empty(t, out)
	h.advance(time.Second - expiryMargin)
	res := <-out
	require.Equal(t, arbutusfork.CodeDeadlineExceeded, res.refusal.Code)
	require.Equal(t, arbutusfork.OutcomeNotRun, res.refusal.Outcome)
	require.Equal(t, waitingChange{"cold", 0}, <-h.waitingChanges)
}

// TestEarlyRefusal guards against a request that waits although its model cannot be ready before its deadline, and against
// one that is refused although the model can.
func TestEarlyRefusal(t *testing.T) {
	h := newHarness(t)
	h.EstimateReady = func(model string) (time.Duration, bool) { return 30 * time.Second, model == "cold" }
	h.startOwner()
	req := h.newRequest("cold", "a")
	req.Deadline = h.startedAt.Add(20 * time.Second)
	res := <-h.acquire(context.Background(), req)
	require.Equal(t, arbutusfork.CodeDeadlineExceeded, res.refusal.Code)
	require.Equal(t, 30*time.Second, res.refusal.RetryAfter)
	out := h.acquire(context.Background(), h.newRequest("cold", "a"))
	require.Equal(t, waitingChange{"cold", 1}, <-h.waitingChanges)
	h.setReplicas(newReplica("cold", "e1", 1))
	h.RecheckWaiting("cold")
	require.NotNil(t, (<-out).lease)
}

// TestEarlyRefusalWhileWaiting guards against the first requests of a cold start waiting until their deadline because they
// arrived before there was an estimate. It also guards against refusals by an estimate that no longer changes because the
// VM that publishes it is gone.
func TestEarlyRefusalWhileWaiting(t *testing.T) {
	var ready atomic.Int64
	h := newHarness(t)
	h.EstimateReady = func(string) (time.Duration, bool) { d := time.Duration(ready.Load()); return d, d > 0 }
	h.startOwner()
	short, long := h.newRequest("cold", "a"), h.newRequest("cold", "b")
	short.Deadline = h.startedAt.Add(20 * time.Second)
	first := h.acquire(context.Background(), short)
	require.Equal(t, waitingChange{"cold", 1}, <-h.waitingChanges)
	second := h.acquire(context.Background(), long)
	require.Equal(t, waitingChange{"cold", 2}, <-h.waitingChanges)
	ready.Store(int64(30 * time.Second))
	h.advance(time.Second)
	res := <-first
	require.Equal(t, arbutusfork.CodeDeadlineExceeded, res.refusal.Code)
	require.Equal(t, arbutusfork.OutcomeNotRun, res.refusal.Outcome)
	require.Equal(t, 30*time.Second, res.refusal.RetryAfter)
	require.Equal(t, waitingChange{"cold", 1}, <-h.waitingChanges)
	h.advance(40 * time.Second)
	h.waitForOwner()
	require.Empty(t, second)
	h.setReplicas(newReplica("cold", "e1", 1))
	h.RecheckWaiting("cold")
	require.NotNil(t, (<-second).lease)
}

// TestColdBurst guards against a change in the number of waiting requests that is not reported during a cold start, and
// against requests that are not served, or exceed the slots of this VM, once the model has a replica.
func TestColdBurst(t *testing.T) {
	h := newHarness(t).startOwner()
	const burst = 20
	outs := make([]chan acquired, burst)
	for i := range outs {
		outs[i] = h.acquire(context.Background(), h.newRequest("cold", "a"))
	}
	for last := 0; last < burst; {
		d := <-h.waitingChanges
		require.Greater(t, d.waiting, last)
		last = d.waiting
	}
	require.Equal(t, map[string]int{"cold": burst}, h.CountWaitingByModel())
	h.setReplicas(newReplica("cold", "e1", 3))
	h.RecheckWaiting("cold")
	h.waitForOwner()
	h.waitForOwner()
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
		require.LessOrEqual(t, len(leases), 3, "more requests run than the replica has slots")
		for _, l := range leases {
			l.Release(0)
		}
		served += len(leases)
		h.waitForOwner()
	}
	// Each round of leases reports fewer waiting requests, down to zero.
	for last := burst; last > 0; {
		d := <-h.waitingChanges
		require.Less(t, d.waiting, last)
		last = d.waiting
	}
}

// TestCancel guards against a slot that is never freed because the caller stops waiting at the moment the lease is granted.
func TestCancel(t *testing.T) {
	h := newHarness(t, newReplica("m", "e1", 1)).startOwner()
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		out := h.acquire(ctx, h.newRequest("m", "a"))
		cancel()
		if res := <-out; res.lease != nil {
			res.lease.Release(0)
		}
	}
	requireGranted(t, h, h.newRequest("m", "a")).Release(0)
	h.waitForOwner()
	require.Zero(t, h.state.endpoints["e1"].runningCount)
}

// TestStop guards against requests that wait forever because the service stops.
func TestStop(t *testing.T) {
	h := newHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = h.Run(ctx); close(done) }()
	out := h.acquire(context.Background(), h.newRequest("cold", "a"))
	<-h.waitingChanges
	cancel()
	require.Equal(t, arbutusfork.CodeShuttingDown, (<-out).refusal.Code)
	<-done
	require.Equal(t, arbutusfork.CodeShuttingDown, (<-h.acquire(context.Background(), h.newRequest("cold", "a"))).refusal.Code)
}

// TestChoose guards against requests that are routed to another data centre without need, prefixes that are spread over
// engines, and requests for endpoints that are full, draining or in backoff.
func TestChoose(t *testing.T) {
	replicas := []afplacement.Replica{
		{Model: "m", Endpoint: "near1", Centre: "c1", Slots: 10},
		{Model: "m", Endpoint: "near2", Centre: "c1", Slots: 10},
		{Model: "m", Endpoint: "far", Centre: "c2", Slots: 10},
	}
	countChoices := func(prefix uint64, change func(*harness)) map[string]int {
		h := newHarness(t, replicas...)
		h.Centre = "c1"
		h.init()
		if change != nil {
			change(h)
		}
		out := make(map[string]int)
		for range 300 {
			out[h.chooseReplica(Request{Model: "m", PrefixHash: prefix}, h.startedAt).replica.Endpoint]++
		}
		return out
	}
	even := countChoices(0, nil)
	require.Less(t, even["far"], 50)
	require.Greater(t, min(even["near1"], even["near2"]), 80)
	homeEndpoints := make(map[string]bool)
	for prefix := uint64(1); prefix < 30; prefix++ {
		c := countChoices(prefix, nil)
		for name, n := range c {
			if n > 250 {
				homeEndpoints[name] = true
			}
		}
		require.LessOrEqual(t, len(c), 2, "one prefix is spread over all engines: %v", c)
	}
	require.True(t, homeEndpoints["near1"] && homeEndpoints["near2"], "all prefixes hash to the same engine: %v", homeEndpoints)
	full := countChoices(0, func(h *harness) { h.state.endpointFor("near1").runningCount = 10 })
	require.Zero(t, full["near1"])
	left := countChoices(0, func(h *harness) { h.state.endpointFor("near2").drainingAt = h.startedAt })
	require.Zero(t, left["near2"])
	failed := countChoices(0, func(h *harness) { h.state.endpointFor("near2").backoffUntil = h.startedAt.Add(time.Second) })
	require.Zero(t, failed["near2"])
}

// TestBounds guards against waiting requests that exceed the bounds of number and memory, and against the memory of a
// request that stays counted after the request has stopped waiting.
func TestBounds(t *testing.T) {
	h := newHarness(t)
	h.MaxWaitingRequests, h.MaxWaitingBytes = 2, 100
	h.startOwner()
	newRequestOfBytes := func(n int64) Request {
		q := h.newRequest("cold", "a")
		q.MemoryBytes = n
		return q
	}
	requireRefused := func(q Request) {
		res := <-h.acquire(context.Background(), q)
		require.Equal(t, arbutusfork.CodeNoCapacity, res.refusal.Code)
		require.Equal(t, arbutusfork.OutcomeNotRun, res.refusal.Outcome)
	}
	ctx, cancel := context.WithCancel(context.Background())
	first := h.acquire(ctx, newRequestOfBytes(90))
	require.Equal(t, 1, (<-h.waitingChanges).waiting)
	requireRefused(newRequestOfBytes(20))
	second := h.acquire(context.Background(), newRequestOfBytes(10))
	require.Equal(t, 2, (<-h.waitingChanges).waiting)
	requireRefused(newRequestOfBytes(0))
	cancel()
	require.NotNil(t, (<-first).refusal)
	require.Equal(t, 1, (<-h.waitingChanges).waiting)
	third := h.acquire(context.Background(), newRequestOfBytes(90))
	require.Equal(t, 2, (<-h.waitingChanges).waiting)
	h.setReplicas(newReplica("cold", "e1", 2))
	h.RecheckWaiting("cold")
	require.NotNil(t, (<-second).lease)
	require.NotNil(t, (<-third).lease)
}
