package afkeeper

import (
	"arbutusfork.example/arbutusfork"
)

// floorPart is the part of a customer's limit that is divided equally, so that a VM that suddenly gets requests can
// serve them until the next view.
const floorPart = 0.3

// divide splits each customer's limit among the VMs: a part equally, the rest by what their requests ask for. Listed is
// the number of VMs that may be alive; the parts of those that do not answer stay unused, since they may still serve.
func divide(beats map[string]beat, members []arbutusfork.VM, listed int) map[string]map[string]int64 {
	total := map[string]int64{}
	for _, b := range beats {
		for customer, n := range b.Usage {
			total[customer] += n
		}
	}
	out := make(map[string]map[string]int64, len(members))
	if listed == 0 || len(members) == 0 {
		return out
	}
	// Silent VMs keep the equal part that they fall back to.
	live := float64(len(members)) / float64(listed)
	for _, vm := range members {
		m := make(map[string]int64, len(total))
		for customer, sum := range total {
			part := floorPart / float64(len(members))
			if sum > 0 {
				part += (1 - floorPart) * float64(beats[vm.Name].Usage[customer]) / float64(sum)
			} else {
				part = 1 / float64(len(members))
			}
			m[customer] = int64(part * live * shareUnit)
		}
		out[vm.Name] = m
	}
	return out
}
