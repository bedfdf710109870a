package afsoak

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	// maxCopyAge bounds how far the store goes back, and maxAwayTime how long it is away before.
	maxCopyAge, maxAwayTime = 8 * time.Second, 1500 * time.Millisecond
	// maxEarlierTime is how much older than the last change of the lease's holder a copy is that is chosen for it.
	maxEarlierTime = 500 * time.Millisecond
	// maxRewriteDelay is the time within which the operator and the endpoints write again what the store lost.
	maxRewriteDelay = 1500 * time.Millisecond
	// extraReadyTime is how long the extra endpoint serves before it drains, and maxDrainLead bounds the time from then until the
	// store goes away.
	extraReadyTime, maxDrainLead = time.Second, 5 * time.Second
)

// goBack is one time at which the store went back. Until rewrittenAt it lacked what the operator and the endpoints wrote.
type goBack struct{ wentAt, rewrittenAt time.Time }

// drain is the time from which on an endpoint drains, until it starts again after a crash.
type drain struct {
	endpoint  *endpoint
	startedAt time.Time
}

// sendStoreBack makes the store go away and come back from an older copy. In half of the cases the copy is just older than the
// last change of the lease's holder, if it changed lately, and in half of them an endpoint that drains since before is ready
// in the copy. Only one such fault runs at a time.
func (s *Soak) sendStoreBack() {
	random := s.backRandom
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	age, away := between(200*time.Millisecond, maxCopyAge), between(50*time.Millisecond, maxAwayTime)
	delays := map[string]time.Duration{"config": between(0, maxRewriteDelay), afplatform.KindEndpoints: between(0, maxRewriteDelay)}
	hasExtra, isEngine, lead, model := random.IntN(2) == 0, random.IntN(2) == 0, between(time.Second, maxDrainLead), modelNames[random.IntN(len(modelNames))]
	losesHolder, earlier := random.IntN(2) == 0, between(0, maxEarlierTime)
	s.mu.Lock()
	isGoingBack := s.isGoingBack
	s.isGoingBack = true
	s.mu.Unlock()
	if isGoingBack {
		return
	}
	s.recoveries.Go(func() {
		if hasExtra {
			if e := s.addExtraEndpoint(isEngine, model); e != nil {
				time.Sleep(extraReadyTime)
				s.drainEndpoint(e)
				time.Sleep(lead)
				defer func() {
					time.Sleep(minFaultFreeTime)
					s.fleet.killEndpoint(e)
				}()
			}
		}
		if changed, ok := s.holderAge(); ok && losesHolder {
			age = changed + earlier
		}
		s.goBack(age, away, delays)
		s.mu.Lock()
		s.isGoingBack = false
		s.mu.Unlock()
	})
}

// holderAge returns how long ago the lease got its holder, if that is within maxCopyAge.
func (s *Soak) holderAge() (age time.Duration, ok bool) {
	holder := ""
	age, ok = s.fleet.store.AgeOf("leases", "placement", func(spec json.RawMessage) bool {
		var lease struct{ Holder string }
		if json.Unmarshal(spec, &lease) != nil {
			return false
		}
		if holder == "" {
			holder = lease.Holder // What the latest write replaced.
		}
		return lease.Holder != holder
	})
	return age, ok && age < maxCopyAge
}

// goBack makes the store go away for a while and come back from a copy of an age. What is written from outside the system is
// written again after the delays, by kind.
func (s *Soak) goBack(age, away time.Duration, delays map[string]time.Duration) {
	store := s.fleet.store
	s.logEvent("store goes back %v after %v away", age.Round(time.Millisecond), away.Round(time.Millisecond))
	wentAt := time.Now()
	store.GoAway()
	time.Sleep(away)
	store.ComeBack(age)
	var wg sync.WaitGroup
	for kind, delay := range delays {
		wg.Go(func() {
			time.Sleep(delay)
			store.WriteAgain(kind)
		})
	}
	wg.Wait()
	s.logEvent("store has what others wrote")
	s.mu.Lock()
	s.goBacks = append(s.goBacks, goBack{wentAt, time.Now()})
	s.mu.Unlock()
}

