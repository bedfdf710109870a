package afexample

import (
	"math/rand/v2"

	"arbutusfork.example/arbutusfork"
)

// Umurongo returns the deployment of Umurongo Soft in Kigali, which runs an ordering service for bar-stool wholesalers.
// Their traders request quotes, history summaries and catalogue notes.
func Umurongo() Deployment {
	r := rand.New(rand.NewPCG(2, 2))
	centres := []string{"kigali-a", "kigali-b", "kigali-c", "kigali-d"}
	d := Deployment{
		Name: "umurongo",
		VMs:  newEntryVMs(centres),
		Customers: []arbutusfork.Customer{
			{Name: "virunga-bars", RatePerSecond: 11000, Burst: 330000},
			{Name: "kivu-hotels", RatePerSecond: 7000, Burst: 210000},
			{Name: "akagera-lodges", RatePerSecond: 5000, Burst: 150000},
			{Name: "nyungwe-cafes", RatePerSecond: 1500, Burst: 45000},
			{Name: "rusizi-stools", RatePerSecond: 1000, Burst: 40000},
		},
		Services: []arbutusfork.Service{
			{
				Name: "assistant", Kind: arbutusfork.ServiceModel, LoadsPerSecond: 3.5, ParallelLoads: 4,
				Policy: arbutusfork.PlacementPolicy{ColdStartCost: 1.5, IdleCost: 1, MaxReplicas: 3},
			},
			{Name: "shop", Kind: arbutusfork.ServicePlain},
		},
	}
	for _, f := range []modelFamily{
		{"quote", []string{"rw", "en", "fr", "sw"}, []string{"3b", "8b", "14b", "24b"}},
		{"summary", []string{"rw", "en", "fr", "sw", "lg"}, []string{"4b", "8b", "14b", "32b", "70b"}},
		{"notes", []string{"rw", "en", "fr", "sw"}, []string{"3b", "8b", "14b", "24b", "32b", "70b"}},
	} {
		d.Models = append(d.Models, f.newModels("assistant")...)
	}
	d.Models = append(d.Models, newAdapters(r, "assistant", []string{
		"quote-rw-3b", "quote-rw-8b", "quote-en-8b", "quote-fr-8b", "quote-sw-8b", "quote-rw-14b",
		"summary-rw-4b", "summary-rw-8b", "summary-en-8b", "summary-fr-8b", "summary-sw-8b",
		"notes-rw-8b", "notes-en-8b", "notes-fr-14b", "notes-rw-14b",
	}, d.Customers, 5, 10)...)
	d.Endpoints = append(
		endpointGroup{
			service: "assistant", namePrefix: "assistant", network: "127.0.4.0", port: modelPort, endpointCount: 12, centres: centres, unfencedInterval: 4,
			runnerTypes: []runnerType{{48000, 1, 24}, {80000, 1, 32}, {48000, 1, 24}},
		}.newEndpoints(),
		endpointGroup{
			service: "shop", namePrefix: "shop", network: "127.0.5.0", port: plainPort, endpointCount: 4, centres: centres,
			runnerTypes: []runnerType{{slots: plainSlots}},
		}.newEndpoints()...,
	)
	d.Routes = []arbutusfork.Route{
		{Name: "quotes", Service: "assistant", Models: modelNames(d.Models, "quote"), FirstByteTimeoutMillis: 20000, OutputTokenLimit: 400},
		{Name: "history-summary", Service: "assistant", Models: modelNames(d.Models, "summary"), FirstByteTimeoutMillis: 60000, OutputTokenLimit: 800},
		{Name: "catalogue-notes", Service: "assistant", Models: modelNames(d.Models, "notes"), FirstByteTimeoutMillis: 120000, OutputTokenLimit: 1500},
		{Name: "bookings", PathPrefix: "/shop/bookings", Service: "shop", RunsAtMostOnce: true, FirstByteTimeoutMillis: 10000},
		{Name: "payments", PathPrefix: "/shop/payments", Service: "shop", RunsAtMostOnce: true, FirstByteTimeoutMillis: 10000},
		{Name: "stock", PathPrefix: "/shop/stock", Service: "shop", FirstByteTimeoutMillis: 3000},
		{Name: "hours", PathPrefix: "/shop/hours", Service: "shop", IsPublic: true, FirstByteTimeoutMillis: 3000},
	}
	d.Sheet = newDemandSheet(r, []modelUse{
		{"quote", 30000, []float64{0.02, 0.5, 1, 0.7, 0.5, 0.4, 0.1}, 200, 520},
		{"summary", 7000, []float64{0.05, 0.3, 0.5, 0.5, 0.6, 1, 0.4}, 700, 2400},
		{"notes", 3600, []float64{0.05, 0.05, 0.2, 0.3, 0.4, 1, 0.6}, 900, 3200},
	}, d.Models, d.Customers)
	return d
}
