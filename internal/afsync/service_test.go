package afsync_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin"
)

// TestChangeReachesAll guards against a VM that misses a change, and against a change that is never confirmed.
func TestChangeReachesAll(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		version := f.putCustomer("a")
		ctx, cancel := context.WithTimeout(f.Context(), 2*time.Second)
		defer cancel()
		require.NoError(f, f.vms["vm3"].sync.ConfirmVersion(ctx, version))
		f.advanceTime(2 * time.Second)
		for name, v := range f.vms {
			require.Equal(f, version, v.sync.Version(), name)
			require.True(f, f.isFresh(name), name)
			_, ok := v.sync.Snapshot().Customer("a")
			require.True(f, ok, name)
		}
		require.EqualValues(f, 2, f.platform.Counts().OpenWatches)
	})
}

// TestPlatformOutage guards against VMs that stop being fresh during a long outage of the platform.
func TestPlatformOutage(t *testing.T) {
	for _, n := range []int{6, 12} { // With 12 VMs, evidence is relayed over several hops.
		runFleet(t, n, func(f *fleet) {
			f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
			for range 20 {
				f.advanceTime(10 * time.Second)
				for name := range f.vms {
					require.True(f, f.isFresh(name), name)
				}
			}
		})
	}
}

// TestIsolatedVMStopsBeingFresh guards against a VM that admits withdrawn keys while it is cut off from the platform
// and all VMs, and against one that reconnects with an older configuration.
func TestIsolatedVMStopsBeingFresh(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		f.isolateVM("vm4")
		for range 300 {
			f.advanceTime(100 * time.Millisecond)
			require.True(f, f.isFresh("vm4")) // Probes of the platform alone keep the VM fresh.
		}
		f.network.CutLink("vm4", platformAddress)
		version := f.putCustomer("a")
		f.advanceTime(3*time.Second + time.Millisecond)
		require.False(f, f.isFresh("vm4"))
		require.True(f, f.isFresh("vm0"))
		require.Equal(f, version, f.vms["vm0"].sync.Version())
		f.network.RestoreLink("vm4", platformAddress)
		f.advanceTime(15 * time.Second)
		require.True(f, f.isFresh("vm4"))
		require.Equal(f, version, f.vms["vm4"].sync.Version())
	})
}

// TestRestartDuringOutage guards against a restarted VM that is fresh without a configuration, and against one that
// never becomes fresh although a majority of the witnesses gives evidence.
func TestRestartDuringOutage(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		version := f.putCustomer("a")
		f.advanceTime(2 * time.Second)
		f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
		f.killVM("vm2")
		f.killVM("vm3")
		f.startVM("vm2")
		f.isolateVM("vm2")
		f.advanceTime(10 * time.Second)
		require.False(f, f.isFresh("vm2"))
		f.reconnectVM("vm2")
		f.advanceTime(10 * time.Second)
		require.True(f, f.isFresh("vm2"))
		require.Equal(f, version, f.vms["vm2"].sync.Version())
	})
}
