package aflimit

import (
	"cmp"
	"slices"

	"arbutusfork.example/arbutusfork"
	"github.com/cespare/xxhash/v2"
)

// ShareSetSize bounds the VMs that hold a base share of one customer, so that platform writes do not grow with the
// fleet.
const ShareSetSize = 8

// Holder is one VM's base share. Only the holder itself lowers its parts; others may only remove a holder that is gone.
type Holder struct {
	VM    string `json:"vm"`
	Start int64  `json:"start"`
	Parts int64  `json:"parts"`
}

// Incarnation returns the start of the daemon that holds the share.
func (h Holder) Incarnation() arbutusfork.Incarnation {
	return arbutusfork.Incarnation{VM: h.VM, Start: h.Start}
}

// Record is the share record of one customer. It is immutable. The parts of the holders and the fresh parts never
// exceed Whole together; what remains is free.
type Record struct {
	// Fresh is the number of parts that no VM has held yet. They start with a full bucket.
	Fresh   int64    `json:"fresh"`
	Holders []Holder `json:"holders"`
}

// NewRecord returns the record of a customer that has never had one.
func NewRecord() Record { return Record{Fresh: Whole} }

// Free returns the parts that nobody holds, without the fresh ones.
func (r Record) Free() int64 {
	n := Whole - r.Fresh
	for _, h := range r.Holders {
		n -= h.Parts
	}
	return n
}

// Parts returns the base share of the incarnation.
func (r Record) Parts(i arbutusfork.Incarnation) int64 {
	for _, h := range r.Holders {
		if h.Incarnation() == i {
			return h.Parts
		}
	}
	return 0
}

// WithParts returns a copy in which the incarnation holds the parts, or as many as there are, and the number of fresh
// parts among those that it gained.
func (r Record) WithParts(i arbutusfork.Incarnation, parts int64) (Record, int64) {
	old := r.Parts(i)
	fresh := max(0, min(parts-old, r.Fresh))
	free := max(0, min(parts-old-fresh, r.Free()))
	next := r.Without(func(x arbutusfork.Incarnation) bool { return x == i })
	next.Fresh -= fresh
	if parts = min(parts, old+fresh+free); parts > 0 {
		next.Holders = append(next.Holders, Holder{VM: i.VM, Start: i.Start, Parts: parts})
	}
	slices.SortFunc(next.Holders, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Start, b.Start))
	})
	return next, fresh
}

// Without returns a copy whose holders that match are removed. Their parts become free.
func (r Record) Without(match func(arbutusfork.Incarnation) bool) Record {
	r.Holders = keep(r.Holders, func(h Holder) bool { return !match(h.Incarnation()) })
	return r
}

// Target returns the parts that the VM should hold: an equal split over the share set, or none outside of it.
func Target(vm string, set []string) int64 {
	if !slices.Contains(set, vm) {
		return 0
	}
	return Whole / int64(len(set))
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
	set := make([]string, 0, ShareSetSize)
	for _, x := range all[:min(len(all), ShareSetSize)] {
		set = append(set, x.vm)
	}
	return set
}
