package afplacement

import "time"

// Insight holds the inputs of the decisions about one model.
type Insight struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Replicas counts replicas in every state, Bound is their limit.
	Replicas int `json:"replicas"`
	Bound    int `json:"bound"`
	// Arrivals is the expected number of requests per second.
	Arrivals float64 `json:"arrivals"`
	// Kept are the endpoints on which the model is worth its memory.
	Kept       []string    `json:"kept,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	// Budget is the number of loads that the weight store's rate allows now.
	Budget float64 `json:"budget"`
}

// Explain returns the inputs of the decisions about the model.
func (v View) Explain(model string, now time.Time) Insight {
	out := Insight{
		Replicas: v.count(v.record, model), Bound: v.bound(model), Arrivals: v.arrivals(model, now),
		Candidates: v.candidates(v.record, model, nil, now), Budget: v.tokens(now),
	}
	out.Waiting, out.Running = v.demand[model].totals(now)
	for _, a := range v.record.Assignments {
		if a.Model == model && v.keep(a, now) {
			out.Kept = append(out.Kept, a.Endpoint)
		}
	}
	return out
}

// Config returns the configuration that the decisions rest on.
func (v View) Config() Config { return v.cfg }

// Unsure reports whether the record must be read back before the next commit.
func (v View) Unsure() bool { return v.unsure }

// Holds reports whether the committed record names this VM, with a valid lease or not.
func (v View) Holds() bool { return v.holds() }

// Busy reports whether something is loading or unloading on the endpoint, or an order is recorded for it.
func (v View) Busy(endpoint string) bool {
	for _, a := range v.record.Assignments {
		if a.Endpoint == endpoint && a.State != Loaded {
			return true
		}
	}
	for _, o := range v.record.Orders {
		if o.Endpoint == endpoint && o.State == Recorded && v.live(v.record, o) {
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

// PollAfter returns the time after which the endpoint's next report is of use. A load that is due is looked at more
// often, by a fraction of its load time, so that the wait for the report does not add much to a short load.
func (v View) PollAfter(endpoint string, now time.Time) time.Duration {
	if !v.Busy(endpoint) {
		return pollIdle
	}
	next := pollBusy
	for _, a := range v.record.Assignments {
		s, ok := v.starts[place{a.Endpoint, a.Model}]
		if a.Endpoint != endpoint || a.State != Loading || !ok {
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
