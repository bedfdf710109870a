package afroster

// RunningRequest is a request of this VM in progress at an endpoint.
type RunningRequest struct {
	roster     *Roster
	endpointID string
	// adapterKey is model/adapter, or empty without an adapter.
	adapterKey, model string
	load              Load
	promptRead        bool
	// isTrial means that the request is the trial after an ejection of its endpoint.
	isTrial bool
	ended   bool
}

// BeginRequest adds a request to the load of an endpoint until the returned RunningRequest ends. Model and adapter are empty
// for services without model engines.
func (r *Roster) BeginRequest(endpointID, model, adapter string, promptTokens, totalTokens int64) *RunningRequest {
	request := &RunningRequest{roster: r, endpointID: endpointID, model: model, load: Load{Requests: 1, UnreadPromptTokens: promptTokens, TotalTokens: totalTokens}}
	if adapter != "" {
		request.adapterKey = model + "/" + adapter
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	r.addOwnLoad(endpointID, request.load)
	if e := r.endpoints[endpointID]; e != nil {
		if e.healthTracker.IsTrialDue(r.Now()) {
			e.healthTracker = e.healthTracker.WithTrialStarted()
			request.isTrial = true
		}
	}
	r.addRunning(request, 1)
	return request
}

// addOwnLoad adds to the load of an endpoint by this VM's requests. The caller holds mu.
func (r *Roster) addOwnLoad(endpointID string, delta Load) {
	load := r.ownLoads[endpointID].Add(delta)
	if load == (Load{}) {
		delete(r.ownLoads, endpointID)
		return
	}
	r.ownLoads[endpointID] = load
}

// addRunning adds delta to the counts of the request's model and adapter at its endpoint.
func (r *Roster) addRunning(request *RunningRequest, delta int) {
	byModel := r.runningByEndpoint[request.endpointID]
	if byModel == nil {
		byModel = make(map[string]int)
		r.runningByEndpoint[request.endpointID] = byModel
	}
	for _, key := range []string{request.model, request.adapterKey} {
		if key == "" {
			continue
		}
		byModel[key] += delta
		if byModel[key] <= 0 {
			delete(byModel, key)
		}
	}
	if len(byModel) == 0 {
		delete(r.runningByEndpoint, request.endpointID)
	}
}

// MarkPromptRead removes the prompt from the unread prompts of the endpoint, after the first event of the response arrived.
func (request *RunningRequest) MarkPromptRead() {
	r := request.roster
	r.mu.Lock()
	if request.promptRead || request.ended {
		r.mu.Unlock()
		return
	}
	request.promptRead = true
	r.addOwnLoad(request.endpointID, Load{UnreadPromptTokens: -request.load.UnreadPromptTokens})
	request.load.UnreadPromptTokens = 0
	r.mu.Unlock()
	r.notifyChange()
}

// RecordSilence records that the endpoint has been silent for too long, without ending the request. A later success of the request
// shows that the endpoint is sound.
func (request *RunningRequest) RecordSilence() {
	r := request.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[request.endpointID]; e != nil && !request.ended {
		e.healthTracker = e.healthTracker.WithResult(false, r.Now())
	}
}

// RecordSpeech records that the endpoint went on with the answer after a recorded silence. The endpoint may serve waiting requests then.
func (request *RunningRequest) RecordSpeech() {
	r := request.roster
	r.mu.Lock()
	if e := r.endpoints[request.endpointID]; e != nil && !request.ended {
		e.healthTracker = e.healthTracker.WithSpeech()
	}
	r.mu.Unlock()
	r.notifyChange()
}

// HealthResult is the effect of a request's end on the health of its endpoint.
type HealthResult int

// The health results of a request.
const (
	// HealthUnaffected means that the end of the request gives no evidence about the endpoint's health.
	HealthUnaffected HealthResult = iota
	// HealthSuccess means that the endpoint served the request.
	HealthSuccess
	// HealthFailure means that the endpoint failed the request.
	HealthFailure
)

// End removes the request from the load of its endpoint and records the result. Further calls do nothing.
func (request *RunningRequest) End(result HealthResult) {
	r := request.roster
	r.mu.Lock()
	if request.ended {
		r.mu.Unlock()
		return
	}
	request.ended = true
	r.addOwnLoad(request.endpointID, Load{Requests: -request.load.Requests, UnreadPromptTokens: -request.load.UnreadPromptTokens, TotalTokens: -request.load.TotalTokens})
	if e := r.endpoints[request.endpointID]; e != nil {
		switch {
		case result != HealthUnaffected:
			e.healthTracker = e.healthTracker.WithResult(result == HealthSuccess, r.Now())
		case request.isTrial:
			e.healthTracker = e.healthTracker.WithTrialEnded()
		}
	}
	r.addRunning(request, -1)
	r.mu.Unlock()
	r.notifyChange()
}

// OwnLoads returns the loads by requests of this VM by endpoint, and the numbers of these requests by endpoint and by model
// or model/adapter.
func (r *Roster) OwnLoads() (loads map[string]Load, running map[string]map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads = make(map[string]Load)
	running = make(map[string]map[string]int, len(r.runningByEndpoint))
	for id, load := range r.ownLoads {
		if r.endpoints[id] != nil {
			loads[id] = load
		}
	}
	for id, byModel := range r.runningByEndpoint {
		counts := make(map[string]int, len(byModel))
		for k, n := range byModel {
			counts[k] = n
		}
		running[id] = counts
	}
	return loads, running
}

// OwnRequests returns the number of this VM's requests in progress at an endpoint.
func (r *Roster) OwnRequests(endpointID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownLoads[endpointID].Requests
}
