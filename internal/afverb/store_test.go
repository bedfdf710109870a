package afverb_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// store is an object store in memory with switchable faults.
type store struct {
	mu       sync.Mutex
	version  int64
	objects  map[string]afobject.Object
	snapshot *afconfig.Snapshot

	down        bool // down refuses every call.
	lose        int  // lose is the number of writes that take effect but whose answers are lost.
	unconfirmed bool // unconfirmed makes the witnesses silent.
}

func newStore() *store {
	return &store{objects: make(map[string]afobject.Object), snapshot: &afconfig.Snapshot{}}
}

func (s *store) fail(kind afobject.ErrorKind, op, name string) error {
	return &afobject.Error{Op: op, Object: name, Kind: kind}
}

func (s *store) get(_ context.Context, kind, name string) (afobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	switch {
	case s.down:
		return o, s.fail(afobject.PlatformUnavailable, "get", kind+"/"+name)
	case !ok:
		return o, s.fail(afobject.ObjectNotFound, "get", kind+"/"+name)
	}
	return o, nil
}

func (s *store) create(_ context.Context, o afobject.Object) (afobject.Object, error) {
	return s.write("create", o, 0)
}

func (s *store) update(_ context.Context, o afobject.Object) (afobject.Object, error) {
	return s.write("update", o, o.Version)
}

func (s *store) write(op string, o afobject.Object, seen int64) (afobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := o.Kind + "/" + o.Name
	switch {
	case s.down:
		return o, s.fail(afobject.PlatformUnavailable, op, name)
	case s.objects[name].Version != seen:
		return o, s.fail(afobject.VersionConflict, op, name)
	}
	s.version++
	o.Version = s.version
	s.objects[name] = o
	s.publish(o)
	return o, s.loss(op, name)
}

func (s *store) remove(_ context.Context, kind, name string, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := kind + "/" + name
	o, ok := s.objects[id]
	switch {
	case s.down:
		return s.fail(afobject.PlatformUnavailable, "delete", id)
	case !ok:
		return s.fail(afobject.ObjectNotFound, "delete", id)
	case o.Version != version:
		return s.fail(afobject.VersionConflict, "delete", id)
	}
	s.version++
	delete(s.objects, id)
	s.publish(afobject.Object{Kind: kind, Name: name, Version: s.version})
	return s.loss("delete", id)
}

func (s *store) loss(op, name string) error {
	if s.lose == 0 {
		return nil
	}
	s.lose--
	return s.fail(afobject.OutcomeUnknown, op, name)
}

func (s *store) publish(o afobject.Object) {
	next, err := s.snapshot.WithObjects(s.version, o)
	if err != nil {
		panic(err)
	}
	s.snapshot = next
}

func (s *store) current() *afconfig.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *store) confirm(context.Context, int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unconfirmed {
		return errors.New("witnesses are silent")
	}
	return nil
}

// rival writes as another operator does, whatever the version.
func (s *store) rival(kind, name, spec string) error {
	s.mu.Lock()
	seen := s.objects[kind+"/"+name].Version
	s.mu.Unlock()
	_, err := s.write("rival", afobject.Object{Kind: kind, Name: name, Spec: json.RawMessage(spec)}, seen)
	return err
}

func (s *store) fault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch name {
	case "lose":
		s.lose++
	case "down":
		s.down = true
	case "silent":
		s.unconfirmed = true
	case "none":
		s.down, s.lose, s.unconfirmed = false, 0, false
	}
}
