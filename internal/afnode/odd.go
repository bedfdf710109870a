package afnode

import (
	"maps"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// oddObjects holds the versions of the objects of one kind that could not be decoded, so that each version is logged once
// although every list contains it. Only the goroutine of the kind's feed uses it.
type oddObjects map[string]int64

// add adds an object and reports whether its version is new.
func (m oddObjects) add(o afobject.Object) bool {
	version, known := m[o.Name]
	m[o.Name] = o.Version
	return !known || version != o.Version
}

// has reports whether this version of an object was added.
func (m oddObjects) has(o afobject.Object) bool {
	version, known := m[o.Name]
	return known && version == o.Version
}

// remove removes an object that is sound again or that no longer exists.
func (m oddObjects) remove(name string) { delete(m, name) }

// keep removes the objects that are not among those of a complete list.
func (m oddObjects) keep(objects []afobject.Object) {
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
	}
	maps.DeleteFunc(m, func(name string, _ int64) bool { return !listed[name] })
}
