package afconfig

import (
	"cmp"
	"slices"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// maxTombstones bounds the deleted objects that a snapshot remembers. At 690 changes a day it covers more than
// a day; a VM that is further behind gets all objects.
const maxTombstones = 1024

// keep stores the raw object and reports whether it is newer than the one at hand. Objects without a version
// are always taken.
func (s *Snapshot) keep(o afobject.Object) bool {
	id := objectID{o.Kind, o.Name}
	old, known := s.objects[id]
	if known && o.Version > 0 && o.Version <= old.Version {
		return false
	}
	if known && old.Spec == nil {
		s.tombstones--
	}
	if o.Spec == nil {
		s.tombstones++
	}
	s.objects[id] = o
	return true
}

// prune forgets the oldest half of the tombstones when there are too many.
func (s *Snapshot) prune() {
	if s.tombstones <= maxTombstones {
		return
	}
	var dead []afobject.Object
	for _, o := range s.objects {
		if o.Spec == nil {
			dead = append(dead, o)
		}
	}
	slices.SortFunc(dead, byVersion)
	for _, o := range dead[:len(dead)/2] {
		delete(s.objects, objectID{o.Kind, o.Name})
		s.floor = max(s.floor, o.Version)
		s.tombstones--
	}
}

func byVersion(a, b afobject.Object) int { return cmp.Compare(a.Version, b.Version) }

// Delta is a set of changes that takes a snapshot from one version to another.
type Delta struct {
	// BaseVersion is the version that the receiver must hold at least, unless IsFull is set.
	BaseVersion int64
	// Version is the version that the receiver holds afterwards.
	Version int64
	// IsFull means that Objects are all objects there are.
	IsFull  bool
	Objects []afobject.Object
}

// ChangesSince returns the changes after a version, in order. The delta is full if deletions may have been forgotten.
func (s *Snapshot) ChangesSince(version int64) Delta {
	d := Delta{BaseVersion: version, Version: s.Version, IsFull: version < s.floor || version <= 0}
	for _, o := range s.objects {
		if o.Version > version || d.IsFull {
			if d.IsFull && o.Spec == nil {
				continue
			}
			d.Objects = append(d.Objects, o)
		}
	}
	slices.SortFunc(d.Objects, byVersion)
	return d
}

// MergeDelta returns a copy with the delta applied, and the snapshot itself if the delta does not apply: if it is
// full and not newer, or if it starts above the snapshot's version. The error is as with WithValidObjects.
func (s *Snapshot) MergeDelta(d Delta) (*Snapshot, error) {
	if d.Version <= s.Version || !d.IsFull && d.BaseVersion > s.Version {
		return s, nil
	}
	if !d.IsFull {
		return s.WithValidObjects(d.Version, d.Objects...)
	}
	listed := make(map[objectID]bool, len(d.Objects))
	for _, o := range d.Objects {
		listed[objectID{o.Kind, o.Name}] = true
	}
	changes := slices.Clone(d.Objects)
	for id, o := range s.objects {
		if !listed[id] && o.Spec != nil {
			changes = append(changes, afobject.Object{Kind: id.kind, Name: id.name, Version: d.Version})
		}
	}
	next, err := s.WithValidObjects(d.Version, changes...)
	if s.Version == 0 {
		// What was deleted before the first list is unknown.
		next.floor = d.Version
	}
	return next, err
}

// ObjectVersion returns the version of an object, or zero if there is none.
func (s *Snapshot) ObjectVersion(kind, name string) int64 {
	o := s.objects[objectID{kind, name}]
	if o.Spec == nil {
		return 0
	}
	return o.Version
}
