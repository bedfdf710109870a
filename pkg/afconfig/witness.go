package afconfig

import (
	"slices"

	"arbutusfork.example/arbutusfork"
)

// MaxWitnesses bounds the witness set, so that evidence stays small at any number of VMs.
const MaxWitnesses = 7

// NextSet returns the witness set to write after this one, given the platform's list of VMs, and reports whether
// it differs. The set changes by one member at a time, so that the majorities of successive sets intersect: a
// member that is gone or leaving is removed, or a live VM is added while there is room.
//
// If so many members are gone that the others are no majority, nobody can rely on the set any more and it is
// replaced as a whole.
func (w WitnessSet) NextSet(list []arbutusfork.VM) (WitnessSet, bool) {
	states := make(map[string]arbutusfork.VMState, len(list))
	var live []string
	for _, vm := range list {
		states[vm.Name] = vm.State
		if vm.State == arbutusfork.VMLive {
			live = append(live, vm.Name)
		}
	}
	slices.Sort(live)
	state := func(name string) arbutusfork.VMState {
		if s, ok := states[name]; ok {
			return s
		}
		return arbutusfork.VMGone
	}
	present := 0
	for _, name := range w.VMs {
		if state(name) != arbutusfork.VMGone {
			present++
		}
	}
	next := WitnessSet{Epoch: w.Epoch + 1}
	if present < w.MajoritySize() {
		next.VMs = live[:min(len(live), MaxWitnesses)]
		return next, len(next.VMs) > 0
	}
	for _, unfit := range []arbutusfork.VMState{arbutusfork.VMGone, arbutusfork.VMLeaving} {
		i := slices.IndexFunc(w.VMs, func(name string) bool { return state(name) == unfit })
		if i >= 0 && len(w.VMs) > 1 {
			next.VMs = slices.Delete(slices.Clone(w.VMs), i, i+1)
			return next, true
		}
	}
	for _, name := range live {
		if len(w.VMs) < MaxWitnesses && !slices.Contains(w.VMs, name) {
			next.VMs = append(slices.Clone(w.VMs), name)
			slices.Sort(next.VMs)
			return next, true
		}
	}
	return w, false
}
