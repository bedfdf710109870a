package afplacement

import "time"

// DecisionInputs holds the inputs of the decisions about one model.
type DecisionInputs struct {
	WaitingRequests int `json:"waiting"`
	RunningRequests int `json:"running"`
	// ReplicaCount is the number of replicas in every state.
	ReplicaCount int `json:"replicas"`
	// MaxReplicas is the limit of ReplicaCount.
	MaxReplicas int `json:"bound"`
	// ArrivalRate is the expected number of requests per second.
	ArrivalRate float64 `json:"arrivals"`
	// KeepOnEndpoints are the endpoints on which the policy keeps the model loaded.
	KeepOnEndpoints []string    `json:"kept,omitempty"`
	Candidates      []Candidate `json:"candidates,omitempty"`
	// LoadBudget is the number of loads that may start now within the weight store's rate limit.
	LoadBudget float64 `json:"budget"`
}

// ExplainModel returns the inputs of the decisions about the model.
func (v View) ExplainModel(model string, now time.Time) DecisionInputs {
	out := DecisionInputs{
		ReplicaCount: v.countReplicas(v.record, model), MaxReplicas: v.maxReplicas(model), ArrivalRate: v.expectedArrivalRate(model, now),
		Candidates: v.replicaCandidates(v.record, model, nil, now), LoadBudget: v.availableLoads(now),
	}
	out.WaitingRequests, out.RunningRequests = v.demand[model].totalRequests(now)
	for _, a := range v.record.Assignments {
		if a.Model == model && v.shouldKeepReplica(a, now) {
			out.KeepOnEndpoints = append(out.KeepOnEndpoints, a.Endpoint)
		}
	}
	return out
}

// Config returns the configuration on which the decisions are based.
func (v View) Config() Config { return v.cfg }

// NeedsRecordRead reports whether the record must be read before the next commit, because the outcome of the last one
// is unknown.
func (v View) NeedsRecordRead() bool { return v.mustReadRecord }

// IsRecordedOwner reports whether the committed record names this VM as owner. The lease may have expired.
func (v View) IsRecordedOwner() bool { return v.isRecordedOwner() }

// IsEndpointBusy reports whether a model is loading or unloading on the endpoint, or an order for it may still be
// carried out.
func (v View) IsEndpointBusy(endpoint string) bool {
	for _, a := range v.record.Assignments {
		if a.Endpoint == endpoint && a.State != AssignmentLoaded {
			return true
		}
	}
	for _, o := range v.record.Orders {
		if o.Endpoint == endpoint && o.State == OrderRecorded && v.canExecute(v.record, o) {
			return true
		}
	}
	return false
}

const (
	// busyPollInterval is the longest time between two status requests to an endpoint with a load, unload or order in
	// progress.
	busyPollInterval = 100 * time.Millisecond
	// idlePollInterval is the time between two status requests to an endpoint with nothing in progress.
	idlePollInterval = time.Second
	// minPollInterval is the shortest time between two status requests. Adapters load in 5 to 15 ms.
	minPollInterval = 5 * time.Millisecond
)

// PollDelay returns the time until the endpoint's status should be requested again. While a load is due, the interval
// is a tenth of its load time, so that waiting for the report adds little to a short load.
func (v View) PollDelay(endpoint string, now time.Time) time.Duration {
	if !v.IsEndpointBusy(endpoint) {
		return idlePollInterval
	}
	next := busyPollInterval
	for _, a := range v.record.Assignments {
		start, ok := v.loadStarts[placement{a.Endpoint, a.Model}]
		if a.Endpoint != endpoint || a.State != AssignmentLoading || !ok {
			continue
		}
		wait := start.startedAt.Add(start.loadTime).Sub(now)
		if wait <= 0 {
			wait = start.loadTime / 10
		}
		next = min(next, max(wait, minPollInterval))
	}
	return next
}
