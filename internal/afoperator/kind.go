package afoperator

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// kind defines one kind of object that operators change.
type kind struct {
	// list reads the VM's snapshot.
	list func(c *afconfig.Snapshot) any
	// check decodes a spec, applies every rule and returns the spec to be stored.
	check func(ctx context.Context, s *Server, name string, spec []byte) (any, error)
	// replace checks the change from a stored spec to a checked one. Nil allows every change.
	replace func(stored []byte, next any) error
	// users returns the objects that refer to the object.
	users func(c *afconfig.Snapshot, name string) []string
	// release checks that a stored spec may be deleted. Nil allows it.
	release func(stored []byte) error
}

var kinds = map[string]kind{
	afobject.KindCustomers: {
		list:  lister((*afconfig.Snapshot).Customers),
		check: checker(checkCustomer),
		users: customerUsers,
	},
	afobject.KindKeys: {
		list:    lister((*afconfig.Snapshot).Keys),
		check:   checker(checkKey),
		replace: replaceKey,
		release: releaseKey,
	},
	afobject.KindServices: {
		list:    lister((*afconfig.Snapshot).Services),
		check:   checker(checkService),
		replace: replaceService,
		users:   serviceUsers,
	},
	afobject.KindRoutes: {
		list:  lister((*afconfig.Snapshot).Routes),
		check: checker(checkRoute),
	},
	afobject.KindModels: {
		list:  lister((*afconfig.Snapshot).Models),
		check: checker(checkModel),
		users: modelUsers,
	},
	afobject.KindEndpoints: {
		list:    lister((*afconfig.Snapshot).Endpoints),
		check:   checker(checkEndpoint),
		release: releaseEndpoint,
	},
}

// find holds how to read one object of each kind from the VM's snapshot.
var find = map[string]func(c *afconfig.Snapshot, name string) (any, bool){
	afobject.KindCustomers: finder((*afconfig.Snapshot).Customer),
	afobject.KindKeys:      findKey,
	afobject.KindServices:  finder((*afconfig.Snapshot).Service),
	afobject.KindRoutes:    finder((*afconfig.Snapshot).Route),
	afobject.KindModels:    finder((*afconfig.Snapshot).Model),
	afobject.KindEndpoints: finder((*afconfig.Snapshot).Endpoint),
}

func finder[T any](get func(*afconfig.Snapshot, string) (T, bool)) func(*afconfig.Snapshot, string) (any, bool) {
	return func(c *afconfig.Snapshot, name string) (any, bool) {
		v, ok := get(c, name)
		return v, ok
	}
}

func lister[T any](all func(*afconfig.Snapshot) []T) func(*afconfig.Snapshot) any {
	return func(c *afconfig.Snapshot) any { return all(c) }
}

func findKey(c *afconfig.Snapshot, name string) (any, bool) {
	for _, k := range c.Keys() {
		if k.Name == name {
			return k, true
		}
	}
	return nil, false
}

// checker decodes strictly, so that a misspelt field is not silently dropped.
func checker[T any](check func(ctx context.Context, s *Server, name string, v T) (T, error)) func(context.Context, *Server, string, []byte) (any, error) {
	return func(ctx context.Context, s *Server, name string, spec []byte) (any, error) {
		v, err := decode[T](spec)
		if err != nil {
			return nil, err
		}
		return check(ctx, s, name, v)
	}
}

func decode[T any](b []byte) (T, error) {
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

// exists asks the snapshot first and the platform only for a name that the snapshot does not know yet.
func (s *Server) exists(ctx context.Context, kind, name string) (bool, error) {
	if _, ok := find[kind](s.Snapshot(), name); ok {
		return true, nil
	}
	_, err := s.GetObject(ctx, kind, name)
	if afobject.IsKind(err, afobject.ObjectNotFound) {
		return false, nil
	}
	return err == nil, err
}

// require returns an error that names each missing object.
func (s *Server) require(ctx context.Context, kind string, names ...string) error {
	for _, name := range names {
		ok, err := s.exists(ctx, kind, name)
		if err != nil {
			return err
		}
		if !ok {
			return errors.Errorf("%s/%s does not exist", kind, name)
		}
	}
	return nil
}
