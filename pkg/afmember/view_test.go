package afmember

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
)

// testVMs returns n VMs in three data centres.
func testVMs(n int) []arbutusfork.VM {
	var out []arbutusfork.VM
	for i := range n {
		out = append(out, arbutusfork.VM{Name: fmt.Sprint("vm", i), Centre: fmt.Sprint("c", i%3)})
	}
	return out
}

// Guards against VMs of different versions that rank the VMs of a key differently.
func TestHighestRankedOrdersByHash(t *testing.T) {
	vms := make([]arbutusfork.VM, 380)
	for i := range vms {
		vms[i] = arbutusfork.VM{Name: "vm" + strconv.Itoa(i)}
	}
	for _, key := range []string{"", "limit/i-1", "watch/c1"} {
		sorted := slices.Clone(vms)
		slices.SortFunc(sorted, func(a, b arbutusfork.VM) int {
			return cmp.Compare(xxhash.Sum64String(key+"\x00"+b.Name), xxhash.Sum64String(key+"\x00"+a.Name))
		})
		for _, k := range []int{0, 1, 2, 8, 380, 400} {
			require.Equal(t, sorted[:min(k, len(sorted))], HighestRanked(vms, key, k))
		}
	}
}

// TestHighestRanked guards against needless moves: when one VM leaves, only keys that it had may move.
func TestHighestRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := testVMs(rapid.IntRange(2, 40).Draw(t, "vms"))
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

// TestMembershipView guards against choices that include suspected or leaving VMs, or that omit VMs which answer
// heartbeats but are not listed yet.
func TestMembershipView(t *testing.T) {
	vms := testVMs(12)
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

	unlisted := arbutusfork.VM{Name: "new", Centre: "c9"}
	v = v.WithObservation(Observation{VM: unlisted, Alive: true})
	require.Contains(t, v.LiveVMs(), unlisted)
	require.Equal(t, []arbutusfork.VM{unlisted}, v.PlatformWatchers("c9"))
	v = v.WithoutObservation("new")
	require.NotContains(t, v.PossiblyAliveVMs(), unlisted)
	gone, ok := v.ListedVM("new")
	require.True(t, ok)
	require.Equal(t, arbutusfork.VMGone, gone.State)
}
