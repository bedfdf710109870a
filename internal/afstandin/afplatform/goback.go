package afplatform

import (
	"encoding/json"
	"slices"
	"time"
)

// keptHistory is how far the store can go back.
const keptHistory = time.Minute

// undo is what a change replaced.
type undo struct {
	at         time.Time
	kind, name string
	before     object
	existed    bool
}

func (s *Store) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// recordUndo records what the next change of an object replaces. It is called with the lock held.
func (s *Store) recordUndo(kind, name string) {
	now := s.now()
	first := slices.IndexFunc(s.undos, func(u undo) bool { return now.Sub(u.at) <= keptHistory })
	if first < 0 {
		first = len(s.undos)
	}
	before, existed := s.objects[kind][name]
	s.undos = append(s.undos[first:], undo{now, kind, name, before, existed})
}

// GoAway cuts waiting watches and all calls that arrive until ComeBack.
func (s *Store) GoAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaySince = s.now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ComeBack serves the state that the store had age before GoAway, at most keptHistory, with its revision. The revisions since
// are given out again, and the era rises. Changes that an earlier ComeBack undid stay undone.
func (s *Store) ComeBack(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.awaySince.Add(-age)
	for n := len(s.undos); n > 0 && s.undos[n-1].at.After(end); n-- {
		u := s.undos[n-1]
		if u.existed {
			s.objects[u.kind][u.name] = u.before
		} else {
			delete(s.objects[u.kind], u.name)
		}
		s.revision--
		s.undos = s.undos[:n-1]
	}
	s.events = slices.DeleteFunc(s.events, func(e storedEvent) bool { return e.revision > s.revision })
	s.oldest = min(s.oldest, s.revision)
	s.era++
	s.awaySince = time.Time{}
}

// AgeOf returns how long ago an object last had a content that the function accepts, at most keptHistory.
func (s *Store) AgeOf(kind, name string, accepts func(spec json.RawMessage) bool) (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range slices.Backward(s.undos) {
		if u.kind == kind && u.name == name && u.existed && accepts(u.before.Spec) {
			return s.now().Sub(u.at), true
		}
	}
	return 0, false
}

// wasAwaySince reports whether the store is away or has been since it had the era.
func (s *Store) wasAwaySince(era int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era != era || !s.awaySince.IsZero()
}

// WriteAgain writes what the operator or the endpoints last wrote of a kind, and removes what they removed, as they do
// after ComeBack.
func (s *Store) WriteAgain(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, spec := range s.outside[kind] {
		s.writeOutside(kind, name, spec)
	}
}

// writeOutside writes an object as the operator or an endpoint does, or removes it if spec is nil. It is called with the
// lock held.
func (s *Store) writeOutside(kind, name string, spec json.RawMessage) {
	if s.outside[kind] == nil {
		s.outside[kind] = map[string]json.RawMessage{}
	}
	s.outside[kind][name] = spec
	old, exists := s.objects[kind][name]
	switch {
	case !s.awaySince.IsZero():
	case spec != nil:
		s.store(kind, object{Metadata: metadata{Name: name}, Spec: spec}, false)
	case exists:
		s.store(kind, old, true)
	}
}
