package affeed

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	// minStaleTimeout is how long another VM's copy must have been newer before the watch is restarted because it has
	// stalled. A change reaches all VMs within one call and a delay of some hundred milliseconds.
	minStaleTimeout = 600 * time.Millisecond
	// maxStaleTimeout bounds the time until the next restart of a stalled watch. The time doubles with each restart that
	// brings no change. Otherwise a VM that is cut off from the platform would call it once per minStaleTimeout.
	maxStaleTimeout = 4800 * time.Millisecond
)

const (
	// objectCopies is how many forms of an object exist at once: as received and decoded.
	objectCopies = 2
	// objectOverheadBytes is what an object needs beside its content.
	objectOverheadBytes = 256
)

// Position identifies the state of a copy, so that VMs can compare their copies.
type Position struct {
	// Version is the highest version of an object that was received.
	Version int64 `msgpack:"v"`
	// ObjectCount is the number of objects in the copy.
	ObjectCount int `msgpack:"n"`
}

// IsBehind reports whether the copy at other is certainly newer than the copy at p. With the same version and fewer
// objects, the copy at other has at least one object that the copy at p lacks.
func (p Position) IsBehind(other Position) bool {
	return other.Version > p.Version || other.Version == p.Version && other.ObjectCount < p.ObjectCount
}

// differsFrom reports whether the copy at p may lack a change that the copy at other has.
func (p Position) differsFrom(other Position) bool {
	return other.Version > p.Version || other.Version == p.Version && other.ObjectCount != p.ObjectCount
}

// Position returns the state of the copy.
func (f *Feed) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// ComparePosition compares the copy with another VM's copy. If the other copy has been newer for some time, the watch has
// stalled and is restarted.
func (f *Feed) ComparePosition(other Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timer.Now()
	f.isCompared = true
	switch {
	case !f.position.differsFrom(other):
		f.differsSince = time.Time{}
	case f.differsSince.IsZero():
		f.differsSince = now
	}
	if !f.position.IsBehind(other) {
		return
	}
	if f.staleSince.IsZero() {
		f.staleSince = now
	}
	f.staleTimeout = max(f.staleTimeout, minStaleTimeout)
	if f.cancelWatch == nil || now.Sub(f.staleSince) < f.staleTimeout {
		return
	}
	f.staleSince, f.staleTimeout = now, min(2*f.staleTimeout, maxStaleTimeout)
	f.Log.Info("stalled watch restarted", "kind", f.Kind, "version", f.position.Version, "other", other.Version)
	f.cancelWatch()
}

// recordList updates the position with a complete list.
func (f *Feed) recordList(objects []afobject.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objectBytes = make(map[string]int, len(objects))
	for _, o := range objects {
		f.objectBytes[o.Name] = len(o.Spec)
		f.position.Version = max(f.position.Version, o.Version)
	}
	f.position.ObjectCount = len(f.objectBytes)
	f.holdObjects()
	f.resetStale()
}

// holdObjects holds the memory of the objects. The caller holds mu.
func (f *Feed) holdObjects() {
	if f.Held == nil {
		return
	}
	n := 0
	for _, size := range f.objectBytes {
		n += size + objectOverheadBytes
	}
	f.Held.Force(n * objectCopies)
}

// IsInStep reports whether the copy has not differed from other VMs' copies for maxLag or longer.
func (f *Feed) IsInStep(maxLag time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isCompared && (f.differsSince.IsZero() || f.Timer.Now().Sub(f.differsSince) < maxLag)
}

// resetStale clears the mark that the copy is out of date, since the platform has sent data. The caller holds mu.
func (f *Feed) resetStale() { f.staleSince, f.staleTimeout = time.Time{}, 0 }

// recordChange updates the position with a change.
func (f *Feed) recordChange(e afobject.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position.Version = max(f.position.Version, e.Object.Version)
	if e.Type == afobject.Deleted {
		delete(f.objectBytes, e.Object.Name)
	} else {
		f.objectBytes[e.Object.Name] = len(e.Object.Spec)
	}
	f.position.ObjectCount = len(f.objectBytes)
	f.holdObjects()
	f.resetStale()
}
