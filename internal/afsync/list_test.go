package afsync_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// renewed is the age that no VM's list may exceed while watchers are in reach: two reads and the heartbeats over hops.
const renewed = 12 * time.Second

// requireRecent requires that each VM's list was asked for within d.
func (f *fleet) requireRecent(d time.Duration) {
	for name, v := range f.vms {
		_, asked := v.sync.ListedMembership()
		require.False(f, asked.IsZero(), name)
		require.LessOrEqual(f, v.timer.Now().Sub(asked), d, name)
	}
}

// TestListFromPeers guards against a large fleet in which each VM reads the platform's list, and against an age of the
// list that is understated: content from before a change must not count as asked for after it.
func TestListFromPeers(t *testing.T) {
	run(t, 20, func(f *fleet) {
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
				f.pass(100 * time.Millisecond)
				for name, v := range f.vms {
					view, asked := v.sync.ListedMembership()
					if vm, ok := view.ListedVM("vm19"); ok && vm.State == arbutusfork.VMLive {
						require.False(f, asked.After(removed), name)
					}
				}
			}
			f.requireRecent(renewed)
			for name, v := range f.vms {
				view, _ := v.sync.ListedMembership()
				vm, ok := view.ListedVM("vm19")
				require.True(f, ok, name)
				require.Equal(f, arbutusfork.VMGone, vm.State, name)
			}
			f.list("vm19", "live")
			f.pass(renewed)
		}
		for name, before := range reads {
			require.Equal(f, before, f.vms[name].sync.Client.ReadCount.Load(), name)
		}
	})
}

// TestListAfterWatchersDie guards against a fleet whose list is not read any more once its watchers have died.
func TestListAfterWatchersDie(t *testing.T) {
	run(t, 12, func(f *fleet) {
		var dead []string
		for name, v := range f.vms {
			if v.peer.Membership().IsPlatformWatcher() {
				dead = append(dead, name)
			}
		}
		require.Len(f, dead, 2)
		for _, name := range dead {
			f.kill(name)
			f.platform.RemoveObject(afobject.KindVMs, name)
		}
		f.pass(40 * time.Second)
		f.requireRecent(renewed)
		for name, v := range f.vms {
			view, _ := v.sync.ListedMembership()
			for _, gone := range dead {
				vm, ok := view.ListedVM(gone)
				require.True(f, ok, name)
				require.Equal(f, arbutusfork.VMGone, vm.State, name)
			}
		}
	})
}

// TestListOfStartedVM guards against a VM without a list because it started while the platform was down.
func TestListOfStartedVM(t *testing.T) {
	run(t, 12, func(f *fleet) {
		f.platform.SetFaults(afstandin.PlatformFaults{IsDown: true})
		v := f.start("vm12")
		f.pass(20 * time.Second)
		view, asked := v.sync.ListedMembership()
		require.False(f, asked.IsZero())
		vm, ok := view.ListedVM("vm11")
		require.True(f, ok)
		require.Equal(f, arbutusfork.VMLive, vm.State)
	})
}
