// Package afassign decides which model engine loads or unloads which model or adapter.
//
// It answers a load in which a few busy models get most requests and many rare ones get one request now and then, so
// that the accelerators hold only part of the models at a time. A rare model that lies on an engine's disk is served a
// second after it is asked for; one that lies only in the weight store takes several times as long, and the store
// carries few loads at once. PlanOrders therefore serves waiting requests first, keeps enough replicas of busy models, and
// uses the rest of the store's capacity to bring models to the disks before they are asked for.
//
// The functions are pure: time and state are arguments, and nothing is sent from here.
package afassign

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// Engine is what is known about one engine.
type Engine struct {
	ID           string
	LoadedModels []afengine.LoadedModel
	// LoadingAdapters names adapters on their way, as model/adapter. They count towards the adapter slots.
	LoadingAdapters []string
	// ClosingModels names held models that get no new requests any more.
	ClosingModels []string
	// LoadingModel is the model that is being loaded. Empty with IsExecutingOrder set means that the order is not known.
	LoadingModel string
	// LoadsFromStore means that the load reads from the weight store.
	LoadsFromStore   bool
	IsExecutingOrder bool
	// ReservedModel is the model for which room was made on this engine. Its load comes next.
	ReservedModel string
	// TimeUntilFree is the estimated time until the engine takes another order. It is zero unless IsExecutingOrder is set.
	TimeUntilFree time.Duration
	// ModelsInMemory and ModelsOnDisk name the models whose weights the engine's host keeps.
	ModelsInMemory, ModelsOnDisk []string
	// AcceptedOrders counts the orders that the engine accepted.
	AcceptedOrders int64
	// RunningRequests counts the requests in progress by model, and by model/adapter for those that use an adapter.
	RunningRequests map[string]int
	// IsBlocked engines take no new orders for a moment: the outcome of one is not known yet.
	IsBlocked bool
	// IsUnavailable engines leave, do not answer, or their state is not known. What they hold does not count.
	IsUnavailable bool
}

// Demand is what callers ask for one model or adapter.
type Demand struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
	// WaitingRequests counts the requests that wait for it, and Oldest is the longest wait among them.
	WaitingRequests int
	LongestWait     time.Duration
	// OnTimeRequests counts those of them that may still be answered within their target.
	OnTimeRequests int
	// RequestRate is the recent number of requests a second.
	RequestRate float64
	// PromptTokenRate is the recent number of prompt tokens a second.
	PromptTokenRate float64
}

// Snapshot is the input of PlanOrders.
type Snapshot struct {
	EngineSpec afroute.EngineSpec
	Engines    []Engine
	Demand     []Demand
	// FormerlyBusyModels names models that have been busy before.
	FormerlyBusyModels map[string]bool
	// UnservedDurations is for how long models have been asked for that no engine has held since.
	UnservedDurations map[string]time.Duration
	// MaxStoreLoads is the number of loads from the weight store that may be in progress at once.
	MaxStoreLoads int
	// StoreLoadBudget is the number of such loads that may still begin now within the store's rate.
	StoreLoadBudget int
	// MaxReplicaTokenRate is the number of prompt tokens a second that one replica of a busy model should get at most.
	MaxReplicaTokenRate float64
}

//go:generate stringer -type=Reason -linecomment -output=view_string.go

// Reason says why an order was decided.
type Reason int

// The reasons.
const (
	// ReasonWaitingRequests loads a model that requests wait for.
	ReasonWaitingRequests Reason = iota // requests wait
	// ReasonBusyModel adds a replica of a busy model.
	ReasonBusyModel // busy model needs a replica
	// ReasonDiskCopy brings a model to an engine's disk.
	ReasonDiskCopy // not on any disk
	// ReasonMakeRoom unloads a model or adapter to make room.
	ReasonMakeRoom // room for another
)

// PlannedOrder is one decided order.
type PlannedOrder struct {
	EngineID string
	Order    afengine.Order
	Reason   Reason
	// MakesRoomFor is the model or adapter that the step makes room for, if it does.
	MakesRoomFor string
	// LoadsFromStore means that the load reads from the weight store, and Takes is the estimated time of the load.
	LoadsFromStore    bool
	EstimatedDuration time.Duration
}

// ClosingReplica names a replica that should get no new requests, so that it can be unloaded.
type ClosingReplica struct {
	EngineID, Model string
}

// Decision is the output of PlanOrders.
type Decision struct {
	Orders []PlannedOrder
	// ClosingReplicas names replicas that have to run out before they are unloaded.
	ClosingReplicas []ClosingReplica
	// MinLoadDelays holds the least time until models are loaded that requests wait for and that no engine can load yet, since
	// the weight store has others before them.
	MinLoadDelays map[string]time.Duration
}

// AdapterKey returns the name of an adapter in Running and Coming.
func AdapterKey(model, adapter string) string { return model + "/" + adapter }
