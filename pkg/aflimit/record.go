package aflimit

import (
	"cmp"
	"slices"

	"arbutusfork.example/arbutusfork"
	"github.com/cespare/xxhash/v2"
)

// MaxShareSetSize bounds the number of VMs that hold a base share of one customer, so that the number of platform
// writes does not grow with the number of VMs.
const MaxShareSetSize = 8

// ShareHolder is one VM's base share in a ShareRecord. Only the holder itself lowers its parts. Another VM may only
// remove a holder that is gone.
type ShareHolder struct {
	VM string `json:"vm"`
	// Start identifies the start of the daemon, as in Incarnation.
	Start int64 `json:"start"`
	Parts int64 `json:"parts"`
}

// Incarnation returns the incarnation of the VM that holds the share.
func (h ShareHolder) Incarnation() arbutusfork.Incarnation {
	return arbutusfork.Incarnation{VM: h.VM, StartID: h.Start}
}

// ShareRecord is the stored record of one customer's base shares. It is immutable. The parts of all holders and the
// parts that no VM has held yet never exceed TotalParts together. The remaining parts are free.
type ShareRecord struct {
	// NeverHeldParts is the number of parts that no VM has held yet. A VM that takes them gets their tokens too.
	NeverHeldParts int64         `json:"fresh"`
	Holders        []ShareHolder `json:"holders"`
	// Era is the era of the store in which every VM uses no more than the record says. The store may come back from an older
	// copy of itself, which begins a new era (package afversion) and forgets the latest transfers of shares.
	Era int64 `json:"era,omitempty"`
}

// NewShareRecord returns the record of a customer that has no stored record yet.
func NewShareRecord() ShareRecord { return ShareRecord{NeverHeldParts: TotalParts} }

// FreeParts returns the number of parts that a VM has held before and that no VM holds now.
func (r ShareRecord) FreeParts() int64 {
	n := TotalParts - r.NeverHeldParts
	for _, h := range r.Holders {
		n -= h.Parts
	}
	return n
}

// PartsOf returns the base share of the incarnation.
func (r ShareRecord) PartsOf(i arbutusfork.Incarnation) int64 {
	for _, h := range r.Holders {
		if h.Incarnation() == i {
			return h.Parts
		}
	}
	return 0
}

// WithParts returns a copy in which the incarnation holds the given parts, or fewer if too few are available, and the
// number of gained parts that no VM has held before.
func (r ShareRecord) WithParts(i arbutusfork.Incarnation, parts int64) (ShareRecord, int64) {
	oldParts := r.PartsOf(i)
	neverHeld := max(0, min(parts-oldParts, r.NeverHeldParts))
	free := max(0, min(parts-oldParts-neverHeld, r.FreeParts()))
	next := r.WithoutHolders(func(x arbutusfork.Incarnation) bool { return x == i })
	next.NeverHeldParts -= neverHeld
	if parts = min(parts, oldParts+neverHeld+free); parts > 0 {
		next.Holders = append(next.Holders, ShareHolder{VM: i.VM, Start: i.StartID, Parts: parts})
	}
	slices.SortFunc(next.Holders, func(a, b ShareHolder) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Start, b.Start))
	})
	return next, neverHeld
}

// WithoutHolders returns a copy without the matching holders. Their parts become free.
func (r ShareRecord) WithoutHolders(matches func(arbutusfork.Incarnation) bool) ShareRecord {
	r.Holders = filter(r.Holders, func(h ShareHolder) bool { return !matches(h.Incarnation()) })
	return r
}

// TargetParts returns the parts that the VM should hold: an equal split over the share set, or zero if it is not in
// the set.
func TargetParts(vm string, shareSet []string) int64 {
	if !slices.Contains(shareSet, vm) {
		return 0
	}
	return TotalParts / int64(len(shareSet))
}

// ShareSet returns the VMs that should hold base shares of the customer, chosen by rendezvous hashing, in descending
// order of weight.
func ShareSet(customer string, vms []string) []string {
	type rankedVM struct {
		vm     string
		weight uint64
	}
	ranked := make([]rankedVM, 0, len(vms))
	for _, vm := range vms {
		ranked = append(ranked, rankedVM{vm: vm, weight: xxhash.Sum64String(customer + "\x00" + vm)})
	}
	slices.SortFunc(ranked, func(a, b rankedVM) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	set := make([]string, 0, MaxShareSetSize)
	for _, x := range ranked[:min(len(ranked), MaxShareSetSize)] {
		set = append(set, x.vm)
	}
	return set
}
