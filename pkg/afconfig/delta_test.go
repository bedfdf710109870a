package afconfig

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// TestDeltaMergeConverges guards against deltas that lose a deletion, restore an older object or lower the
// version when they arrive late or out of order.
func TestDeltaMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []*Snapshot{new(Snapshot)}
		held := new(Snapshot)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			last := history[len(history)-1]
			o := afobject.Object{
				Kind: afobject.KindCustomers, Name: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name")), Version: last.Version + 1,
			}
			if rapid.Bool().Draw(t, "store") {
				o.Spec, _ = json.Marshal(arbutusfork.Customer{Name: o.Name, RatePerSecond: o.Version})
			}
			next, err := last.WithObjects(0, o)
			require.NoError(t, err)
			history = append(history, next)

			source := rapid.SampledFrom(history).Draw(t, "source")
			since := rapid.Int64Range(0, source.Version).Draw(t, "since")
			before := held.Version
			held, err = held.MergeDelta(source.ChangesSince(since))
			require.NoError(t, err)
			require.GreaterOrEqual(t, held.Version, before)
			require.Equal(t, history[held.Version].Customers(), held.Customers())
		}
	})
}

// TestTombstonesAreBounded guards against memory that grows with each deletion, and against a VM that keeps a deleted
// key because the tombstone was pruned before the VM fetched the changes.
func TestTombstonesAreBounded(t *testing.T) {
	s := new(Snapshot)
	put := func(name string, spec string) {
		var err error
		s, err = s.WithObjects(0, afobject.Object{Kind: afobject.KindKeys, Name: name, Version: s.Version + 1, Spec: []byte(spec)})
		require.NoError(t, err)
	}
	put("k", `{"digest":"d"}`)
	behind, err := new(Snapshot).MergeDelta(s.ChangesSince(0))
	require.NoError(t, err)
	s, err = s.WithObjects(0, afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: s.Version + 1})
	require.NoError(t, err)
	for i := range 2 * maxTombstones {
		put(fmt.Sprint(i), `{}`)
		s, err = s.WithObjects(0, afobject.Object{Kind: afobject.KindKeys, Name: fmt.Sprint(i), Version: s.Version + 1})
		require.NoError(t, err)
	}
	require.LessOrEqual(t, len(s.objects), maxTombstones+1)
	d := s.ChangesSince(behind.Version)
	require.True(t, d.IsFull)
	behind, err = behind.MergeDelta(d)
	require.NoError(t, err)
	_, ok := behind.Key("d")
	require.False(t, ok)
	require.Equal(t, s.Version, behind.Version)
}

// TestMalformedObjectCountsAsDeleted guards against a key that stays valid because its withdrawal cannot be decoded,
// and against a malformed object that blocks all later changes.
func TestMalformedObjectCountsAsDeleted(t *testing.T) {
	s, err := new(Snapshot).WithObjects(0, afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: 1, Spec: []byte(`{"digest":"d"}`)})
	require.NoError(t, err)
	_, err = s.WithObjects(0, afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: 2, Spec: []byte(`[]`)})
	require.Error(t, err)
	s, err = s.WithValidObjects(0, afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: 2, Spec: []byte(`[]`)},
		afobject.Object{Kind: afobject.KindCustomers, Name: "c", Version: 3, Spec: []byte(`{"name":"c"}`)})
	require.Error(t, err)
	_, ok := s.Key("d")
	require.False(t, ok)
	_, ok = s.Customer("c")
	require.True(t, ok)
	require.EqualValues(t, 3, s.Version)
}

// TestSuccessiveWitnessMajoritiesIntersect guards against successive witness sets whose majorities do not intersect.
func TestSuccessiveWitnessMajoritiesIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set WitnessSet
		var list []arbutusfork.VM
		for i := range rapid.IntRange(0, 10).Draw(t, "vms") {
			name := vmName(i)
			if rapid.Bool().Draw(t, "member") && len(set.VMs) < MaxWitnesses {
				set.VMs = append(set.VMs, name)
			}
			state := arbutusfork.VMState(rapid.IntRange(0, 2).Draw(t, "state"))
			list = append(list, arbutusfork.VM{Name: name, State: state})
		}
		present := 0
		for _, vm := range list {
			for _, name := range set.VMs {
				if vm.Name == name && vm.State != arbutusfork.VMGone {
					present++
				}
			}
		}
		next, changed := set.NextSet(list)
		if !changed {
			return
		}
		require.Equal(t, set.Epoch+1, next.Epoch)
		require.NotEmpty(t, next.VMs)
		require.LessOrEqual(t, len(next.VMs), MaxWitnesses)
		union := make(map[string]bool)
		for _, name := range append(append([]string(nil), set.VMs...), next.VMs...) {
			union[name] = true
		}
		if present >= set.MajoritySize() {
			require.Greater(t, set.MajoritySize()+next.MajoritySize(), len(union))
		}
	})
}
