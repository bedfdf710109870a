// Package afassign decides which model engine loads or unloads which model or adapter.
//
// It answers a load in which a few busy models get most requests and many rare ones get one request now and then, so
// that the accelerators hold only part of the models at a time. A rare model that lies on an engine's disk is served a
// second after it is asked for; one that lies only in the weight store takes several times as long, and the store
// carries few loads at once. Plan therefore serves waiting requests first, keeps enough replicas of busy models, and
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
	ID   string
	Held []afengine.LoadedModel
	// Coming names adapters on their way, as model/adapter. They count towards the adapter slots.
	Coming []string
	// Closing names held models that get no new requests any more.
	Closing []string
	// Loading is the model that is being loaded. Empty with Busy set means that the order is not known.
	Loading string
	// FromStore means that the load reads from the weight store.
	FromStore bool
	Busy      bool
	// Intent is the model for which room was made on this engine. Its load comes next.
	Intent string
	// Free is the estimated time until the engine takes another order. It is zero unless Busy is set.
	Free time.Duration
	// Memory and Disk name the models whose weights the engine's host keeps.
	Memory, Disk []string
	// Seq counts the orders that the engine accepted.
	Seq int64
	// Running counts the requests in progress by model, and by model/adapter for those that use an adapter.
	Running map[string]int
	// Pending engines take no new orders for a moment: the outcome of one is not known yet.
	Pending bool
	// Closed engines leave, do not answer, or their state is not known. What they hold does not count.
	Closed bool
}

// Demand is what callers ask for one model or adapter.
type Demand struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
	// Waiting counts the requests that wait for it, and Oldest is the longest wait among them.
	Waiting int
	Oldest  time.Duration
	// Fresh counts those of them that may still be answered within their target.
	Fresh int
	// Rate is the recent number of requests a second.
	Rate float64
	// Work is the recent number of prompt tokens a second.
	Work float64
}

// View is the input of Plan.
type View struct {
	Spec    afroute.EngineSpec
	Engines []Engine
	Demand  []Demand
	// Often names models that have been busy before.
	Often map[string]bool
	// Unserved is for how long models have been asked for that no engine has held since.
	Unserved map[string]time.Duration
	// StoreLoads is the number of loads from the weight store that may be in progress at once.
	StoreLoads int
	// StoreStarts is the number of such loads that may still begin now within the store's rate.
	StoreStarts int
	// EngineWork is the number of prompt tokens a second that one replica of a busy model should get at most.
	EngineWork float64
}

//go:generate stringer -type=Reason -linecomment -output=view_string.go

// Reason says why an order was decided.
type Reason int

// The reasons.
const (
	// ForWaiting loads a model that requests wait for.
	ForWaiting Reason = iota // requests wait
	// ForRate adds a replica of a busy model.
	ForRate // busy model needs a replica
	// ForDisk brings a model to an engine's disk.
	ForDisk // not on any disk
	// ForRoom unloads a model or adapter to make room.
	ForRoom // room for another
)

// Step is one decided order.
type Step struct {
	Engine string
	Order  afengine.Order
	Reason Reason
	// For is the model or adapter that the step makes room for, if it does.
	For string
	// FromStore means that the load reads from the weight store, and Takes is the estimated time of the load.
	FromStore bool
	Takes     time.Duration
}

// Close names a replica that should get no new requests, so that it can be unloaded.
type Close struct {
	Engine, Model string
}

// Decision is the output of Plan.
type Decision struct {
	Steps []Step
	// Closing names replicas that have to run out before they are unloaded.
	Closing []Close
	// Queued holds the least time until models are loaded that requests wait for and that no engine can load yet, since
	// the weight store has others before them.
	Queued map[string]time.Duration
}

// AdapterKey returns the name of an adapter in Running and Coming.
func AdapterKey(model, adapter string) string { return model + "/" + adapter }
