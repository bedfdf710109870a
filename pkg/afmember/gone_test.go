package afmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
)

// TestIsGone guards against taking a VM for gone while it may still spend tokens or send orders: one that the lagging
// list does not contain yet, one that still answers, and one whose list was read too early.
func TestIsGone(t *testing.T) {
	start := time.Unix(1000, 0)
	old := arbutusfork.Incarnation{VM: "b", StartID: 1}
	v := NewView(arbutusfork.VM{Name: "a"}).WithList([]arbutusfork.VM{{Name: "a"}})
	d := DepartureTracker{}.WithIncarnation(old, start)
	late := start.Add(DefaultMaxListLag + time.Second)

	require.False(t, DepartureTracker{}.IsGone(old, v, late), "an untracked incarnation is not gone")
	require.False(t, d.IsGone(old, v, start.Add(DefaultMaxListLag)), "the list may not contain the VM yet")
	require.True(t, d.IsGone(old, v, late))
	require.False(t, d.IsGone(old, NewView(arbutusfork.VM{Name: "a"}), late), "without a list no VM is gone")
	answering := v.WithObservation(Observation{VM: arbutusfork.VM{Name: "b"}, Alive: true})
	require.False(t, d.IsGone(old, answering, late), "a VM that answers is not gone")
	listed := v.WithList([]arbutusfork.VM{{Name: "b", State: arbutusfork.VMLeaving}})
	require.False(t, d.IsGone(old, listed, late), "a leaving VM still acts")

	reset := d.WithListReset(late)
	require.False(t, reset.IsGone(old, v, late.Add(DefaultMaxListLag)), "an older list may not contain the VM any more")
	require.True(t, reset.IsGone(old, v, late.Add(DefaultMaxListLag+time.Second)))

	restarted := arbutusfork.Incarnation{VM: "b", StartID: 2}
	d = d.WithMessageFrom(restarted, start)
	require.True(t, d.IsGone(old, answering, start), "a newer incarnation of the VM runs")
	require.False(t, d.IsGone(restarted, answering, late))
}
