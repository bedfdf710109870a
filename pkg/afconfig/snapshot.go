// Package afconfig holds the immutable configuration snapshot and the rule that says when a VM may rely on it.
package afconfig

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// SingletonName is the name of objects of which there is only one, such as the sheet and the witness set.
const SingletonName = "current"

// WitnessSet names the VMs whose acknowledgements confirm a change.
type WitnessSet struct {
	// Epoch rises by one with each change of the set.
	Epoch int64    `json:"epoch"`
	VMs   []string `json:"vms"`
}

// Snapshot is the configuration at one version. It is immutable; WithObjects returns a changed copy.
type Snapshot struct {
	// Version never falls on one VM.
	Version int64

	customers map[string]arbutusfork.Customer
	keys      map[string]arbutusfork.APIKey // keys by digest
	services  map[string]arbutusfork.Service
	routes    map[string]arbutusfork.Route
	models    map[string]arbutusfork.Model
	endpoints map[string]arbutusfork.Endpoint
	sheet     arbutusfork.DemandSheet
	witnesses WitnessSet
	names     map[string]string // names maps a key object's name to its digest.

	// objects holds the raw form of each object. A deleted object stays as a tombstone without Spec.
	objects map[objectID]afobject.Object
	// tombstones counts the deleted objects in objects.
	tombstones int
	// floor is the lowest version since which every change is known as an object or a tombstone.
	floor int64
}

type objectID struct{ kind, name string }

// Customer returns the customer of that name.
func (s *Snapshot) Customer(name string) (arbutusfork.Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Key returns the key with that digest, withdrawn or not.
func (s *Snapshot) Key(digest string) (arbutusfork.APIKey, bool) {
	k, ok := s.keys[digest]
	return k, ok
}

// Service returns the service of that name.
func (s *Snapshot) Service(name string) (arbutusfork.Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Route returns the route of that name.
func (s *Snapshot) Route(name string) (arbutusfork.Route, bool) {
	r, ok := s.routes[name]
	return r, ok
}

// Model returns the model or adapter of that name.
func (s *Snapshot) Model(name string) (arbutusfork.Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Endpoint returns the endpoint of that name.
func (s *Snapshot) Endpoint(name string) (arbutusfork.Endpoint, bool) {
	e, ok := s.endpoints[name]
	return e, ok
}

// Sheet returns the accepted demand sheet.
func (s *Snapshot) Sheet() arbutusfork.DemandSheet { return s.sheet }

// Witnesses returns the witness set.
func (s *Snapshot) Witnesses() WitnessSet { return s.witnesses }

// Customers returns all customers in order of name.
func (s *Snapshot) Customers() []arbutusfork.Customer { return ordered(s.customers) }

// Services returns all services in order of name.
func (s *Snapshot) Services() []arbutusfork.Service { return ordered(s.services) }

// Routes returns all routes in order of name.
func (s *Snapshot) Routes() []arbutusfork.Route { return ordered(s.routes) }

// Models returns all models and adapters in order of name.
func (s *Snapshot) Models() []arbutusfork.Model { return ordered(s.models) }

// Endpoints returns all endpoints in order of name.
func (s *Snapshot) Endpoints() []arbutusfork.Endpoint { return ordered(s.endpoints) }

// Keys returns all keys in order of name.
func (s *Snapshot) Keys() []arbutusfork.APIKey {
	keys := slices.Collect(maps.Values(s.keys))
	slices.SortFunc(keys, func(a, b arbutusfork.APIKey) int { return strings.Compare(a.Name, b.Name) })
	return keys
}

func ordered[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}

// WithObjects returns a copy with the changed objects applied. An object whose Spec is nil is deleted. Objects of
// kinds that are not configuration only raise the version. An object that is older than the one at hand is
// ignored, so that late and repeated changes do no harm. The error is MalformedObject; the copy is nil then.
func (s *Snapshot) WithObjects(version int64, objects ...afobject.Object) (*Snapshot, error) {
	next, err := s.WithValidObjects(version, objects...)
	if err != nil {
		return nil, err
	}
	return next, nil
}

// WithValidObjects does what WithObjects does, but a malformed object does not stop the others: it counts as
// deleted, so that a withdrawal that cannot be read never leaves the key in force. The error names the last malformed
// object and the copy is valid in any case.
func (s *Snapshot) WithValidObjects(version int64, objects ...afobject.Object) (*Snapshot, error) {
	next := s.clone()
	next.Version = max(s.Version, version)
	var failed error
	for _, o := range objects {
		next.Version = max(next.Version, o.Version)
		if !afobject.IsConfigurationKind(o.Kind) || !next.keep(o) {
			continue
		}
		if err := next.apply(o); err != nil {
			failed = &Error{Op: "apply " + o.Kind + "/" + o.Name, Kind: MalformedObject, Err: err}
			o.Spec = nil
			_ = next.apply(o) // A deletion decodes nothing and cannot fail.
		}
	}
	next.prune()
	return next, failed
}

func (s *Snapshot) clone() *Snapshot {
	next := *s
	next.customers = maps.Clone(s.customers)
	next.keys = maps.Clone(s.keys)
	next.services = maps.Clone(s.services)
	next.routes = maps.Clone(s.routes)
	next.models = maps.Clone(s.models)
	next.endpoints = maps.Clone(s.endpoints)
	next.names = maps.Clone(s.names)
	next.objects = maps.Clone(s.objects)
	if next.objects == nil {
		next.objects = make(map[objectID]afobject.Object)
	}
	return &next
}

func (s *Snapshot) apply(o afobject.Object) error {
	switch o.Kind {
	case afobject.KindCustomers:
		return put(&s.customers, o)
	case afobject.KindKeys:
		return s.applyKey(o)
	case afobject.KindServices:
		return put(&s.services, o)
	case afobject.KindRoutes:
		return put(&s.routes, o)
	case afobject.KindModels:
		return put(&s.models, o)
	case afobject.KindEndpoints:
		return put(&s.endpoints, o)
	case afobject.KindSheets:
		s.sheet = arbutusfork.DemandSheet{}
		return decode(o, &s.sheet)
	case afobject.KindWitnesses:
		s.witnesses = WitnessSet{}
		return decode(o, &s.witnesses)
	}
	return nil
}

func (s *Snapshot) applyKey(o afobject.Object) error {
	delete(s.keys, s.names[o.Name])
	delete(s.names, o.Name)
	if o.Spec == nil {
		return nil
	}
	var k arbutusfork.APIKey
	if err := decode(o, &k); err != nil {
		return err
	}
	if s.keys == nil {
		s.keys = make(map[string]arbutusfork.APIKey)
		s.names = make(map[string]string)
	}
	s.keys[k.Digest] = k
	s.names[o.Name] = k.Digest
	return nil
}

func put[T any](m *map[string]T, o afobject.Object) error {
	if o.Spec == nil {
		delete(*m, o.Name)
		return nil
	}
	var v T
	if err := decode(o, &v); err != nil {
		return err
	}
	if *m == nil {
		*m = make(map[string]T)
	}
	(*m)[o.Name] = v
	return nil
}

func decode(o afobject.Object, v any) error {
	if o.Spec == nil {
		return nil
	}
	return json.Unmarshal(o.Spec, v)
}
