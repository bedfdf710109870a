package afdispatch

import (
	"time"

	"arbutusfork.example/arbutusfork"
)

// estimatePeriod is how often waiting requests are compared with the estimates of their models.
const estimatePeriod = 250 * time.Millisecond

// refuseHopeless refuses waiting requests whose model has a new estimate that is beyond their deadline. The first
// requests of a cold start arrive before there is an estimate. One that has not changed is not used again, since it
// does not run down when its publisher is gone.
func (s *Service) refuseHopeless(now time.Time) {
	if s.EstimateReady == nil || now.Sub(s.state.estimated) < estimatePeriod {
		return
	}
	s.state.estimated = now
	next := make(map[string]time.Duration)
	for id, w := range s.state.waiters {
		class := w.request.class()
		d, seen := next[class]
		if !seen {
			if d = s.ready(class); d > 0 {
				next[class] = d
			}
		}
		if d == 0 || d == s.state.estimates[class] || d <= w.request.Deadline.Sub(now) {
			continue
		}
		s.state.queue.Remove(id)
		s.leave(w)
		s.refuse(w, tooLate(d))
	}
	s.state.estimates = next
}

// ready returns the estimate for a model without a replica, or zero.
func (s *Service) ready(class string) time.Duration {
	if len(s.present(class)) > 0 {
		return 0
	}
	d, _ := s.EstimateReady(class)
	return d
}

func tooLate(d time.Duration) *arbutusfork.Refusal {
	return arbutusfork.NewRefusal(arbutusfork.CodeDeadlineExceeded,
		"the model cannot answer within the deadline; expected wait "+d.Round(time.Millisecond).String()).WithRetryAfter(d)
}
