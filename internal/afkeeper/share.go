package afkeeper

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/afshed"
)

const (
	// grantedFraction is the fraction of a customer's limit that is granted to the VMs ahead of requests. The rest is kept for
	// requests that exceed a VM's grant, so that units are not wasted in shares that are too small for a request.
	grantedFraction = 0.5
	// equalShareFraction is the fraction of the grants that is divided equally, for VMs that suddenly get requests.
	equalShareFraction = 0.4
	// initialLevelFraction is the fraction of a burst that a new holder grants, since it does not know what was spent before.
	initialLevelFraction = 0.6
	// maxDebtSeconds bounds how far below zero a customer's available units may fall, in seconds of the customer's rate.
	maxDebtSeconds = 2
)

// CustomerUsage is the usage of a customer's limit on one VM.
type CustomerUsage struct {
	// SpentUnits counts the units that were spent since the VM's start.
	SpentUnits int64
	// RequestedUnitRate is the recent rate of requested units, in units per second.
	RequestedUnitRate int64
}

// LimitGrant is a VM's share of a customer's limit.
type LimitGrant struct {
	// AvailableUnits is what the VM could spend when its count of spent units was ReportedSpentUnits. Units that it spent
	// after that count have to be deducted.
	AvailableUnits int64
	// ReportedSpentUnits is the count of spent units in the VM's last report to the holder.
	ReportedSpentUnits int64
	// RateFraction is the fraction of the customer's rate at which the available units grow until the next grant.
	RateFraction float64
}

// customerBucket is a customer's token bucket for all VMs together. The holder keeps it up to date from the VMs' reports.
type customerBucket struct {
	availableUnits float64
	refilledAt     time.Time
	// grantedUnits is the part of availableUnits that VMs may spend without a spend request.
	grantedUnits float64
	// reportedSpentUnits holds the last reported count of spent units, by VM process.
	reportedSpentUnits map[arbutusfork.Incarnation]int64
	// queue holds the requests that wait for units.
	queue afshed.LimitQueue
}

func newCustomerBucket(availableUnits float64, now time.Time) *customerBucket {
	return &customerBucket{availableUnits: availableUnits, refilledAt: now, reportedSpentUnits: make(map[arbutusfork.Incarnation]int64)}
}

