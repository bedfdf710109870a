// Package afconfig provides the immutable configuration snapshot of a VM and decides from probes of the platform and
// evidence of other VMs whether the snapshot is current.
package afconfig

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// SingletonName is the name of the object of each kind that has a single object, such as the demand sheet and the
// witness set.
const SingletonName = "current"

// WitnessSet names the VMs whose acknowledgements confirm a configuration change.
type WitnessSet struct {
	// Epoch increases by one with each change of the set.
	Epoch int64 `json:"epoch"`
	// VMs holds the names of the witnesses.
	VMs []string `json:"vms"`
}

// Snapshot is the configuration at one version. It is immutable; WithObjects returns a changed copy.
type Snapshot struct {
	// Version is the configuration version. Within one incarnation of a VM it never decreases.
	Version int64

	customers  map[string]arbutusfork.Customer
	keys       map[string]arbutusfork.APIKey // keys is keyed by the digest of the secret.
	services   map[string]arbutusfork.Service
	routes     map[string]arbutusfork.Route
	models     map[string]arbutusfork.Model
	endpoints  map[string]arbutusfork.Endpoint
	sheet      arbutusfork.DemandSheet
	witnesses  WitnessSet
	keyDigests map[string]string // keyDigests maps the name of a key object to its digest.
	// withdrawnDigests holds the digests of all keys that were withdrawn, also of those that were deleted since. A withdrawal
	// is final, even if the store forgets it.
	withdrawnDigests map[string]bool

	// objects holds the encoded form of each object. A deleted object stays as a tombstone, which has no Spec.
	objects map[objectID]afobject.Object
	// tombstoneCount is the number of tombstones in objects.
	tombstoneCount int
	// completeSinceVersion is the lowest version since which objects holds every change and every deletion.
	completeSinceVersion int64
	// baseline is a version up to which the store's objects may be older copies, or zero.
	baseline int64
	// isHolding means that objects of an earlier era may be newer than the store's.
	isHolding bool
}

type objectID struct{ kind, name string }

// Customer returns the customer of that name.
func (s *Snapshot) Customer(name string) (arbutusfork.Customer, bool) {
	c, ok := s.customers[name]
	return c, ok
}

// Key returns the key with that digest, even if the key is withdrawn.
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
func (s *Snapshot) Customers() []arbutusfork.Customer { return sortedByName(s.customers) }

// Services returns all services in order of name.
func (s *Snapshot) Services() []arbutusfork.Service { return sortedByName(s.services) }

// Routes returns all routes in order of name.
func (s *Snapshot) Routes() []arbutusfork.Route { return sortedByName(s.routes) }

// Models returns all models and adapters in order of name.
func (s *Snapshot) Models() []arbutusfork.Model { return sortedByName(s.models) }

// Endpoints returns all endpoints in order of name.
func (s *Snapshot) Endpoints() []arbutusfork.Endpoint { return sortedByName(s.endpoints) }

// Keys returns all keys in order of name.
func (s *Snapshot) Keys() []arbutusfork.APIKey {
	keys := slices.Collect(maps.Values(s.keys))
	slices.SortFunc(keys, func(a, b arbutusfork.APIKey) int { return strings.Compare(a.Name, b.Name) })
	return keys
}

func sortedByName[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}

// WithObjects returns a copy of the snapshot with the changed objects applied. An object whose Spec is nil is deleted.
// An object of a kind that is not configuration only raises the version. An object that is not newer than the stored
// object is ignored, so that late and repeated changes have no effect. If an object is malformed, the error is
// MalformedObject and the copy is nil.
func (s *Snapshot) WithObjects(version int64, objects ...afobject.Object) (*Snapshot, error) {
	next, err := s.WithValidObjects(version, objects...)
	if err != nil {
		return nil, err
	}
	return next, nil
}

