package afsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork/internal/afstandin/afplatform"
)

const (
	// quotaWindow is the length of the sliding window in which the tokens of limitedCustomer are counted.
	quotaWindow = 8 * time.Second
	// quotaTolerance is the factor by which the platform allows a customer to exceed its limit.
	quotaTolerance = 1.1
	// maxLateCrashRequests is the number of requests with crashPart that may reach engines long after the fifth crash.
	maxLateCrashRequests = 3
	// quotaSlackTokens is the number of tokens that the platform allows beyond quotaTolerance.
	quotaSlackTokens = 2000
	// orderDelayTolerance is the time after the end of a freeze or cut of a VM within which the platform does not count its orders
	// as turns: the VM may have decided on them before.
	orderDelayTolerance = 300 * time.Millisecond
)

// checkResults compares the requests that the endpoints executed with the responses that the callers received.
func (s *Soak) checkResults() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	countByOutcome := map[string]int{}
	for _, req := range s.callers.calls {
		executions := s.fleet.executions[req.id]
		isUnsafe := strings.HasPrefix(req.path, "/pay/") || strings.HasPrefix(req.path, "/note/")
		if isUnsafe && len(executions) > 1 {
			s.reportViolation("TWICE", "request %s ran %d times", req.id, len(executions))
		}
		s.checkStatus(req, executions)
		for _, r := range executions {
			if service := s.fleet.serviceOf(r.EndpointID); service != serviceOfRoute(req.path) {
				s.reportViolation("SERVICE", "request %s %s ran at %s of the service %s", req.id, req.path, r.EndpointID, service)
			}
			if r.Customer != req.customer {
				s.reportViolation("UNASKED", "request %s of customer %q ran for %q", req.id, req.customer, r.Customer)
			}
		}
		s.checkWithdrawnKey(req)
		s.checkPlannedStops(req)
		s.checkCut(req, executions)
		outcome := fmt.Sprint(req.status)
		if req.status == 0 || !req.isComplete {
			outcome = "broken"
		}
		countByOutcome[outcome]++
	}
	s.checkCustomerLimit()
	s.checkCrashPart()
	s.checkNamedLimits()
	s.checkLeaving()
	s.checkPauses()
	s.checkOrders()
	s.checkConfigReverts()
	s.checkDrains()
	s.checkRetryBudget()
	s.logFailures()
	s.logEvent("%d requests: %v", len(s.callers.calls), countByOutcome)
}

// checkWithdrawnKey checks that VMs without a recent fault reject a withdrawn key once configApplyTimeout has passed.
func (s *Soak) checkWithdrawnKey(req call) {
	if req.key != revokedKey || req.status != http.StatusOK {
		return
	}
	for _, withdrawal := range s.keyWithdrawals {
		if req.sentAt.After(s.knownFrom(withdrawal.startedAt, req)) && (withdrawal.endedAt.IsZero() || req.sentAt.Before(withdrawal.endedAt)) {
			s.reportViolation("CONFIG", "request %s at %s ran %v after its key was withdrawn", req.id, req.vm.name, req.sentAt.Sub(withdrawal.startedAt))
		}
	}
}

// checkPlannedStops checks that a planned stop aborts no request that the process had read, unless a fault follows before the
// request ends. A request counts as read if its connection failed more than requestTransferTime after the request was sent. A
// request with a large body may not have been read by then; checkCut covers those that ran.
func (s *Soak) checkPlannedStops(req call) {
	if req.status != 0 || req.err == nil || req.hadFault || req.hasLargeBody || strings.Contains(req.err.Error(), "refused") {
		return
	}
	for _, stop := range s.plannedStops {
		wasRead := req.endedAt.Sub(req.sentAt) > requestTransferTime
		if stop.vm == req.vm && stop.vmStartCount == req.vmStartCount && req.sentAt.After(stop.stoppedAt.Add(-time.Second)) && req.sentAt.Before(stop.stoppedAt.Add(gracePeriod)) && req.vmFaultFreeTime >= minFaultFreeTime && wasRead {
			s.reportViolation("LOST", "request %s at %s: %v, %v after the stop", req.id, req.vm.name, req.err, req.sentAt.Sub(stop.stoppedAt))
		}
	}
}

