package afentry

import (
	"strings"
	"sync/atomic"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
)

// routeIndex holds the routes of one configuration snapshot, indexed for requests. It is immutable.
type routeIndex struct {
	snapshot *afconfig.Snapshot
	// plainRoutes holds the routes of plain services.
	plainRoutes []arbutusfork.Route
	// modelRoutes holds the routes of model services by the name of the service.
	modelRoutes map[string][]arbutusfork.Route
	// hasPublicModelRoute is set if at least one model route needs no key.
	hasPublicModelRoute bool
}

// routeIndexCache caches the index of the latest snapshot, because Snapshot.Routes sorts the routes at each call.
type routeIndexCache struct{ latest atomic.Pointer[routeIndex] }

// indexFor returns the index of the snapshot.
func (c *routeIndexCache) indexFor(s *afconfig.Snapshot) *routeIndex {
	if i := c.latest.Load(); i != nil && i.snapshot == s {
		return i
	}
	i := &routeIndex{snapshot: s, modelRoutes: make(map[string][]arbutusfork.Route)}
	for _, r := range s.Routes() {
		if r.PathPrefix != "" {
			r.PathPrefix = strings.TrimSuffix(r.PathPrefix, "/")
			i.plainRoutes = append(i.plainRoutes, r)
			continue
		}
		i.modelRoutes[r.Service] = append(i.modelRoutes[r.Service], r)
		i.hasPublicModelRoute = i.hasPublicModelRoute || r.IsPublic
	}
	c.latest.Store(i)
	return i
}

// findPlainRoute returns the route with the longest path that is a prefix of p in whole path elements.
func (i *routeIndex) findPlainRoute(p string) (best arbutusfork.Route, found bool) {
	for _, r := range i.plainRoutes {
		if p != r.PathPrefix && !strings.HasPrefix(p, r.PathPrefix+"/") {
			continue
		}
		if !found || len(r.PathPrefix) > len(best.PathPrefix) {
			best, found = r, true
		}
	}
	return best, found
}

// findModelRoute returns the first route that offers the model and admits the customer. An empty customer is admitted by
// public routes only. If there is no such route, offered reports whether any route offers the model.
func (i *routeIndex) findModelRoute(m arbutusfork.Model, customer string) (r arbutusfork.Route, offered, admitted bool) {
	for _, c := range i.modelRoutes[m.Service] {
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
