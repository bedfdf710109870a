package aflimit

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

// RecordWrite is a conditional update of the share record.
type RecordWrite struct {
	Record ShareRecord
	// BaseVersion is the version that the update is conditional on. Zero means that the record is created.
	BaseVersion int64

	before, after, fresh int64 // The parts of the VM before and after, and the fresh ones among those it gains.
}

// PartsBefore returns the VM's parts without the write, and PartsAfter with it.
func (w RecordWrite) PartsBefore() int64 { return w.before }

// PartsAfter returns the VM's parts with the write.
func (w RecordWrite) PartsAfter() int64 { return w.after }

// ShareView is one VM's view of a customer's share record. It is immutable.
//
// A VM uses the least of the parts that the record names for its incarnation and those of its own writes that may
// still take effect. So it never uses parts that another VM may take, whichever answers are lost.
type ShareView struct {
	self    arbutusfork.Incarnation
	record  ShareRecord
	version int64
	loaded  bool
	writes  []RecordWrite // writes holds those on top of version whose outcome is not known.
	// gone holds since when the platform has said without interruption that a holder is gone.
	gone    map[arbutusfork.Incarnation]time.Duration
	without guard
}

// NewShareView returns the view of a VM that has not read the record.
func NewShareView(self arbutusfork.Incarnation) ShareView { return ShareView{self: self} }

// Record returns the record as it was last read.
func (s ShareView) Record() ShareRecord { return s.record }

// Version returns the version of the record. It never falls.
func (s ShareView) Version() int64 { return s.version }

// IsLoaded reports whether the record has been read.
func (s ShareView) IsLoaded() bool { return s.loaded }

// HasUnconfirmedWrite reports whether a write may still take effect.
func (s ShareView) HasUnconfirmedWrite() bool { return len(s.writes) > 0 }

// UsableParts returns the base share that the VM may use.
func (s ShareView) UsableParts() int64 {
	parts := s.record.PartsOf(s.self)
	if s.without.has(guardRelease) {
		return parts
	}
	for _, w := range s.writes {
		parts = min(parts, w.after)
	}
	return parts
}

// WithRecord returns the view after the record was read or written at the version, with the fresh parts that the VM
// has gained. ok is false for a version older than one seen before, which changes nothing.
func (s ShareView) WithRecord(r ShareRecord, version int64) (next ShareView, fresh int64, ok bool) {
	if s.loaded && version < s.version {
		return s, 0, false
	}
	s.record, s.version, s.loaded = r, version, true
	parts := r.PartsOf(s.self)
	var open []RecordWrite
	for _, w := range s.writes {
		switch {
		case w.BaseVersion >= version:
			open = append(open, w)
		case parts == w.after && w.after != w.before:
			fresh = w.fresh
		}
	}
	s.writes = open
	return s, fresh, true
}

// WithUnconfirmedWrite returns the view before the write is sent. A release already counts.
func (s ShareView) WithUnconfirmedWrite(w RecordWrite) ShareView {
	s.writes = append(slices.Clone(s.writes), w)
	return s
}

// WithoutLatestWrite returns the view after the platform has said that the latest write was not carried out.
func (s ShareView) WithoutLatestWrite() ShareView {
	s.writes = slices.Clone(s.writes)
	if n := len(s.writes); n > 0 {
		s.writes = s.writes[:n-1]
	}
	return s
}

// WithGoneHolders returns the view with the platform's present word on which holders are gone.
func (s ShareView) WithGoneHolders(gone func(arbutusfork.Incarnation) bool, now time.Duration) ShareView {
	next := make(map[arbutusfork.Incarnation]time.Duration)
	for _, h := range s.record.Holders {
		i := h.Incarnation()
		if i == s.self || !gone(i) {
			continue
		}
		since, ok := s.gone[i]
		if !ok {
			since = now
		}
		next[i] = since
	}
	if !maps.Equal(s.gone, next) {
		s.gone = next
	}
	return s
}

// PlanWrite returns the write that brings the VM to the target, and whether one is needed. Parts on loan are not released.
// While an earlier write may still take effect, a write without change is needed too, since any write on top of the
// same version ends the doubt.
func (s ShareView) PlanWrite(target int64, lent Parts, now time.Duration) (RecordWrite, bool) {
	r, mine := s.record, s.record.PartsOf(s.self)
	if s.version == 0 {
		r = NewShareRecord()
	}
	want := target
	if want < mine {
		want = min(mine, max(want, lent.Rate, lent.Burst))
	}
	if want > mine && want-mine > r.NeverHeldParts+r.FreeParts() {
		r = r.WithoutHolders(func(i arbutusfork.Incarnation) bool { return s.reissuable(i, now) })
	}
	w := RecordWrite{BaseVersion: s.version, before: mine}
	w.Record, w.fresh = r.WithParts(s.self, want)
	w.after = w.Record.PartsOf(s.self)
	return w, s.loaded && (w.after != w.before || s.HasUnconfirmedWrite())
}

// reissuable reports whether the holder is gone for sure and every loan that it made has ended.
func (s ShareView) reissuable(i arbutusfork.Incarnation, now time.Duration) bool {
	if i == s.self {
		return false
	}
	since, ok := s.gone[i]
	if s.without.has(guardProof) {
		return true
	}
	return ok && (now-since >= LoanTerm+LoanTermMargin || s.without.has(guardWait))
}