// WithValidObjects applies objects as WithObjects does, but treats a malformed object as deleted and applies the
// others. A key whose withdrawal cannot be decoded therefore does not stay valid. The error names the last malformed
// object; the copy is valid in either case.
func (s *Snapshot) WithValidObjects(version int64, objects ...afobject.Object) (*Snapshot, error) {
	next := s.clone()
	next.Version = max(s.Version, version)
	var lastErr error
	for _, o := range objects {
		next.Version = max(next.Version, o.Version)
		if !afobject.IsConfigurationKind(o.Kind) || !next.storeIfNewer(o) {
			continue
		}
		if err := next.applyObject(o); err != nil {
			lastErr = &Error{Op: "apply " + o.Kind + "/" + o.Name, Kind: MalformedObject, Err: err}
			o.Spec = nil
			_ = next.applyObject(o) // A deletion decodes no Spec, so it cannot fail.
		}
	}
	next.pruneTombstones()
	return next, lastErr
}

func (s *Snapshot) clone() *Snapshot {
	next := *s
	next.customers = maps.Clone(s.customers)
	next.keys = maps.Clone(s.keys)
	next.services = maps.Clone(s.services)
	next.routes = maps.Clone(s.routes)
	next.models = maps.Clone(s.models)
	next.endpoints = maps.Clone(s.endpoints)
	next.keyDigests = maps.Clone(s.keyDigests)
	next.withdrawnDigests = maps.Clone(s.withdrawnDigests)
	next.objects = maps.Clone(s.objects)
	if next.objects == nil {
		next.objects = make(map[objectID]afobject.Object)
	}
	return &next
}

func (s *Snapshot) applyObject(o afobject.Object) error {
	switch o.Kind {
	case afobject.KindCustomers:
		return applyNamed(&s.customers, o, checkCustomer)
	case afobject.KindKeys:
		return s.applyKey(o)
	case afobject.KindServices:
		return applyNamed(&s.services, o, checkService)
	case afobject.KindRoutes:
		return applyNamed(&s.routes, o, nil)
	case afobject.KindModels:
		return applyNamed(&s.models, o, checkModel)
	case afobject.KindEndpoints:
		return applyNamed(&s.endpoints, o, checkEndpoint)
	case afobject.KindSheets:
		s.sheet = arbutusfork.DemandSheet{}
		return decodeSpec(o, &s.sheet)
	case afobject.KindWitnesses:
		s.witnesses = WitnessSet{}
		return decodeSpec(o, &s.witnesses)
	}
	return nil
}

func (s *Snapshot) applyKey(o afobject.Object) error {
	delete(s.keys, s.keyDigests[o.Name])
	delete(s.keyDigests, o.Name)
	if o.Spec == nil {
		return nil
	}
	var k arbutusfork.APIKey
	if err := decodeSpec(o, &k); err != nil {
		return err
	}
	if s.keys == nil {
		s.keys = make(map[string]arbutusfork.APIKey)
		s.keyDigests = make(map[string]string)
	}
	if k.IsWithdrawn {
		if s.withdrawnDigests == nil {
			s.withdrawnDigests = make(map[string]bool)
		}
		s.withdrawnDigests[k.Digest] = true
	}
	k.IsWithdrawn = s.withdrawnDigests[k.Digest]

	s.keys[k.Digest] = k
	s.keyDigests[o.Name] = k.Digest
	return nil
}

// applyNamed applies an object to the map of its kind. Check fails for a value that other writers stored and that cannot be
// used. It may be nil.
func applyNamed[T any](m *map[string]T, o afobject.Object, check func(T) error) error {
	if o.Spec == nil {
		delete(*m, o.Name)
		return nil
	}
	var v T
	if err := decodeSpec(o, &v); err != nil {
		return err
	}
	if check != nil {
		if err := check(v); err != nil {
			return err
		}
	}
	if *m == nil {
		*m = make(map[string]T)
	}
	(*m)[o.Name] = v
	return nil
}

func decodeSpec(o afobject.Object, v any) error {
	if o.Spec == nil {
		return nil
	}
	return json.Unmarshal(o.Spec, v)
}