// computeGrants updates the buckets from the VMs' reports and returns the grants, by VM and customer.
func (s *Service) computeGrants(reports map[string]vmReport, starts map[string]int64, members []arbutusfork.VM, now time.Time) map[string]map[string]limitGrantMessage {
	grants := make(map[string]map[string]limitGrantMessage, len(members))
	table := s.Table()
	if table == nil {
		return grants
	}
	// Unreachable VMs may still serve requests, from the equal share that VMs use when they receive no grants.
	liveFraction := float64(len(members)) / float64(max(s.ListedVMCount(), len(members), 1))
	if grantsInAdvance(len(members)) {
		for _, vm := range members {
			grants[vm.Name] = make(map[string]limitGrantMessage)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liveFraction = liveFraction
	for _, c := range table.Customers() {
		if c.RatePerSecond <= 0 {
			continue
		}
		bucket := s.buckets[c.Name]
		if bucket == nil {
			bucket = newCustomerBucket(initialLevelFraction*float64(c.Burst), now)
			s.buckets[c.Name] = bucket
		}
		bucket.applyReports(c, liveFraction, reports, starts, now)
		if grantsInAdvance(len(members)) {
			bucket.divideGrants(c, liveFraction, reports, members, grants)
		} else {
			bucket.grantedUnits = 0
		}
	}
	return grants
}

// applyReports refills the bucket and deducts the units that VMs spent since their last reports.
func (b *customerBucket) applyReports(c afroute.Customer, liveFraction float64, reports map[string]vmReport, starts map[string]int64, now time.Time) {
	b.refill(c, liveFraction, now)
	for vm, report := range reports {
		incarnation := arbutusfork.Incarnation{VM: vm, StartID: starts[vm]}
		spent := report.CustomerUsage[c.Name].SpentUnits
		previous, isKnown := b.reportedSpentUnits[incarnation]
		if !isKnown {
			previous = spent // It is unknown when these units were spent.
		}
		b.availableUnits -= float64(spent - previous)
		b.reportedSpentUnits[incarnation] = spent
	}
	b.availableUnits = max(b.availableUnits, -maxDebtSeconds*float64(c.RatePerSecond))
}

// refill adds the units that the live VMs' share of the rate yields since the last refill.
func (b *customerBucket) refill(c afroute.Customer, liveFraction float64, now time.Time) {
	b.availableUnits = min(b.availableUnits+liveFraction*float64(c.RatePerSecond)*now.Sub(b.refilledAt).Seconds(), float64(c.Burst))
	b.refilledAt = now
}

// takeUnits takes units that are not granted. If there are too few for the request and those before it, it returns false and the
// time until there should be enough.
func (b *customerBucket) takeUnits(c afroute.Customer, liveFraction float64, r afshed.UnitRequest, now time.Time) (time.Duration, bool) {
	b.refill(c, liveFraction, now)
	level := afshed.LimitLevel{Units: b.availableUnits - b.grantedUnits, PerSecond: liveFraction * float64(c.RatePerSecond), Burst: float64(c.Burst)}
	retryAfter, isGranted := b.queue.Ask(level, r, now)
	if isGranted {
		b.availableUnits -= float64(r.Units)
	}
	return retryAfter, isGranted
}

// grantsInAdvance reports whether the VMs get grants ahead of requests. In a large fleet, the share of each VM is smaller
// than a request, and units in such shares are lost to the customer. Each VM then asks the holder for each request.
func grantsInAdvance(vms int) bool { return vms <= smallFleetVMs }

// divideGrants divides the units that are granted ahead of requests among the VMs, partly equally and partly by their
// requested rates, and adds the grants to the map.
func (b *customerBucket) divideGrants(c afroute.Customer, liveFraction float64, reports map[string]vmReport, members []arbutusfork.VM, grants map[string]map[string]limitGrantMessage) {
	requestedUnitRate := int64(0)
	for _, vm := range members {
		requestedUnitRate += reports[vm.Name].CustomerUsage[c.Name].RequestedUnitRate
	}
	b.grantedUnits = max(b.availableUnits-b.queue.WaitingUnits(), 0) * advanceGrantFraction(len(members))
	for _, vm := range members {
		usage := reports[vm.Name].CustomerUsage[c.Name]
		fraction := 1 / float64(len(members))
		if requestedUnitRate > 0 {
			fraction = equalShareFraction*fraction + (1-equalShareFraction)*float64(usage.RequestedUnitRate)/float64(requestedUnitRate)
		}
		grants[vm.Name][c.Name] = limitGrantMessage{
			AvailableUnits: int64(b.grantedUnits * fraction), ReportedSpentUnits: usage.SpentUnits, RateFractionMillionths: int64(fraction * grantedFraction * liveFraction * millionthsPerUnit),
		}
	}
}

// spendRequest is a request to the holder or the deputy for units of a customer's limit.
type spendRequest struct {
	Customer string `msgpack:"customer"`
	// Cost is in units of the limit.
	Cost int64 `msgpack:"cost"`
	// Ticket, IsPatient and WaitMs are those of the afshed.UnitRequest. VMs of earlier versions neither send nor read them.
	Ticket    uint64 `msgpack:"ticket,omitempty"`
	IsPatient bool   `msgpack:"patient,omitempty"`
	// WaitMs is in milliseconds.
	WaitMs int64 `msgpack:"wait,omitempty"`
}

func (r spendRequest) decode() afshed.UnitRequest {
	return afshed.UnitRequest{Ticket: r.Ticket, Units: r.Cost, IsPatient: r.IsPatient, MaxWait: time.Duration(r.WaitMs) * time.Millisecond}
}

// spendAnswer is the answer to a spendRequest.
type spendAnswer struct {
	// KeepsBucket means that the answering VM keeps the customer's bucket, as holder or deputy.
	KeepsBucket bool `msgpack:"kept"`
	IsGranted   bool `msgpack:"given"`
	// RetryAfterMs is the time until there should be enough units, in milliseconds, if the units were not granted.
	RetryAfterMs int64 `msgpack:"after,omitempty"`
}

// KindSpendRequest is the kind of the message by which a VM requests units that its grant does not cover.
const KindSpendRequest = "spend"

// spendTimeout bounds a spend request to the holder. A round trip takes some milliseconds, but a VM whose processor time is a
// quota may pause for a tenth of a second on either side, and a refusal costs the caller more than the wait.
const spendTimeout = 250 * time.Millisecond

// SpendUnits takes units of a customer's limit that this VM's grant does not cover. It returns false if the limit has too few
// units, with the time until there should be enough, or if neither the holder nor the deputy answers.
func (s *Service) SpendUnits(ctx context.Context, customer string, u afshed.UnitRequest) (time.Duration, bool) {
	r := spendRequest{Customer: customer, Cost: u.Units, Ticket: u.Ticket, IsPatient: u.IsPatient, WaitMs: u.MaxWait.Milliseconds()}
	s.mu.Lock()
	holder, deputy := s.holder, s.deputy.vm
	isHolderActive := s.Timer.Now().Sub(s.viewReceivedAt) < s.holderSilenceTimeout() && !s.deputy.isHolderSilent
	s.mu.Unlock()
	if s.HoldsLease() {
		return s.spendAsHolder(r).decode()
	}
	if deputy == s.Self.VM {
		return s.spendAsDeputy(r).decode()
	}
	if holder != "" && isHolderActive {
		if a := s.requestUnits(ctx, holder, r, spendTimeout); a.KeepsBucket {
			return a.decode()
		}
		if ctx.Err() != nil {
			return 0, false // The request has no time left, which says nothing about the holder.
		}
		// The following requests need not wait for the holder, too.
		s.setHolderSilent(holder)
	}
	if deputy == "" {
		return 0, false
	}
	return s.requestUnits(ctx, deputy, r, deputyTimeout).decode()
}

// requestUnits sends a spend request to another VM. It returns the zero answer if the call fails.
func (s *Service) requestUnits(ctx context.Context, vm string, r spendRequest, timeout time.Duration) spendAnswer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var a spendAnswer
	if err := s.CallVM(ctx, vm, KindSpendRequest, r, &a); err != nil {
		s.Log.Info("spend request failed", "asked", vm, "customer", r.Customer, "error", err)
		return spendAnswer{}
	}
	return a
}

func (a spendAnswer) decode() (time.Duration, bool) {
	return time.Duration(a.RetryAfterMs) * time.Millisecond, a.IsGranted
}

// spendAsHolder answers a spend request from the holder's bucket.
func (s *Service) spendAsHolder(r spendRequest) spendAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buckets[r.Customer] == nil {
		return spendAnswer{KeepsBucket: true} // computeGrants creates the bucket with the next view.
	}
	return s.takeFromBucket(r, s.liveFraction)
}

