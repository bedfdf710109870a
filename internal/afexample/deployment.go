// Package afexample describes the deployments of the design page as configuration and demand sheets.
//
// The data is made up from a fixed seed, so that the example files, tests and measurements use the same.
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

// The ports and addresses that the stand-ins and the daemons use on loopback.
const (
	PlatformAddress    = "127.0.0.1:9000"
	WeightStoreAddress = "127.0.0.1:9001"
	CallersPort        = 8080
	OperatorsPort      = 8081
	PeersPort          = 8082

	entryVMs   = 6
	entryNet   = "127.0.1.0"
	modelPort  = 9100
	plainPort  = 9200
	plainSlots = 64
	tenths     = 10 // Sheets hold requests with one decimal.
)

// Deployment is the configuration of one business, its entry VMs and the demand of a day.
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

// Deployments returns the deployments.
func Deployments() []Deployment { return []Deployment{Fuqaa(), Umurongo()} }

// FormatConfig returns the configuration as a file for the apply verb, with one object per line.
func (d Deployment) FormatConfig() []byte {
	var b bytes.Buffer
	b.WriteString("{\n")
	section(&b, "customers", d.Customers)
	section(&b, "services", d.Services)
	section(&b, "models", d.Models)
	section(&b, "endpoints", d.Endpoints)
	section(&b, "routes", d.Routes)
	b.Truncate(b.Len() - len(",\n"))
	b.WriteString("\n}\n")
	return b.Bytes()
}

func section[T any](b *bytes.Buffer, name string, items []T) {
	fmt.Fprintf(b, "  %q: [\n", name)
	for i, item := range items {
		line, err := json.Marshal(item)
		if err != nil {
			panic(err) // The types hold no values that JSON cannot express.
		}
		separator := ","
		if i == len(items)-1 {
			separator = ""
		}
		fmt.Fprintf(b, "    %s%s\n", line, separator)
	}
	b.WriteString("  ],\n")
}

// FormatSheetCSV returns the demand sheet as a file.
func (d Deployment) FormatSheetCSV() []byte { return afsheet.FormatCSV(d.Sheet) }

// vms returns the entry VMs, spread over the data centres in turn.
func vms(centres []string) []arbutusfork.VM {
	out := make([]arbutusfork.VM, 0, entryVMs)
	for i := range entryVMs {
		out = append(out, arbutusfork.VM{
			Name:    fmt.Sprintf("entry-%d", i+1),
			Address: address(entryNet, i+1, PeersPort),
			Centre:  centres[i%len(centres)],
		})
	}
	return out
}

// address returns the address of host n of a /24 network.
func address(network string, n int, port uint16) string {
	b := netip.MustParseAddr(network).As4()
	b[3] = byte(n)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port).String()
}

// runner is a type of model runner.
type runner struct {
	memory       int64
	accelerators int
	slots        int
}

// layout places the endpoints of one service.
type layout struct {
	service string
	prefix  string
	network string
	port    uint16
	n       int
	centres []string
	runners []runner // runners are used in turn.
	// unfenced makes every unfenced-th endpoint ignore fencing numbers. Zero makes all of them check it.
	unfenced int
}

func (l layout) endpoints() []arbutusfork.Endpoint {
	out := make([]arbutusfork.Endpoint, 0, l.n)
	for i := range l.n {
		r := l.runners[i%len(l.runners)]
		out = append(out, arbutusfork.Endpoint{
			Name: fmt.Sprintf("%s-%d", l.prefix, i+1), Service: l.service, Address: address(l.network, i+1, l.port),
			Centre: l.centres[i%len(l.centres)], MemoryMB: r.memory, Accelerators: r.accelerators, Slots: r.slots,
			EnforcesFence: r.memory > 0 && (l.unfenced == 0 || (i+1)%l.unfenced != 0),
		})
	}
	return out
}

// The memory in MB of a replica by size. The largest sizes are quantised.
var sizes = map[string]int64{
	"2b": 5000, "3b": 7000, "4b": 9000, "7b": 16000, "8b": 17500, "11b": 23000,
	"14b": 29000, "24b": 27000, "32b": 34000, "70b": 42000,
}

// The load times in milliseconds per MB: 400 MB/s from the weight store, 2 GB/s from disk, 8 GB/s from memory.
const (
	remotePerMB = 2.5
	diskPerMB   = 0.5
	hostPerMB   = 0.125
)

// family is the product of subjects and sizes for one use.
type family struct {
	use      string
	subjects []string
	sizes    []string
}

func (f family) models(service string) []arbutusfork.Model {
	var out []arbutusfork.Model
	for _, subject := range f.subjects {
		for _, size := range f.sizes {
			mb := sizes[size]
			out = append(out, arbutusfork.Model{
				Name: f.use + "-" + subject + "-" + size, Service: service, MemoryMB: mb,
				StoreLoadMillis: int64(float64(mb) * remotePerMB), DiskLoadMillis: int64(float64(mb) * diskPerMB), MemoryLoadMillis: int64(float64(mb) * hostPerMB),
			})
		}
	}
	return out
}

// adapters returns one adapter per base and customer. Its load time lies between low and high milliseconds.
func adapters(r *rand.Rand, service string, bases []string, customers []arbutusfork.Customer, low, high int64) []arbutusfork.Model {
	var out []arbutusfork.Model
	for _, base := range bases {
		for _, c := range customers {
			disk := low + r.Int64N(high-low+1)
			out = append(out, arbutusfork.Model{
				Name: base + ":" + c.Name, Service: service, MemoryMB: 40 + 20*r.Int64N(9),
				StoreLoadMillis: high, DiskLoadMillis: disk, MemoryLoadMillis: low,
			})
		}
	}
	return out
}

// names returns the names of the models and adapters of a use.
func names(models []arbutusfork.Model, use string) []string {
	var out []string
	for _, m := range models {
		if len(m.Name) > len(use) && m.Name[:len(use)+1] == use+"-" {
			out = append(out, m.Name)
		}
	}
	return out
}

func round(x float64) float64 { return math.Round(x*tenths) / tenths }
