package afsync_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin"
)

// TestChangeReachesAll guards against a VM that misses a change, and against an acceptance that is never given.
func TestChangeReachesAll(t *testing.T) {
	run(t, 6, func(f *fleet) {
		version := f.change("a")
		ctx, cancel := context.WithTimeout(f.Context(), 2*time.Second)
		defer cancel()
		require.NoError(f, f.vms["vm3"].sync.ConfirmVersion(ctx, version))
		f.pass(2 * time.Second)
		for name, v := range f.vms {
			require.Equal(f, version, v.sync.Version(), name)
			require.True(f, f.fresh(name), name)
			_, ok := v.sync.Snapshot().Customer("a")
			require.True(f, ok, name)
		}
		require.EqualValues(f, 2, f.platform.Counts().OpenWatches)
	})
}

// TestPlatformOutage guards against refusals while the platform is down for long.
func TestPlatformOutage(t *testing.T) {
	for _, n := range []int{6, 12} { // With 12 VMs, evidence comes over hops.
		run(t, n, func(f *fleet) {
			f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
			for range 20 {
				f.pass(10 * time.Second)
				for name := range f.vms {
					require.True(f, f.fresh(name), name)
				}
			}
		})
	}
}

// TestIsolatedVMStopsBeingFresh guards against a VM that admits withdrawn keys while it can learn nothing, and
// against one that comes back with less than it had.
func TestIsolatedVMStopsBeingFresh(t *testing.T) {
	run(t, 6, func(f *fleet) {
		f.isolate("vm4")
		for range 300 {
			f.pass(100 * time.Millisecond)
			require.True(f, f.fresh("vm4")) // The platform is evidence enough.
		}
		f.network.CutLink("vm4", platformAddress)
		version := f.change("a")
		f.pass(3*time.Second + time.Millisecond)
		require.False(f, f.fresh("vm4"))
		require.True(f, f.fresh("vm0"))
		require.Equal(f, version, f.vms["vm0"].sync.Version())
		f.network.RestoreLink("vm4", platformAddress)
		f.pass(15 * time.Second)
		require.True(f, f.fresh("vm4"))
		require.Equal(f, version, f.vms["vm4"].sync.Version())
	})
}

// TestRestartDuringOutage guards against a VM that serves from nothing, and against one that never becomes
// ready although a majority of the witnesses vouches.
func TestRestartDuringOutage(t *testing.T) {
	run(t, 6, func(f *fleet) {
		version := f.change("a")
		f.pass(2 * time.Second)
		f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
		f.kill("vm2")
		f.kill("vm3")
		f.start("vm2")
		f.isolate("vm2")
		f.pass(10 * time.Second)
		require.False(f, f.fresh("vm2"))
		f.heal("vm2")
		f.pass(10 * time.Second)
		require.True(f, f.fresh("vm2"))
		require.Equal(f, version, f.vms["vm2"].sync.Version())
	})
}
