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
		before := HighestRanked(vms, key, k)
		after := HighestRanked(slices.DeleteFunc(slices.Clone(vms), isGone), key, k)
		kept := slices.DeleteFunc(slices.Clone(before), isGone)
		require.Equal(t, kept, after[:len(kept)])
		shuffled := rapid.Permutation(vms).Draw(t, "order")
		require.Equal(t, before, HighestRanked(shuffled, key, k))
	})
}

// TestView guards against choices that include the dead and leaving or overlook the unlisted.
func TestView(t *testing.T) {
	vms := fleet(12)
	v := NewView(vms[0])
	require.Equal(t, vms[:1], v.LiveVMs())
	require.True(t, v.IsPlatformWatcher())
	_, ok := v.ListedVM("vm1")
	require.False(t, ok)

	v = v.WithList(vms)
	require.Len(t, v.LiveVMs(), 12)
	require.Len(t, v.HeartbeatPeers(), MaxHeartbeatPeers)
	require.NotContains(t, v.HeartbeatPeers(), vms[0])
	require.Len(t, v.PlatformWatchers("c1"), WatchersPerCentre)
	first := v.PlatformWatchers("c1")[0]

	v = v.WithObservation(Observation{VM: first, Suspected: true})
	require.NotContains(t, v.PlatformWatchers("c1"), first)
	require.Contains(t, v.PossiblyAliveVMs(), first)
	home, ok := v.HomeVM("key")
	require.True(t, ok)
	v = v.WithObservation(Observation{VM: home, Alive: true, Leaving: true})
	next, _ := v.HomeVM("key")
	require.NotEqual(t, home.Name, next.Name)

	stranger := arbutusfork.VM{Name: "new", Centre: "c9"}
	v = v.WithObservation(Observation{VM: stranger, Alive: true})
	require.Contains(t, v.LiveVMs(), stranger)
	require.Equal(t, []arbutusfork.VM{stranger}, v.PlatformWatchers("c9"))
	v = v.WithoutObservation("new")
	require.NotContains(t, v.PossiblyAliveVMs(), stranger)
	gone, ok := v.ListedVM("new")
	require.True(t, ok)
	require.Equal(t, arbutusfork.VMGone, gone.State)
}
