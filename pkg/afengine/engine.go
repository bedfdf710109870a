// Package afengine holds what endpoints publish about themselves, which are entries in the platform's store and reports of
// model engines, and the orders that engines accept.
package afengine

import (
	"slices"
	"time"
)

//go:generate stringer -type=State -linecomment -output=engine_string.go

// State is the readiness that an endpoint reports.
type State int

// The states of an endpoint.
const (
	StateReady    State = iota // ready
	StateDraining              // draining
)

// LoadedModel is a model in the accelerator memory of an engine, with its loaded adapters.
type LoadedModel struct {
	Model    string   `msgpack:"m"`
	Adapters []string `msgpack:"a,omitempty"`
}

// EndpointEntry is the decoded entry of an endpoint in the platform's store. Entries that cannot be decoded are ignored.
type EndpointEntry struct {
	// ID is unique for each endpoint. An endpoint may restart under the same ID, with another StartUnixMs.
	ID string
	// Service is the name of the service to which the endpoint belongs.
	Service string
	// Address is the IP address and port.
	Address string
	// Centre is the data centre.
	Centre string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	State State
	// RemainingLifetime is the time until the endpoint ends, from the last change of the entry. Zero means unknown.
	RemainingLifetime time.Duration
	// ColdRemaining is how much longer the endpoint is cold, from the last change of the entry.
	ColdRemaining time.Duration
	// StartUnixMs is the start of the endpoint in Unix milliseconds by the endpoint's own clock.
	StartUnixMs int64
	// AcceptedOrders is the number of orders that the engine accepted since its start.
	AcceptedOrders int64
	// Models are the models in the accelerator memory of the engine.
	Models []LoadedModel
	// ModelsInMemory names the models whose weights are in the memory of the engine's host.
	ModelsInMemory []string
	// ModelsOnDisk names the models whose weights are on the disk of the engine's host.
	ModelsOnDisk []string
}

// EndpointStart identifies an endpoint from its start to its end.
type EndpointStart struct {
	Endpoint string
	// StartUnixMs is the start of the endpoint in Unix milliseconds by its own clock.
	StartUnixMs int64
}

// Start returns the identity of the endpoint until it ends.
func (e EndpointEntry) Start() EndpointStart { return EndpointStart{e.ID, e.StartUnixMs} }

// Report is the state of an engine as the engine reports it. A report is some hundred milliseconds old but consistent:
// all fields are from the same moment.
type Report struct {
	// Models are the models in the accelerator memory of the engine.
	Models []LoadedModel
	// LoadingAdapters names the adapters that are being loaded, as model/adapter.
	LoadingAdapters []string
	// HasOrderInProgress means that the engine is loading or unloading a model.
	HasOrderInProgress bool
	// AcceptedOrders is the number of orders that the engine accepted since its start.
	AcceptedOrders int64
	// WaitingRequests is the number of requests that wait in the engine.
	WaitingRequests int
	// RunningRequests is the number of requests that the engine runs.
	RunningRequests int
	// CacheUsedTokens is the part of the key-value cache that the engine cannot free, in tokens.
	CacheUsedTokens int64
	// CacheTotalTokens is the size of the key-value cache in tokens.
	CacheTotalTokens int64
	// ModelsInMemory names the models whose weights are in the memory of the engine's host.
	ModelsInMemory []string
	// ModelsOnDisk names the models whose weights are on the disk of the engine's host.
	ModelsOnDisk []string
	// StartUnixMs is the start of the engine in Unix milliseconds by the engine's own clock.
	StartUnixMs int64
}

// IsLoaded reports whether models contains a model and, unless adapter is empty, that adapter of the model.
func IsLoaded(models []LoadedModel, model, adapter string) bool {
	for _, loaded := range models {
		if loaded.Model == model {
			return adapter == "" || slices.Contains(loaded.Adapters, adapter)
		}
	}
	return false
}

// Order asks an engine to load or unload a model, or an adapter of a loaded model.
type Order struct {
	// IsUnload means that the order unloads. Otherwise the order loads.
	IsUnload bool
	Model    string
	// Adapter is the adapter to load or unload. Empty means the model itself.
	Adapter string
	// ExpectedAcceptedOrders is the number of accepted orders of the engine on which the order is based. The engine refuses
	// the order at any other number, so that a delayed order is not carried out after a newer one.
	ExpectedAcceptedOrders int64
}

//go:generate stringer -type=Result -linecomment -output=result_string.go

// Result is the outcome of sending an order.
type Result int

// The results of an order.
const (
	// ResultUnclear means that no answer arrived: the engine may carry out the order, even seconds later.
	ResultUnclear Result = iota // unclear
	// ResultAccepted means that the engine carries out the order.
	ResultAccepted // accepted
	// ResultAlready means that the engine is already in the ordered state.
	ResultAlready // already
	// ResultConflict means that another order is in progress or that ExpectedAcceptedOrders differs.
	ResultConflict // conflict
	// ResultRefused means that the engine does not accept the order.
	ResultRefused // refused
)
