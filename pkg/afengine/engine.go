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
	StateReady    State = iota // ready
	StateDraining              // draining
)

// LoadedModel is one model in an engine's accelerator memory.
type LoadedModel struct {
	Model    string   `msgpack:"m"`
	Adapters []string `msgpack:"a,omitempty"`
}

// EndpointEntry is an endpoint as the platform lists it. Unreadable entries never become one.
type EndpointEntry struct {
	// ID is unique for each endpoint. An endpoint may restart under the same ID, with another Born.
	ID, Service string
	// Address is the IP address and port.
	Address, Centre string
	Slots           int
	State           State
	// RemainingLifetime is the time until the endpoint is gone, counted from the entry's last change. Zero means unknown.
	RemainingLifetime time.Duration
	// StartUnixMs is the endpoint's start in Unix milliseconds, by its own clock.
	StartUnixMs int64
	// AcceptedOrders counts the orders that an engine accepted since its start.
	AcceptedOrders int64
	Models         []LoadedModel
	// ModelsInMemory and ModelsOnDisk name the models whose weights the engine's host keeps.
	ModelsInMemory, ModelsOnDisk []string
}

// Report is an engine's answer about itself. It lags behind by some hundred milliseconds but is consistent: AcceptedOrders and the
// other fields are of the same moment.
type Report struct {
	Models []LoadedModel
	// LoadingAdapters names adapters on their way, as model/adapter.
	LoadingAdapters []string
	// HasOrderInProgress means that an order on a model is being carried out.
	HasOrderInProgress               bool
	AcceptedOrders                   int64
	WaitingRequests, RunningRequests int
	// CacheUsedTokens is the memory that cannot be given up, in tokens.
	CacheUsedTokens, CacheTotalTokens int64
	ModelsInMemory, ModelsOnDisk      []string
	StartUnixMs                       int64
}

// IsLoaded reports whether a model, and an adapter unless it is empty, is among the held ones.
func IsLoaded(held []LoadedModel, model, adapter string) bool {
	for _, h := range held {
		if h.Model == model {
			return adapter == "" || slices.Contains(h.Adapters, adapter)
		}
	}
	return false
}

// Order asks an engine to load or unload a model or an adapter of a held model.
type Order struct {
	IsUnload       bool
	Model, Adapter string
	// ExpectedAcceptedOrders is the engine's count of accepted orders for which the order was decided. The engine refuses it at
	// any other count, so that an order that is carried out late cannot follow another one.
	ExpectedAcceptedOrders int64
}

//go:generate stringer -type=Result -linecomment -output=result_string.go

// Result is the outcome of sending an order.
type Result int

// The results of an order.
const (
	// ResultUnclear means that no answer came: the order may be carried out, even seconds later.
	ResultUnclear Result = iota // unclear
	// ResultAccepted means that the order is being carried out.
	ResultAccepted // accepted
	// ResultAlready means that what was ordered holds already.
	ResultAlready // already
	// ResultConflict means that another order is in progress or the count differs.
	ResultConflict // conflict
	// ResultRefused means that the engine does not take the order.
	ResultRefused // refused
)