// checkCustomerLimit checks that the tokens that limitedCustomer used in every quotaWindow stay within the bound.
func (s *Soak) checkCustomerLimit() {
	var executedAt []time.Time
	for _, executions := range s.fleet.executions {
		for _, r := range executions {
			if r.Customer == limitedCustomer {
				executedAt = append(executedAt, r.ExecutedAt)
			}
		}
	}
	slices.SortFunc(executedAt, func(a, b time.Time) int { return a.Compare(b) })
	maxTokens := (limitedTokensPerSecond*quotaWindow.Seconds()+limitedBurstTokens)*quotaTolerance + quotaSlackTokens
	first := 0
	for i, t := range executedAt {
		for executedAt[first].Before(t.Add(-quotaWindow)) {
			first++
		}
		if tokens := float64((i - first + 1) * requestTokens); tokens > maxTokens {
			s.reportViolation("QUOTA", "%.0f tokens ran within %v, the bound is %.0f", tokens, quotaWindow, maxTokens)
			return
		}
	}
}

// checkCrashPart checks that VMs without a recent fault send few requests with crashPart to engines after the fifth crash.
func (s *Soak) checkCrashPart() {
	s.logEvent("%d crashes of engines under a part of prompts", len(s.fleet.crashedAt))
	if len(s.fleet.crashedAt) < 5 {
		return
	}
	late := 0
	for _, req := range s.callers.calls {
		for _, r := range s.fleet.executions[req.id] {
			if req.hasCrashPart && req.vmFaultFreeTime >= minFaultFreeTime && r.ExecutedAt.Sub(s.fleet.crashedAt[4]) > minFaultFreeTime {
				late++
			}
		}
	}
	if late > maxLateCrashRequests {
		s.reportViolation("BUDGET", "%d requests with the part that crashes engines ran later than %v after the fifth of %d crashes", late, minFaultFreeTime, len(s.fleet.crashedAt))
	}
}

// checkOrders checks the placement orders that each engine received: memory is never overcommitted, each epoch has one
// holder, epochs never decrease, and at least LeaseDuration passes between the orders of holders on different VMs that count
// as turns.
func (s *Soak) checkOrders() {
	holderByEpoch := map[int64]string{}
	vmByName := map[string]*vm{}
	for _, v := range s.fleet.vms {
		vmByName[v.name] = v
	}
	delayedCount := 0
	for _, e := range s.fleet.endpoints {
		orders, wasOverloaded := e.Orders()
		if wasOverloaded {
			s.reportViolation("LIMIT", "engine %s was ordered to load more than its memory holds", e.ID)
		}
		var previous, turn afplatform.Order
		for _, o := range orders {
			if holder, ok := holderByEpoch[o.Fence]; ok && holder != o.Holder {
				s.reportViolation("ONE", "epoch %d was used by %s and %s", o.Fence, holder, o.Holder)
			}
			holderByEpoch[o.Fence] = o.Holder
			if o.Fence < previous.Fence {
				s.reportViolation("ONE", "engine %s: epoch %d after %d", e.ID, o.Fence, previous.Fence)
			}
			previous = o
			if v := vmByName[vmOfHolder(o.Holder)]; v != nil && v.wasDelayed(o.At) {
				delayedCount++
				continue
			}
			if turn.Holder != "" && vmOfHolder(o.Holder) != vmOfHolder(turn.Holder) && o.At.Sub(turn.At) < s.LeaseDuration {
				s.reportViolation("ONE", "engine %s: %s ordered %v after %s", e.ID, o.Holder, o.At.Sub(turn.At), turn.Holder)
			}
			turn = o
		}
	}
	s.logEvent("%d orders within %v after a freeze or cut of their sender", delayedCount, orderDelayTolerance)
}

// endDelay ends a freeze or a fault of the connections to the store and records when.
func (v *vm) endDelay(endFault func()) {
	v.mu.Lock()
	v.delayEnds = append(v.delayEnds, time.Now())
	v.mu.Unlock()
	endFault()
	v.setFaulty(false)
}

// wasDelayed reports whether a freeze or a fault of the connections to the store ended within orderDelayTolerance before at.
func (v *vm) wasDelayed(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.delayEnds, func(end time.Time) bool { return !at.Before(end) && at.Sub(end) <= orderDelayTolerance })
}

// vmOfHolder returns the name of the VM from the name of a lease holder, which has the form "VM/...".
func vmOfHolder(holder string) string {
	vm, _, _ := strings.Cut(holder, "/")
	return vm
}
