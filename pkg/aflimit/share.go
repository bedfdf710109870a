package aflimit

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// RecordWrite is a conditional update of a ShareRecord.
type RecordWrite struct {
	Record ShareRecord
	// BaseVersion is the version that the stored record must have for the update to succeed. A revision of zero creates the
	// record.
	BaseVersion int64

	// partsBefore is the VM's parts without the write.
	partsBefore int64
	// partsAfter is the VM's parts with the write.
	partsAfter int64
	// neverHeldGained is the number of parts gained by the write that no VM has held before.
	neverHeldGained int64
}

// PartsBefore returns the VM's parts without the write.
func (w RecordWrite) PartsBefore() int64 { return w.partsBefore }

// PartsAfter returns the VM's parts with the write.
func (w RecordWrite) PartsAfter() int64 { return w.partsAfter }

// ShareView is one VM's view of a customer's share record. It is immutable.
//
// A VM uses the lowest number of parts among those that the record assigns to its incarnation and those that its own
// unconfirmed writes would assign to it. Thus it never uses parts that another VM may take, whichever answers of the
// platform are lost.
type ShareView struct {
	self     arbutusfork.Incarnation
	record   ShareRecord
	version  int64
	isLoaded bool
	// isLost means that the record is of an earlier era than its version, so that transfers of shares may be forgotten.
	isLost bool
	// maxParts is the number of parts that the VM used before it read the lost record.
	maxParts int64
	// hasUsedParts means that the VM has used parts before it read a lost record.
	hasUsedParts bool
	// unconfirmedWrites are the writes based on version whose outcome is unknown.
	unconfirmedWrites []RecordWrite
	// goneSince holds, for each holder that the platform reports as gone, the instant since which it has done so
	// without interruption.
	goneSince map[arbutusfork.Incarnation]time.Duration
	// disabledGuards is set by tests only.
	disabledGuards guard
}

// NewShareView returns the view of a VM that has not read the record yet.
func NewShareView(self arbutusfork.Incarnation) ShareView { return ShareView{self: self} }

// Record returns the record as it was last read or written.
func (s ShareView) Record() ShareRecord { return s.record }

// Version returns the version of the record. It never decreases.
func (s ShareView) Version() int64 { return s.version }

// IsLoaded reports whether the record has been read.
func (s ShareView) IsLoaded() bool { return s.isLoaded }

// HasUnconfirmedWrite reports whether a write with an unknown outcome may still take effect.
func (s ShareView) HasUnconfirmedWrite() bool { return len(s.unconfirmedWrites) > 0 }

// UsableParts returns the base share that the VM may use.
func (s ShareView) UsableParts() int64 {
	parts := s.record.PartsOf(s.self)
	if s.isLost && !s.disabledGuards.has(guardLostRecord) {
		parts = min(parts, s.maxParts)
	}
	if s.disabledGuards.has(guardEarlyRelease) {
		return parts
	}
	for _, w := range s.unconfirmedWrites {
		parts = min(parts, w.partsAfter)
	}
	return parts
}

// WithRecord returns the view after the record was read or written at the version, and the number of gained parts
// that no VM has held before. ok is false if the version is older than that of the view, which then stays as it is.
func (s ShareView) WithRecord(r ShareRecord, version int64) (next ShareView, neverHeld int64, ok bool) {
	if s.isLoaded && version < s.version {
		return s, 0, false
	}
	s.maxParts = s.UsableParts()
	s.hasUsedParts = s.hasUsedParts || s.maxParts > 0
	s.record, s.version, s.isLoaded = r, version, true
	if s.isLost = r.Era < afversion.Era(version); s.isLost {
		s.unconfirmedWrites = filter(s.unconfirmedWrites, func(w RecordWrite) bool { return w.BaseVersion >= version })
		return s, 0, true
	}
	parts := r.PartsOf(s.self)
	var unconfirmed []RecordWrite
	for _, w := range s.unconfirmedWrites {
		switch {
		case w.BaseVersion >= version:
			unconfirmed = append(unconfirmed, w)
		case parts == w.partsAfter && w.partsAfter != w.partsBefore:
			neverHeld = w.neverHeldGained
		}
	}
	s.unconfirmedWrites = unconfirmed
	return s, neverHeld, true
}

// WithUnconfirmedWrite returns the view for the time between sending the write and its outcome. Parts that the write
// releases are no longer usable.
func (s ShareView) WithUnconfirmedWrite(w RecordWrite) ShareView {
	s.unconfirmedWrites = append(slices.Clone(s.unconfirmedWrites), w)
	return s
}

// WithoutLatestWrite returns the view after the platform has reported that the latest write was not carried out.
func (s ShareView) WithoutLatestWrite() ShareView {
	s.unconfirmedWrites = slices.Clone(s.unconfirmedWrites)
	if n := len(s.unconfirmedWrites); n > 0 {
		s.unconfirmedWrites = s.unconfirmedWrites[:n-1]
	}
	return s
}

// WithGoneHolders returns the view after the platform's list of VMs was checked for holders that are gone.
func (s ShareView) WithGoneHolders(isGone func(arbutusfork.Incarnation) bool, now time.Duration) ShareView {
	goneSince := make(map[arbutusfork.Incarnation]time.Duration)
	for _, h := range s.record.Holders {
		i := h.Incarnation()
		if i == s.self || !isGone(i) {
			continue
		}
		since, ok := s.goneSince[i]
		if !ok {
			since = now
		}
		goneSince[i] = since
	}
	if !maps.Equal(s.goneSince, goneSince) {
		s.goneSince = goneSince
	}
	return s
}

// PlanWrite returns the write that brings the VM to the target parts, and whether one is needed. Parts on loan are
// not released. A write without a change is needed too as long as an earlier write may still take effect: a write on
// the same base version makes the platform reject the earlier one.
// The record must not be lost.
func (s ShareView) PlanWrite(target int64, lent Parts, now time.Duration) (RecordWrite, bool) {
	r, current := s.record, s.record.PartsOf(s.self)
	if afversion.Revision(s.version) == 0 {
		r = NewShareRecord()
	}
	wanted := target
	if wanted < current {
		wanted = min(current, max(wanted, lent.Rate, lent.Burst))
	}
	if wanted > current && wanted-current > r.NeverHeldParts+r.FreeParts() {
		r = r.WithoutHolders(func(i arbutusfork.Incarnation) bool { return s.isReissuable(i, now) })
	}
	w := RecordWrite{BaseVersion: s.version, partsBefore: current}
	w.Record, w.neverHeldGained = r.WithParts(s.self, wanted)
	w.partsAfter = w.Record.PartsOf(s.self)
	return w, s.isLoaded && (w.partsAfter != w.partsBefore || s.HasUnconfirmedWrite())
}

// isReissuable reports whether the holder is gone and every loan that it gave has ended.
func (s ShareView) isReissuable(i arbutusfork.Incarnation, now time.Duration) bool {
	if i == s.self {
		return false
	}
	since, ok := s.goneSince[i]
	if s.disabledGuards.has(guardHolderGone) {
		return true
	}
	return ok && (now-since >= LoanTerm+LoanTermMargin || s.disabledGuards.has(guardLoansEnded))
}
