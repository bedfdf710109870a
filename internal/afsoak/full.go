package afsoak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	// fillRequests is the number of requests of each VM with which the endpoints of a service are filled, and fillTime how long they have
	// to begin.
	fillRequests, fillTime = 6, 250 * time.Millisecond
	// silenceBreak is the least time between two silences of an endpoint, so that they don't add up to a longer one.
	silenceBreak = time.Second
	// maxFillingVMs bounds the VMs that send them.
	maxFillingVMs = 20
)

// silenceEndpoint lets a sound endpoint be silent for a moment with requests of all VMs, while it and the others of its service are
// full.
func (s *Soak) silenceEndpoint() {
	e := s.pickForMoment()
	d := s.betweenMoments(minSilence, maxSilence)
	live := s.fleet.liveEndpoints(e.Service)
	e, model, ok := s.pickSound(e, live)
	if !ok {
		return
	}
	e.silentUntil = time.Now().Add(fillTime + d)
	s.logEvent("endpoint %s is silent for %v, all of its service are full", e.ID, d.Round(time.Millisecond))
	if e.RefusesInSilence {
		e.BeginSilence(d)
	}
	for _, other := range live {
		if other != e {
			s.fillUntil(other, fillTime+d)
		}
	}
	s.fillEndpoints(e.Service, model)
	s.recoveries.Go(func() {
		time.Sleep(fillTime)
		if !e.RefusesInSilence {
			e.BeginSilence(d)
		}
		s.fillUntil(e, d)
		requests, vms := s.countRunningAt(e)
		s.logEvent("endpoint %s is silent with %d requests of %d VMs", e.ID, requests, vms)
	})
}

// fillUntil lets an endpoint refuse further requests for a time.
func (s *Soak) fillUntil(e *endpoint, d time.Duration) {
	e.IsFull.Store(true)
	s.endLater(d, func() { e.IsFull.Store(false) })
}

// pickSound returns an endpoint without a fault that was not silent lately and a model that it has, the given endpoint if it is one.
// Plain endpoints need no model. It returns false if there is none.
func (s *Soak) pickSound(e *endpoint, live []*endpoint) (sound *endpoint, model string, ok bool) {
	now := time.Now()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, candidate := range append([]*endpoint{e}, live...) {
		if now.Before(candidate.silentUntil.Add(silenceBreak)) || candidate.isCrashed || candidate.IsLeaving.Load() || s.fleet.hadEndpointFault(candidate.ID, now, now) {
			continue
		}
		i := slices.IndexFunc(modelNames, candidate.HasModel)
		switch {
		case candidate.Service != "llm":
			return candidate, "", true
		case i >= 0:
			return candidate, modelNames[i], true
		}
	}
	return nil, "", false
}

// fillEndpoints sends requests for the endpoints of a service through the VMs. Half of them may run only once.
func (s *Soak) fillEndpoints(service, model string) {
	paths := []string{"/look/x", "/pay/x"}
	if service == "llm" {
		paths = []string{"/talk/x", "/note/x"}
	}
	for _, v := range s.fleet.vms[:min(len(s.fleet.vms), maxFillingVMs)] {
		for i := range fillRequests {
			s.recoveries.Go(func() { s.callers.sendFilling(v, paths[i%len(paths)], model) })
		}
	}
}

// sendFilling sends one request on a new connection and checks its answer.
func (c *callers) sendFilling(v *vm, path, model string) {
	c.mu.Lock()
	c.callCount++
	req := call{id: fmt.Sprintf("r%05d", c.callCount), vm: v, path: path, key: "key-one", customer: "one"}
	c.mu.Unlock()
	r, err := http.NewRequest(http.MethodPost, "http://"+v.ip+afplatform.CallersPort+path, bytes.NewReader([]byte("hello")))
	if err != nil {
		c.fleet.reportViolation("SOAK", "request not made: %v", err)
		return
	}
	c.sendOnce(req, r, model)
}

// sendOnce sends a request with the usual headers on a new connection.
func (c *callers) sendOnce(req call, r *http.Request, model string) {
	r.Host = "soak.example"
	headers := afplatform.RequestHeaders{RequestID: req.id, APIKey: req.key, Timeout: streamRouteTimeout, PromptTokens: requestTokens * 2 / 3, OutputTokens: requestTokens / 3}
	if serviceOfRoute(req.path) == "llm" {
		headers.Model, headers.PromptParts = model, []string{"system", req.id}
	}
	headers.SetOn(r.Header)
	req.begin()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	c.finishRequest(req, client, r)
}

// countRunningAt returns the number of requests that an endpoint runs, and of their VMs.
func (s *Soak) countRunningAt(e *endpoint) (requests, vms int) {
	f, c := s.fleet, s.callers
	byVM := map[*vm]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, v := range c.running {
		if slices.ContainsFunc(f.executions[id], func(r afplatform.ExecutedRequest) bool { return r.EndpointID == e.ID }) {
			byVM[v]++
			requests++
		}
	}
	return requests, len(byVM)
}
