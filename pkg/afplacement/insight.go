package afplacement

import "time"

// DecisionInputs holds the inputs of the decisions about one model.
type DecisionInputs struct {
	WaitingRequests int `json:"waiting"`
	RunningRequests int `json:"running"`
	// ReplicaCount counts replicas in every state, Bound is their limit.
	ReplicaCount int `json:"replicas"`
	MaxReplicas  int `json:"bound"`
	// ArrivalRate is the expected number of requests per second.
	ArrivalRate float64 `json:"arrivals"`
	// KeepOnEndpoints are the endpoints on which the model is worth its memory.
	KeepOnEndpoints []string    `json:"kept,omitempty"`
	Candidates      []Candidate `json:"candidates,omitempty"`
	// LoadBudget is the number of loads that the weight store's rate allows now.
	LoadBudget float64 `json:"budget"`
}

// ExplainModel returns the inputs of the decisions about the model.
func (v View) ExplainModel(model string, now time.Time) DecisionInputs {
	out := DecisionInputs{
		ReplicaCount: v.count(v.record, model), MaxReplicas: v.bound(model), ArrivalRate: v.arrivals(model, now),
		Candidates: v.candidates(v.record, model, nil, now), LoadBudget: v.tokens(now),
	}
	out.WaitingRequests, out.RunningRequests = v.demand[model].totals(now)
	for _, a := range v.record.Assignments {
		if a.Model == model && v.keep(a, now) {
			out.KeepOnEndpoints = append(out.KeepOnEndpoints, a.Endpoint)
		}
	}
	return out
}

// Config returns the configuration that the decisions rest on.
func (v View) Config() Config { return v.cfg }

// NeedsRecordRead reports whether the record must be read back before the next commit.
func (v View) NeedsRecordRead() bool { return v.unsure }

// IsRecordedOwner reports whether the committed record names this VM, with a valid lease or not.
func (v View) IsRecordedOwner() bool { return v.holds() }

// IsEndpointBusy reports whether something is loading or unloading on the endpoint, or an order is recorded for it.
func (v View) IsEndpointBusy(endpoint string) bool {
	for _, a := range v.record.Assignments {
		if a.Endpoint == endpoint && a.State != AssignmentLoaded {
			return true
		}
	}
	for _, o := range v.record.Orders {
		if o.Endpoint == endpoint && o.State == OrderRecorded && v.live(v.record, o) {
			return true
		}
	}
	return false
}

const (
	// pollBusy and pollIdle are the longest times between two reports of an endpoint with and without something in
	// progress there.
	pollBusy = 100 * time.Millisecond
	pollIdle = time.Second
	// pollFloor is the shortest time between two reports. Adapters load in 5 to 15 ms.
	pollFloor = 5 * time.Millisecond
)

// PollDelay returns the time after which the endpoint's next report is of use. A load that is due is looked at more
// often, by a fraction of its load time, so that the wait for the report does not add much to a short load.
func (v View) PollDelay(endpoint string, now time.Time) time.Duration {
	if !v.IsEndpointBusy(endpoint) {
		return pollIdle
	}
	next := pollBusy
	for _, a := range v.record.Assignments {
		s, ok := v.starts[place{a.Endpoint, a.Model}]
		if a.Endpoint != endpoint || a.State != AssignmentLoading || !ok {
			continue
		}
		wait := s.at.Add(s.bare).Sub(now)
		if wait <= 0 {
			wait = s.bare / 10
		}
		next = min(next, max(wait, pollFloor))
	}
	return next
}
