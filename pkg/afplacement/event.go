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
	// ShardCount is the number of shards of the service, which divide the weight store's budget evenly.
	ShardCount int
	// Overrides replaces parts of the policy, for the comparison with baselines.
	Overrides PolicyOverrides
}

// PolicyOverrides holds the parts of the policy that measurements replace. The zero value is the policy in use.
type PolicyOverrides struct {
	// KeepReplica reports whether an idle replica is worth its memory. Nil means that the expected saving exceeds the cost.
	KeepReplica func(IdleReplica) bool
	// EvictionValue orders replicas for eviction, the lowest first. Nil means the expected saving for each MB.
	EvictionValue func(IdleReplica) float64
	// IgnoreCaches chooses endpoints without regard to caches.
	IgnoreCaches bool
}

// IdleReplica describes a replica that no request uses.
type IdleReplica struct {
	Model  string
	Memory int64
	// IdleTime is the time since the last use.
	IdleTime time.Duration
	// RecentRate and Lasting are arrivals per second as estimated over a short and a long window, Planned is what the
	// accepted sheet expects.
	RecentRate, LongTermRate, PlannedRate float64
	// LoadTime is the load time from the nearest cache of the endpoint.
	LoadTime time.Duration
	// ColdStartSaving is the expected cold-start cost per second that the replica avoids, Cost is the cost of holding it.
	ColdStartSaving, HoldingCost float64
}

// EndpointStatus is an endpoint's own report, in the form of its GET /status answer.
type EndpointStatus struct {
	// Memory is informative; decisions use the configured memory and the charges.
	Memory          int64         `json:"memory"`
	Models          []ModelStatus `json:"models"`
	Cache           Cache         `json:"cache"`
	RunningRequests int           `json:"running"`
	WaitingRequests int           `json:"waiting"`
	Leaving         bool          `json:"leaving"`
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

//go:generate stringer -type=OrderOutcome -linecomment -output=event_string.go

// OrderOutcome is what became of an order that was sent once.
type OrderOutcome int

// The replies to an order.
const (
	// OutcomeAccepted means that the endpoint carries out the order.
	OutcomeAccepted OrderOutcome = iota // accepted
	// OutcomeRefused means that the endpoint answered that it does not carry out the order.
	OutcomeRefused // refused
	// OutcomeStaleFence means that the endpoint has accepted a higher fencing number.
	OutcomeStaleFence // stale fence
	// OutcomeNotSent means that no byte of the order left this VM.
	OutcomeNotSent // not sent
	// OutcomeAnswerLost means that the order may arrive now or later.
	OutcomeAnswerLost // answer lost
)

// Event is an input of View.Step: one of the types below.
type Event interface{ event() }

type (
	// Tick lets time pass.
	Tick struct{}
	// ConfigChanged brings another configuration.
	ConfigChanged struct{ Config Config }
	// RecordFetched is the answer to a read of the shard object. Version zero means that it does not exist.
	RecordFetched struct {
		Version int64
		Record  Record
	}
	// CommitSucceeded is the positive answer to a Commit.
	CommitSucceeded struct{ Version int64 }
	// CommitFailed is any other end of a Commit. The record must be read back.
	CommitFailed struct{}
	// StatusPolled is an endpoint's report.
	StatusPolled struct {
		Endpoint string
		// RequestedAt is when the request for the report was sent.
		RequestedAt time.Time
		Status      EndpointStatus
		// Failed tells that there was no report.
		Failed bool
	}
	// OrderAnswered is the end of sending an order.
	OrderAnswered struct {
		OrderID int64
		Outcome OrderOutcome
	}
	// DemandReported is one VM's count of requests that wait for or run on a model, which replaces its earlier count.
	DemandReported struct {
		Model           string
		VM              string
		WaitingRequests int
		RunningRequests int
	}
	// RequestsArrived counts requests for a model.
	RequestsArrived struct {
		Model string
		Count int
	}
	// SenderFenced is an earlier sender's statement that it sends nothing below the fence any more.
	SenderFenced struct {
		Sender arbutusfork.Incarnation
		Fence  int64
		// UnresolvedOrders are the orders that it sent without learning their fate.
		UnresolvedOrders []int64
	}
	// SendFenceRaised makes this VM send nothing below the fence, so that it may state so.
	SendFenceRaised struct{ Fence int64 }
	// SenderGone tells that the platform's list no longer has the incarnation.
	SenderGone struct{ Sender arbutusfork.Incarnation }
	// ReleaseRequested asks the owner to release the shard.
	ReleaseRequested struct{}
)

func (Tick) event()             {}
func (ConfigChanged) event()    {}
func (RecordFetched) event()    {}
func (CommitSucceeded) event()  {}
func (CommitFailed) event()     {}
func (StatusPolled) event()     {}
func (OrderAnswered) event()    {}
func (DemandReported) event()   {}
func (RequestsArrived) event()  {}
func (SenderFenced) event()     {}
func (SendFenceRaised) event()  {}
func (SenderGone) event()       {}
func (ReleaseRequested) event() {}

// Effect is an output of View.Step: one of the types below.
type Effect interface{ effect() }

type (
	// CommitRecord asks for a conditional update of the shard object from Version. Zero creates it.
	CommitRecord struct {
		Version int64
		Record  Record
	}
	// FetchRecord asks for a read of the shard object.
	FetchRecord struct{}
	// SendOrder asks to send the order once.
	SendOrder struct{ Order Order }
	// FenceSender asks the sender to state that it sends nothing below the fence any more.
	FenceSender struct {
		Sender arbutusfork.Incarnation
		Fence  int64
	}
	// Decision describes one placement decision for the log.
	Decision struct {
		Verb         Verb
		Model        string
		Endpoint     string
		Reason       string
		Choice       Candidate
		Alternatives []Candidate
		// LoadsInProgress is the number of loads from the weight store in progress.
		LoadsInProgress int
		// LoadBudget is the number of loads that the weight store's rate allowed.
		LoadBudget float64
		// WaitingRequests is the number of requests that wait for the model.
		WaitingRequests int
	}
)

func (CommitRecord) effect() {}
func (FetchRecord) effect()  {}
func (SendOrder) effect()    {}
func (FenceSender) effect()  {}
func (Decision) effect()     {}
