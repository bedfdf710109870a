package afentry

import (
	"strings"
	"sync/atomic"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
)

// index holds the routes of one snapshot in the form that requests look them up. It is immutable.
type index struct {
	snapshot *afconfig.Snapshot
	// plain holds the routes of plain services, and models those of model services by service.
	plain  []arbutusfork.Route
	models map[string][]arbutusfork.Route
	// open tells that a model route is open.
	open bool
}

// indexCache keeps the index of the last snapshot, since a snapshot sorts its routes at each call.
type indexCache struct{ last atomic.Pointer[index] }

func (c *indexCache) get(s *afconfig.Snapshot) *index {
	if i := c.last.Load(); i != nil && i.snapshot == s {
		return i
	}
	i := &index{snapshot: s, models: make(map[string][]arbutusfork.Route)}
	for _, r := range s.Routes() {
		if r.PathPrefix != "" {
			r.PathPrefix = strings.TrimSuffix(r.PathPrefix, "/")
			i.plain = append(i.plain, r)
			continue
		}
		i.models[r.Service] = append(i.models[r.Service], r)
		i.open = i.open || r.IsPublic
	}
	c.last.Store(i)
	return i
}

// plainRoute returns the route with the longest path that is a prefix of p in whole elements.
func (i *index) plainRoute(p string) (best arbutusfork.Route, found bool) {
	for _, r := range i.plain {
		if p != r.PathPrefix && !strings.HasPrefix(p, r.PathPrefix+"/") {
			continue
		}
		if !found || len(r.PathPrefix) > len(best.PathPrefix) {
			best, found = r, true
		}
	}
	return best, found
}

// modelRoute returns the first route that offers the model and admits the customer. Without a customer, only open
// routes admit.
func (i *index) modelRoute(m arbutusfork.Model, customer string) (r arbutusfork.Route, offered, admitted bool) {
	for _, c := range i.models[m.Service] {
		if !c.OffersModel(m.Name) {
			continue
		}
		if c.IsPublic || (customer != "" && c.AdmitsCustomer(customer)) {
			return c, true, true
		}
		offered = true
	}
	return arbutusfork.Route{}, offered, false
}
