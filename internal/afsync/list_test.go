package afsync_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// maxListAge is the age that no VM's list may exceed while watchers are reachable: two read intervals and the time in
// which heartbeats pass the list on over several hops.
const maxListAge = 12 * time.Second

// requireListAge fails the test if the list of a VM was requested more than d ago.
func (f *fleet) requireListAge(d time.Duration) {
	for name, v := range f.vms {
		_, asked := v.sync.ListedMembership()
		require.False(f, asked.IsZero(), name)
		require.LessOrEqual(f, v.timer.Now().Sub(asked), d, name)
	}
}

// TestListFromPeers guards against a large fleet in which each VM reads the platform's list, and against a list from
// before a change whose reported time is after the change.
func TestListFromPeers(t *testing.T) {
	runFleet(t, 20, func(f *fleet) {
		reads := make(map[string]int64)
		for name, v := range f.vms {
			if !v.peer.Membership().IsPlatformWatcher() {
				reads[name] = v.sync.Client.ReadCount.Load()
			}
		}
		require.Len(f, reads, 18)
		for range 3 {
			f.platform.RemoveObject(afobject.KindVMs, "vm19")
			removed := time.Now()
			for range 150 {
				f.advanceTime(100 * time.Millisecond)
				for name, v := range f.vms {
					view, asked := v.sync.ListedMembership()
					if vm, ok := view.ListedVM("vm19"); ok && vm.State == arbutusfork.VMLive {
						require.False(f, asked.After(removed), name)
					}
				}
			}
			f.requireListAge(maxListAge)
			for name, v := range f.vms {
				view, _ := v.sync.ListedMembership()
				vm, ok := view.ListedVM("vm19")
				require.True(f, ok, name)
				require.Equal(f, arbutusfork.VMGone, vm.State, name)
			}
			f.putListedVM("vm19", "live")
			f.advanceTime(maxListAge)
		}
		for name, before := range reads {
			require.Equal(f, before, f.vms[name].sync.Client.ReadCount.Load(), name)
		}
	})
}

// TestListAfterWatchersDie guards against a fleet that stops reading the platform's list when its watchers are gone.
func TestListAfterWatchersDie(t *testing.T) {
	runFleet(t, 12, func(f *fleet) {
		var killed []string
		for name, v := range f.vms {
			if v.peer.Membership().IsPlatformWatcher() {
				killed = append(killed, name)
			}
		}
		require.Len(f, killed, 2)
		for _, name := range killed {
			f.killVM(name)
			f.platform.RemoveObject(afobject.KindVMs, name)
		}
		f.advanceTime(40 * time.Second)
		f.requireListAge(maxListAge)
		for name, v := range f.vms {
			view, _ := v.sync.ListedMembership()
			for _, gone := range killed {
				vm, ok := view.ListedVM(gone)
				require.True(f, ok, name)
				require.Equal(f, arbutusfork.VMGone, vm.State, name)
			}
		}
	})
}

// TestListOfStartedVM guards against a VM that has no list because it started during an outage of the platform.
func TestListOfStartedVM(t *testing.T) {
	runFleet(t, 12, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
		v := f.startVM("vm12")
		f.advanceTime(20 * time.Second)
		view, asked := v.sync.ListedMembership()
		require.False(f, asked.IsZero())
		vm, ok := view.ListedVM("vm11")
		require.True(f, ok)
		require.Equal(f, arbutusfork.VMLive, vm.State)
	})
}

// TestOddVMStaysListed guards against a VM that counts as gone while it lives, because another writer spoilt its entry.
func TestOddVMStaysListed(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		for _, odd := range []string{`{"address":7}`, `[]`, `{"address":"vm2","state":1e400}`} {
			_, err := f.platform.PutObject(afobject.KindVMs, "vm2", json.RawMessage(odd))
			require.NoError(f, err)
			f.advanceTime(maxListAge)
			f.requireListAge(maxListAge)
			for name, v := range f.vms {
				view, _ := v.sync.ListedMembership()
				vm, ok := view.ListedVM("vm2")
				require.True(f, ok, name)
				require.Equal(f, arbutusfork.VMLive, vm.State, name)
			}
		}
	})
}
