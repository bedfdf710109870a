package afoperator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// namePattern matches valid object names. It excludes characters that need escaping in URL paths. The colon
// separates a base model from its adapter.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$`)

const modelPathPrefix = "/v1/"

func checkName(path, name string) error {
	if !namePattern.MatchString(path) {
		return errors.Errorf("%q is not a valid name: letters, digits, '.', '_', '-' and ':' up to 127 characters", path)
	}
	if name != path {
		return errors.Errorf("the name in the body is %q, not %q", name, path)
	}
	return nil
}

func checkCustomer(_ context.Context, _ *Server, name string, c arbutusfork.Customer) (arbutusfork.Customer, error) {
	c.Name = nameOrDefault(c.Name, name)
	switch {
	case c.RatePerSecond <= 0:
		return c, errors.New("rate must be above zero tokens per second")
	case c.Burst <= 0:
		return c, errors.New("burst must be above zero tokens")
	case c.Weight < 0:
		return c, errors.New("weight must not be negative")
	}
	return c, checkName(name, c.Name)
}

func checkKey(ctx context.Context, s *Server, name string, k arbutusfork.APIKey) (arbutusfork.APIKey, error) {
	k.Name = nameOrDefault(k.Name, name)
	if err := checkName(name, k.Name); err != nil {
		return k, err
	}
	if b, err := hex.DecodeString(k.Digest); err != nil || len(b) != 32 {
		return k, errors.New("digest must be the SHA-256 of the key in 64 hexadecimal digits")
	}
	k.Digest = strings.ToLower(k.Digest)
	if other, ok := s.Snapshot().Key(k.Digest); ok && other.Name != name {
		return k, errors.Errorf("keys/%s has the same digest", other.Name)
	}
	return k, s.requireObjects(ctx, afobject.KindCustomers, k.Customer)
}

// checkKeyReplacement rejects an update that reinstates a withdrawn key, or changes the digest or customer of a key.
func checkKeyReplacement(stored []byte, next any) error {
	var old arbutusfork.APIKey
	if err := json.Unmarshal(stored, &old); err != nil {
		return err
	}
	k := next.(arbutusfork.APIKey)
	switch {
	case old.IsWithdrawn && !k.IsWithdrawn:
		return errors.New("a withdrawn key stays withdrawn; issue a new one")
	case old.Digest != k.Digest || old.Customer != k.Customer:
		return errors.New("the digest and the customer of a key do not change; issue a new one")
	}
	return nil
}

func checkKeyDeletion(stored []byte) error {
	var old arbutusfork.APIKey
	if err := json.Unmarshal(stored, &old); err != nil {
		return err
	}
	if !old.IsWithdrawn {
		return errors.New("the key is not withdrawn")
	}
	return nil
}

func checkService(_ context.Context, _ *Server, name string, v arbutusfork.Service) (arbutusfork.Service, error) {
	v.Name = nameOrDefault(v.Name, name)
	switch {
	case v.Kind != arbutusfork.ServiceModel && v.Kind != arbutusfork.ServicePlain:
		return v, errors.New("kind must be 0 (models) or 1 (plain)")
	case v.LoadsPerSecond < 0, v.ParallelLoads < 0, v.Policy.ColdStartCost < 0, v.Policy.IdleCost < 0, v.Policy.MaxReplicas < 0:
		return v, errors.New("loads, parallel and the policy must not be negative")
	}
	return v, checkName(name, v.Name)
}

func checkServiceReplacement(stored []byte, next any) error {
	var old arbutusfork.Service
	if err := json.Unmarshal(stored, &old); err != nil {
		return err
	}
	if old.Kind != next.(arbutusfork.Service).Kind {
		return errors.New("the kind of a service does not change")
	}
	return nil
}

// lookUpObject returns an object from the VM's snapshot or, if the snapshot lacks it, from the platform.
func lookUpObject[T any](ctx context.Context, s *Server, kind, name string) (T, error) {
	v, ok := findInSnapshot[kind](s.Snapshot(), name)
	if ok {
		return v.(T), nil
	}
	var stored T
	o, err := s.GetObject(ctx, kind, name)
	if afobject.IsKind(err, afobject.ObjectNotFound) {
		return stored, errors.Errorf("%s/%s does not exist", kind, name)
	}
	if err != nil {
		return stored, err
	}
	return stored, json.Unmarshal(o.Spec, &stored)
}

func checkRoute(ctx context.Context, s *Server, name string, r arbutusfork.Route) (arbutusfork.Route, error) {
	r.Name = nameOrDefault(r.Name, name)
	if err := checkName(name, r.Name); err != nil {
		return r, err
	}
	v, err := lookUpObject[arbutusfork.Service](ctx, s, afobject.KindServices, r.Service)
	if err != nil {
		return r, err
	}
	switch {
	case r.FirstByteTimeoutMillis < 0 || r.OutputTokenLimit < 0:
		return r, errors.New("deadline and tokens must not be negative")
	case v.Kind == arbutusfork.ServiceModel && r.PathPrefix != "":
		return r, errors.New("a route to a model service has no path; it is reached under /v1/")
	case v.Kind == arbutusfork.ServicePlain && len(r.Models) > 0:
		return r, errors.New("a route to a plain service offers no models")
	case v.Kind == arbutusfork.ServicePlain && !isValidPath(r.PathPrefix):
		return r, errors.New("path must begin with '/', lie outside /v1/ and hold no '..', query or fragment")
	case r.IsPublic && len(r.AllowedCustomers) > 0:
		return r, errors.New("an open route lists no customers")
	}
	for _, other := range s.Snapshot().Routes() {
		if r.PathPrefix != "" && other.PathPrefix == r.PathPrefix && other.Name != name {
			return r, errors.Errorf("routes/%s has the same path", other.Name)
		}
	}
	if err := s.requireObjects(ctx, afobject.KindCustomers, r.AllowedCustomers...); err != nil {
		return r, err
	}
	for _, model := range r.Models {
		m, err := lookUpObject[arbutusfork.Model](ctx, s, afobject.KindModels, model)
		if err != nil {
			return r, err
		}
		if m.Service != r.Service {
			return r, errors.Errorf("models/%s belongs to services/%s", model, m.Service)
		}
	}
	return r, nil
}

