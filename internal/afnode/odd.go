package afnode

import (
	"maps"

	"github.com/prometheus/client_golang/prometheus"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// oddObjects holds the objects of one kind that could not be decoded, so that each fault is logged once although every list
// contains its object and another writer may write it again and again. Only the goroutine of the kind's feed uses it.
type oddObjects struct {
	// ignored counts the versions of objects that were left out.
	ignored prometheus.Counter
	byName  map[string]oddObject
}

// oddObject is the version of an object that was left out last, with the text of its fault.
type oddObject struct {
	version int64
	fault   string
}

// maxFaultBytes bounds the text of a fault, which may quote parts of an object of any size.
const maxFaultBytes = 300

// newOddObjects returns no objects of a kind.
func (n *Node) newOddObjects(kind string) *oddObjects {
	return &oddObjects{ignored: n.ignoredObjects.WithLabelValues(kind), byName: make(map[string]oddObject)}
}

// add adds an object with its fault. It returns the bounded text of the fault, and whether it is to be logged: the object was
// sound before or had another fault.
func (m *oddObjects) add(o afobject.Object, err error) (fault string, isNew bool) {
	fault = err.Error()
	fault = fault[:min(len(fault), maxFaultBytes)]
	old, known := m.byName[o.Name]
	m.byName[o.Name] = oddObject{o.Version, fault}
	if !known || old.version != o.Version {
		m.ignored.Inc()
	}
	return fault, !known || old.fault != fault
}

// has reports whether this version of an object was added.
func (m *oddObjects) has(o afobject.Object) bool {
	old, known := m.byName[o.Name]
	return known && old.version == o.Version
}

// contains reports whether the last version of an object was added.
func (m *oddObjects) contains(name string) bool {
	_, known := m.byName[name]
	return known
}

// remove removes an object that is sound again or that no longer exists.
func (m *oddObjects) remove(name string) { delete(m.byName, name) }

// keep removes the objects that are not among those of a complete list.
func (m *oddObjects) keep(objects []afobject.Object) {
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
	}
	maps.DeleteFunc(m.byName, func(name string, _ oddObject) bool { return !listed[name] })
}
