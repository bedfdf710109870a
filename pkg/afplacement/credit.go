package afplacement

import (
	"cmp"
	"slices"
)

// AllocateCredits divides an endpoint's slots over VMs by their demand. The sum is at most slots. While slots last, each VM
// has one, so that a first request need not wait for the next publication.
func AllocateCredits(slots int, vms []string, demand map[string]int) map[string]int {
	out := make(map[string]int, len(vms))
	order := slices.Clone(vms)
	slices.SortFunc(order, func(a, b string) int {
		if c := cmp.Compare(demand[b], demand[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	total := 0
	for _, vm := range order {
		total += demand[vm]
		if slots > 0 {
			out[vm] = 1
			slots--
		}
	}
	if slots <= 0 || len(order) == 0 {
		return out
	}
	rest := slots
	for _, vm := range order {
		n := slots / len(order)
		if total > 0 {
			n = slots * demand[vm] / total
		}
		out[vm] += n
		rest -= n
	}
	for _, vm := range order {
		if rest == 0 {
			break
		}
		out[vm]++
		rest--
	}
	return out
}
