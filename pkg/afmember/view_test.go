package afmember

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
)

func fleet(n int) []arbutusfork.VM {
	var out []arbutusfork.VM
	for i := range n {
		out = append(out, arbutusfork.VM{Name: fmt.Sprint("vm", i), Centre: fmt.Sprint("c", i%3)})
	}
	return out
}

// TestTop guards against choices that move without need: when one VM goes, only keys that it had may move.
func TestTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(rapid.IntRange(2, 40).Draw(t, "vms"))
		key, k := rapid.String().Draw(t, "key"), rapid.IntRange(1, 10).Draw(t, "k")
		gone := rapid.SampledFrom(vms).Draw(t, "gone")
		isGone := func(vm arbutusfork.VM) bool { return vm == gone }
		before := Top(vms, key, k)
		after := Top(slices.DeleteFunc(slices.Clone(vms), isGone), key, k)
		kept := slices.DeleteFunc(slices.Clone(before), isGone)
		require.Equal(t, kept, after[:len(kept)])
		shuffled := rapid.Permutation(vms).Draw(t, "order")
		require.Equal(t, before, Top(shuffled, key, k))
	})
}

// TestView guards against choices that include the dead and leaving or overlook the unlisted.
func TestView(t *testing.T) {
	vms := fleet(12)
	v := New(vms[0])
	require.Equal(t, vms[:1], v.Live())
	require.True(t, v.Watches())
	_, ok := v.Listed("vm1")
	require.False(t, ok)

	v = v.WithList(vms)
	require.Len(t, v.Live(), 12)
	require.Len(t, v.Neighbours(), MaxNeighbours)
	require.NotContains(t, v.Neighbours(), vms[0])
	require.Len(t, v.Watchers("c1"), CentreWatchers)
	first := v.Watchers("c1")[0]

	v = v.WithObservation(Observation{VM: first, Suspected: true})
	require.NotContains(t, v.Watchers("c1"), first)
	require.Contains(t, v.Known(), first)
	home, ok := v.Home("key")
	require.True(t, ok)
	v = v.WithObservation(Observation{VM: home, Alive: true, Leaving: true})
	next, _ := v.Home("key")
	require.NotEqual(t, home.Name, next.Name)

	stranger := arbutusfork.VM{Name: "new", Centre: "c9"}
	v = v.WithObservation(Observation{VM: stranger, Alive: true})
	require.Contains(t, v.Live(), stranger)
	require.Equal(t, []arbutusfork.VM{stranger}, v.Watchers("c9"))
	v = v.WithoutObservation("new")
	require.NotContains(t, v.Known(), stranger)
	gone, ok := v.Listed("new")
	require.True(t, ok)
	require.Equal(t, arbutusfork.VMGone, gone.State)
}
