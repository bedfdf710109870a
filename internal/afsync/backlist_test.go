package afsync_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// TestRunningVMStaysPossiblyAliveWhenStoreGoesBack guards against a running VM that is not asked for its claims and shares, because
// the older list lacks it and it exchanges no heartbeats with the VM that asks.
func TestRunningVMStaysPossiblyAliveWhenStoreGoesBack(t *testing.T) {
	const vms = 12
	lackedBy := map[string]bool{}
	runFleet(t, vms, func(f *fleet) {
		older := new(afstandin.Platform)
		lost := vmName(vms - 1)
		for i := range vms - 1 {
			_, err := older.PutObject(afobject.KindVMs, vmName(i), map[string]string{"address": vmName(i), "datacentre": "c", "state": "live"})
			require.NoError(f, err)
		}
		f.goBack(older)
		for range 20 {
			f.advanceTime(time.Second)
			for name, v := range f.vms {
				view, _ := v.sync.ListedMembership()
				if !slices.ContainsFunc(view.PossiblyAliveVMs(), func(vm arbutusfork.VM) bool { return vm.Name == lost }) {
					lackedBy[name] = true
				}
			}
		}
	})
	require.Empty(t, lackedBy, "VMs that do not know vm%d, which runs", vms-1)
}
