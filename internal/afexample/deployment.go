// Package afexample generates the configurations and demand sheets of two example deployments.
//
// The data is generated from fixed seeds, so that the example files, tests and measurements use the same data.
package afexample

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afsheet"
)

//go:generate go run ../../cmd/arbutusfork-example ../../examples

// Ports and addresses of the stand-ins and daemons on loopback.
const (
	PlatformAddress    = "127.0.0.1:9000"
	WeightStoreAddress = "127.0.0.1:9001"
	CallersPort        = 8080
	OperatorsPort      = 8081
	PeersPort          = 8082

	entryVMCount   = 6
	entryNetwork   = "127.0.1.0"
	modelPort      = 9100
	plainPort      = 9200
	plainSlots     = 64
	roundingFactor = 10 // Demand sheets give requests per hour with one decimal.
)

// Deployment is the configuration of one example deployment, with its entry VMs and its demand during a day.
type Deployment struct {
	Name      string
	VMs       []arbutusfork.VM
	Customers []arbutusfork.Customer
	Services  []arbutusfork.Service
	Models    []arbutusfork.Model
	Endpoints []arbutusfork.Endpoint
	Routes    []arbutusfork.Route
	Sheet     arbutusfork.DemandSheet
}

// Deployments returns all example deployments.
func Deployments() []Deployment { return []Deployment{Fuqaa(), Umurongo()} }

// FormatConfig returns the configuration as a JSON file for the apply command, with one object on each line.
func (d Deployment) FormatConfig() []byte {
	var b bytes.Buffer
	b.WriteString("{\n")
	writeSection(&b, "customers", d.Customers)
	writeSection(&b, "services", d.Services)
	writeSection(&b, "models", d.Models)
	writeSection(&b, "endpoints", d.Endpoints)
	writeSection(&b, "routes", d.Routes)
	b.Truncate(b.Len() - len(",\n"))
	b.WriteString("\n}\n")
	return b.Bytes()
}

// writeSection writes one list of objects, with a comma after the list.
func writeSection[T any](b *bytes.Buffer, name string, items []T) {
	fmt.Fprintf(b, "  %q: [\n", name)
	for i, item := range items {
		line, err := json.Marshal(item)
		if err != nil {
			panic(err) // Configuration objects have no field that JSON cannot encode.
		}
		separator := ","
		if i == len(items)-1 {
			separator = ""
		}
		fmt.Fprintf(b, "    %s%s\n", line, separator)
	}
	b.WriteString("  ],\n")
}

// FormatSheetCSV returns the demand sheet as a CSV file.
func (d Deployment) FormatSheetCSV() []byte { return afsheet.FormatCSV(d.Sheet) }

// newEntryVMs returns the entry VMs, assigned to the data centres in turn.
func newEntryVMs(centres []string) []arbutusfork.VM {
	out := make([]arbutusfork.VM, 0, entryVMCount)
	for i := range entryVMCount {
		out = append(out, arbutusfork.VM{
			Name:    fmt.Sprintf("entry-%d", i+1),
			Address: hostAddress(entryNetwork, i+1, PeersPort),
			Centre:  centres[i%len(centres)],
		})
	}
	return out
}

// hostAddress returns the address and port of host n in a /24 network.
func hostAddress(network string, n int, port uint16) string {
	b := netip.MustParseAddr(network).As4()
	b[3] = byte(n)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port).String()
}

// runnerType describes a type of model runner. A plain service has only slots.
type runnerType struct {
	memoryMB     int64
	accelerators int
	slots        int
}

// endpointGroup describes the endpoints of one service.
type endpointGroup struct {
	service       string
	namePrefix    string
	network       string
	port          uint16
	endpointCount int
	centres       []string
	runnerTypes   []runnerType // assigned to the endpoints in turn
	// unfencedInterval makes one runner in every unfencedInterval ignore fencing numbers. If it is zero, all runners
	// enforce fencing numbers.
	unfencedInterval int
}

// newEndpoints returns the endpoints of the group.
func (g endpointGroup) newEndpoints() []arbutusfork.Endpoint {
	out := make([]arbutusfork.Endpoint, 0, g.endpointCount)
	for i := range g.endpointCount {
		r := g.runnerTypes[i%len(g.runnerTypes)]
		out = append(out, arbutusfork.Endpoint{
			Name: fmt.Sprintf("%s-%d", g.namePrefix, i+1), Service: g.service, Address: hostAddress(g.network, i+1, g.port),
			Centre: g.centres[i%len(g.centres)], MemoryMB: r.memoryMB, Accelerators: r.accelerators, Slots: r.slots,
			EnforcesFence: r.memoryMB > 0 && (g.unfencedInterval == 0 || (i+1)%g.unfencedInterval != 0),
		})
	}
	return out
}

// replicaMemoryMB holds the memory of a replica by the size of its model. The largest models are quantised.
var replicaMemoryMB = map[string]int64{
	"2b": 5000, "3b": 7000, "4b": 9000, "7b": 16000, "8b": 17500, "11b": 23000,
	"14b": 29000, "24b": 27000, "32b": 34000, "70b": 42000,
}

// Load times per MB, at 400 MB/s from the weight store, 2 GB/s from disk and 8 GB/s from host memory.
const (
	storeMillisPerMB  = 2.5
	diskMillisPerMB   = 0.5
	memoryMillisPerMB = 0.125
)

// modelFamily describes the models of one use: one model for each combination of subject and size.
type modelFamily struct {
	use      string
	subjects []string
	sizes    []string
}

// newModels returns the models of the family for the service.
func (f modelFamily) newModels(service string) []arbutusfork.Model {
	var out []arbutusfork.Model
	for _, subject := range f.subjects {
		for _, size := range f.sizes {
			mb := replicaMemoryMB[size]
			out = append(out, arbutusfork.Model{
				Name: f.use + "-" + subject + "-" + size, Service: service, MemoryMB: mb,
				StoreLoadMillis: int64(float64(mb) * storeMillisPerMB), DiskLoadMillis: int64(float64(mb) * diskMillisPerMB), MemoryLoadMillis: int64(float64(mb) * memoryMillisPerMB),
			})
		}
	}
	return out
}

// newAdapters returns one adapter for each base model and customer. Loads take minLoadMillis from memory, maxLoadMillis
// from the weight store and a random time in between from disk.
func newAdapters(r *rand.Rand, service string, bases []string, customers []arbutusfork.Customer, minLoadMillis, maxLoadMillis int64) []arbutusfork.Model {
	var out []arbutusfork.Model
	for _, base := range bases {
		for _, c := range customers {
			diskLoadMillis := minLoadMillis + r.Int64N(maxLoadMillis-minLoadMillis+1)
			out = append(out, arbutusfork.Model{
				Name: base + ":" + c.Name, Service: service, MemoryMB: 40 + 20*r.Int64N(9),
				StoreLoadMillis: maxLoadMillis, DiskLoadMillis: diskLoadMillis, MemoryLoadMillis: minLoadMillis,
			})
		}
	}
	return out
}

// modelNames returns the names of the models and adapters whose name begins with the use.
func modelNames(models []arbutusfork.Model, use string) []string {
	var out []string
	for _, m := range models {
		if len(m.Name) > len(use) && m.Name[:len(use)+1] == use+"-" {
			out = append(out, m.Name)
		}
	}
	return out
}

func roundToTenth(x float64) float64 { return math.Round(x*roundingFactor) / roundingFactor }
