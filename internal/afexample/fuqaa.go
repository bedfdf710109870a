package afexample

import (
	"math/rand/v2"

	"arbutusfork.example/arbutusfork"
)

// Fuqaa returns the deployment of Fuqaa Supplies in Cairo, which sells bubble solution, wands and party machines to shops
// and event planners.
func Fuqaa() Deployment {
	r := rand.New(rand.NewPCG(1, 1))
	centres := []string{"cairo-a", "cairo-b", "cairo-c"}
	d := Deployment{
		Name: "fuqaa",
		VMs:  newEntryVMs(centres),
		Customers: []arbutusfork.Customer{
			{Name: "nile-party-shops", RatePerSecond: 9000, Burst: 270000},
			{Name: "delta-events", RatePerSecond: 6000, Burst: 180000},
			{Name: "giza-weddings", RatePerSecond: 2500, Burst: 75000},
			{Name: "zamalek-toys", RatePerSecond: 1200, Burst: 40000},
			{Name: "maadi-balloons", RatePerSecond: 800, Burst: 40000},
		},
		Services: []arbutusfork.Service{
			{
				Name: "fuqaa-llm", Kind: arbutusfork.ServiceModel, LoadsPerSecond: 2.5, ParallelLoads: 4,
				Policy: arbutusfork.PlacementPolicy{ColdStartCost: 4, IdleCost: 1, MaxReplicas: 3},
			},
			{Name: "fuqaa-app", Kind: arbutusfork.ServicePlain},
		},
	}
	for _, f := range []modelFamily{
		{"order", []string{"ar", "arz", "en", "fr"}, []string{"3b", "4b", "8b", "14b"}},
		{"photo", []string{"wands", "solutions", "machines", "costumes", "balloons", "gifts"}, []string{"2b", "7b", "11b"}},
		{"rewrite", []string{"ar", "en", "fr", "tr"}, []string{"8b", "14b", "32b", "70b"}},
	} {
		d.Models = append(d.Models, f.newModels("fuqaa-llm")...)
	}
	d.Models = append(d.Models, newAdapters(r, "fuqaa-llm", []string{
		"order-ar-8b", "order-arz-8b", "order-arz-4b", "order-en-8b",
		"photo-wands-7b", "rewrite-ar-8b", "rewrite-ar-14b", "rewrite-en-14b",
	}, d.Customers, 5, 15)...)
	d.Endpoints = append(
		endpointGroup{
			service: "fuqaa-llm", namePrefix: "fuqaa-llm", network: "127.0.2.0", port: modelPort, endpointCount: 9, centres: centres, unfencedInterval: 3,
			runnerTypes: []runnerType{{48000, 1, 24}, {48000, 1, 24}, {96000, 2, 48}},
		}.newEndpoints(),
		endpointGroup{
			service: "fuqaa-app", namePrefix: "fuqaa-app", network: "127.0.3.0", port: plainPort, endpointCount: 3, centres: centres,
			runnerTypes: []runnerType{{slots: plainSlots}},
		}.newEndpoints()...,
	)
	d.Routes = []arbutusfork.Route{
		{Name: "order-chat", Service: "fuqaa-llm", Models: modelNames(d.Models, "order"), FirstByteTimeoutMillis: 20000, OutputTokenLimit: 300},
		{Name: "photo-tags", Service: "fuqaa-llm", Models: modelNames(d.Models, "photo"), FirstByteTimeoutMillis: 15000, OutputTokenLimit: 64},
		{Name: "catalogue-rewriting", Service: "fuqaa-llm", Models: modelNames(d.Models, "rewrite"), FirstByteTimeoutMillis: 120000, OutputTokenLimit: 2000},
		{Name: "payments", PathPrefix: "/app/payments", Service: "fuqaa-app", RunsAtMostOnce: true, FirstByteTimeoutMillis: 10000},
		{Name: "reorders", PathPrefix: "/app/reorders", Service: "fuqaa-app", RunsAtMostOnce: true, FirstByteTimeoutMillis: 10000},
		{Name: "stock", PathPrefix: "/app/stock", Service: "fuqaa-app", FirstByteTimeoutMillis: 3000},
		{Name: "branches", PathPrefix: "/app/branches", Service: "fuqaa-app", IsPublic: true, FirstByteTimeoutMillis: 3000},
	}
	d.Sheet = newDemandSheet(r, []modelUse{
		{"order", 24000, []float64{0.05, 0.35, 1, 0.6, 0.4, 0.5, 0.3}, 180, 420},
		{"photo", 9000, []float64{0.02, 0.4, 1, 0.5, 0.3, 0.3, 0.1}, 90, 260},
		{"rewrite", 4200, []float64{0.05, 0.05, 0.15, 0.3, 0.4, 1, 0.7}, 1200, 3800},
	}, d.Models, d.Customers)
	return d
}
