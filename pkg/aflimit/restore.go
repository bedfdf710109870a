package aflimit

import "arbutusfork.example/arbutusfork/pkg/afversion"

// The store may come back from an older copy of itself and forget transfers of shares: a VM would use parts that it has given
// away, while their new holder uses them too. A record of an earlier era than its version counts as lost. A VM uses only those
// parts of it that it used before, and loses those that it does not name. Nobody gains parts until all VMs have done so.

// SettleDuration is how long all VMs must have applied a lost record before it may be settled. Every loan of a share that the
// record does not name has ended by then.
const SettleDuration = LoanTerm + LoanTermMargin

// IsLost reports whether the record is of an earlier era than its version.
func (s ShareView) IsLost() bool { return s.isLost }

// HasUsedLostParts reports whether the VM used parts before it read the lost record.
func (s ShareView) HasUsedLostParts() bool { return s.isLost && s.hasUsedParts }

// HasApplied reports whether the VM uses no parts beyond the record of a version or a later one, and has lent none that it does
// not hold. A VM that has read no record uses none.
func (s ShareView) HasApplied(version int64, lent Parts) bool {
	return !s.isLoaded || s.version >= version && max(lent.Rate, lent.Burst) <= s.UsableParts()
}

// PlanSettlement returns the write that settles the lost record, with which the VM takes up to the target parts. All VMs must
// have applied the record for SettleDuration. Its parts that no VM has held yet may have been held in a forgotten record, so
// that they lose their tokens, unless the store has no record and isUnused says that no VM used the customer's share.
func (s ShareView) PlanSettlement(target int64, lent Parts, isUnused bool) RecordWrite {
	r := s.record
	if afversion.Revision(s.version) == 0 {
		r = NewShareRecord()
	}
	if afversion.Revision(s.version) != 0 || !isUnused {
		r.NeverHeldParts = 0
	}
	r.Era = afversion.Era(s.version)
	w := RecordWrite{BaseVersion: s.version, partsBefore: s.UsableParts()}
	w.Record, w.neverHeldGained = r.WithParts(s.self, max(target, lent.Rate, lent.Burst))
	w.partsAfter = w.Record.PartsOf(s.self)
	return w
}