// takeFromBucket takes units from a customer's bucket, which refills at liveFraction of the customer's rate. A missing bucket
// is created empty. The caller holds mu.
func (s *Service) takeFromBucket(r spendRequest, liveFraction float64) spendAnswer {
	table := s.Table()
	if table == nil {
		return spendAnswer{KeepsBucket: true}
	}
	c, ok := table.Customer(r.Customer)
	if !ok || liveFraction <= 0 || c.RatePerSecond <= 0 {
		return spendAnswer{KeepsBucket: true}
	}
	now := s.Timer.Now()
	bucket := s.buckets[r.Customer]
	if bucket == nil {
		bucket = newCustomerBucket(0, now)
		s.buckets[r.Customer] = bucket
	}
	retryAfter, isGranted := bucket.takeUnits(c, liveFraction, r.decode(), now)
	return spendAnswer{KeepsBucket: true, IsGranted: isGranted, RetryAfterMs: retryAfter.Milliseconds()}
}

// HandleSpendRequest answers the spend request of another VM.
func (s *Service) HandleSpendRequest(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var r spendRequest
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return nil, &Error{Op: "spend", Kind: MalformedMessage, Err: err}
	}
	if r.Cost < 0 || !isMessageTime(r.WaitMs) {
		// A negative cost would add units to the customer's limit.
		return nil, &Error{Op: "spend", Kind: MalformedMessage, Err: errOutOfRange}
	}
	if s.HoldsLease() {
		return s.spendAsHolder(r), nil
	}
	return s.spendAsDeputy(r), nil
}
