package afplacement

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

// Config is the part of the configuration that a shard's decisions depend on. It is immutable.
type Config struct {
	Service arbutusfork.Service
	// Endpoints are the endpoints of the shard by name.
	Endpoints map[string]arbutusfork.Endpoint
	// Models are the models and adapters that the shard places, by name.
	Models map[string]arbutusfork.Model
	Sheet  []arbutusfork.SheetRow
	// Shards is the number of shards of the service, which divide the weight store's budget evenly.
	Shards int
	// Rule replaces parts of the policy, for the comparison with baselines.
	Rule Rule
}

// Rule holds the parts of the policy that measurements replace. The zero value is the policy in use.
type Rule struct {
	// Keep reports whether an idle replica is worth its memory. Nil means that the expected saving exceeds the cost.
	Keep func(Holding) bool
	// Value orders replicas for eviction, the lowest first. Nil means the expected saving for each MB.
	Value func(Holding) float64
	// Blind chooses endpoints without regard to caches.
	Blind bool
}

// Holding describes a replica that no request uses.
type Holding struct {
	Model  string
	Memory int64
	// Idle is the time since the last use.
	Idle time.Duration
	// Recent and Lasting are arrivals per second as estimated over a short and a long window, Planned is what the
	// accepted sheet expects.
	Recent, Lasting, Planned float64
	// Bare is the load time from the nearest cache of the endpoint.
	Bare time.Duration
	// Saving is the expected cold-start cost per second that the replica avoids, Cost is the cost of holding it.
	Saving, Cost float64
}

// Status is an endpoint's own report, in the form of its GET /status answer.
type Status struct {
	// Memory is informative; decisions use the configured memory and the charges.
	Memory  int64         `json:"memory"`
	Models  []ModelStatus `json:"models"`
	Cache   Cache         `json:"cache"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Leaving bool          `json:"leaving"`
	// Fence is the highest fencing number that the endpoint has accepted.
	Fence int64 `json:"fence"`
}

// Cache maps a model to the nearest tier that holds its checkpoint, "memory" or "disk".
type Cache map[string]string

// ModelStatus is one model in an endpoint's report.
type ModelStatus struct {
	Name string `json:"name"`
	// State is loading, loaded or unloading.
	State  string `json:"state"`
	Memory int64  `json:"memory"`
}

//go:generate stringer -type=Reply -linecomment -output=event_string.go

// Reply is what became of an order that was sent once.
type Reply int

// The replies to an order.
const (
	// Accepted means that the endpoint carries out the order.
	Accepted Reply = iota // accepted
	// Refused means that the endpoint answered that it does not carry out the order.
	Refused // refused
	// Stale means that the endpoint has accepted a higher fencing number.
	Stale // stale fence
	// Unsent means that no byte of the order left this VM.
	Unsent // not sent
	// Lost means that the order may arrive now or later.
	Lost // answer lost
)

// Event is an input of View.Step: one of the types below.
type Event interface{ event() }

type (
	// Tick lets time pass.
	Tick struct{}
	// Configured brings another configuration.
	Configured struct{ Config Config }
	// Read is the answer to a read of the shard object. Version zero means that it does not exist.
	Read struct {
		Version int64
		Record  Record
	}
	// Committed is the positive answer to a Commit.
	Committed struct{ Version int64 }
	// Failed is any other end of a Commit. The record must be read back.
	Failed struct{}
	// Observed is an endpoint's report.
	Observed struct {
		Endpoint string
		// Asked is when the request for the report was sent.
		Asked  time.Time
		Status Status
		// Err tells that there was no report.
		Err bool
	}
	// Answered is the end of sending an order.
	Answered struct {
		Order int64
		Reply Reply
	}
	// Wanted is one VM's count of requests that wait for or run on a model, which replaces its earlier count.
	Wanted struct {
		Model   string
		VM      string
		Waiting int
		Running int
	}
	// Arrived counts requests for a model.
	Arrived struct {
		Model string
		Count int
	}
	// Released is an earlier sender's statement that it sends nothing below the fence any more.
	Released struct {
		Sender arbutusfork.Incarnation
		Fence  int64
		// Doubt are the orders that it sent without learning their fate.
		Doubt []int64
	}
	// Fenced makes this VM send nothing below the fence, so that it may state so.
	Fenced struct{ Fence int64 }
	// Gone tells that the platform's list no longer has the incarnation.
	Gone struct{ Sender arbutusfork.Incarnation }
	// Resign asks the owner to release the shard.
	Resign struct{}
)

func (Tick) event()       {}
func (Configured) event() {}
func (Read) event()       {}
func (Committed) event()  {}
func (Failed) event()     {}
func (Observed) event()   {}
func (Answered) event()   {}
func (Wanted) event()     {}
func (Arrived) event()    {}
func (Released) event()   {}
func (Fenced) event()     {}
func (Gone) event()       {}
func (Resign) event()     {}

// Effect is an output of View.Step: one of the types below.
type Effect interface{ effect() }

type (
	// Commit asks for a conditional update of the shard object from Version. Zero creates it.
	Commit struct {
		Version int64
		Record  Record
	}
	// Fetch asks for a read of the shard object.
	Fetch struct{}
	// Send asks to send the order once.
	Send struct{ Order Order }
	// AskRelease asks the sender to state that it sends nothing below the fence any more.
	AskRelease struct {
		Sender arbutusfork.Incarnation
		Fence  int64
	}
	// Decision describes one placement decision for the log.
	Decision struct {
		Verb     Verb
		Model    string
		Endpoint string
		Reason   string
		Chosen   Candidate
		Others   []Candidate
		// Loads is the number of loads from the weight store in progress.
		Loads int
		// Budget is the number of loads that the weight store's rate allowed.
		Budget float64
		// Waiting is the number of requests that wait for the model.
		Waiting int
	}
)

func (Commit) effect()     {}
func (Fetch) effect()      {}
func (Send) effect()       {}
func (AskRelease) effect() {}
func (Decision) effect()   {}
