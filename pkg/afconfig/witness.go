package afconfig

import (
	"slices"

	"arbutusfork.example/arbutusfork"
)

// MaxWitnesses limits the size of the witness set, so that the evidence in heartbeats stays small at any number of VMs.
const MaxWitnesses = 7

// NextSet returns the witness set that should replace w, given the platform's list of VMs, and reports whether the two
// differ. The set changes by one member at a time, so that the majorities of successive sets intersect: NextSet removes
// a member that is gone or leaving, or else adds a live VM if the set has fewer than MaxWitnesses members.
//
// If the members that are not gone form no majority, no VM can rely on the set, and NextSet replaces all members.
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
	stateOf := func(name string) arbutusfork.VMState {
		if s, ok := states[name]; ok {
			return s
		}
		return arbutusfork.VMGone
	}
	remaining := 0
	for _, name := range w.VMs {
		if stateOf(name) != arbutusfork.VMGone {
			remaining++
		}
	}
	next := WitnessSet{Epoch: w.Epoch + 1}
	if remaining < w.MajoritySize() {
		next.VMs = live[:min(len(live), MaxWitnesses)]
		return next, len(next.VMs) > 0
	}
	for _, removable := range []arbutusfork.VMState{arbutusfork.VMGone, arbutusfork.VMLeaving} {
		i := slices.IndexFunc(w.VMs, func(name string) bool { return stateOf(name) == removable })
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
