package afsoak

import (
	"net/http"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	// noticeOwnTime is the time after an answer from which on the VM that got it must act on what the endpoint said, and
	// noticeOthersTime that of the other VMs.
	noticeOwnTime    = 500 * time.Millisecond
	noticeOthersTime = 2 * time.Second
	// maxPauseArrivals is the number of calls of a process of a VM that may reach an endpoint later than that in a pause.
	maxPauseArrivals = 2
)

// pauseArrival is a call that arrived at an endpoint in a pause. HasFault tells that the VM may not get the answer.
type pauseArrival struct {
	afplatform.PauseArrival
	hasFault bool
}

// recordPauseArrival stores a call that arrived at an endpoint in a pause.
func (f *fleet) recordPauseArrival(e *endpoint, a afplatform.PauseArrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pauseArrivals = append(f.pauseArrivals, pauseArrival{a, e.proxy.currentFault() != NoFault})
}

// letEndpointLeave adds an endpoint and makes another of the same service say that it leaves, while its entry says ready. It ends
// some seconds later.
func (s *Soak) letEndpointLeave() {
	live := slices.Concat(s.fleet.liveEndpoints("llm"), s.fleet.liveEndpoints("app"))
	e := live[s.noticeRandom.IntN(len(live))]
	duration := 3*time.Second + time.Duration(s.noticeRandom.Int64N(int64(3*time.Second)))
	if e.IsLeaving.Swap(true) {
		return
	}
	var models []string
	if e.Service == "llm" {
		models = modelNames
	}
	if err := s.fleet.addEndpoint(e.Service, models); err != nil {
		s.reportViolation("SOAK", "endpoint not added: %v", err)
	}
	s.logEvent("endpoint %s says that it leaves", e.ID)
	s.recoveries.Go(func() {
		time.Sleep(duration)
		s.fleet.killEndpoint(e)
	})
}

// pauseEndpoint makes an endpoint ask for a pause.
func (s *Soak) pauseEndpoint() {
	live := slices.Concat(s.fleet.liveEndpoints("llm"), s.fleet.liveEndpoints("app"))
	e := live[s.noticeRandom.IntN(len(live))]
	duration := time.Duration(1+s.noticeRandom.IntN(40)) * 100 * time.Millisecond
	s.logEvent("endpoint %s asks for a pause of %v", e.ID, duration)
	e.BeginPause(duration)
	s.recoveries.Go(func() { time.Sleep(duration) })
}

// checkLeaving checks that no endpoint runs a request that its caller sent after the VM had got an answer of the endpoint that says
// that it leaves, or some time after another VM had.
func (s *Soak) checkLeaving() {
	ownKnown, known := map[string]map[vmStart]time.Time{}, map[string]time.Time{}
	each := func(fn func(c call, endpointID string)) {
		for _, c := range s.callers.calls {
			for _, r := range s.fleet.executions[c.id] {
				if r.SaidLeaving {
					fn(c, r.EndpointID)
				}
			}
		}
	}
	runs, late := 0, 0
	each(func(c call, id string) {
		runs++
		if c.status != http.StatusOK || !c.isComplete || len(s.fleet.executions[c.id]) > 1 {
			return
		}
		if ownKnown[id] == nil {
			ownKnown[id] = map[vmStart]time.Time{}
		}
		by := vmStart{c.vm, c.vmStartCount}
		if at, ok := ownKnown[id][by]; !ok || c.endedAt.Before(at) {
			ownKnown[id][by] = c.endedAt
		}
		if at, ok := known[id]; !ok || c.endedAt.Before(at) {
			known[id] = c.endedAt
		}
	})
	each(func(c call, id string) {
		own, hasOwn := ownKnown[id][vmStart{c.vm, c.vmStartCount}]
		other, hasOther := known[id]
		switch {
		case hasOwn && c.sentAt.Sub(own) >= noticeOwnTime:
			s.reportViolation("LEAVING", "request %s at %s ran at %s %v after the VM had got its answer", c.id, c.vm.name, id, c.sentAt.Sub(own))
		case hasOther && c.sentAt.Sub(other) >= noticeOthersTime && c.vmFaultFreeTime >= minFaultFreeTime:
			s.reportViolation("LEAVING", "request %s at %s ran at %s %v after another VM had got its answer", c.id, c.vm.name, id, c.sentAt.Sub(other))
		default:
			return
		}
		late++
	})
	s.logEvent("%d requests ran at %d endpoints that said that they leave, %d of them late", runs, len(known), late)
}

// checkPauses checks that few requests of each process of a VM reach an endpoint in a pause after the VM or, some time before,
// another one has got its answer.
func (s *Soak) checkPauses() {
	type pauseID struct {
		endpointID string
		begin      time.Time
	}
	type pauseAtVM struct {
		pauseID
		vmStart
	}
	callByID := make(map[string]call, len(s.callers.calls))
	for _, c := range s.callers.calls {
		callByID[c.id] = c
	}
	first, ownFirst, late := map[pauseID]time.Time{}, map[pauseAtVM]time.Time{}, map[pauseAtVM]int{}
	for _, a := range s.fleet.pauseArrivals {
		c, ok := callByID[a.RequestID]
		if !ok || a.hasFault || c.hadFault {
			continue // Calls for reports name no VM.
		}
		id := pauseID{a.EndpointID, a.PauseBegin}
		at := pauseAtVM{id, vmStart{c.vm, c.vmStartCount}}
		own, hasOwn := ownFirst[at]
		switch {
		case hasOwn && a.At.Sub(own) >= noticeOwnTime, !first[id].IsZero() && a.At.Sub(first[id]) >= noticeOthersTime && c.vmFaultFreeTime >= minFaultFreeTime:
			if late[at]++; late[at] == maxPauseArrivals+1 {
				s.reportViolation("PAUSE", "%s sent more than %d requests to %s in a pause that it knew", c.vm.name, maxPauseArrivals, a.EndpointID)
			}
		}
		if !hasOwn {
			ownFirst[at] = a.At
		}
		if first[id].IsZero() {
			first[id] = a.At
		}
	}
	s.logEvent("%d requests reached %d endpoints in pauses", len(s.fleet.pauseArrivals), len(first))
}
