package afsync_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// goBack replaces the platform's store by an older one, of era 2.
func (f *fleet) goBack(older *afstandin.Platform) {
	f.platform.SetFaults(afstandin.PlatformFaults{SilencesOpenConnections: true})
	older.BookmarkInterval = time.Hour
	handler := older.Handler()
	inEra := http.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "2")
		handler.ServeHTTP(w, r)
	}))
	f.serve.Store(&inEra)
}

// TestWithdrawnKeyStaysWithdrawnWhenStoreGoesBack guards against a withdrawn key that works again, also on a VM that starts
// then or later although no operator withdraws it again, and against a configuration that is held for good.
func TestWithdrawnKeyStaysWithdrawnWhenStoreGoesBack(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		put := func(p *afstandin.Platform, withdrawn bool) {
			_, err := p.PutObject(afobject.KindKeys, "k", arbutusfork.APIKey{Name: "k", Customer: "a", Digest: "d", IsWithdrawn: withdrawn})
			require.NoError(f, err)
		}
		isWithdrawn := func(name string) bool {
			k, ok := f.vms[name].sync.Snapshot().Key("d")
			return ok && k.IsWithdrawn
		}
		put(&f.platform, true)
		f.advanceTime(maxEnforcementDelay)
		witnesses := f.vms["vm0"].sync.Snapshot().Witnesses()
		older := new(afstandin.Platform)
		put(older, false)
		for i := range 3 {
			_, err := older.PutObject(afobject.KindVMs, vmName(i), map[string]string{"address": vmName(i), "datacentre": "c", "state": "live"})
			require.NoError(f, err)
		}
		f.goBack(older)
		for range 5 {
			f.advanceTime(time.Second)
			for name, v := range f.vms {
				require.True(f, isWithdrawn(name), name)
				require.True(f, f.isFresh(name), name)
				require.GreaterOrEqual(f, v.sync.Snapshot().Witnesses().Epoch, witnesses.Epoch)
			}
		}
		f.killVM("vm2")
		f.startVM("vm2")
		f.advanceTime(2 * time.Second)
		require.True(f, isWithdrawn("vm2"))
		_, err := older.PutObject(afobject.KindCustomers, "new", arbutusfork.Customer{Name: "new"})
		require.NoError(f, err)
		f.advanceTime(maxEnforcementDelay)
		for name, v := range f.vms {
			_, ok := v.sync.Snapshot().Customer("new")
			require.True(f, ok && isWithdrawn(name), name)
		}
		f.advanceTime(15 * time.Second)
		f.killVM("vm1")
		f.startVM("vm1")
		f.advanceTime(maxEnforcementDelay)
		for name, v := range f.vms {
			require.False(f, v.sync.Snapshot().IsHolding(), name)
			require.True(f, isWithdrawn(name) && f.isFresh(name), name)
			set := v.sync.Snapshot().Witnesses()
			require.Equal(f, witnesses.VMs, set.VMs)
			require.EqualValues(f, 2, afversion.Era(set.Epoch), "an epoch must not be given out twice")
		}
	})
}
