package afsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/internal/afsync"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// maxEnforcementDelay is the time within which a change must be in force on every VM.
const maxEnforcementDelay = 5 * time.Second

// TestSilentWatch guards against a VM that relies on an open watch that delivers no more events. When all connections
// to the platform become silent, changes must still arrive in time over new connections.
func TestSilentWatch(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{SilencesOpenConnections: true})
		version := f.putCustomer("a")
		f.advanceTime(maxEnforcementDelay)
		for name, v := range f.vms {
			require.Equal(f, version, v.sync.Version(), name)
			require.True(f, f.isFresh(name), name)
		}
	})
}

// TestExpiredWatch guards against a VM that misses a deletion because the platform no longer holds the event when the VM
// reconnects.
func TestExpiredWatch(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.putCustomer("kept")
		f.putCustomer("deleted")
		f.advanceTime(2 * time.Second)
		for name := range f.vms {
			f.network.CutLink(name, platformAddress)
		}
		f.platform.RemoveObject(afobject.KindCustomers, "deleted")
		var version int64
		for i := range 2000 {
			version = f.putCustomer(fmt.Sprint(i % 10))
		}
		for name := range f.vms {
			f.network.RestoreLink(name, platformAddress)
		}
		f.advanceTime(2 * maxEnforcementDelay)
		for name, v := range f.vms {
			require.Equal(f, version, v.sync.Version(), name)
			require.Len(f, v.sync.Snapshot().Customers(), 11, name)
		}
	})
}

// TestSlowPlatform guards against watches and probes that end before a slow platform can answer.
func TestSlowPlatform(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{DelayMillis: 900})
		f.vms["vm0"].stop()
		f.startVM("vm0")
		f.advanceTime(10 * time.Second)
		version := f.putCustomer("a")
		f.advanceTime(maxEnforcementDelay)
		for name, v := range f.vms {
			require.Equal(f, version, v.sync.Version(), name)
			require.True(f, f.isFresh(name), name)
		}
	})
}

// TestLargeConfiguration guards against changes that a VM cannot fetch from a peer because they exceed one message.
func TestLargeConfiguration(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		for i := range 600 {
			_, err := f.platform.PutObject(afobject.KindModels, fmt.Sprint(i), arbutusfork.Model{
				Name: fmt.Sprint(i), Service: strings.Repeat("s", 10_000),
			})
			require.NoError(f, err)
		}
		f.killVM("vm2")
		f.network.CutLink("vm2", platformAddress)
		f.startVM("vm2")
		f.advanceTime(10 * time.Second)
		require.Len(f, f.vms["vm2"].sync.Snapshot().Models(), 600)
		require.True(f, f.isFresh("vm2"))
	})
}

// TestRollingReplacement guards against a witness set that keeps replaced VMs or loses its majority, while all VMs are
// replaced one by one and the platform's answers to writes are lost.
func TestRollingReplacement(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{LosesWriteAnswers: true})
		for i := range 4 {
			f.putListedVM(vmName(i), "leaving")
			f.vms[vmName(i)].peer.AnnounceLeaving()
			f.putListedVM(vmName(10+i), "live")
			f.startVM(vmName(10 + i))
			f.advanceTime(30 * time.Second)
			f.platform.RemoveObject(afobject.KindVMs, vmName(i))
			f.killVM(vmName(i))
			for other := range f.vms {
				require.True(f, f.isFresh(other), other)
			}
		}
		f.advanceTime(30 * time.Second)
		f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
		f.advanceTime(time.Minute)
		for other, v := range f.vms {
			require.True(f, f.isFresh(other), other)
			require.Equal(f, []string{"vm10", "vm11", "vm12", "vm13"}, v.sync.Snapshot().Witnesses().VMs)
		}
	})
}

