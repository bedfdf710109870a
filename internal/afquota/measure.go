package afquota

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/aflimit"
)

// Scenario is a load of one customer on several VMs that depends only on its seed.
type Scenario struct {
	// VMs is the number of VMs.
	VMs int
	// Rate is the customer's rate in tokens per second.
	Rate int64
	// Burst is the customer's burst in tokens.
	Burst int64
	// LoadFactor is the rate of reserved tokens as a multiple of Rate.
	LoadFactor float64
	// ShiftInterval is the time after which the whole demand moves to the next VM. Zero spreads the demand over all
	// VMs.
	ShiftInterval time.Duration
	// DeathInterval is the time between deaths of VMs. Zero means that no VM dies.
	DeathInterval time.Duration
	// DeathListingDelay is the time from a VM's death until the platform's list shows it.
	DeathListingDelay time.Duration
	// RestartDelay is the time from a VM's death until it starts again. It is longer than DeathListingDelay.
	RestartDelay time.Duration
	// Duration is the length of the scenario.
	Duration time.Duration
	// LossPercent is the percentage of messages, of their answers, of platform writes and of their answers that are
	// lost.
	LossPercent int
	// UsesWholeReservation makes each request use all of its reserved tokens.
	UsesWholeReservation bool
	// SettlingTime is the time after each shift of the demand in which refusals are counted separately.
	SettlingTime time.Duration
	Seed         uint64
}

// ScenarioResult is the outcome of a scenario.
type ScenarioResult struct {
	OfferedRequests int64
	RefusedRequests int64
	// SingleBucketRefused is the number of requests that a single token bucket for all VMs refuses.
	SingleBucketRefused int64
	// RefusedWithinRate is the number of refused requests that the single bucket admits, without those in
	// RefusedWhileSettling.
	RefusedWithinRate int64
	// RefusedWhileSettling is the number of refused requests that the single bucket admits and that arrive within
	// SettlingTime of a shift.
	RefusedWhileSettling int64
	// PeakAboveRate is the highest number of tokens that any interval has admitted beyond the rate. The limit is kept
	// if it is at most the burst.
	PeakAboveRate int64
	// Messages is the number of messages between VMs.
	Messages int64
	// RecordWrites is the number of share record writes.
	RecordWrites int64
	// RecordReads is the number of share record reads.
	RecordReads int64
}

const (
	scenarioCustomer = "customer"
	minRequestTokens = 100
	maxRequestTokens = 900
	minServiceTime   = 200 * time.Millisecond
	maxServiceTime   = 4 * time.Second
)

// limitPolicy is a way to divide a customer's limit over the VMs.
type limitPolicy interface {
	// reserveTokens reserves tokens at a VM. It returns the function that settles the request, or nil for a refusal.
	// If the request would have waited for the next round of loan requests, the duration returned with nil is the
	// time after which to try again.
	reserveTokens(vm string, tokens int64) (func(actual int64), time.Duration)
	advanceBy(d time.Duration)
	runMaintenance()
	now() time.Duration
	killVM(vm string)
	markGone(vm string)
	startVM(vm string)
}

// MeasureLoans runs the scenario with base shares and loans.
func MeasureLoans(sc Scenario) ScenarioResult {
	f := newFleet(sc.VMs, arbutusfork.Customer{Name: scenarioCustomer, RatePerSecond: sc.Rate, Burst: sc.Burst})
	if lossRand := rand.New(rand.NewPCG(sc.Seed, 2)); sc.LossPercent > 0 {
		f.drawLoss = func() bool { return lossRand.IntN(100) < sc.LossPercent }
	}
	r := runScenario(sc, loanPolicy{f})
	r.Messages, r.RecordWrites, r.RecordReads = f.messageCount, f.lastVersion, f.readCount
	return r
}

// MeasureEqualSplit runs the scenario with a fixed equal split of the limit.
func MeasureEqualSplit(sc Scenario) ScenarioResult {
	return runScenario(sc, &equalSplitPolicy{scenario: sc, vms: make(map[string]*aflimit.Account)})
}

// loanPolicy divides the limit by base shares and loans.
type loanPolicy struct{ *fleet }

