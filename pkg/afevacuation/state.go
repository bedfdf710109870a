// Package afevacuation keeps which data centres are evacuated, as of which version of the platform's store. An operator evacuates a
// data centre by an object of its name in the store and ends the evacuation by removing the object.
//
// It is made for copies of the store that reach a VM by several ways and in any order, and for a store that may come back from an
// older copy of itself without its latest writes. It holds tens of data centres, not thousands.
//
// The package is pure: time and state are arguments.
package afevacuation

import (
	"iter"
	"maps"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// LostEntryTime is how long an entry stays in force that is missing only because the store came back from an older copy. The operator
// writes it again within this time.
const LostEntryTime = 10 * time.Second

// Entry is the evacuation of one data centre.
type Entry struct {
	// Revision is the version of the object that evacuates the data centre.
	Revision int64
	// KnownAt is when a VM first read the object from the store.
	KnownAt time.Time
	// EndsAt is when an entry that the store lost ends. It is zero for an entry that the store has.
	EndsAt time.Time
}

// IsLost reports whether the store lost the entry by coming back from an older copy.
func (e Entry) IsLost() bool { return !e.EndsAt.IsZero() }

// hasEnded reports whether the entry was lost and has not been written again in time.
func (e Entry) hasEnded(now time.Time) bool { return e.IsLost() && !now.Before(e.EndsAt) }

// State is an immutable set of evacuated data centres. The zero value knows nothing about the store.
type State struct {
	isKnown bool
	version int64
	entries map[string]Entry
}

// WithCopy returns the state after a complete copy of the entries was read from the store: the version of the copy, and the revision of
// each entry by data centre. A copy that is not newer than the state changes nothing.
func (s State) WithCopy(version int64, entries map[string]int64, now time.Time) State {
	read := make(map[string]Entry, len(entries))
	for centre, revision := range entries {
		read[centre] = Entry{Revision: revision, KnownAt: now}
	}
	return s.WithEntries(version, read, now)
}

// WithEntries is WithCopy for the entries of another VM's state, some of which the store may have lost. A state with the same version
// adds those that the store lost and that s lacks: s may come from a copy that was read only after the loss.
func (s State) WithEntries(version int64, entries map[string]Entry, now time.Time) State {
	if s.isKnown && version == s.version {
		return s.withLost(entries, now)
	}
	if s.isKnown && version < s.version {
		return s
	}
	next := State{isKnown: true, version: version, entries: make(map[string]Entry, len(entries))}
	for centre, e := range entries {
		if latest := now.Add(LostEntryTime); e.EndsAt.After(latest) {
			e.EndsAt = latest
		}
		if !e.hasEnded(now) {
			next.entries[centre] = e
		}
	}
	wentBack := s.isKnown && afversion.Era(version) > afversion.Era(s.version)
	for centre, old := range s.entries {
		if old.hasEnded(now) {
			continue
		}
		e, isListed := next.entries[centre]
		switch {
		case isListed && !e.IsLost():
			if e.Revision == old.Revision && old.KnownAt.Before(e.KnownAt) {
				e.KnownAt = old.KnownAt
			}
			next.entries[centre] = e
			continue
		case wentBack:
			old.EndsAt = now.Add(LostEntryTime)
		case !old.IsLost():
			continue // The operator removed the object.
		}
		if e.EndsAt.After(old.EndsAt) {
			old.EndsAt = e.EndsAt
		}
		next.entries[centre] = old
	}
	return next
}

// withLost returns the state with the entries that the store lost and that s lacks. Those that s has are not prolonged.
func (s State) withLost(entries map[string]Entry, now time.Time) State {
	next := s
	for centre, e := range entries {
		if _, isKnown := next.entries[centre]; isKnown || !e.IsLost() || e.hasEnded(now) {
			continue
		}
		if latest := now.Add(LostEntryTime); e.EndsAt.After(latest) {
			e.EndsAt = latest
		}
		if len(next.entries) == len(s.entries) {
			next.entries = maps.Clone(s.entries)
		}
		next.entries[centre] = e
	}
	return next
}

// WithoutEnded returns the state without the entries that were lost and have ended.
func (s State) WithoutEnded(now time.Time) State {
	next := s
	next.entries = maps.Clone(s.entries)
	maps.DeleteFunc(next.entries, func(_ string, e Entry) bool { return e.hasEnded(now) })
	return next
}

// IsEvacuated reports whether a data centre is evacuated.
func (s State) IsEvacuated(centre string, now time.Time) bool {
	e, ok := s.entries[centre]
	return ok && !e.hasEnded(now)
}

// IsKnown reports whether a copy was ever read.
func (s State) IsKnown() bool { return s.isKnown }

// IsEmpty reports whether no data centre is evacuated.
func (s State) IsEmpty() bool { return len(s.entries) == 0 }

// Version returns the version of the latest copy.
func (s State) Version() int64 { return s.version }

// Entries returns the entries by data centre, including those that have ended since the latest change.
func (s State) Entries() iter.Seq2[string, Entry] { return maps.All(s.entries) }

// Entry returns the entry of a data centre.
func (s State) Entry(centre string) (Entry, bool) {
	e, ok := s.entries[centre]
	return e, ok
}
