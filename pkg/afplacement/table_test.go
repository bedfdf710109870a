package afplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// TestTableOrder guards against an older publication that replaces a newer one, also across a take-over.
func TestTableOrder(t *testing.T) {
	part := func(epoch, sequence int64, endpoint string) TablePart {
		return TablePart{Shard: "s-0", Epoch: epoch, Sequence: sequence, Replicas: []Replica{{Model: "a", Endpoint: endpoint}}}
	}
	var table *Table
	table, newer := table.WithPart(part(1, 7, "r1"))
	require.True(t, newer)
	for _, old := range []TablePart{part(1, 7, "r2"), part(1, 6, "r2"), part(0, 9, "r2")} {
		_, newer = table.WithPart(old)
		require.False(t, newer)
	}
	table, newer = table.WithPart(part(2, 1, "r3"))
	require.True(t, newer)
	require.Equal(t, "r3", table.Replicas("a")[0].Endpoint)
	require.Empty(t, table.WithoutEndpoint("r3").Replicas("a"))
}

// TestPartEncoding guards against a field that is lost in the msgpack form.
func TestPartEncoding(t *testing.T) {
	p := TablePart{
		Shard: "s-0", Service: "s", Owner: arbutusfork.Incarnation{VM: "vm1", StartID: 3}, Epoch: 2, Sequence: 5,
		Replicas:  []Replica{{Model: "a:x", Endpoint: "r1", Address: "10.0.0.1:80", Centre: "c", Slots: 4, RunningRequests: 1, Credits: map[string]int{"vm1": 4}}},
		Estimates: []ReadyEstimate{{Model: "b", TimeToReady: time.Second}},
	}
	b, err := p.Encode()
	require.NoError(t, err)
	got, err := DecodeTablePart(b)
	require.NoError(t, err)
	require.Equal(t, p, got)
}

// TestAllocateCredits guards against credits that exceed an endpoint's slots and against slots that no VM may use.
func TestAllocateCredits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 40).Draw(t, "slots")
		vms := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{2}"), 1, 8, rapid.ID[string]).Draw(t, "vms")
		demand := make(map[string]int)
		for _, vm := range vms {
			demand[vm] = rapid.IntRange(0, 100).Draw(t, vm)
		}
		sum := 0
		for vm, n := range AllocateCredits(slots, vms, demand) {
			sum += n
			if slots >= len(vms) && n == 0 {
				t.Fatalf("VM %s has no slot", vm)
			}
		}
		if sum != slots {
			t.Fatalf("%d credits for %d slots", sum, slots)
		}
	})
}

// TestTableOrderAcrossEras guards against a table that stays as it was before the store went back, because the era of the
// fencing number is lost when the version is computed.
func TestTableOrderAcrossEras(t *testing.T) {
	era1, err := afversion.Join(1, 90)
	require.NoError(t, err)
	era2, err := afversion.Join(2, 40)
	require.NoError(t, err)
	var table *Table
	table, _ = table.WithPart(TablePart{Shard: "s-0", Epoch: era1, Sequence: 7})
	table, newer := table.WithPart(TablePart{Shard: "s-0", Epoch: era2, Sequence: 1})
	require.True(t, newer)
	_, newer = table.WithPart(TablePart{Shard: "s-0", Epoch: era1, Sequence: 8})
	require.False(t, newer)
}
