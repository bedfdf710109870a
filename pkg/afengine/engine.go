// Package afengine describes endpoints as they describe themselves: entries of the platform's list, reports of model
// engines, and orders to them.
package afengine

import (
	"slices"
	"time"
)

//go:generate stringer -type=State -linecomment -output=engine_string.go

// State is what an endpoint says about its readiness.
type State int

// The states of an endpoint.
const (
	Ready    State = iota // ready
	Draining              // draining
)

// Held is one model in an engine's accelerator memory.
type Held struct {
	Model    string   `msgpack:"m"`
	Adapters []string `msgpack:"a,omitempty"`
}

// Entry is an endpoint as the platform lists it. Unreadable entries never become one.
type Entry struct {
	// ID is unique for each endpoint. An endpoint may restart under the same ID, with another Born.
	ID, Service string
	// Address is the IP address and port.
	Address, Centre string
	Slots           int
	State           State
	// Leaves is the time until the endpoint is gone, counted from the entry's last change. Zero means unknown.
	Leaves time.Duration
	// Born is the endpoint's start in Unix milliseconds, by its own clock.
	Born int64
	// Seq counts the orders that an engine accepted since its start.
	Seq    int64
	Models []Held
	// Memory and Disk name the models whose weights the engine's host keeps.
	Memory, Disk []string
}

// Report is an engine's answer about itself. It lags behind by some hundred milliseconds but is consistent: Seq and the
// other fields are of the same moment.
type Report struct {
	Models []Held
	// Coming names adapters on their way, as model/adapter.
	Coming []string
	// Busy means that an order on a model is being carried out.
	Busy             bool
	Seq              int64
	Waiting, Running int
	// CacheUsed is the memory that cannot be given up, in tokens.
	CacheUsed, CacheTotal int64
	Memory, Disk          []string
	Born                  int64
}

// Holds reports whether a model, and an adapter unless it is empty, is among the held ones.
func Holds(held []Held, model, adapter string) bool {
	for _, h := range held {
		if h.Model == model {
			return adapter == "" || slices.Contains(h.Adapters, adapter)
		}
	}
	return false
}

// Order asks an engine to load or unload a model or an adapter of a held model.
type Order struct {
	Unload         bool
	Model, Adapter string
	// Expected is the engine's count of accepted orders for which the order was decided. The engine refuses it at
	// any other count, so that an order that is carried out late cannot follow another one.
	Expected int64
}

//go:generate stringer -type=Result -linecomment -output=result_string.go

// Result is the outcome of sending an order.
type Result int

// The results of an order.
const (
	// Unclear means that no answer came: the order may be carried out, even seconds later.
	Unclear Result = iota // unclear
	// Accepted means that the order is being carried out.
	Accepted // accepted
	// Already means that what was ordered holds already.
	Already // already
	// Conflict means that another order is in progress or the count differs.
	Conflict // conflict
	// Refused means that the engine does not take the order.
	Refused // refused
)
