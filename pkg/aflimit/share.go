package aflimit

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

// Write is a conditional update of the share record.
type Write struct {
	Record Record
	// Version is the version that the update is conditional on. Zero means that the record is created.
	Version int64

	before, after, fresh int64 // The parts of the VM before and after, and the fresh ones among those it gains.
}

// Before returns the VM's parts without the write, and After with it.
func (w Write) Before() int64 { return w.before }

// After returns the VM's parts with the write.
func (w Write) After() int64 { return w.after }

// Share is one VM's view of a customer's share record. It is immutable.
//
// A VM uses the least of the parts that the record names for its incarnation and those of its own writes that may
// still take effect. So it never uses parts that another VM may take, whichever answers are lost.
type Share struct {
	self    arbutusfork.Incarnation
	record  Record
	version int64
	loaded  bool
	writes  []Write // writes holds those on top of version whose outcome is not known.
	// gone holds since when the platform has said without interruption that a holder is gone.
	gone    map[arbutusfork.Incarnation]time.Duration
	without guard
}

// NewShare returns the view of a VM that has not read the record.
func NewShare(self arbutusfork.Incarnation) Share { return Share{self: self} }

// Record returns the record as it was last read.
func (s Share) Record() Record { return s.record }

// Version returns the version of the record. It never falls.
func (s Share) Version() int64 { return s.version }

// Loaded reports whether the record has been read.
func (s Share) Loaded() bool { return s.loaded }

// Doubtful reports whether a write may still take effect.
func (s Share) Doubtful() bool { return len(s.writes) > 0 }

// Parts returns the base share that the VM may use.
func (s Share) Parts() int64 {
	parts := s.record.Parts(s.self)
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
func (s Share) WithRecord(r Record, version int64) (next Share, fresh int64, ok bool) {
	if s.loaded && version < s.version {
		return s, 0, false
	}
	s.record, s.version, s.loaded = r, version, true
	parts := r.Parts(s.self)
	var open []Write
	for _, w := range s.writes {
		switch {
		case w.Version >= version:
			open = append(open, w)
		case parts == w.after && w.after != w.before:
			fresh = w.fresh
		}
	}
	s.writes = open
	return s, fresh, true
}

// WithWrite returns the view before the write is sent. A release already counts.
func (s Share) WithWrite(w Write) Share {
	s.writes = append(slices.Clone(s.writes), w)
	return s
}

// WithoutWrite returns the view after the platform has said that the latest write was not carried out.
func (s Share) WithoutWrite() Share {
	s.writes = slices.Clone(s.writes)
	if n := len(s.writes); n > 0 {
		s.writes = s.writes[:n-1]
	}
	return s
}

// WithGone returns the view with the platform's present word on which holders are gone.
func (s Share) WithGone(gone func(arbutusfork.Incarnation) bool, now time.Duration) Share {
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

// Plan returns the write that brings the VM to the target, and whether one is needed. Parts on loan are not released.
// While an earlier write may still take effect, a write without change is needed too, since any write on top of the
// same version ends the doubt.
func (s Share) Plan(target int64, lent Parts, now time.Duration) (Write, bool) {
	r, mine := s.record, s.record.Parts(s.self)
	if s.version == 0 {
		r = NewRecord()
	}
	want := target
	if want < mine {
		want = min(mine, max(want, lent.Rate, lent.Burst))
	}
	if want > mine && want-mine > r.Fresh+r.Free() {
		r = r.Without(func(i arbutusfork.Incarnation) bool { return s.reissuable(i, now) })
	}
	w := Write{Version: s.version, before: mine}
	w.Record, w.fresh = r.WithParts(s.self, want)
	w.after = w.Record.Parts(s.self)
	return w, s.loaded && (w.after != w.before || s.Doubtful())
}

// reissuable reports whether the holder is gone for sure and every loan that it made has ended.
func (s Share) reissuable(i arbutusfork.Incarnation, now time.Duration) bool {
	if i == s.self {
		return false
	}
	since, ok := s.gone[i]
	if s.without.has(guardProof) {
		return true
	}
	return ok && (now-since >= Term+Margin || s.without.has(guardWait))
}
