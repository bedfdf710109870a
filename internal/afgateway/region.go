package afgateway

import (
	"slices"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// regionRetryAfter is the Retry-After if no endpoint is in an allowed region. Only a new endpoint or configuration changes that.
const regionRetryAfter = time.Second

// hasRegionList reports whether the route or the customer names the regions whose endpoints may get the request.
func (p *proxiedRequest) hasRegionList() bool {
	return len(p.route.AllowedRegions)+len(p.customer.AllowedRegions) > 0
}

// allowsRegion reports whether an endpoint of a region may get the request. An empty region is unknown.
func (p *proxiedRequest) allowsRegion(region string) bool {
	return afroute.AllowsRegion(p.route.AllowedRegions, region) && afroute.AllowsRegion(p.customer.AllowedRegions, region)
}

// findCandidates returns the endpoints of the request's service that can serve its model and are in an allowed region.
func (p *proxiedRequest) findCandidates() afroster.Candidates {
	return p.inAllowedRegions(p.server.findCandidates(p.service, p.headers.Model, p.headers.Adapter))
}

// inAllowedRegions removes the endpoints that are in no allowed region. The counts stay those of the service.
func (p *proxiedRequest) inAllowedRegions(candidates afroster.Candidates) afroster.Candidates {
	if p.hasRegionList() {
		candidates.Endpoints = slices.DeleteFunc(candidates.Endpoints, func(e afroster.Endpoint) bool { return !p.allowsRegion(e.Region) })
	}
	return candidates
}

// isModelLoaded reports whether an endpoint of the service that may get the request has loaded its model and the adapter and accepts
// new requests for the model.
func (p *proxiedRequest) isModelLoaded(adapter string) bool {
	return len(p.inAllowedRegions(p.server.Roster.Candidates(p.service.Name, acceptsModel(p.headers.Model, adapter))).Endpoints) > 0
}

// refuseRegions returns the refusal of a request if its service has usable endpoints and none is in an allowed region, or nil.
func (p *proxiedRequest) refuseRegions() *arbutusfork.Refusal {
	if !p.hasRegionList() {
		return nil
	}
	all := p.server.Roster.Candidates(p.service.Name, func([]afengine.LoadedModel, []string) bool { return true })
	if len(all.Endpoints) == 0 || len(p.inAllowedRegions(all).Endpoints) > 0 {
		return nil
	}
	return newRefusal(arbutusfork.CodeNoCapacity, "no endpoint is in an allowed region ("+p.regionLists()+")", regionRetryAfter)
}

// regionLists returns the lists of allowed regions as text, which is empty without a list.
func (p *proxiedRequest) regionLists() string {
	if !p.hasRegionList() {
		return ""
	}
	return "route: " + listRegions(p.route.AllowedRegions) + "; customer: " + listRegions(p.customer.AllowedRegions)
}

func listRegions(list []string) string {
	if len(list) == 0 {
		return "all"
	}
	return strings.Join(list, ", ")
}
