package afplacement

import (
	"cmp"
	"slices"
)

// AllocateCredits divides an endpoint's slots over VMs in proportion to their demand. The credits add up to at most
// slots. Each VM gets at least one slot as long as there are enough, so that its first request does not wait for the
// next publication of the routing table.
func AllocateCredits(slots int, vms []string, demand map[string]int) map[string]int {
	out := make(map[string]int, len(vms))
	byDemand := slices.Clone(vms)
	slices.SortFunc(byDemand, func(a, b string) int {
		if c := cmp.Compare(demand[b], demand[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	total := 0
	for _, vm := range byDemand {
		total += demand[vm]
		if slots > 0 {
			out[vm] = 1
			slots--
		}
	}
	if slots <= 0 || len(byDemand) == 0 {
		return out
	}
	unassigned := slots
	for _, vm := range byDemand {
		n := slots / len(byDemand)
		if total > 0 {
			n = slots * demand[vm] / total
		}
		out[vm] += n
		unassigned -= n
	}
	for _, vm := range byDemand {
		if unassigned == 0 {
			break
		}
		out[vm]++
		unassigned--
	}
	return out
}