// TestWitnessMajority guards against a VM that is fresh by the evidence of a minority of the witnesses, and against VMs
// that stop being fresh when the platform and only a minority of the witnesses are down.
func TestWitnessMajority(t *testing.T) {
	runFleet(t, 6, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
		f.killVM("vm0")
		f.killVM("vm1")
		f.advanceTime(time.Minute)
		for other := range f.vms {
			require.True(f, f.isFresh(other), other)
		}
		version := f.vms["vm2"].sync.Version()
		require.NoError(f, f.vms["vm2"].sync.ConfirmVersion(f.Context(), version))
		f.killVM("vm2")
		f.advanceTime(4 * time.Second)
		for other := range f.vms {
			require.False(f, f.isFresh(other), other)
		}
		ctx, cancel := context.WithTimeout(f.Context(), maxEnforcementDelay)
		defer cancel()
		err := f.vms["vm3"].sync.ConfirmVersion(ctx, version)
		require.True(f, afsync.IsKind(err, afsync.VersionUnconfirmed), err)
		// With the platform and its list, the remaining VMs replace a set that has lost its majority.
		f.platform.SetFaults(afstandin.PlatformFaults{})
		for i := range 3 {
			f.platform.RemoveObject(afobject.KindVMs, vmName(i))
		}
		f.advanceTime(time.Minute)
		require.Equal(f, []string{"vm3", "vm4", "vm5"}, f.vms["vm3"].sync.Snapshot().Witnesses().VMs)
	})
}

// TestFleetUnderFaults guards against a fresh VM that lacks an accepted change, and against a version that decreases,
// under random faults.
func TestFleetUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runFleet(t, 5, func(f *fleet) { f.runRandomFaults(rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

// runRandomFaults applies random changes and faults, checks each VM after each step, and finally checks that the fleet
// recovers.
func (f *fleet) runRandomFaults(r *rand.Rand) {
	type acceptance struct {
		version    int64
		acceptedAt time.Time
	}
	accepted := make(chan acceptance, 1000)
	var acceptances []acceptance
	lastVersions := make(map[*vm]int64)
	for range 150 {
		a, b := vmName(r.IntN(5)), vmName(r.IntN(5))
		switch r.IntN(10) {
		case 0, 1:
			version := f.putCustomer(a)
			s := f.vms[b].sync
			go func() {
				ctx, cancel := context.WithTimeout(f.Context(), maxEnforcementDelay)
				defer cancel()
				if s.ConfirmVersion(ctx, version) == nil {
					accepted <- acceptance{version, time.Now()}
				}
			}()
		case 2:
			f.killVM(a)
			f.startVM(a)
		case 3:
			f.network.CutLink(a, b)
		case 4:
			f.network.CutLink(a, platformAddress)
		case 5:
			f.network.DropWrites(a, b)
		case 6:
			f.platform.SetFaults(afstandin.PlatformFaults{
				IsDown: r.IntN(3) == 0, LosesWriteAnswers: r.IntN(2) == 0, SilencesOpenConnections: r.IntN(2) == 0, DelayMillis: r.Int64N(1500),
			})
		case 7:
			f.platform.SetFaults(afstandin.PlatformFaults{})
		default:
			f.reconnectVM(a)
			f.network.RestoreLink(a, platformAddress)
		}
		f.advanceTime(time.Duration(r.IntN(2000)) * time.Millisecond)
		for len(accepted) > 0 {
			acceptances = append(acceptances, <-accepted)
		}
		for name, v := range f.vms {
			version := v.sync.Version()
			require.GreaterOrEqual(f, version, lastVersions[v], name)
			lastVersions[v] = version
			for _, c := range acceptances {
				if f.isFresh(name) && time.Since(c.acceptedAt) > maxEnforcementDelay {
					require.GreaterOrEqual(f, version, c.version, name)
				}
			}
		}
	}
	f.advanceTime(maxEnforcementDelay)
	require.NotEmpty(f, acceptances)
	f.platform.SetFaults(afstandin.PlatformFaults{})
	for i := range 5 {
		f.reconnectVM(vmName(i))
		f.network.RestoreLink(vmName(i), platformAddress)
	}
	version := f.putCustomer("last")
	f.advanceTime(30 * time.Second)
	for name, v := range f.vms {
		require.True(f, f.isFresh(name), name)
		require.Equal(f, version, v.sync.Version(), name)
	}
}
