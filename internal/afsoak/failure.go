package afsoak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	// minFailureTime and maxFailureTime bound how long an endpoint fails every second request.
	minFailureTime, maxFailureTime = time.Second, 4 * time.Second
	// longFailureBytes is the length of a body that a gateway passes on as it arrives.
	longFailureBytes = 100 << 10
)

// failEndpoint makes an endpoint run requests and answer them with a status that says nothing about that, or promises the contrary.
func (s *Soak) failEndpoint() {
	random := s.failureRandom
	live := slices.Concat(s.fleet.liveEndpoints("llm"), s.fleet.liveEndpoints("app"))
	e := live[random.IntN(len(live))]
	failure := &afplatform.Failure{
		Status:     []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError}[random.IntN(4)],
		RetryAfter: []string{"", "0.2"}[random.IntN(2)], BodyBytes: []int{0, 6, longFailureBytes}[random.IntN(3)], IsStream: random.IntN(2) == 0, IsChunked: random.IntN(2) == 0,
	}
	duration := minFailureTime + time.Duration(random.Int64N(int64(maxFailureTime-minFailureTime)))
	s.logEvent("endpoint %s answers requests that ran with %+v", e.ID, *failure)
	e.SetFailure(failure)
	s.endLater(duration, func() { e.SetFailure(nil) })
}

// checkStatus checks that no request that ran got a status that promises the contrary, and that an answer with a signature has the
// status that an endpoint gave. A request that may be repeated may get such a status from its endpoint.
func (s *Soak) checkStatus(req call, executions []afplatform.ExecutedRequest) {
	isOfEndpoint := req.isSigned && slices.ContainsFunc(executions, func(r afplatform.ExecutedRequest) bool { return r.FailureStatus == req.status })
	if req.isSigned && req.status != http.StatusOK && !isOfEndpoint {
		s.reportViolation("MIXED", "request %s %s: status %d bears a signature, and no endpoint gave it", req.id, req.path, req.status)
	}
	isRepeatable := strings.HasPrefix(req.path, "/talk/") || strings.HasPrefix(req.path, "/look/")
	if len(executions) > 0 && slices.Contains(notRunStatuses, req.status) && (!isRepeatable || !isOfEndpoint) {
		s.reportViolation("REFUSED", "request %s %s was answered %d and ran at %s", req.id, req.path, req.status, executions[0].EndpointID)
	}
}

// logFailures prints how many requests ran and were answered with a failure, and how many of them must not run twice.
func (s *Soak) logFailures() {
	failed, unsafe := 0, 0
	for _, req := range s.callers.calls {
		for _, r := range s.fleet.executions[req.id] {
			if r.FailureStatus == 0 {
				continue
			}
			failed++
			if strings.HasPrefix(req.path, "/pay/") || strings.HasPrefix(req.path, "/note/") {
				unsafe++
			}
		}
	}
	s.logEvent("%d requests ran and were answered with a failure, %d of them must not run twice", failed, unsafe)
}