// addExtraEndpoint adds an extra endpoint. An engine holds the model.
func (s *Soak) addExtraEndpoint(isEngine bool, model string) *endpoint {
	service, models := "app", []string(nil)
	if isEngine {
		service, models = "llm", modelNames
	}
	e, err := s.fleet.startEndpoint(service, models, func(e *endpoint) { e.isExtra = true })
	if err != nil {
		s.reportViolation("SOAK", "endpoint not added: %v", err)
		return nil
	}
	if isEngine {
		e.AddModel(model)
	}
	e.WriteEntry("ready")
	s.logEvent("add endpoint %s", e.ID)
	return e
}

// drainEndpoint makes the entry of an endpoint say that it drains.
func (s *Soak) drainEndpoint(e *endpoint) {
	s.logEvent("drain endpoint %s", e.ID)
	e.WriteEntry("draining")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains = append(s.drains, drain{e, time.Now()})
}

// knownFrom returns from when on the VM of a request must know a change of the store. If the store went back before, the VM
// may have to wait until the change is written again.
func (s *Soak) knownFrom(changedAt time.Time, req call) time.Time {
	known := changedAt.Add(configApplyTimeout)
	if recovered := req.sentAt.Add(minFaultFreeTime - req.vmFaultFreeTime); recovered.After(known) {
		known = recovered
	}
	for _, g := range s.goBacks {
		if again := g.rewrittenAt.Add(minFaultFreeTime); g.wentAt.Before(known) && again.After(known) {
			known = again
		}
	}
	return known
}

// checkDrains checks that VMs that know that an endpoint drains send it no new requests, also if the store goes back and says
// that the endpoint is ready.
func (s *Soak) checkDrains() {
	for _, d := range s.drains {
		until := time.Now()
		if i := slices.IndexFunc(d.endpoint.restarts, d.startedAt.Before); i >= 0 {
			until = d.endpoint.restarts[i] // It is ready again.
		}
		for _, e := range s.executionsAt(d.endpoint.ID, period{d.startedAt, until}) {
			if e.call.sentAt.After(s.knownFrom(d.startedAt, e.call)) {
				s.reportViolation("DRAIN", "request %s from %s ran at %s, which drains for %v", e.call.id, e.call.vm.name, d.endpoint.ID, e.at.Sub(d.startedAt))
			}
		}
	}
}

// checkConfigReverts checks that no process uses an older configuration after a newer one. The answers to requests with
// revokedKey tell whether a process has applied an even or an odd number of its toggles, so that each answer gives the least
// number of toggles that the process knows then.
func (s *Soak) checkConfigReverts() {
	byProcess := map[vmStart][]call{}
	for _, req := range s.callers.calls {
		if req.key == revokedKey && (req.status == http.StatusOK || req.status == http.StatusUnauthorized) {
			process := vmStart{req.vm, req.vmStartCount}
			byProcess[process] = append(byProcess[process], req)
		}
	}
	for _, calls := range byProcess {
		slices.SortFunc(calls, func(a, b call) int { return cmp.Compare(a.endedAt.UnixNano(), b.endedAt.UnixNano()) })
		known := make([]int, len(calls))
		for i, req := range calls {
			for j := range i {
				if calls[j].endedAt.Before(req.sentAt) {
					known[i] = max(known[i], known[j])
				}
			}
			if isRefused := req.status == http.StatusUnauthorized; isRefused != (known[i]%2 == 1) {
				known[i]++
			}
			toggles := 0
			for toggles < len(s.keyToggles) && s.keyToggles[toggles].Before(req.endedAt) {
				toggles++
			}
			if known[i] > toggles {
				s.reportViolation("REVERT", "request %s at %s: status %d after %d changes of its key, of which the process knew %d", req.id, req.vm.name, req.status, toggles, known[i]-1)
				break
			}
		}
	}
}
