// Package afassign decides which model engine loads or unloads which model or adapter.
//
// It is made for a demand in which a few busy models get most requests and each of many other models gets a request now and
// then, while the accelerators can hold only part of the models at a time. A rarely requested model is available about one
// second after a request if its weights are on an engine's disk. If they are only in the weight store, loading takes several
// times as long, and the store serves few loads at once. PlanOrders therefore serves waiting requests first, keeps enough
// replicas of busy models, and uses the remaining capacity of the store to copy models to disks before they are requested.
//
// The functions are pure: time and state are arguments, and nothing is sent from here.
package afassign

import (
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// Engine is the state of one engine.
type Engine struct {
	ID           string
	LoadedModels []afengine.LoadedModel
	// LoadingAdapters names the adapters that are being loaded, by AdapterKey. They occupy adapter slots.
	LoadingAdapters []string
	// ClosingModels names the loaded models that get no new requests, so that they can be unloaded.
	ClosingModels []string
	// UnloadingModel is the model whose unload was ordered, as long as the engine may have accepted the order. It is no replica any more.
	UnloadingModel string
	// LoadingModel is the model that is being loaded. It is empty while IsExecutingOrder is set if the order is unknown.
	LoadingModel string
	// LoadsFromStore means that the load in progress reads from the weight store.
	LoadsFromStore bool
	// IsExecutingOrder means that the engine executes an order on a model and accepts no other.
	IsExecutingOrder bool
	// ReservedModel is the model for which room was made on this engine. It is loaded next.
	ReservedModel string
	// TimeUntilFree is the estimated time until the engine accepts another order. It is zero unless IsExecutingOrder is set.
	TimeUntilFree time.Duration
	// ModelsInMemory and ModelsOnDisk name the models whose weights are in the main memory and on the disk of the engine's
	// host.
	ModelsInMemory, ModelsOnDisk []string
	// AcceptedOrders counts the orders that the engine accepted since its start.
	AcceptedOrders int64
	// RunningRequests counts the requests in progress by model, and by AdapterKey for those that use an adapter.
	RunningRequests map[string]int
	// IsBlocked means that the engine must not get an order yet, for example because the result of its last order is unknown.
	IsBlocked bool
	// IsEvacuated means that the engine is in an evacuated data centre. It is unavailable then.
	IsEvacuated bool
	// IsUnavailable means that the engine is draining, does not answer, or has not reported its state. Its models do not
	// count as replicas.
	IsUnavailable bool
}

// isClosing reports whether a loaded model gets no new requests.
func (e *Engine) isClosing(model string) bool {
	return model == e.UnloadingModel || slices.Contains(e.ClosingModels, model)
}

// Demand is the recent demand for one model or adapter.
type Demand struct {
	Model string
	// Adapter is empty for requests without an adapter.
	Adapter string
	// WaitingRequests counts the requests that wait for the model or adapter.
	WaitingRequests int
	// LongestWait is the wait of the oldest waiting request.
	LongestWait time.Duration
	// OnTimeRequests counts the waiting requests that can still be answered within their latency target.
	OnTimeRequests int
	// RequestRate is the recent number of requests per second.
	RequestRate float64
	// PromptTokenRate is the recent number of prompt tokens per second.
	PromptTokenRate float64
}

// Snapshot is the input of PlanOrders: the engines of one service and the demand at one time.
type Snapshot struct {
	EngineSpec afroute.EngineSpec
	Engines    []Engine
	Demand     []Demand
	// FormerlyBusyModels names models that have been busy before.
	FormerlyBusyModels map[string]bool
	// UnservedDurations holds, for each requested model that no engine holds, the time since its first such request.
	UnservedDurations map[string]time.Duration
	// MaxStoreLoads bounds the concurrent loads from the weight store.
	MaxStoreLoads int
	// StoreLoadBudget is the number of loads that may start now within the rate limit of the weight store.
	StoreLoadBudget int
	// MaxReplicaTokenRate is the number of prompt tokens per second that one replica of a busy model should get at most.
	MaxReplicaTokenRate float64
}

//go:generate stringer -type=Reason -linecomment -output=view_string.go

// Reason is the reason for an order.
type Reason int

// The reasons for orders.
const (
	// ReasonWaitingRequests means that requests wait for the model or adapter.
	ReasonWaitingRequests Reason = iota // requests wait
	// ReasonEvacuation means that only engines of evacuated data centres hold the model, and that it was requested lately.
	ReasonEvacuation // its data centre is evacuated
	// ReasonBusyModel means that a busy model needs another replica.
	ReasonBusyModel // busy model needs a replica
	// ReasonDiskCopy means that the model is loaded to copy it to the engine's disk.
	ReasonDiskCopy // not on any disk
	// ReasonMakeRoom means that a model or adapter is unloaded to make room for another.
	ReasonMakeRoom // room for another
)

// PlannedOrder is an order to send to one engine.
type PlannedOrder struct {
	EngineID string
	Order    afengine.Order
	Reason   Reason
	// MakesRoomFor is the model, or the key of the adapter, for which an unload makes room. It is empty for a load.
	MakesRoomFor string
	// LoadsFromStore means that the load reads from the weight store.
	LoadsFromStore bool
	// EstimatedDuration is the estimated duration of a load.
	EstimatedDuration time.Duration
}

// ClosingReplica is a replica that should get no new requests, so that it can be unloaded.
type ClosingReplica struct {
	EngineID, Model string
}

// ReopenedReplica is a closing replica that should get new requests again.
type ReopenedReplica struct {
	EngineID, Model string
}

// Decision is the output of PlanOrders.
type Decision struct {
	Orders []PlannedOrder
	// ClosingReplicas are the replicas whose running requests have to end before they are unloaded.
	ClosingReplicas []ClosingReplica
	// ReopenedReplicas are the closing replicas of models that no other engine serves any more.
	ReopenedReplicas []ReopenedReplica
	// MinLoadDelays holds the minimum delay until a model is loaded, for models that requests wait for and that are queued for
	// the weight store.
	MinLoadDelays map[string]time.Duration
}

// AdapterKey returns the key of an adapter in Engine.RunningRequests and Engine.LoadingAdapters.
func AdapterKey(model, adapter string) string { return model + "/" + adapter }
