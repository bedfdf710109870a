package afplacement

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

// Config is the part of the configuration that the decisions about a shard depend on. It is immutable.
type Config struct {
	Service arbutusfork.Service
	// Endpoints are the endpoints of the shard by name.
	Endpoints map[string]arbutusfork.Endpoint
	// Models are the models and adapters that the shard places, by name.
	Models map[string]arbutusfork.Model
	Sheet  []arbutusfork.DemandSheetRow
	// ShardCount is the number of shards of the service. Each gets an equal share of the weight store's limits.
	ShardCount int
	// Overrides replaces parts of the policy, to compare the policy with baselines.
	Overrides PolicyOverrides
}

// PolicyOverrides replaces parts of the policy in measurements. The zero value is the policy in use.
type PolicyOverrides struct {
	// KeepReplica reports whether an idle replica stays loaded. Nil means that it stays while the expected saving
	// exceeds the cost.
	KeepReplica func(IdleReplica) bool
	// EvictionValue orders replicas for eviction, the lowest first. Nil means the expected saving per MB.
	EvictionValue func(IdleReplica) float64
	// IgnoreCaches chooses endpoints regardless of the tier that holds the checkpoint.
	IgnoreCaches bool
}

// IdleReplica describes a replica that no request uses.
type IdleReplica struct {
	Model string
	// Memory is the charged memory in MB.
	Memory int64
	// IdleTime is the time since the last use.
	IdleTime time.Duration
	// RecentRate is the arrivals per second, estimated over a short window.
	RecentRate float64
	// LongTermRate is the arrivals per second, estimated over a long window.
	LongTermRate float64
	// PlannedRate is the arrivals per second that the accepted sheet plans.
	PlannedRate float64
	// LoadTime is the time of a load from the fastest tier that holds the checkpoint.
	LoadTime time.Duration
	// ColdStartSaving is the expected cold-start cost per second that the replica avoids.
	ColdStartSaving float64
	// HoldingCost is the cost per second of the accelerators that the replica occupies.
	HoldingCost float64
}

// EndpointStatus is an endpoint's report, in the form of its answer to GET /status.
type EndpointStatus struct {
	// Memory is for operators only; decisions use the configured memory and the charges.
	Memory          int64         `json:"memory"`
	Models          []ModelStatus `json:"models"`
	Cache           Cache         `json:"cache"`
	RunningRequests int           `json:"running"`
	WaitingRequests int           `json:"waiting"`
	Leaving         bool          `json:"leaving"`
	// Fence is the highest fencing number that the endpoint has accepted.
	Fence int64 `json:"fence"`
}

// Cache maps a model to the fastest tier that holds its checkpoint, "memory" or "disk".
type Cache map[string]string

// ModelStatus is the state of one model in an endpoint's report.
type ModelStatus struct {
	Name string `json:"name"`
	// State is loading, loaded or unloading.
	State  string `json:"state"`
	Memory int64  `json:"memory"`
}

//go:generate stringer -type=OrderOutcome -linecomment -output=event_string.go

// OrderOutcome is the outcome of sending an order once.
type OrderOutcome int

// The outcomes of sending an order.
const (
	// OutcomeAccepted means that the endpoint carries out the order.
	OutcomeAccepted OrderOutcome = iota // accepted
	// OutcomeRefused means that the endpoint does not carry out the order.
	OutcomeRefused // refused
	// OutcomeStaleFence means that the endpoint refused the order because it has accepted a higher fencing number.
	OutcomeStaleFence // stale fence
	// OutcomeNotSent means that no byte of the order left this VM.
	OutcomeNotSent // not sent
	// OutcomeAnswerLost means that the order may have arrived or may still arrive.
	OutcomeAnswerLost // answer lost
)

// Event is an input of View.Step: one of the types below.
type Event interface{ event() }

type (
	// Tick applies the current time without any other input.
	Tick struct{}
	// ConfigChanged sets another configuration.
	ConfigChanged struct{ Config Config }
	// RecordFetched is the answer to FetchRecord. A version with revision zero means that the shard object does not exist.
	RecordFetched struct {
		Version int64
		Record  Record
	}
	// CommitSucceeded reports that a CommitRecord has taken effect.
	CommitSucceeded struct{ Version int64 }
	// CommitFailed reports any other end of a CommitRecord. The commit may have taken effect, so that the record must
	// be read.
	CommitFailed struct{}
	// StatusPolled is the result of a status request to an endpoint.
	StatusPolled struct {
		Endpoint string
		// RequestedAt is when the request was sent.
		RequestedAt time.Time
		Status      EndpointStatus
		// Failed means that the endpoint did not return its status.
		Failed bool
	}
	// OrderAnswered is the outcome of a SendOrder.
	OrderAnswered struct {
		OrderID int64
		Outcome OrderOutcome
	}
	// DemandReported is the number of a VM's requests that wait for and run on a model. It replaces the VM's previous
	// numbers.
	DemandReported struct {
		Model           string
		VM              string
		WaitingRequests int
		RunningRequests int
	}
	// RequestsArrived counts new requests for a model.
	RequestsArrived struct {
		Model string
		Count int
	}
	// SenderFenced is the answer to FenceSender: the earlier sender sends no more orders below the fence.
	SenderFenced struct {
		Sender arbutusfork.Incarnation
		Fence  int64
		// UnresolvedOrders are the IDs of the orders that the sender has sent without learning their outcome.
		UnresolvedOrders []int64
	}
	// SendFenceRaised makes this VM send no more orders below the fence, so that it can confirm this to a later owner.
	SendFenceRaised struct{ Fence int64 }
	// SenderGone reports that the platform's list of VMs no longer contains the incarnation.
	SenderGone struct{ Sender arbutusfork.Incarnation }
	// ReleaseRequested makes the owner release the shard.
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
	// CommitRecord requests a conditional update of the shard object from Version. A version with revision zero creates the
	// object.
	CommitRecord struct {
		Version int64
		Record  Record
	}
	// FetchRecord requests a read of the shard object.
	FetchRecord struct{}
	// SendOrder requests that the order be sent once.
	SendOrder struct{ Order Order }
	// FenceSender requests an earlier sender's confirmation that it sends no more orders below the fence.
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
		// LoadBudget is the number of loads that could start within the weight store's rate limit.
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
