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

// inForce is the time within which a change must be in force everywhere.
const inForce = 5 * time.Second

// TestSilentWatch guards against trust in an open watch: when all connections to the platform go silent, changes
// must still arrive in time, over new ones.
func TestSilentWatch(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{SilencesOpenConnections: true})
		version := f.change("a")
		f.pass(inForce)
		for name, v := range f.vms {
			require.Equal(f, version, v.sync.Version(), name)
			require.True(f, f.fresh(name), name)
		}
	})
}

// TestExpiredWatch guards against a VM that misses a deletion because the platform no longer keeps it.
func TestExpiredWatch(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.change("kept")
		f.change("deleted")
		f.pass(2 * time.Second)
		for name := range f.vms {
			f.network.CutLink(name, platformAddress)
		}
		f.platform.RemoveObject(afobject.KindCustomers, "deleted")
		var version int64
		for i := range 2000 {
			version = f.change(fmt.Sprint(i % 10))
		}
		for name := range f.vms {
			f.network.RestoreLink(name, platformAddress)
		}
		f.pass(2 * inForce)
		for name, v := range f.vms {
			require.Equal(f, version, v.sync.Version(), name)
			require.Len(f, v.sync.Snapshot().Customers(), 11, name)
		}
	})
}

// TestSlowPlatform guards against watches and probes that are given up before a slow platform can answer.
func TestSlowPlatform(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{DelayMillis: 900})
		f.vms["vm0"].stop()
		f.start("vm0")
		f.pass(10 * time.Second)
		version := f.change("a")
		f.pass(inForce)
		for name, v := range f.vms {
			require.Equal(f, version, v.sync.Version(), name)
			require.True(f, f.fresh(name), name)
		}
	})
}

// TestLargeConfiguration guards against a configuration that does not fit into one message between VMs.
func TestLargeConfiguration(t *testing.T) {
	run(t, 3, func(f *fleet) {
		for i := range 600 {
			_, err := f.platform.PutObject(afobject.KindModels, fmt.Sprint(i), arbutusfork.Model{
				Name: fmt.Sprint(i), Service: strings.Repeat("s", 10_000),
			})
			require.NoError(f, err)
		}
		f.kill("vm2")
		f.network.CutLink("vm2", platformAddress)
		f.start("vm2")
		f.pass(10 * time.Second)
		require.Len(f, f.vms["vm2"].sync.Snapshot().Models(), 600)
		require.True(f, f.fresh("vm2"))
	})
}

// TestRollingReplacement guards against a witness set that does not follow the VMs, and against one that loses
// its majority while all VMs are replaced and every answer to a write is lost.
func TestRollingReplacement(t *testing.T) {
	run(t, 4, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{LosesWriteAnswers: true})
		for i := range 4 {
			f.list(name(i), "leaving")
			f.vms[name(i)].peer.AnnounceLeaving()
			f.list(name(10+i), "live")
			f.start(name(10 + i))
			f.pass(30 * time.Second)
			f.platform.RemoveObject(afobject.KindVMs, name(i))
			f.kill(name(i))
			for other := range f.vms {
				require.True(f, f.fresh(other), other)
			}
		}
		f.pass(30 * time.Second)
		f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
		f.pass(time.Minute)
		for other, v := range f.vms {
			require.True(f, f.fresh(other), other)
			require.Equal(f, []string{"vm10", "vm11", "vm12", "vm13"}, v.sync.Snapshot().Witnesses().VMs)
		}
	})
}

// TestWitnessMajority guards against service on the word of a minority, and against an outage of the platform
// together with a minority of the witnesses that stops service.
func TestWitnessMajority(t *testing.T) {
	run(t, 6, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
		f.kill("vm0")
		f.kill("vm1")
		f.pass(time.Minute)
		for other := range f.vms {
			require.True(f, f.fresh(other), other)
		}
		version := f.vms["vm2"].sync.Version()
		require.NoError(f, f.vms["vm2"].sync.ConfirmVersion(f.Context(), version))
		f.kill("vm2")
		f.pass(4 * time.Second)
		for other := range f.vms {
			require.False(f, f.fresh(other), other)
		}
		ctx, cancel := context.WithTimeout(f.Context(), inForce)
		defer cancel()
		err := f.vms["vm3"].sync.ConfirmVersion(ctx, version)
		require.True(f, afsync.IsKind(err, afsync.VersionUnconfirmed), err)
		// The platform and its list let the others go on without a majority of the old set.
		f.platform.SetFaults(afstandin.PlatformFaults{})
		for i := range 3 {
			f.platform.RemoveObject(afobject.KindVMs, name(i))
		}
		f.pass(time.Minute)
		require.Equal(f, []string{"vm3", "vm4", "vm5"}, f.vms["vm3"].sync.Snapshot().Witnesses().VMs)
	})
}

// TestFleetUnderFaults guards against a fresh VM without an accepted change, and against a version that falls,
// in fleets with random faults.
func TestFleetUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run(t, 5, func(f *fleet) { f.suffer(rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func (f *fleet) suffer(r *rand.Rand) {
	type acceptance struct {
		version int64
		at      time.Time
	}
	accepted := make(chan acceptance, 1000)
	var known []acceptance
	shown := make(map[*vm]int64)
	for range 150 {
		a, b := name(r.IntN(5)), name(r.IntN(5))
		switch r.IntN(10) {
		case 0, 1:
			version := f.change(a)
			s := f.vms[b].sync
			go func() {
				ctx, cancel := context.WithTimeout(f.Context(), inForce)
				defer cancel()
				if s.ConfirmVersion(ctx, version) == nil {
					accepted <- acceptance{version, time.Now()}
				}
			}()
		case 2:
			f.kill(a)
			f.start(a)
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
			f.heal(a)
			f.network.RestoreLink(a, platformAddress)
		}
		f.pass(time.Duration(r.IntN(2000)) * time.Millisecond)
		for len(accepted) > 0 {
			known = append(known, <-accepted)
		}
		for name, v := range f.vms {
			version := v.sync.Version()
			require.GreaterOrEqual(f, version, shown[v], name)
			shown[v] = version
			for _, c := range known {
				if f.fresh(name) && time.Since(c.at) > inForce {
					require.GreaterOrEqual(f, version, c.version, name)
				}
			}
		}
	}
	f.pass(inForce)
	require.NotEmpty(f, known)
	f.platform.SetFaults(afstandin.PlatformFaults{})
	for i := range 5 {
		f.heal(name(i))
		f.network.RestoreLink(name(i), platformAddress)
	}
	version := f.change("last")
	f.pass(30 * time.Second)
	for name, v := range f.vms {
		require.True(f, f.fresh(name), name)
		require.Equal(f, version, v.sync.Version(), name)
	}
}
