package afconfig

import (
	"cmp"
	"slices"

	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// maxTombstones limits the deleted objects that a snapshot keeps. At 690 changes a day, 1024 tombstones cover more than
// one day; a VM whose snapshot is older receives all objects instead of a delta.
const maxTombstones = 1024

// storeIfNewer stores the raw object if its version is higher than that of the stored object, and reports whether the
// object was stored. An object without a version is always stored.
func (s *Snapshot) storeIfNewer(o afobject.Object) bool {
	id := objectID{o.Kind, o.Name}
	old, exists := s.objects[id]
	if exists && o.Version > 0 && o.Version <= old.Version || s.isOlderWitnessSet(o) {
		return false
	}
	if exists && old.Spec == nil {
		s.tombstoneCount--
	}
	if o.Spec == nil {
		s.tombstoneCount++
	}
	s.objects[id] = o
	return true
}

// pruneTombstones removes the oldest half of the tombstones if their number exceeds maxTombstones.
func (s *Snapshot) pruneTombstones() {
	if s.tombstoneCount <= maxTombstones {
		return
	}
	var tombstones []afobject.Object
	for _, o := range s.objects {
		if o.Spec == nil {
			tombstones = append(tombstones, o)
		}
	}
	slices.SortFunc(tombstones, compareByVersion)
	for _, o := range tombstones[:len(tombstones)/2] {
		delete(s.objects, objectID{o.Kind, o.Name})
		s.completeSinceVersion = max(s.completeSinceVersion, o.Version)
		s.tombstoneCount--
	}
}

func compareByVersion(a, b afobject.Object) int { return cmp.Compare(a.Version, b.Version) }

// Delta is the set of changes between two versions of a snapshot.
type Delta struct {
	// BaseVersion is the lowest version at which a receiver may apply the delta, unless IsFull is set.
	BaseVersion int64
	// Version is the version of the receiver's snapshot after the delta is applied.
	Version int64
	// IsFull means that Objects holds every object of the configuration.
	IsFull bool
	// Objects holds the changed objects in order of version. An object without Spec is deleted.
	Objects []afobject.Object
	// Baseline is a version in the era of Version up to which objects may be older copies, or zero if that is not known.
	Baseline int64
	// IsHolding means that the sender's snapshot may hold objects that the store has lost.
	IsHolding bool
	// IsResolution means that the delta is the full content of the store, read after operators had time to write again what
	// the store has lost. It replaces the objects that the snapshot still holds.
	IsResolution bool
}

// ChangesSince returns the changes after a version, in order of version. The delta is full if tombstones of deletions
// after that version may have been pruned.
func (s *Snapshot) ChangesSince(version int64) Delta {
	d := Delta{BaseVersion: version, Version: s.Version, Baseline: s.baseline, IsHolding: s.isHolding, IsFull: version < s.completeSinceVersion || version <= 0}
	for _, o := range s.objects {
		if o.Version > version || d.IsFull {
			if d.IsFull && o.Spec == nil {
				continue
			}
			d.Objects = append(d.Objects, o)
		}
	}
	slices.SortFunc(d.Objects, compareByVersion)
	return d
}

// MergeDelta returns a copy of the snapshot with the delta applied. It returns the snapshot itself if the delta is not
// newer than the snapshot, or if a delta that is not full has a BaseVersion above the snapshot's version. It reports
// malformed objects as WithValidObjects does.
func (s *Snapshot) MergeDelta(d Delta) (*Snapshot, error) {
	isResolution := d.IsResolution && s.isHolding && d.Version >= s.Version && afversion.Era(d.Version) == afversion.Era(s.Version)
	if d.Version <= s.Version && !isResolution || !d.IsFull && d.BaseVersion > s.Version {
		return s, nil
	}
	isLaterEra := s.Version > 0 && afversion.Era(d.Version) > afversion.Era(s.Version)
	if isLaterEra || s.isHolding && d.IsFull && !isResolution {
		d = s.withoutOlderCopies(d)
	}
	next, err := s.applyDelta(d)
	switch {
	case isLaterEra:
		next.baseline, next.isHolding = d.Baseline, true
	case isResolution:
		next.isHolding = false
	case s.Version == 0:
		next.baseline, next.isHolding = d.Baseline, d.IsHolding
	}
	return next, err
}

// applyDelta applies a delta that is newer than the snapshot.
func (s *Snapshot) applyDelta(d Delta) (*Snapshot, error) {
	if !d.IsFull {
		return s.WithValidObjects(d.Version, d.Objects...)
	}
	isListed := make(map[objectID]bool, len(d.Objects))
	for _, o := range d.Objects {
		isListed[objectID{o.Kind, o.Name}] = true
	}
	changes := slices.Clone(d.Objects)
	for id, o := range s.objects {
		if !isListed[id] && o.Spec != nil {
			changes = append(changes, afobject.Object{Kind: id.kind, Name: id.name, Version: d.Version})
		}
	}
	next, err := s.WithValidObjects(d.Version, changes...)
	if s.Version == 0 {
		// An empty snapshot has no tombstones of the objects that were deleted before the first full delta.
		next.completeSinceVersion = d.Version
	}
	return next, err
}

// ObjectVersion returns the version of an object, or zero if the object does not exist or is deleted.
func (s *Snapshot) ObjectVersion(kind, name string) int64 {
	o := s.objects[objectID{kind, name}]
	if o.Spec == nil {
		return 0
	}
	return o.Version
}
