package afkeeper

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

const (
	// grantPart is the part of a customer's tokens that is granted to the VMs ahead of requests. The rest is kept for
	// requests that do not fit a VM's grant, so that the tokens are not lost in pieces that are too small.
	grantPart = 0.5
	// floorPart is the part of the grants that is divided equally, for VMs that suddenly get requests.
	floorPart = 0.4
	// firstLevel is the part of a burst that a new holder grants, since it does not know what was spent before.
	firstLevel = 0.6
	// maxDebt bounds how far below zero a customer's level may fall, in seconds of its rate.
	maxDebt = 2
)

// CustomerUsage is what a VM knows of a customer's requests.
type CustomerUsage struct {
	// SpentUnits counts what was spent since the VM's start, and RequestedUnitRate is what requests ask for lately, in units a second.
	SpentUnits, RequestedUnitRate int64
}

// LimitGrant is a VM's part of a customer's limit.
type LimitGrant struct {
	// AvailableUnits is what the VM may spend, less what it spent after its count was ReportedSpentUnits.
	AvailableUnits, ReportedSpentUnits int64
	// RateFraction is the part of the customer's rate by which the level rises until the next grant.
	RateFraction float64
}

// ledger is the customer's token bucket over all VMs, as the holder keeps it from the counts that the VMs report.
type ledger struct {
	level float64
	at    time.Time
	// out is what the VMs may spend of the level without asking.
	out float64
	// spent holds the last count of each VM's start.
	spent map[arbutusfork.Incarnation]int64
}

func newLedger(level float64, now time.Time) *ledger {
	return &ledger{level: level, at: now, spent: make(map[arbutusfork.Incarnation]int64)}
}

