package afsoak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

// notRunStatuses are the statuses that promise the caller that its request did not run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// deadlineSlack is how long before a route's timeout an answer may end because of it.
const deadlineSlack = 300 * time.Millisecond

// stopIntakeTime is how long after SIGTERM the platform may leave a request out of what a planned stop must not cut.
const stopIntakeTime = 3 * time.Second

// endpointFault is a period in which an endpoint may break off answers or delay them without end.
type endpointFault struct {
	endpointID string
	period
}

func (f *fleet) beginEndpointFault(e *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpointFaults = append(f.endpointFaults, endpointFault{e.ID, period{startedAt: time.Now()}})
}

// endEndpointFault ends the oldest fault of the endpoint. It may belong to a later one that lasts, whose period then begins earlier
// than it did.
func (f *fleet) endEndpointFault(e *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.endpointFaults {
		if fault := &f.endpointFaults[i]; fault.endpointID == e.ID && fault.endedAt.IsZero() {
			fault.endedAt = time.Now()
			return
		}
	}
}

func (s *Soak) beginProxyFault(e *endpoint, fault ProxyFault) {
	s.fleet.beginEndpointFault(e)
	e.proxy.setFault(fault)
}

func (s *Soak) endProxyFault(e *endpoint) {
	e.proxy.setFault(NoFault)
	s.fleet.endEndpointFault(e)
}

// recordArrival stores when a request arrived at an endpoint.
func (f *fleet) recordArrival(requestID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals[requestID] = append(f.arrivals[requestID], time.Now())
}

// serviceOf returns the service of an endpoint. The caller holds mu.
func (f *fleet) serviceOf(endpointID string) string {
	for _, e := range f.endpoints {
		if e.ID == endpointID {
			return e.Service
		}
	}
	return ""
}

// serviceOfRoute returns the service that the configuration names for the route of a path.
func serviceOfRoute(path string) string {
	if strings.HasPrefix(path, "/talk/") || strings.HasPrefix(path, "/note/") {
		return "llm"
	}
	return "app"
}

// checkCut checks that no answer ends early, and no request that was read goes unanswered, unless an endpoint that ran it had a
// fault meanwhile, the VM was killed or frozen, or the deadline was reached, or a planned stop ended an answer as ranUntilStop says. The caller holds the locks of fleet and callers.
func (s *Soak) checkCut(req call, executions []afplatform.ExecutedRequest) {
	took := req.endedAt.Sub(req.sentAt)
	isCut := req.status == http.StatusOK && !req.isComplete && !s.ranUntilStop(req)
	isUnanswered := req.status == 0 && req.err != nil && len(executions) > 0 && took > requestTransferTime
	timeout := plainRouteTimeout
	if serviceOfRoute(req.path) == "llm" {
		timeout = streamRouteTimeout
	}
	if !isCut && !isUnanswered || took >= timeout-deadlineSlack || req.vm.wasHalted(req.sentAt, req.endedAt) {
		return
	}
	for _, r := range executions {
		if s.fleet.hadEndpointFault(r.EndpointID, req.sentAt, req.endedAt) {
			return
		}
	}
	var at []string
	for _, r := range executions {
		at = append(at, r.EndpointID)
	}
	s.reportViolation("CUT", "request %s %s at %s: status %d, %d bytes, %v, %v after it was sent; it ran at %v, which had no fault", req.id, req.path, req.vm.name, req.status, len(req.body), req.err, took.Round(time.Millisecond), at)
}

// ranUntilStop reports whether an answer was cut in the last sixth of the grace period of a planned stop, after its request was sent within
// stopIntakeTime of the signal. A VM takes requests as long as the load balancer may send them, and their endpoint may fall silent.
func (s *Soak) ranUntilStop(req call) bool {
	return slices.ContainsFunc(s.plannedStops, func(stop plannedStop) bool {
		return stop.vm == req.vm && stop.vmStartCount == req.vmStartCount && !req.sentAt.After(stop.stoppedAt.Add(stopIntakeTime)) &&
			!req.endedAt.Before(stop.stoppedAt.Add(gracePeriod-gracePeriod/6))
	})
}

// wasHalted reports whether the process was killed or frozen, or thawed, in a period.
func (v *vm) wasHalted(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.halts, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// hadEndpointFault reports whether an endpoint had a fault in a period. The caller holds mu.
func (f *fleet) hadEndpointFault(id string, from, to time.Time) bool {
	return slices.ContainsFunc(f.endpointFaults, func(e endpointFault) bool {
		return e.endpointID == id && !e.startedAt.After(to) && (e.endedAt.IsZero() || !e.endedAt.Before(from))
	})
}
