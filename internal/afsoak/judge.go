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
	quotaWindow = 8 * time.Second
	// quotaOver and quotaSlack are the platform's bounds of the limit.
	quotaOver  = 1.1
	quotaSlack = 2000
)

// judge checks what endpoints saw against what callers were told.
func (s *Soak) judge() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	statuses := map[string]int{}
	for _, x := range s.callers.calls {
		runs := s.fleet.runs[x.id]
		unsafe := strings.HasPrefix(x.path, "/pay/") || strings.HasPrefix(x.path, "/note/")
		if unsafe && len(runs) > 1 {
			s.violation("TWICE", "request %s ran %d times", x.id, len(runs))
		}
		if unsafe && len(runs) > 0 && (x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests) {
			s.violation("REFUSED", "request %s was answered %d and ran at %s", x.id, x.status, runs[0].EndpointID)
		}
		for _, r := range runs {
			if r.Customer != x.customer {
				s.violation("UNASKED", "request %s of customer %q ran for %q", x.id, x.customer, r.Customer)
			}
		}
		s.judgeKey(x)
		s.judgeStop(x)
		outcome := fmt.Sprint(x.status)
		if x.status == 0 || !x.whole {
			outcome = "broken"
		}
		statuses[outcome]++
	}
	s.judgeLimit()
	s.judgeOrders()
	s.note("%d requests: %v", len(s.callers.calls), statuses)
}

// judgeKey checks that a withdrawn key stops working at VMs that are unharmed.
func (s *Soak) judgeKey(x call) {
	if x.key != revokedKey || x.status != http.StatusOK || x.calm < contact {
		return
	}
	for _, w := range s.withdrawn {
		if x.sent.After(w.from.Add(applyTime)) && (w.to.IsZero() || x.sent.Before(w.to)) {
			s.violation("CONFIG", "request %s at %s ran %v after its key was withdrawn", x.id, x.vm.name, x.sent.Sub(w.from))
		}
	}
}

// judgeStop checks that a planned stop cuts no request that the process had read.
func (s *Soak) judgeStop(x call) {
	if x.status != 0 || x.err == nil || strings.Contains(x.err.Error(), "refused") {
		return
	}
	for _, t := range s.stops {
		read := x.ended.Sub(x.sent) > lossSlack
		if t.vm == x.vm && t.life == x.life && x.sent.After(t.at.Add(-time.Second)) && x.sent.Before(t.at.Add(graceTime)) && x.calm >= contact && read {
			s.violation("LOST", "request %s at %s: %v, %v after the stop", x.id, x.vm.name, x.err, x.sent.Sub(t.at))
		}
	}
}

// judgeLimit checks the limited customer's requests in every window.
func (s *Soak) judgeLimit() {
	var at []time.Time
	for _, runs := range s.fleet.runs {
		for _, r := range runs {
			if r.Customer == limitedCustomer {
				at = append(at, r.ExecutedAt)
			}
		}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return a.Compare(b) })
	most := (limitedRate*quotaWindow.Seconds()+limitedBurst)*quotaOver + quotaSlack
	from := 0
	for i, t := range at {
		for at[from].Before(t.Add(-quotaWindow)) {
			from++
		}
		if sum := float64((i - from + 1) * requestTokens); sum > most {
			s.violation("QUOTA", "%.0f tokens ran within %v, the bound is %.0f", sum, quotaWindow, most)
			return
		}
	}
}

// judgeOrders checks the orders that each engine received.
func (s *Soak) judgeOrders() {
	holders := map[int64]string{}
	for _, e := range s.fleet.endpoints {
		orders, over := e.Orders()
		if over {
			s.violation("LIMIT", "engine %s was ordered to load more than its memory holds", e.ID)
		}
		var last afplatform.Order
		for _, o := range orders {
			if by, ok := holders[o.Fence]; ok && by != o.Holder {
				s.violation("ONE", "epoch %d was used by %s and %s", o.Fence, by, o.Holder)
			}
			holders[o.Fence] = o.Holder
			if o.Fence < last.Fence {
				s.violation("ONE", "engine %s: epoch %d after %d", e.ID, o.Fence, last.Fence)
			}
			if last.Holder != "" && machineOf(o.Holder) != machineOf(last.Holder) && o.At.Sub(last.At) < quietTime {
				s.violation("ONE", "engine %s: %s ordered %v after %s", e.ID, o.Holder, o.At.Sub(last.At), last.Holder)
			}
			last = o
		}
	}
}

// machineOf returns the VM of a holder.
func machineOf(holder string) string {
	vm, _, _ := strings.Cut(holder, "/")
	return vm
}