// grant brings the ledgers up to date and divides what is there.
func (s *Service) grant(beats map[string]beat, starts map[string]int64, members []arbutusfork.VM, now time.Time) map[string]map[string]grant {
	out := make(map[string]map[string]grant, len(members))
	table := s.Table()
	if table == nil {
		return out
	}
	// VMs that do not answer may still serve with the equal part that they fall back to.
	live := float64(len(members)) / float64(max(s.ListedVMCount(), len(members), 1))
	for _, vm := range members {
		out[vm.Name] = make(map[string]grant)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = live
	for _, c := range table.Customers() {
		if c.RatePerSecond <= 0 {
			continue
		}
		l := s.ledgers[c.Name]
		if l == nil {
			l = newLedger(firstLevel*float64(c.Burst), now)
			s.ledgers[c.Name] = l
		}
		l.update(c, live, beats, starts, now)
		l.divide(c, live, beats, members, out)
	}
	return out
}

func (l *ledger) update(c afroute.Customer, live float64, beats map[string]beat, starts map[string]int64, now time.Time) {
	l.refill(c, live, now)
	for vm, b := range beats {
		i := arbutusfork.Incarnation{VM: vm, Start: starts[vm]}
		spent := b.Usage[c.Name].Spent
		old, known := l.spent[i]
		if !known {
			old = spent // It is not known when this was spent.
		}
		l.level -= float64(spent - old)
		l.spent[i] = spent
	}
	l.level = max(l.level, -maxDebt*float64(c.RatePerSecond))
}

func (l *ledger) refill(c afroute.Customer, live float64, now time.Time) {
	l.level = min(l.level+live*float64(c.RatePerSecond)*now.Sub(l.at).Seconds(), float64(c.Burst))
	l.at = now
}

// spend takes units that no grant covers, or returns the time after which they should be there.
func (l *ledger) spend(c afroute.Customer, live float64, cost int64, now time.Time) (time.Duration, bool) {
	l.refill(c, live, now)
	if short := float64(cost) - (l.level - l.out); short > 0 {
		return time.Duration(short / (live * float64(c.RatePerSecond)) * float64(time.Second)), false
	}
	l.level -= float64(cost)
	return 0, true
}

func (l *ledger) divide(c afroute.Customer, live float64, beats map[string]beat, members []arbutusfork.VM, out map[string]map[string]grant) {
	asked := int64(0)
	for _, vm := range members {
		asked += beats[vm.Name].Usage[c.Name].Asked
	}
	l.out = max(l.level, 0) * ahead(len(members))
	for _, vm := range members {
		u, asks := beats[vm.Name].Usage[c.Name]
		if !asks && len(members) > smallFleet {
			continue // In a large fleet a VM asks the holder when its first request comes.
		}
		part := 1 / float64(len(members))
		if asked > 0 {
			part = floorPart*part + (1-floorPart)*float64(u.Asked)/float64(asked)
		}
		out[vm.Name][c.Name] = grant{
			Level: int64(l.out * part), Spent: u.Spent, Part: int64(part * grantPart * live * partUnit),
		}
	}
}

// spendRequest asks the holder for units of a customer's limit.
type spendRequest struct {
	Customer string `msgpack:"customer"`
	Cost     int64  `msgpack:"cost"`
}

// spendAnswer is the answer. Kept means that the VM keeps the customer's ledger, as holder or deputy. After is in
// milliseconds and counts only if the units were not given.
type spendAnswer struct {
	Kept  bool  `msgpack:"kept"`
	Given bool  `msgpack:"given"`
	After int64 `msgpack:"after,omitempty"`
}

// KindSpendRequest is the kind of peer message by which a VM asks for units that its grant does not cover.
const KindSpendRequest = "spend"

// spendTimeout bounds the question to the holder. It is several times the way there and back.
const spendTimeout = 60 * time.Millisecond

// SpendUnits takes units of a customer's limit that this VM's grant does not cover. It returns false, with the time after
// which there should be enough, if the limit has not as much or neither the holder nor its deputy answers.
func (s *Service) SpendUnits(ctx context.Context, customer string, cost int64) (time.Duration, bool) {
	r := spendRequest{Customer: customer, Cost: cost}
	s.mu.Lock()
	holder, deputy, fresh := s.holder, s.deputy.vm, s.Timer.Now().Sub(s.viewed) < s.silence()
	s.mu.Unlock()
	if s.HoldsLease() {
		return s.spend(r).decode()
	}
	if deputy == s.Self.VM {
		return s.answer(r).decode()
	}
	if holder != "" && fresh {
		if a := s.ask(ctx, holder, r, spendTimeout); a.Kept {
			return a.decode()
		}
	}
	if deputy == "" {
		return 0, false
	}
	return s.ask(ctx, deputy, r, deputyTimeout).decode()
}

func (s *Service) ask(ctx context.Context, vm string, r spendRequest, timeout time.Duration) spendAnswer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var a spendAnswer
	if err := s.CallVM(ctx, vm, KindSpendRequest, r, &a); err != nil {
		s.Log.Info("units of a limit not asked for", "asked", vm, "customer", r.Customer, "error", err)
		return spendAnswer{}
	}
	return a
}

func (a spendAnswer) decode() (time.Duration, bool) {
	return time.Duration(a.After) * time.Millisecond, a.Given
}

// spend gives units as the holder.
func (s *Service) spend(r spendRequest) spendAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledgers[r.Customer] == nil {
		return spendAnswer{Kept: true} // The next view brings the ledger.
	}
	return s.give(r, s.live)
}

// give takes units from a customer's ledger, whose level rises by a part of the customer's rate. A new ledger is empty. The
// caller holds mu.
func (s *Service) give(r spendRequest, live float64) spendAnswer {
	table := s.Table()
	if table == nil {
		return spendAnswer{Kept: true}
	}
	c, ok := table.Customer(r.Customer)
	if !ok || live <= 0 || c.RatePerSecond <= 0 {
		return spendAnswer{Kept: true}
	}
	now := s.Timer.Now()
	l := s.ledgers[r.Customer]
	if l == nil {
		l = newLedger(0, now)
		s.ledgers[r.Customer] = l
	}
	after, given := l.spend(c, live, r.Cost, now)
	return spendAnswer{Kept: true, Given: given, After: after.Milliseconds()}
}

// HandleSpendRequest answers another VM that asks for units.
func (s *Service) HandleSpendRequest(_ arbutusfork.Incarnation, body []byte) (any, error) {
	var r spendRequest
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return nil, &Error{Op: "spend", Kind: MalformedMessage, Err: err}
	}
	if s.HoldsLease() {
		return s.spend(r), nil
	}
	return s.answer(r), nil
}
