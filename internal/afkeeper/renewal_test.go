package afkeeper

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/aflease"
)

// Guards against VMs that never learn of a change of the endpoints while the renewal of the holder's lease was late.
func TestChangeDuringLateRenewalIsLearned(t *testing.T) {
	boot := time.Minute
	a, b := newHolderTestService(t, "a", &boot), newHolderTestService(t, "b", &boot)
	a.Roster = &afroster.Roster{Now: a.Timer.Now}
	a.KnowsAllEndpoints = func() bool { return true }
	b.CallVM = func(_ context.Context, _, _ string, _, answer any) error {
		list, err := a.HandleEndpointListRequest(b.Self, nil)
		require.NoError(t, err)
		body, err := msgpack.Marshal(list)
		require.NoError(t, err)
		return msgpack.Unmarshal(body, answer)
	}
	learned := make(chan []afengine.EndpointEntry, 1)
	b.ApplyEndpoints = func(entries []afengine.EndpointEntry, _ []string, _ bool) { learned <- entries }

	renewed := aflease.Record{Holder: a.Self.String(), Machine: "a", Epoch: 5, RenewalCount: 1}
	a.lease = a.lease.WithReadRecord(aflease.Record{Holder: "x", Epoch: 4, IsReleased: true}, 19, boot)
	a.lease = a.lease.WithWrittenRecord(renewed, 20, boot, boot)
	b.endpointSync = endpointSyncState{epoch: 5, seq: a.endpointSeq, isComplete: true}
	sentAt := boot + time.Second
	boot += holderTestTiming.TTL
	require.False(t, a.HoldsLease())
	changed := afengine.EndpointEntry{ID: "i-1", Service: "app", Address: "127.0.0.1:1"}
	a.Roster.PutEntry(changed)
	a.RelayEndpoints([]afengine.EndpointEntry{changed}, nil)
	renewed.RenewalCount++
	a.lease = a.lease.WithWrittenRecord(renewed, 21, sentAt, boot)
	require.True(t, a.HoldsLease(), "the renewal is acknowledged late")
	require.NotEqual(t, b.endpointSync.seq, a.endpointSeq, "the view shows nothing that b missed")
	b.syncEndpoints("a", a.lease.Epoch(), a.endpointSeq)
	require.Equal(t, "i-1", (<-learned)[0].ID)
}
