package afkeeper

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/aflease"
)

// slowOrderHolder is a holder whose order to the engine i-1 takes until it is told to end or its context ends.
type slowOrderHolder struct {
	*Service
	boot   atomic.Int64
	called chan context.Context
	end    chan struct{}
	// orderAge is the age of the order in the last stop message, in milliseconds.
	orderAge int64
}

func newSlowOrderHolder(t *testing.T) *slowOrderHolder {
	t.Helper()
	unused := time.Duration(0)
	h := &slowOrderHolder{Service: newHolderTestService(t, "a", &unused), called: make(chan context.Context, 1), end: make(chan struct{}), orderAge: -1}
	h.boot.Store(int64(time.Minute))
	h.BootTime = func() time.Duration { return time.Duration(h.boot.Load()) }
	h.Roster = &afroster.Roster{Now: h.Timer.Now}
	h.SendOrder = func(ctx context.Context, _ afengine.EndpointEntry, _ string, _ int64, _ afengine.Order) afengine.Result {
		h.called <- ctx
		select {
		case <-ctx.Done():
		case <-h.end:
		}
		return afengine.ResultUnclear
	}
	h.SendToVM = func(_, _ string, message any) error {
		body, err := msgpack.Marshal(message)
		require.NoError(t, err)
		var m holderStop
		require.NoError(t, msgpack.Unmarshal(body, &m))
		h.orderAge = m.OrderAgesMs["i-1"]
		return nil
	}
	h.lease = h.lease.WithWrittenRecord(aflease.Record{Holder: h.Self.String(), Machine: "a", Epoch: 1}, 1, h.BootTime(), h.BootTime())
	entry := afengine.EndpointEntry{ID: "i-1", Service: "llm", StartUnixMs: 1}
	h.Roster.PutEntry(entry)
	h.engines["i-1"] = &engineState{entry: entry}
	return h
}

// sendSlowOrder sends an order and returns the context of its call.
func (h *slowOrderHolder) sendSlowOrder(t *testing.T) context.Context {
	t.Helper()
	h.sendOrder(t.Context(), afassign.PlannedOrder{EngineID: "i-1", Order: afengine.Order{Model: "m1"}}, h.lease.Epoch(), h.Timer.Now())
	return <-h.called
}

// Guards against a next holder that orders too soon after an order which arrived long after it was sent.
func TestQuietPeriodFollowsLateOrders(t *testing.T) {
	h := newSlowOrderHolder(t)
	h.sendSlowOrder(t)
	h.boot.Add(int64(700 * time.Millisecond))
	close(h.end)
	<-h.orderResults
	h.boot.Add(int64(100 * time.Millisecond))
	h.announceStop(h.lease.Epoch())
	require.EqualValues(t, 100, h.orderAge)
}

// Guards against an order that arrives after its holder has announced that it stopped.
func TestStopEndsOrdersUnderWay(t *testing.T) {
	h := newSlowOrderHolder(t)
	ctx := h.sendSlowOrder(t)
	h.boot.Add(int64(700 * time.Millisecond))
	h.announceStop(h.lease.Epoch())
	require.Error(t, ctx.Err())
	require.Zero(t, h.orderAge)
}

// Guards against an order that arrives after the end of the lease under which it was sent.
func TestOrderEndsWithLease(t *testing.T) {
	h := newSlowOrderHolder(t)
	h.boot.Add(int64(holderTestTiming.TTL - 50*time.Millisecond))
	deadline, ok := h.sendSlowOrder(t).Deadline()
	require.True(t, ok)
	require.LessOrEqual(t, time.Until(deadline), 50*time.Millisecond)
}
