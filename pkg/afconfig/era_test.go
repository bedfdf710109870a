package afconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// restorableStore is a store of customers whose rate counts the operators' changes. It can go back to any earlier state.
type restorableStore struct {
	era, revision int64
	objects       map[string]afobject.Object // Versions are revisions. Deletions stay as objects without a spec.
	history       []restorableStore
}

func (s *restorableStore) write(name string, spec []byte) {
	s.revision++
	s.objects = maps.Clone(s.objects)
	s.objects[name] = afobject.Object{Kind: afobject.KindCustomers, Name: name, Version: s.revision, Spec: spec}
	s.history = append(s.history, *s)
}

func (s *restorableStore) list(withDeletions bool, sinceRevision int64) Delta {
	d := Delta{IsFull: !withDeletions}
	d.Version, _ = afversion.Join(s.era, s.revision)
	d.BaseVersion, _ = afversion.Join(s.era, sinceRevision)
	for _, o := range s.objects {
		if o.Version > sinceRevision && (withDeletions || o.Spec != nil) {
			o.Version, _ = afversion.Join(s.era, o.Version)
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

// TestConfigurationNeverRevertsWhenStoreGoesBack guards against an older copy, or a deletion that is undone, that comes into
// force because the version of the copy is higher.
func TestConfigurationNeverRevertsWhenStoreGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := restorableStore{era: 1, objects: map[string]afobject.Object{}}
		wanted := map[string][]byte{}     // wanted is what the operators last wrote.
		wrote := map[string]int64{}       // wrote counts the operators' changes.
		deletions := map[string][]int64{} // deletions are the counts at which the operators deleted a customer.
		inForce := map[string]int64{}     // inForce is the count of the change that is in force.
		held := new(Snapshot)
		merge := func(d Delta) {
			next, err := held.MergeDelta(d)
			require.NoError(t, err)
			require.GreaterOrEqual(t, next.Version, held.Version)
			held = next
			for name := range wrote {
				c, ok := held.Customer(name)
				count := c.RatePerSecond
				if i, _ := slices.BinarySearch(deletions[name], inForce[name]); !ok && i < len(deletions[name]) && inForce[name] > 0 {
					count = deletions[name][i] // The earliest deletion that may be in force.
				}
				require.GreaterOrEqual(t, count, inForce[name], name)
				inForce[name] = count
			}
		}
		writeAgain := func() {
			for _, name := range []string{"a", "b", "c"} {
				if o := store.objects[name]; string(o.Spec) != string(wanted[name]) && wrote[name] > 0 {
					store.write(name, wanted[name])
				}
			}
		}
		store.write("witness", nil)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				wrote[name]++
				wanted[name], _ = json.Marshal(arbutusfork.Customer{Name: name, RatePerSecond: wrote[name]})
				if rapid.Bool().Draw(t, "delete") {
					wanted[name], deletions[name] = nil, append(deletions[name], wrote[name])
				}
				store.write(name, wanted[name])
			case 2:
				if afversion.Era(held.Version) != store.era {
					merge(store.list(false, 0))
				} else {
					merge(store.list(true, afversion.Revision(held.Version)))
				}
			case 3:
				merge(store.list(false, 0))
			case 4:
				history, era := store.history, store.era
				n := rapid.IntRange(max(0, len(history)-6), len(history)-1).Draw(t, "copy")
				store = history[n]
				store.era, store.history = era+1, append(history[:n:n], store)
			case 5:
				writeAgain()
			}
		}
		writeAgain()
		merge(store.list(false, 0))
		d := store.list(false, 0)
		d.IsResolution = true
		merge(d)
		want := new(Snapshot)
		want, err := want.MergeDelta(store.list(false, 0))
		require.NoError(t, err)
		require.Equal(t, want.Customers(), held.Customers(), "the store's content must be in force in the end")
		require.False(t, held.IsHolding())
	})
}

// TestStartedVMTakesHeldObjects guards against a withdrawn key that is valid on a VM that has only the store's older copy.
func TestStartedVMTakesHeldObjects(t *testing.T) {
	version := func(era, revision int64) int64 {
		v, err := afversion.Join(era, revision)
		require.NoError(t, err)
		return v
	}
	key := func(v int64, withdrawn bool) afobject.Object {
		return afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: v, Spec: fmt.Appendf(nil, `{"name":"k","digest":"d","withdrawn":%t}`, withdrawn)}
	}
	peer, err := new(Snapshot).MergeDelta(Delta{Version: version(1, 9), IsFull: true, Objects: []afobject.Object{key(version(1, 9), true)}})
	require.NoError(t, err)
	older := Delta{Version: version(2, 7), IsFull: true, Baseline: version(2, 7), Objects: []afobject.Object{key(version(2, 5), false)}}
	peer, err = peer.MergeDelta(older)
	require.NoError(t, err)
	started, err := new(Snapshot).MergeDelta(older)
	require.NoError(t, err)
	started, err = started.WithHeldObjects(peer.HeldObjects()...)
	require.NoError(t, err)
	for _, s := range []*Snapshot{peer, started} {
		k, ok := s.Key("d")
		require.True(t, ok && k.IsWithdrawn)
		require.True(t, s.IsHolding())
	}
	pulled, err := new(Snapshot).MergeDelta(peer.ChangesSince(0))
	require.NoError(t, err)
	require.True(t, pulled.IsHolding(), "a VM that took held objects from a peer must resolve them too")
}

// TestWitnessSetSurvivesOlderStore guards against an epoch that two witness sets have.
func TestWitnessSetSurvivesOlderStore(t *testing.T) {
	set := WitnessSet{Epoch: 3, VMs: []string{"a"}}
	v, err := afversion.Join(2, 40)
	require.NoError(t, err)
	require.Equal(t, v, set.EpochFrom(v).Epoch)
	require.EqualValues(t, 3, set.EpochFrom(9).Epoch)
	s, err := new(Snapshot).WithObjects(0, afobject.Object{Kind: afobject.KindWitnesses, Name: SingletonName, Version: 9, Spec: []byte(`{"epoch":3,"vms":["a"]}`)})
	require.NoError(t, err)
	s, err = s.MergeDelta(Delta{Version: v, IsFull: true, Objects: []afobject.Object{{Kind: afobject.KindWitnesses, Name: SingletonName, Version: v, Spec: []byte(`{"epoch":2,"vms":["b"]}`)}}})
	require.NoError(t, err)
	require.Equal(t, set, s.Witnesses())
}

// TestDeletedKeyStaysWithdrawn guards against a withdrawn and deleted key that an older store has again after the hold.
func TestDeletedKeyStaysWithdrawn(t *testing.T) {
	key := afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: 7, Spec: []byte(`{"name":"k","digest":"d","withdrawn":true}`)}
	s, err := new(Snapshot).WithObjects(0, key)
	require.NoError(t, err)
	s, err = s.WithObjects(0, afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: 8})
	require.NoError(t, err)
	key.Version, key.Spec = 9, []byte(`{"name":"k","digest":"d"}`)
	s, err = s.WithObjects(0, key)
	require.NoError(t, err)
	k, ok := s.Key("d")
	require.True(t, ok && k.IsWithdrawn)
	require.Equal(t, []string{"k"}, s.LostWithdrawals())
}
