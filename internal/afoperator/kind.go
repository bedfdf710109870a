package afoperator

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// objectKind defines how objects of one kind are listed, validated and deleted.
type objectKind struct {
	// listAll returns all objects of the kind in the VM's snapshot.
	listAll func(c *afconfig.Snapshot) any
	// checkSpec decodes and validates a spec and returns the spec to store.
	checkSpec func(ctx context.Context, s *Server, name string, spec []byte) (any, error)
	// checkReplacement returns an error if next must not replace the stored spec. Nil allows every replacement.
	checkReplacement func(stored []byte, next any) error
	// findReferrers returns the objects that refer to the named object. Nil means that no kind refers to this one.
	findReferrers func(c *afconfig.Snapshot, name string) []string
	// checkDeletion returns an error if an object with the stored spec must not be deleted. Nil allows every deletion.
	checkDeletion func(stored []byte) error
}

var objectKinds = map[string]objectKind{
	afobject.KindCustomers: {
		listAll:       newListFunc((*afconfig.Snapshot).Customers),
		checkSpec:     newCheckFunc(checkCustomer),
		findReferrers: findCustomerReferrers,
	},
	afobject.KindKeys: {
		listAll:          newListFunc((*afconfig.Snapshot).Keys),
		checkSpec:        newCheckFunc(checkKey),
		checkReplacement: checkKeyReplacement,
		checkDeletion:    checkKeyDeletion,
	},
	afobject.KindServices: {
		listAll:          newListFunc((*afconfig.Snapshot).Services),
		checkSpec:        newCheckFunc(checkService),
		checkReplacement: checkServiceReplacement,
		findReferrers:    findServiceReferrers,
	},
	afobject.KindRoutes: {
		listAll:   newListFunc((*afconfig.Snapshot).Routes),
		checkSpec: newCheckFunc(checkRoute),
	},
	afobject.KindModels: {
		listAll:       newListFunc((*afconfig.Snapshot).Models),
		checkSpec:     newCheckFunc(checkModel),
		findReferrers: findModelReferrers,
	},
	afobject.KindEndpoints: {
		listAll:       newListFunc((*afconfig.Snapshot).Endpoints),
		checkSpec:     newCheckFunc(checkEndpoint),
		checkDeletion: checkEndpointDeletion,
	},
}

// findInSnapshot maps each kind to a function that returns the named object of a snapshot.
var findInSnapshot = map[string]func(c *afconfig.Snapshot, name string) (any, bool){
	afobject.KindCustomers: newFindFunc((*afconfig.Snapshot).Customer),
	afobject.KindKeys:      findKeyByName,
	afobject.KindServices:  newFindFunc((*afconfig.Snapshot).Service),
	afobject.KindRoutes:    newFindFunc((*afconfig.Snapshot).Route),
	afobject.KindModels:    newFindFunc((*afconfig.Snapshot).Model),
	afobject.KindEndpoints: newFindFunc((*afconfig.Snapshot).Endpoint),
}

func newFindFunc[T any](get func(*afconfig.Snapshot, string) (T, bool)) func(*afconfig.Snapshot, string) (any, bool) {
	return func(c *afconfig.Snapshot, name string) (any, bool) {
		v, ok := get(c, name)
		return v, ok
	}
}

func newListFunc[T any](all func(*afconfig.Snapshot) []T) func(*afconfig.Snapshot) any {
	return func(c *afconfig.Snapshot) any { return all(c) }
}

func findKeyByName(c *afconfig.Snapshot, name string) (any, bool) {
	for _, k := range c.Keys() {
		if k.Name == name {
			return k, true
		}
	}
	return nil, false
}

// newCheckFunc returns a checkSpec function that decodes a spec into T and passes it to check.
func newCheckFunc[T any](check func(ctx context.Context, s *Server, name string, v T) (T, error)) func(context.Context, *Server, string, []byte) (any, error) {
	return func(ctx context.Context, s *Server, name string, spec []byte) (any, error) {
		v, err := decodeStrict[T](spec)
		if err != nil {
			return nil, err
		}
		return check(ctx, s, name, v)
	}
}

// decodeStrict decodes one JSON value. Unknown fields are errors, so that a misspelt field is not silently dropped.
func decodeStrict[T any](b []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, errors.Wrap(err, "decode JSON")
	}
	if d.More() {
		return v, errors.New("decode JSON: data after the value")
	}
	return v, nil
}

// objectExists looks in the VM's snapshot first and asks the platform only for a name that the snapshot lacks, since
// the object may be newer than the snapshot.
func (s *Server) objectExists(ctx context.Context, kind, name string) (bool, error) {
	if _, ok := findInSnapshot[kind](s.Snapshot(), name); ok {
		return true, nil
	}
	_, err := s.GetObject(ctx, kind, name)
	if afobject.IsKind(err, afobject.ObjectNotFound) {
		return false, nil
	}
	return err == nil, err
}

// requireObjects returns an error that names the first missing object.
func (s *Server) requireObjects(ctx context.Context, kind string, names ...string) error {
	for _, name := range names {
		ok, err := s.objectExists(ctx, kind, name)
		if err != nil {
			return err
		}
		if !ok {
			return errors.Errorf("%s/%s does not exist", kind, name)
		}
	}
	return nil
}