func (p loanPolicy) now() time.Duration { return p.fleet.now.Sub(time.Unix(0, 0)) }

func (p loanPolicy) startVM(vm string) { p.fleet.startVM(vm) }

func (p loanPolicy) reserveTokens(vm string, tokens int64) (func(int64), time.Duration) {
	s := p.running[vm]
	if s == nil {
		return nil, 0
	}
	p.requestedPause = 0
	r, refusal := s.ReserveTokens(context.Background(), scenarioCustomer, tokens)
	if refusal != nil {
		return nil, p.requestedPause
	}
	return r.Settle, 0
}

// equalSplitPolicy divides the limit into fixed equal shares.
type equalSplitPolicy struct {
	scenario Scenario
	elapsed  time.Duration
	vms      map[string]*aflimit.Account
}

func (p *equalSplitPolicy) now() time.Duration        { return p.elapsed }
func (p *equalSplitPolicy) advanceBy(d time.Duration) { p.elapsed += d }
func (p *equalSplitPolicy) runMaintenance()           {}
func (p *equalSplitPolicy) markGone(string)           {}
func (p *equalSplitPolicy) killVM(vm string)          { delete(p.vms, vm) }

func (p *equalSplitPolicy) startVM(vm string) {
	a := aflimit.NewAccount(p.scenario.limit(), p.elapsed)
	parts := aflimit.TotalParts / int64(p.scenario.VMs)
	a.SetBaseParts(parts, parts, p.elapsed)
	p.vms[vm] = a
}

func (p *equalSplitPolicy) reserveTokens(vm string, tokens int64) (func(int64), time.Duration) {
	a := p.vms[vm]
	if a == nil {
		p.startVM(vm)
		a = p.vms[vm]
	}
	r := a.ReserveTokens(tokens, p.elapsed)
	if r == nil {
		return nil, 0
	}
	return func(actual int64) { a.SettleReservation(r, actual, p.elapsed) }, 0
}

func (sc Scenario) limit() aflimit.Limit {
	return aflimit.Limit{Rate: aflimit.Tokens(sc.Rate), Burst: aflimit.Tokens(sc.Burst)}
}

// scenarioRun is a scenario in progress.
type scenarioRun struct {
	scenario Scenario
	rand     *rand.Rand
	policy   limitPolicy
	// singleBucket is a single bucket for all VMs that gets the same requests.
	singleBucket *aflimit.Account
	admissions   []admission
	liveVMs      []string
	events       eventHeap
	result       ScenarioResult
}

// runScenario runs the scenario with the policy.
func runScenario(sc Scenario, policy limitPolicy) ScenarioResult {
	r := &scenarioRun{scenario: sc, rand: rand.New(rand.NewPCG(sc.Seed, 1)), policy: policy, singleBucket: aflimit.NewAccount(sc.limit(), 0)}
	for i := range sc.VMs {
		r.liveVMs = append(r.liveVMs, "vm"+strconv.Itoa(i))
	}
	r.singleBucket.SetBaseParts(aflimit.TotalParts, aflimit.TotalParts, 0)
	r.scheduleEvery(loanMaintenanceInterval, policy.runMaintenance)
	// In the first seconds the VMs take their shares.
	r.scheduleAt(2*time.Second, r.offerRequest)
	if sc.DeathInterval > 0 {
		r.scheduleEvery(sc.DeathInterval, r.killOldestVM)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(timedEvent)
		if e.dueAt > sc.Duration {
			break
		}
		policy.advanceBy(e.dueAt - policy.now())
		e.fn()
	}
	r.result.PeakAboveRate = r.peakAboveRate()
	return r.result
}

// scheduleAt schedules a call of fn.
func (r *scenarioRun) scheduleAt(t time.Duration, fn func()) {
	heap.Push(&r.events, timedEvent{dueAt: t, seq: len(r.events), fn: fn})
}

// scheduleEvery schedules repeated calls of fn.
func (r *scenarioRun) scheduleEvery(d time.Duration, fn func()) {
	var next func()
	next = func() {
		fn()
		r.scheduleAt(r.policy.now()+d, next)
	}
	r.scheduleAt(d, next)
}