func isValidPath(p string) bool {
	return strings.HasPrefix(p, "/") && !strings.HasPrefix(p+"/", modelPathPrefix) &&
		!strings.Contains(p, "..") && !strings.ContainsAny(p, "?# ")
}

func checkModel(ctx context.Context, s *Server, name string, m arbutusfork.Model) (arbutusfork.Model, error) {
	m.Name = nameOrDefault(m.Name, name)
	if err := checkName(name, m.Name); err != nil {
		return m, err
	}
	v, err := lookUpObject[arbutusfork.Service](ctx, s, afobject.KindServices, m.Service)
	if err != nil {
		return m, err
	}
	switch {
	case v.Kind != arbutusfork.ServiceModel:
		return m, errors.Errorf("services/%s is not a model service", v.Name)
	case m.MemoryMB <= 0:
		return m, errors.New("memory must be above zero MB")
	case m.StoreLoadMillis < 0 || m.DiskLoadMillis < 0 || m.MemoryLoadMillis < 0 || m.MaxReplicas < 0:
		return m, errors.New("load times and replicas must not be negative")
	}
	if m.IsAdapter() {
		if _, adapter := arbutusfork.SplitModelName(name); adapter == "" || strings.Contains(adapter, ":") {
			return m, errors.New("the name of an adapter has the form base:adapter")
		}
		return m, s.requireObjects(ctx, afobject.KindModels, m.BaseName())
	}
	return m, nil
}

func checkEndpoint(ctx context.Context, s *Server, name string, e arbutusfork.Endpoint) (arbutusfork.Endpoint, error) {
	e.Name = nameOrDefault(e.Name, name)
	if err := checkName(name, e.Name); err != nil {
		return e, err
	}
	v, err := lookUpObject[arbutusfork.Service](ctx, s, afobject.KindServices, e.Service)
	if err != nil {
		return e, err
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return e, errors.Errorf("address %q is not an IP address and port", e.Address)
	}
	switch {
	case e.Centre == "":
		return e, errors.New("centre is required")
	case e.Slots <= 0:
		return e, errors.New("slots must be above zero")
	case e.MemoryMB < 0 || e.Accelerators < 0:
		return e, errors.New("memory and accelerators must not be negative")
	case v.Kind == arbutusfork.ServiceModel && e.MemoryMB == 0:
		return e, errors.New("an endpoint of a model service needs memory in MB")
	}
	for _, other := range s.Snapshot().Endpoints() {
		if other.Address == e.Address && other.Name != name {
			return e, errors.Errorf("endpoints/%s has the same address", other.Name)
		}
	}
	return e, nil
}

// checkEndpointDeletion allows the deletion only of a leaving endpoint, so that its running requests finish first.
func checkEndpointDeletion(stored []byte) error {
	var old arbutusfork.Endpoint
	if err := json.Unmarshal(stored, &old); err != nil {
		return err
	}
	if !old.IsLeaving {
		return errors.New("the endpoint is not leaving")
	}
	return nil
}

func nameOrDefault(name, defaultName string) string {
	if name == "" {
		return defaultName
	}
	return name
}

func findCustomerReferrers(c *afconfig.Snapshot, name string) []string {
	var referrers []string
	for _, k := range c.Keys() {
		if k.Customer == name {
			referrers = append(referrers, afobject.KindKeys+"/"+k.Name)
		}
	}
	for _, r := range c.Routes() {
		if slices.Contains(r.AllowedCustomers, name) {
			referrers = append(referrers, afobject.KindRoutes+"/"+r.Name)
		}
	}
	for _, row := range c.Sheet().Rows {
		if row.Customer == name {
			return append(referrers, "the demand sheet")
		}
	}
	return referrers
}

func findServiceReferrers(c *afconfig.Snapshot, name string) []string {
	var referrers []string
	for _, r := range c.Routes() {
		if r.Service == name {
			referrers = append(referrers, afobject.KindRoutes+"/"+r.Name)
		}
	}
	for _, m := range c.Models() {
		if m.Service == name {
			referrers = append(referrers, afobject.KindModels+"/"+m.Name)
		}
	}
	for _, e := range c.Endpoints() {
		if e.Service == name {
			referrers = append(referrers, afobject.KindEndpoints+"/"+e.Name)
		}
	}
	return referrers
}

func findModelReferrers(c *afconfig.Snapshot, name string) []string {
	var referrers []string
	for _, m := range c.Models() {
		if m.IsAdapter() && m.BaseName() == name {
			referrers = append(referrers, afobject.KindModels+"/"+m.Name)
		}
	}
	for _, r := range c.Routes() {
		if slices.Contains(r.Models, name) {
			referrers = append(referrers, afobject.KindRoutes+"/"+r.Name)
		}
	}
	for _, row := range c.Sheet().Rows {
		if row.Model == name {
			return append(referrers, "the demand sheet")
		}
	}
	return referrers
}
