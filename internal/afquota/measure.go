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

// Scenario is a seeded load of one customer on a fleet.
type Scenario struct {
	VMs   int
	Rate  int64
	Burst int64
	// LoadFactor is the reserved demand as a multiple of Rate.
	LoadFactor float64
	// ShiftInterval is the time after which the whole demand moves to the next VM. Zero spreads the demand over all VMs.
	ShiftInterval time.Duration
	// DeathInterval is the time between deaths of VMs. Zero means none. The platform's list names a death after DeathListingDelay, and the VM
	// comes back after RestartDelay, which is longer.
	DeathInterval     time.Duration
	DeathListingDelay time.Duration
	RestartDelay      time.Duration
	Duration          time.Duration
	// LossPercent is the percentage of messages, of their answers, of platform writes and of their answers that are lost.
	LossPercent int
	// UsesWholeReservation makes each request use all of its reservation.
	UsesWholeReservation bool
	// SettlingTime is the time after a shift in which refusals are counted apart.
	SettlingTime time.Duration
	Seed         uint64
}

// ScenarioResult is the outcome of a scenario.
type ScenarioResult struct {
	OfferedRequests int64
	RefusedRequests int64
	// SingleBucketRefused is the number that one token bucket for the whole fleet refuses.
	SingleBucketRefused int64
	// RefusedWithinRate counts the refused requests that the same bucket admits. Those within SettlingTime of a shift are in
	// RefusedWhileSettling instead.
	RefusedWithinRate    int64
	RefusedWhileSettling int64
	// PeakAboveRate is the most tokens that any interval has admitted beyond the rate. The limit holds if it is at most the burst.
	PeakAboveRate int64
	Messages      int64
	RecordWrites  int64
	RecordReads   int64
}

const (
	measuredCustomer = "customer"
	minRequest       = 100
	maxRequest       = 900
	minService       = 200 * time.Millisecond
	maxService       = 4 * time.Second
)

// limiter is a policy that admits requests at a VM.
type limiter interface {
	// reserve returns the function that settles the request, or nil for a refusal. A refused request that would have
	// waited for the next round of loans is to be tried again after the time returned.
	reserve(vm string, tokens int64) (func(actual int64), time.Duration)
	advance(d time.Duration)
	keep()
	now() time.Duration
	kill(vm string)
	delist(vm string)
	boot(vm string)
}

// MeasureLoans runs the scenario with shares and loans.
func MeasureLoans(sc Scenario) ScenarioResult {
	f := newFleet(sc.VMs, arbutusfork.Customer{Name: measuredCustomer, Rate: sc.Rate, Burst: sc.Burst})
	if random := rand.New(rand.NewPCG(sc.Seed, 2)); sc.LossPercent > 0 {
		f.lost = func() bool { return random.IntN(100) < sc.LossPercent }
	}
	r := measure(sc, loanLimiter{f})
	r.Messages, r.RecordWrites, r.RecordReads = f.messages, f.version, f.reads
	return r
}

// MeasureEqualSplit runs the scenario with a static equal split of the limit.
func MeasureEqualSplit(sc Scenario) ScenarioResult {
	return measure(sc, &splitLimiter{sc: sc, vms: make(map[string]*aflimit.Account)})
}

type loanLimiter struct{ *fleet }

func (l loanLimiter) now() time.Duration { return l.fleet.now.Sub(time.Unix(0, 0)) }

func (l loanLimiter) boot(vm string) { l.fleet.boot(vm) }

func (l loanLimiter) reserve(vm string, tokens int64) (func(int64), time.Duration) {
	s := l.vms[vm]
	if s == nil {
		return nil, 0
	}
	l.waited = 0
	r, refusal := s.ReserveTokens(context.Background(), measuredCustomer, tokens)
	if refusal != nil {
		return nil, l.waited
	}
	return r.Settle, 0
}

type splitLimiter struct {
	sc   Scenario
	time time.Duration
	vms  map[string]*aflimit.Account
}

func (l *splitLimiter) now() time.Duration      { return l.time }
func (l *splitLimiter) advance(d time.Duration) { l.time += d }
func (l *splitLimiter) keep()                   {}
func (l *splitLimiter) delist(string)           {}
func (l *splitLimiter) kill(vm string)          { delete(l.vms, vm) }

func (l *splitLimiter) boot(vm string) {
	a := aflimit.NewAccount(l.sc.limit(), l.time)
	parts := aflimit.TotalParts / int64(l.sc.VMs)
	a.SetBaseParts(parts, parts, l.time)
	l.vms[vm] = a
}

func (l *splitLimiter) reserve(vm string, tokens int64) (func(int64), time.Duration) {
	a := l.vms[vm]
	if a == nil {
		l.boot(vm)
		a = l.vms[vm]
	}
	h := a.ReserveTokens(tokens, l.time)
	if h == nil {
		return nil, 0
	}
	return func(actual int64) { a.SettleReservation(h, actual, l.time) }, 0
}

