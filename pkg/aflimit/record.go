package aflimit

import (
	"cmp"
	"slices"

	"arbutusfork.example/arbutusfork"
	"github.com/cespare/xxhash/v2"
)

// MaxShareSetSize bounds the VMs that hold a base share of one customer, so that platform writes do not grow with the
// fleet.
const MaxShareSetSize = 8

// ShareHolder is one VM's base share. Only the holder itself lowers its parts; others may only remove a holder that is gone.
type ShareHolder struct {
	VM    string `json:"vm"`
	Start int64  `json:"start"`
	Parts int64  `json:"parts"`
}

// Incarnation returns the start of the daemon that holds the share.
func (h ShareHolder) Incarnation() arbutusfork.Incarnation {
	return arbutusfork.Incarnation{VM: h.VM, Start: h.Start}
}

// ShareRecord is the share record of one customer. It is immutable. The parts of the holders and the fresh parts never
// exceed TotalParts together; what remains is free.
type ShareRecord struct {
	// NeverHeldParts is the number of parts that no VM has held yet. They start with a full bucket.
	NeverHeldParts int64         `json:"fresh"`
	Holders        []ShareHolder `json:"holders"`
}

// NewShareRecord returns the record of a customer that has never had one.
func NewShareRecord() ShareRecord { return ShareRecord{NeverHeldParts: TotalParts} }

// FreeParts returns the parts that nobody holds, without the fresh ones.
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

// WithParts returns a copy in which the incarnation holds the parts, or as many as there are, and the number of fresh
// parts among those that it gained.
func (r ShareRecord) WithParts(i arbutusfork.Incarnation, parts int64) (ShareRecord, int64) {
	old := r.PartsOf(i)
	fresh := max(0, min(parts-old, r.NeverHeldParts))
	free := max(0, min(parts-old-fresh, r.FreeParts()))
	next := r.WithoutHolders(func(x arbutusfork.Incarnation) bool { return x == i })
	next.NeverHeldParts -= fresh
	if parts = min(parts, old+fresh+free); parts > 0 {
		next.Holders = append(next.Holders, ShareHolder{VM: i.VM, Start: i.Start, Parts: parts})
	}
	slices.SortFunc(next.Holders, func(a, b ShareHolder) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Start, b.Start))
	})
	return next, fresh
}

// WithoutHolders returns a copy whose holders that match are removed. Their parts become free.
func (r ShareRecord) WithoutHolders(match func(arbutusfork.Incarnation) bool) ShareRecord {
	r.Holders = keep(r.Holders, func(h ShareHolder) bool { return !match(h.Incarnation()) })
	return r
}

// TargetParts returns the parts that the VM should hold: an equal split over the share set, or none outside of it.
func TargetParts(vm string, set []string) int64 {
	if !slices.Contains(set, vm) {
		return 0
	}
	return TotalParts / int64(len(set))
}

// ShareSet returns the VMs that should hold base shares of the customer, chosen by rendezvous hash, in order of weight.
func ShareSet(customer string, vms []string) []string {
	type ranked struct {
		vm     string
		weight uint64
	}
	all := make([]ranked, 0, len(vms))
	for _, vm := range vms {
		all = append(all, ranked{vm: vm, weight: xxhash.Sum64String(customer + "\x00" + vm)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	set := make([]string, 0, MaxShareSetSize)
	for _, x := range all[:min(len(all), MaxShareSetSize)] {
		set = append(set, x.vm)
	}
	return set
}
