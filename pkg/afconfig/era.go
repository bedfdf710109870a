package afconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// The platform's store may come back from an older copy of itself, which begins a new era (package afversion). The versions
// of the copied objects are then higher than before although their content is older. Copied objects have the revisions that
// they had before, so that of two states of an object the one with the higher revision is the later one. Only a state with a
// lower revision is ambiguous: it may be an older copy, or have been written since. Until operators have written again what
// the store has lost, an ambiguous state does not replace the one that this VM holds.

// IsHolding reports whether the snapshot may hold objects that the store has lost. A delta with IsResolution ends this.
func (s *Snapshot) IsHolding() bool { return s.isHolding }

// withoutOlderCopies returns the delta without the objects that may be older copies of those in the snapshot.
func (s *Snapshot) withoutOlderCopies(d Delta) Delta {
	baseline := d.Baseline
	if afversion.Era(s.baseline) == afversion.Era(d.Version) {
		baseline = s.baseline
	} else if baseline == 0 {
		baseline = d.Version
	}
	d.Baseline, d.IsFull = baseline, false // Objects that are not listed may have been written after the copy.
	var objects []afobject.Object
	for _, o := range d.Objects {
		if o.Version > baseline || afversion.Era(o.Version) < afversion.Era(d.Version) || !s.mayBeOlderCopy(o) {
			objects = append(objects, o)
		}
	}
	d.Objects = objects
	return d
}

// mayBeOlderCopy reports whether an object of a later era may be an older copy of the one that the snapshot holds, or of one
// that was deleted so long ago that the snapshot does not hold its deletion any more.
func (s *Snapshot) mayBeOlderCopy(o afobject.Object) bool {
	held, ok := s.objects[objectID{o.Kind, o.Name}]
	if !ok {
		return afversion.Revision(o.Version) <= afversion.Revision(s.Version)
	}
	isEqual := (o.Spec == nil) == (held.Spec == nil) && bytes.Equal(o.Spec, held.Spec)
	return !isEqual && afversion.Revision(o.Version) <= afversion.Revision(held.Version)
}

// HeldObjects returns the objects and deletions of an earlier era than the snapshot, in order of version, or nil if the
// snapshot holds none that the store may have lost.
func (s *Snapshot) HeldObjects() []afobject.Object {
	if !s.isHolding {
		return nil
	}
	var held []afobject.Object
	for _, o := range s.objects {
		if afversion.Era(o.Version) < afversion.Era(s.Version) {
			held = append(held, o)
		}
	}
	slices.SortFunc(held, func(a, b afobject.Object) int {
		return cmp.Or(compareByVersion(a, b), strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	return held
}

// WithHeldObjects returns a copy in which objects that another VM holds replace their older copies. It is to be used after a
// start, when the snapshot has the store's copies only.
func (s *Snapshot) WithHeldObjects(objects ...afobject.Object) (*Snapshot, error) {
	next := s.clone()
	var newer []afobject.Object
	for _, o := range objects {
		id := objectID{o.Kind, o.Name}
		current, exists := s.objects[id]
		isCopy := afversion.Era(current.Version) == afversion.Era(s.Version) && current.Version <= s.baseline
		if afversion.Era(o.Version) >= afversion.Era(s.Version) ||
			exists && (!isCopy || afversion.Revision(current.Version) >= afversion.Revision(o.Version)) {
			continue
		}
		if exists && current.Spec == nil {
			next.tombstoneCount--
		}
		delete(next.objects, id)
		newer = append(newer, o)
	}
	next.isHolding = next.isHolding || len(newer) > 0
	return next.WithValidObjects(s.Version, newer...)
}

// isOlderWitnessSet reports whether the object is a witness set with a lower epoch than the one in force. The system itself
// writes the set, so that no operator writes it again after the store has lost it.
func (s *Snapshot) isOlderWitnessSet(o afobject.Object) bool {
	if o.Kind != afobject.KindWitnesses || o.Spec == nil {
		return false
	}
	var set WitnessSet
	return json.Unmarshal(o.Spec, &set) == nil && set.Epoch < s.witnesses.Epoch
}

// EpochFrom returns the set with an epoch that no other set has, given the version of the object that the set replaces. Epochs
// go back with the store, so that one of a new era is that version.
func (w WitnessSet) EpochFrom(version int64) WitnessSet {
	if afversion.Era(w.Epoch) < afversion.Era(version) {
		w.Epoch = version
	}
	return w
}

// LostWithdrawals returns the names of the keys, in order, whose withdrawal the store may have lost.
func (s *Snapshot) LostWithdrawals() (names []string) {
	for _, k := range s.keys {
		if !k.IsWithdrawn {
			continue
		}
		var stored arbutusfork.APIKey
		o := s.objects[objectID{afobject.KindKeys, k.Name}]
		isHeld := s.isHolding && afversion.Era(o.Version) < afversion.Era(s.Version)
		if isHeld || json.Unmarshal(o.Spec, &stored) == nil && !stored.IsWithdrawn {
			names = append(names, k.Name)
		}
	}
	slices.Sort(names)
	return names
}