func (sc Scenario) limit() aflimit.Limit {
	return aflimit.Limit{Rate: aflimit.Tokens(sc.Rate), Burst: aflimit.Tokens(sc.Burst)}
}

// run is a scenario in progress.
type run struct {
	sc     Scenario
	rand   *rand.Rand
	policy limiter
	ideal  *aflimit.Account // ideal is one bucket for the fleet that sees the same requests.
	counts []admitted
	live   []string
	events events
	result ScenarioResult
}

func measure(sc Scenario, policy limiter) ScenarioResult {
	r := &run{sc: sc, rand: rand.New(rand.NewPCG(sc.Seed, 1)), policy: policy, ideal: aflimit.NewAccount(sc.limit(), 0)}
	for i := range sc.VMs {
		r.live = append(r.live, "vm"+strconv.Itoa(i))
	}
	r.ideal.SetBaseParts(aflimit.TotalParts, aflimit.TotalParts, 0)
	r.every(loanPeriod, policy.keep)
	// The first seconds let the VMs take their shares.
	r.at(2*time.Second, r.arrive)
	if sc.DeathInterval > 0 {
		r.every(sc.DeathInterval, r.die)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(timed)
		if e.at > sc.Duration {
			break
		}
		policy.advance(e.at - policy.now())
		e.fn()
	}
	r.result.PeakAboveRate = r.peak()
	return r.result
}

func (r *run) at(t time.Duration, fn func()) {
	heap.Push(&r.events, timed{at: t, seq: len(r.events), fn: fn})
}

func (r *run) every(d time.Duration, fn func()) {
	var next func()
	next = func() {
		fn()
		r.at(r.policy.now()+d, next)
	}
	r.at(d, next)
}

func (r *run) die() {
	vm := r.live[0]
	r.live = r.live[1:]
	r.policy.kill(vm)
	r.at(r.policy.now()+r.sc.DeathListingDelay, func() { r.policy.delist(vm) })
	r.at(r.policy.now()+r.sc.RestartDelay, func() {
		r.policy.boot(vm)
		r.live = append(r.live, vm)
	})
}

// target returns the VM that the next request goes to, and whether the demand has just moved there.
func (r *run) target(now time.Duration) (string, bool) {
	if r.sc.ShiftInterval == 0 {
		return r.live[r.rand.IntN(len(r.live))], false
	}
	return r.live[int(now/r.sc.ShiftInterval)%len(r.live)], now%r.sc.ShiftInterval < r.sc.SettlingTime
}

func (r *run) arrive() {
	now := r.policy.now()
	mean := float64(minRequest+maxRequest) / 2 / (r.sc.LoadFactor * float64(r.sc.Rate))
	r.at(now+time.Duration(r.rand.ExpFloat64()*mean*float64(time.Second)), r.arrive)
	tokens := minRequest + r.rand.Int64N(maxRequest-minRequest+1)
	actual := tokens/5 + r.rand.Int64N(tokens-tokens/5+1)
	if r.sc.UsesWholeReservation {
		actual = tokens
	}
	service := minService + time.Duration(r.rand.Int64N(int64(maxService-minService)))
	vm, moved := r.target(now)
	r.result.OfferedRequests++
	hold := r.ideal.ReserveTokens(tokens, now)
	if hold != nil {
		r.at(now+service, func() { r.ideal.SettleReservation(hold, actual, r.policy.now()) })
	} else {
		r.result.SingleBucketRefused++
	}
	refuse := func() {
		r.result.RefusedRequests++
		switch {
		case hold == nil:
		case moved:
			r.result.RefusedWhileSettling++
		default:
			r.result.RefusedWithinRate++
		}
	}
	try := func() time.Duration {
		settle, again := r.policy.reserve(vm, tokens)
		if settle != nil {
			r.counts = append(r.counts, admitted{at: r.policy.now(), actual: actual})
			r.at(r.policy.now()+service, func() { settle(actual) })
		} else if again == 0 {
			refuse()
		}
		return again
	}
	if again := try(); again > 0 {
		r.at(now+again, func() {
			if try() > 0 {
				refuse()
			}
		})
	}
}

// admitted is an admitted request with its actual count.
type admitted struct {
	at     time.Duration
	actual int64
}

// peak compares every pair of instants by a virtual bucket that admissions fill and the rate drains.
func (r *run) peak() int64 {
	level, peak, last := 0.0, 0.0, time.Duration(0)
	for _, x := range r.counts {
		level = max(0, level-float64(r.sc.Rate)*(x.at-last).Seconds()) + float64(x.actual)
		last, peak = x.at, max(peak, level)
	}
	return int64(peak)
}

type timed struct {
	at  time.Duration
	seq int
	fn  func()
}

// events is a heap in order of time.
type events []timed

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at == e[j].at {
		return e[i].seq < e[j].seq
	}
	return e[i].at < e[j].at
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(timed)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