// killOldestVM kills the VM that has been running longest and schedules its restart.
func (r *scenarioRun) killOldestVM() {
	vm := r.liveVMs[0]
	r.liveVMs = r.liveVMs[1:]
	r.policy.killVM(vm)
	r.scheduleAt(r.policy.now()+r.scenario.DeathListingDelay, func() { r.policy.markGone(vm) })
	r.scheduleAt(r.policy.now()+r.scenario.RestartDelay, func() {
		r.policy.startVM(vm)
		r.liveVMs = append(r.liveVMs, vm)
	})
}

// nextVM returns the VM that receives the next request, and whether the demand has moved there within SettlingTime.
func (r *scenarioRun) nextVM(now time.Duration) (string, bool) {
	if r.scenario.ShiftInterval == 0 {
		return r.liveVMs[r.rand.IntN(len(r.liveVMs))], false
	}
	return r.liveVMs[int(now/r.scenario.ShiftInterval)%len(r.liveVMs)], now%r.scenario.ShiftInterval < r.scenario.SettlingTime
}

// offerRequest offers one request of random size to the policy and to the single bucket, and schedules the next
// request.
func (r *scenarioRun) offerRequest() {
	now := r.policy.now()
	meanInterval := float64(minRequestTokens+maxRequestTokens) / 2 / (r.scenario.LoadFactor * float64(r.scenario.Rate))
	r.scheduleAt(now+time.Duration(r.rand.ExpFloat64()*meanInterval*float64(time.Second)), r.offerRequest)
	tokens := minRequestTokens + r.rand.Int64N(maxRequestTokens-minRequestTokens+1)
	actual := tokens/5 + r.rand.Int64N(tokens-tokens/5+1)
	if r.scenario.UsesWholeReservation {
		actual = tokens
	}
	serviceTime := minServiceTime + time.Duration(r.rand.Int64N(int64(maxServiceTime-minServiceTime)))
	vm, isSettling := r.nextVM(now)
	r.result.OfferedRequests++
	reservation := r.singleBucket.ReserveTokens(tokens, now)
	if reservation != nil {
		r.scheduleAt(now+serviceTime, func() { r.singleBucket.SettleReservation(reservation, actual, r.policy.now()) })
	} else {
		r.result.SingleBucketRefused++
	}
	recordRefusal := func() {
		r.result.RefusedRequests++
		switch {
		case reservation == nil:
		case isSettling:
			r.result.RefusedWhileSettling++
		default:
			r.result.RefusedWithinRate++
		}
	}
	tryReserve := func() time.Duration {
		settle, retryDelay := r.policy.reserveTokens(vm, tokens)
		if settle != nil {
			r.admissions = append(r.admissions, admission{admittedAt: r.policy.now(), actualTokens: actual})
			r.scheduleAt(r.policy.now()+serviceTime, func() { settle(actual) })
		} else if retryDelay == 0 {
			recordRefusal()
		}
		return retryDelay
	}
	if retryDelay := tryReserve(); retryDelay > 0 {
		r.scheduleAt(now+retryDelay, func() {
			if tryReserve() > 0 {
				recordRefusal()
			}
		})
	}
}

// admission is an admitted request with the number of tokens that it used.
type admission struct {
	admittedAt   time.Duration
	actualTokens int64
}

// peakAboveRate returns the highest number of tokens admitted beyond the rate over all intervals. It computes this
// with a virtual bucket that admissions fill and that the rate drains.
func (r *scenarioRun) peakAboveRate() int64 {
	level, peak, lastAt := 0.0, 0.0, time.Duration(0)
	for _, x := range r.admissions {
		level = max(0, level-float64(r.scenario.Rate)*(x.admittedAt-lastAt).Seconds()) + float64(x.actualTokens)
		lastAt, peak = x.admittedAt, max(peak, level)
	}
	return int64(peak)
}

// timedEvent is a scheduled call.
type timedEvent struct {
	dueAt time.Duration
	// seq breaks ties between events that are due at the same time.
	seq int
	fn  func()
}

// eventHeap is a heap of events in order of time.
type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].dueAt == h[j].dueAt {
		return h[i].seq < h[j].seq
	}
	return h[i].dueAt < h[j].dueAt
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
