package afsoak

import (
	"net/http"
	"slices"
	"time"
)

const (
	// limitWindow is the length of the sliding window in which requests to an endpoint that named a limit are counted, and
	// limitSlackRequests the number allowed beyond one and a half times the limit.
	limitWindow        = 4 * time.Second
	limitSlackRequests = 5
	// limitKnownTime is the time after an answer with a limit from which on the VM that passed it on must keep the limit.
	limitKnownTime = 500 * time.Millisecond
)

// limitPeriod is a period in which an endpoint named a limit, in requests a second.
type limitPeriod struct {
	period
	endpointID string
	perSecond  int64
}

// limitEndpoint makes an endpoint name a limit for some seconds.
func (s *Soak) limitEndpoint() {
	live := slices.Concat(s.fleet.liveEndpoints("llm"), s.fleet.liveEndpoints("app"))
	e := live[s.limitRandom.IntN(len(live))]
	limit := 1 + s.limitRandom.Int64N(3)
	duration := 5*time.Second + time.Duration(s.limitRandom.Int64N(int64(4*time.Second)))
	if !e.NamedLimit.CompareAndSwap(0, limit) {
		return
	}
	s.logEvent("endpoint %s names the limit %d", e.ID, limit)
	startedAt := time.Now()
	s.recoveries.Go(func() {
		time.Sleep(duration)
		s.mu.Lock()
		s.limits = append(s.limits, limitPeriod{period{startedAt, time.Now()}, e.ID, limit})
		s.mu.Unlock()
		e.NamedLimit.Store(0)
	})
}

// checkNamedLimits checks that an endpoint that named a limit for a while gets at most one and a half times what it allows, and a
// few requests more, from VMs that have passed on an answer with the limit and had no fault lately.
func (s *Soak) checkNamedLimits() {
	s.mu.Lock()
	limits := s.limits
	s.mu.Unlock()
	for _, limit := range limits {
		knownSince := map[vmStart]time.Time{}
		var executedAt []time.Time
		for _, e := range s.executionsAt(limit.endpointID, limit.period) {
			if e.call.status == http.StatusOK && e.call.isComplete {
				if known, ok := knownSince[e.vmStart()]; !ok || e.call.endedAt.Before(known) {
					knownSince[e.vmStart()] = e.call.endedAt
				}
			}
		}
		for _, e := range s.executionsAt(limit.endpointID, limit.period) {
			known, ok := knownSince[e.vmStart()]
			if ok && e.at.Sub(known) >= limitKnownTime && e.at.Sub(limit.startedAt) >= minFaultFreeTime && e.call.vmFaultFreeTime >= minFaultFreeTime {
				executedAt = append(executedAt, e.at)
			}
		}
		allowed := int(1.5*float64(limit.perSecond)*limitWindow.Seconds()) + limitSlackRequests
		for i := range executedAt {
			if i >= allowed && executedAt[i].Sub(executedAt[i-allowed]) < limitWindow {
				s.reportViolation("LIMIT", "endpoint %s got more than %d requests within %v, its limit is %d a second", limit.endpointID, allowed, limitWindow, limit.perSecond)
				break
			}
		}
	}
}

// vmStart identifies a process of a VM.
type vmStart struct {
	vm         *vm
	startCount int
}

// execution is a call that an endpoint executed.
type execution struct {
	call call
	at   time.Time
}

func (e execution) vmStart() vmStart { return vmStart{e.call.vm, e.call.vmStartCount} }

// executionsAt returns the calls that an endpoint executed in a period, by time.
func (s *Soak) executionsAt(endpointID string, during period) []execution {
	var out []execution
	for _, req := range s.callers.calls {
		for _, r := range s.fleet.executions[req.id] {
			if r.EndpointID == endpointID && r.ExecutedAt.After(during.startedAt) && r.ExecutedAt.Before(during.endedAt) {
				out = append(out, execution{req, r.ExecutedAt})
			}
		}
	}
	slices.SortFunc(out, func(a, b execution) int { return a.at.Compare(b.at) })
	return out
}
