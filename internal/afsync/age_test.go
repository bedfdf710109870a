package afsync

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afpeer"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// lone returns a service that knows n VMs and whose events are run by hand.
func lone(n int, now time.Time) *Service {
	s := &Service{Self: arbutusfork.Incarnation{VM: "vm0", StartID: 1}, Timer: new(aftimer.Service), SetListedVMs: func([]arbutusfork.VM) {}}
	s.Timer.AdvanceTo(now)
	vms := make([]arbutusfork.VM, n)
	for i := range vms {
		vms[i].Name = string(rune('a' + i))
	}
	view := afmember.NewView(arbutusfork.VM{Name: "vm0"}).WithList(vms)
	s.Membership = func() afmember.View { return view }
	s.ctx = context.Background()
	s.init()
	return s
}

// TestPulledListAge guards against an age that leaves out the way of the answer, and against an older list that
// replaces a later one.
func TestPulledListAge(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	peer, s := lone(12, start.Add(time.Hour)), lone(12, start)
	peer.takeList([]arbutusfork.VM{{Name: "vm1"}}, peer.Timer.Now())
	peer.Timer.AdvanceTo(peer.Timer.Now().Add(4*time.Second + 300*time.Microsecond))
	arrived := start.Add(700 * time.Millisecond)
	s.CallVM = func(_ context.Context, _, _ string, _, answer any) error {
		out, err := peer.serveVMs(s.Self, nil)
		require.NoError(t, err)
		b, err := msgpack.Marshal(out)
		require.NoError(t, err)
		s.Timer.AdvanceTo(arrived) // The answer takes long.
		return msgpack.Unmarshal(b, answer)
	}
	s.pullVMs("peer")
	ctx, cancel := context.WithCancel(context.Background())
	s.events.Consume(ctx, func(fn func()) { fn(); cancel() })
	view, asked := s.ListedMembership()
	vm, ok := view.ListedVM("vm1")
	require.True(t, ok)
	require.Equal(t, arbutusfork.VMLive, vm.State)
	truth := start.Add(-4*time.Second - 300*time.Microsecond) // The peer answered at the moment of the question or later.
	require.False(t, asked.After(truth))
	s.takeList(nil, asked.Add(-time.Second))
	view, _ = s.ListedMembership()
	vm, _ = view.ListedVM("vm1")
	require.Equal(t, arbutusfork.VMLive, vm.State)
}

// TestSmallFleetReadsItsList guards against a change for small fleets, in which each VM reads the list by itself.
func TestSmallFleetReadsItsList(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := lone(7, now)
	s.takeList([]arbutusfork.VM{{Name: "vm1"}}, now)
	require.Zero(t, s.BuildReport(now).ListDigest)
	s.compareList("vm1", 1, now.Add(time.Second))
	require.False(t, s.listPulling)
	large := lone(8, now)
	large.takeList([]arbutusfork.VM{{Name: "vm1"}}, now)
	require.Equal(t, afpeer.ConfigurationReport{ListDigest: large.listed.Load().digest, ListRequestedAt: now}, large.BuildReport(now))
}
