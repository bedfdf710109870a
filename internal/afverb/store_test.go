package afverb_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// fakeStore is an object store in memory that can simulate faults.
type fakeStore struct {
	mu       sync.Mutex
	version  int64
	objects  map[string]afobject.Object
	snapshot *afconfig.Snapshot

	isDown              bool // isDown makes reads and writes of objects fail.
	answersToLose       int  // answersToLose is the number of next writes that take effect but whose outcome is reported as unknown.
	refusesConfirmation bool // refusesConfirmation makes confirmVersion fail.
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]afobject.Object), snapshot: &afconfig.Snapshot{}}
}

func (s *fakeStore) newError(kind afobject.ErrorKind, op, name string) error {
	return &afobject.Error{Op: op, Object: name, Kind: kind}
}

func (s *fakeStore) getObject(_ context.Context, kind, name string) (afobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	switch {
	case s.isDown:
		return o, s.newError(afobject.PlatformUnavailable, "get", kind+"/"+name)
	case !ok:
		return o, s.newError(afobject.ObjectNotFound, "get", kind+"/"+name)
	}
	return o, nil
}

func (s *fakeStore) createObject(_ context.Context, o afobject.Object) (afobject.Object, error) {
	return s.writeObject("create", o, 0)
}

func (s *fakeStore) updateObject(_ context.Context, o afobject.Object) (afobject.Object, error) {
	return s.writeObject("update", o, o.Version)
}

func (s *fakeStore) writeObject(op string, o afobject.Object, expectedVersion int64) (afobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := o.Kind + "/" + o.Name
	switch {
	case s.isDown:
		return o, s.newError(afobject.PlatformUnavailable, op, name)
	case s.objects[name].Version != expectedVersion:
		return o, s.newError(afobject.VersionConflict, op, name)
	}
	s.version++
	o.Version = s.version
	s.objects[name] = o
	s.publishSnapshot(o)
	return o, s.takeLostAnswer(op, name)
}

func (s *fakeStore) deleteObject(_ context.Context, kind, name string, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	objectName := kind + "/" + name
	o, ok := s.objects[objectName]
	switch {
	case s.isDown:
		return s.newError(afobject.PlatformUnavailable, "delete", objectName)
	case !ok:
		return s.newError(afobject.ObjectNotFound, "delete", objectName)
	case o.Version != version:
		return s.newError(afobject.VersionConflict, "delete", objectName)
	}
	s.version++
	delete(s.objects, objectName)
	s.publishSnapshot(afobject.Object{Kind: kind, Name: name, Version: s.version})
	return s.takeLostAnswer("delete", objectName)
}

// takeLostAnswer returns the error of a write whose answer is lost, or nil if no more answers are to be lost.
func (s *fakeStore) takeLostAnswer(op, name string) error {
	if s.answersToLose == 0 {
		return nil
	}
	s.answersToLose--
	return s.newError(afobject.OutcomeUnknown, op, name)
}

// publishSnapshot puts the object into the snapshot that the server reads. An object without a spec is deleted there.
func (s *fakeStore) publishSnapshot(o afobject.Object) {
	next, err := s.snapshot.WithObjects(s.version, o)
	if err != nil {
		panic(err)
	}
	s.snapshot = next
}

func (s *fakeStore) currentSnapshot() *afconfig.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *fakeStore) confirmVersion(context.Context, int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusesConfirmation {
		return errors.New("witnesses do not answer")
	}
	return nil
}

// writeAsOtherOperator replaces the object whatever its version, so that the version that the operator under test read is outdated.
func (s *fakeStore) writeAsOtherOperator(kind, name, spec string) error {
	s.mu.Lock()
	currentVersion := s.objects[kind+"/"+name].Version
	s.mu.Unlock()
	_, err := s.writeObject("rival", afobject.Object{Kind: kind, Name: name, Spec: json.RawMessage(spec)}, currentVersion)
	return err
}

// setFault switches a fault on by its name in the session scripts. The name "none" switches all faults off.
func (s *fakeStore) setFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch name {
	case "lose":
		s.answersToLose++
	case "down":
		s.isDown = true
	case "silent":
		s.refusesConfirmation = true
	case "none":
		s.isDown, s.answersToLose, s.refusesConfirmation = false, 0, false
	}
}
