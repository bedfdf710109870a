package afmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
)

// TestGone guards against a VM taken for gone while it may still spend tokens or send orders: one that the lagging
// list does not name yet, one that still answers, and one whose list was read too early.
func TestGone(t *testing.T) {
	start := time.Unix(1000, 0)
	old := arbutusfork.Incarnation{VM: "b", Start: 1}
	v := NewView(arbutusfork.VM{Name: "a"}).WithList([]arbutusfork.VM{{Name: "a"}})
	d := DepartureTracker{}.WithIncarnation(old, start)
	late := start.Add(DefaultMaxListLag + time.Second)

	require.False(t, DepartureTracker{}.IsGone(old, v, late), "unknown until now")
	require.False(t, d.IsGone(old, v, start.Add(DefaultMaxListLag)), "the list may not name it yet")
	require.True(t, d.IsGone(old, v, late))
	require.False(t, d.IsGone(old, NewView(arbutusfork.VM{Name: "a"}), late), "the list was never read")
	answers := v.WithObservation(Observation{VM: arbutusfork.VM{Name: "b"}, Alive: true})
	require.False(t, d.IsGone(old, answers, late), "it answers")
	listed := v.WithList([]arbutusfork.VM{{Name: "b", State: arbutusfork.VMLeaving}})
	require.False(t, d.IsGone(old, listed, late), "a leaving VM still acts")

	next := arbutusfork.Incarnation{VM: "b", Start: 2}
	d = d.WithMessageFrom(next, start)
	require.True(t, d.IsGone(old, answers, start), "a newer incarnation of the VM runs")
	require.False(t, d.IsGone(next, answers, late))
}
