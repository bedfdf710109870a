package afdispatch

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

// estimateCheckInterval is the least time between two comparisons of the waiting requests with the estimates of their
// models.
const estimateCheckInterval = 250 * time.Millisecond

// refuseUnservable refuses waiting requests whose model will be ready only after their deadline, by an estimate that is
// new. It is needed because the first requests of a cold start arrive before there is an estimate. An estimate that has not
// changed since the last comparison is not used again: it does not count down when the VM that publishes it is gone.
func (s *Service) refuseUnservable(now time.Time) {
	if s.EstimateReady == nil || now.Sub(s.state.estimatedAt) < estimateCheckInterval {
		return
	}
	s.state.estimatedAt = now
	newEstimates := make(map[string]time.Duration)
	for id, w := range s.state.waiters {
		class := w.request.queueClass()
		wait, isCached := newEstimates[class]
		if !isCached {
			if wait = s.estimateWithoutReplica(class); wait > 0 {
				newEstimates[class] = wait
			}
		}
		if wait == 0 || wait == s.state.lastEstimates[class] || wait <= w.request.Deadline.Sub(now) {
			continue
		}
		s.state.queue.Remove(id)
		s.removeWaiter(w)
		s.refuseWaiter(w, refusalTooLate(wait))
	}
	s.state.lastEstimates = newEstimates
}

// estimateWithoutReplica returns the estimated time until the class can be served, or zero if it has a replica or there is
// no estimate.
func (s *Service) estimateWithoutReplica(class string) time.Duration {
	if len(s.availableReplicas(class)) > 0 {
		return 0
	}
	d, _ := s.EstimateReady(class)
	return d
}

// refusalTooLate returns the refusal of a request that would wait for longer than until its deadline.
func refusalTooLate(d time.Duration) *arbutusfork.Refusal {
	return arbutusfork.NewRefusal(arbutusfork.CodeDeadlineExceeded,
		"the model cannot answer within the deadline; expected wait "+d.Round(time.Millisecond).String()).WithRetryAfter(d)
}
