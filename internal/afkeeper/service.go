// Package afkeeper holds the placement duty: one VM at a time, by a lease in the platform, collects what all VMs ask
// for, reads the engines' reports, orders models and adapters, and tells every VM what the engines hold and how much of
// each customer's limit it may use.
//
// All VMs run the same code. Those that do not hold the lease tell the holder about their load and take it over when
// the holder falls silent.
package afkeeper

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/aflease"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// tickPeriod is the grid of the holder's work.
	tickPeriod = 50 * time.Millisecond
	// beatLife is how long a VM's beat counts: six beats.
	beatLife = 1500 * time.Millisecond
	// planGap is the least time between two plans, which the messages of the other VMs ask for. It grows with the fleet.
	planGap = 6 * time.Millisecond
	// leaseRead is the pause between reads of the lease while the holder is silent.
	leaseRead = 400 * time.Millisecond
	// callTimeout bounds a call to the platform or an engine. It is far above the milliseconds that they need.
	callTimeout = 800 * time.Millisecond
)

// The kind and name of the lease's object.
const (
	LeaseKind = "leases"
	LeaseName = "placement"
)

// Service is the duty of one VM. Set the fields before Run.
type Service struct {
	Self arbutusfork.Incarnation
	// Machine names where this process runs. No other process runs there at the same time.
	Machine string
	Timer   *aftimer.Service
	Log     *slog.Logger
	Metrics Metrics
	// LeaseTiming are the times of the lease.
	LeaseTiming aflease.Timing
	// TakeoverDelay is how long this VM lets others take the lease first, because it has less of a processor or network.
	TakeoverDelay time.Duration
	// MaxStoreLoads bounds the loads from the weight store in progress.
	MaxStoreLoads int
	// BootTime returns the time since the machine's start, suspension included.
	BootTime func() time.Duration
	// Table returns the configuration in force, or nil.
	Table  func() *afroute.Table
	Roster *afroster.Roster
	// GetObject, CreateObject and UpdateObject reach the platform.
	GetObject    func(ctx context.Context, kind, name string) (afobject.Object, error)
	CreateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	UpdateObject func(ctx context.Context, o afobject.Object) (afobject.Object, error)
	// LiveVMs returns the live VMs, this one included, and ListedVMCount the number of VMs that may be alive.
	LiveVMs       func() []arbutusfork.VM
	ListedVMCount func() int
	// SendToVM sends a message to a VM.
	SendToVM func(vm, kind string, message any) error
	// CallVM sends a message to a VM and waits for the answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error
	// OwnDemand returns what this VM's callers ask for, OwnUsage what its customers spent and asked for.
	OwnDemand func() []afassign.Demand
	OwnUsage  func() map[string]CustomerUsage
	// ApplyGrants is called with this VM's part of each customer's limit, ApplyLoadDelays with the times until models are loaded.
	ApplyGrants     func(map[string]LimitGrant)
	ApplyLoadDelays func(map[string]time.Duration)
	// FeedMarks returns how far this VM's copies of the platform's objects are, by kind, and CompareFeedMarks takes another VM's.
	FeedMarks        func() map[string]affeed.Position
	CompareFeedMarks func(map[string]affeed.Position)
	// ApplyEndpoints is called with endpoints that the holder passed on, all of them if whole is set. KnowsAllEndpoints
	// reports whether this VM knows all endpoints from the platform.
	ApplyEndpoints    func(entries []afengine.EndpointEntry, removed []string, whole bool)
	KnowsAllEndpoints func() bool
	// FetchReport and SendOrder reach an engine. SendOrder is called with the holder's name and epoch.
	FetchReport func(ctx context.Context, e afengine.EndpointEntry) (afengine.Report, error)
	SendOrder   func(ctx context.Context, e afengine.EndpointEntry, holder string, epoch int64, o afengine.Order) afengine.Result

	pokes chan struct{}

	mu     sync.Mutex
	lease  aflease.Lease
	beats  map[string]heard
	holder string // holder is the VM that sent the last view.
	viewed time.Time
	// stopping VMs do not take the lease.
	stopping bool
	// ledgers holds the customers' limits while this VM holds the lease or answers for a silent holder, and live the part
	// of the VMs that answer.
	ledgers map[string]*ledger
	live    float64
	deputy  deputy
	// lastOrders holds when each engine got its last order of any holder, by the boot time, as far as that is known.
	lastOrders map[string]time.Duration
	// orderEpochs holds the epoch of this VM's own last order to each engine.
	orderEpochs map[string]int64
	// ownLoads is what this VM's last beat said.
	ownLoads map[string]load
	// relaySeq counts the changes of the endpoints that this VM passed on, and relayed is what it knows of another's.
	relaySeq int64
	relayed  relayState
	// nextLease is when to look at the lease again, by the boot time.
	nextLease time.Duration
	// due means that a view should be sent although no report came.
	due bool

	// The fields below belong to the goroutine of Run.
	engines  map[string]*state
	polls    chan polled
	orders   chan ordered
	starts   []time.Duration      // starts holds when loads from the store began, by the boot time.
	queued   map[string]time.Time // queued holds when models that wait for the weight store can be loaded at the earliest.
	unserved map[string]unserved  // unserved holds the models that are asked for and that no engine holds.
	ranked   bool
	often    map[string]bool // often names models that have been busy since the process started.
	nextPlan time.Time
	planDue  bool // planDue means that a poke is on its way for a plan that had to wait.
	nextBeat time.Time
	nextView time.Time
	lastView time.Time
	told     map[string]engine // told is what the last view said of the engines.
	shown    map[string]int64  // shown holds the starts of the VMs that were shown all engines.
	held     bool
	changed  bool // changed means that a new view should be sent now.
	asked    string
}

type heard struct {
	at   time.Time
	from arbutusfork.Incarnation
	beat beat
}

func (s *Service) init() {
	s.pokes = make(chan struct{}, 1)
	s.beats = make(map[string]heard)
	s.engines = make(map[string]*state)
	s.lastOrders = make(map[string]time.Duration)
	s.often = make(map[string]bool)
	s.shown = make(map[string]int64)
	s.orderEpochs = make(map[string]int64)
	s.ledgers = make(map[string]*ledger)
	s.polls = make(chan polled, 64)
	s.orders = make(chan ordered, 64)
	s.lease = aflease.New(s.Self.String(), s.Machine, s.LeaseTiming)
}

// Init prepares the service for messages. It is called once, before Run and before the handlers are registered.
func (s *Service) Init() { s.init() }

func (s *Service) poke() {
	select {
	case s.pokes <- struct{}{}:
	default:
	}
}

// Wake makes the service look at the demand soon. It does not block.
func (s *Service) Wake() { s.poke() }

// Run does the duty until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticks, sub := s.Timer.Ticks(tickPeriod)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			s.keepLease(ctx)
		case <-s.pokes:
		case p := <-s.polls:
			s.polled(p)
		case o := <-s.orders:
			s.ordered(o)
		}
		s.act(ctx)
	}
}

// act does what the VM's part asks for now.
func (s *Service) act(ctx context.Context) {
	s.mu.Lock()
	held, usable, epoch := s.lease.IsHolder(s.BootTime()), s.lease.IsUsable(s.BootTime()), s.lease.Epoch()
	s.mu.Unlock()
	if held != s.held {
		s.held = held
		s.Metrics.change()
		clear(s.shown)
		if !held {
			s.mu.Lock()
			clear(s.ledgers)
			s.mu.Unlock()
		}
		s.Log.Info("placement lease changed", "held", held, "epoch", epoch)
	}
	if !held {
		s.tell()
		return
	}
	s.refresh(ctx)
	if usable {
		s.planSoon(ctx, epoch)
	}
	s.spread()
}

// others returns the VMs but this one.
func (s *Service) others() []arbutusfork.VM {
	return slices.DeleteFunc(slices.Clone(s.LiveVMs()), func(vm arbutusfork.VM) bool { return vm.Name == s.Self.VM })
}

// planSoon plans now, or as soon as the pause after the last plan is over.
func (s *Service) planSoon(ctx context.Context, epoch int64) {
	now := s.Timer.Now()
	if wait := s.nextPlan.Sub(now); wait > 0 {
		if !s.planDue {
			s.planDue = true
			s.Timer.After(wait, func(time.Time) { s.poke() })
		}
		return
	}
	s.planDue = false
	s.nextPlan = now.Add(stretch(planGap, len(s.LiveVMs())))
	s.plan(ctx, epoch)
}

// tell sends this VM's beat to the holder, at once if a request waits for something new.
func (s *Service) tell() {
	s.mu.Lock()
	to := s.holder
	s.mu.Unlock()
	if to == "" || to == s.Self.VM {
		return
	}
	now := s.Timer.Now()
	demand := s.OwnDemand()
	asked := waitingKeys(demand)
	if now.Before(s.nextBeat) && (asked == s.asked || asked == "") {
		return
	}
	s.asked, s.nextBeat = asked, now.Add(stretch(beatPeriod, s.ListedVMCount()))
	if err := s.SendToVM(to, KindVMReport, s.beat(demand)); err != nil {
		s.Log.Debug("beat not sent", "to", to, "error", err)
	}
}

func (s *Service) beat(d []afassign.Demand) beat {
	loads, running := s.Roster.OwnLoads()
	b := beat{Loads: make(map[string]load, len(loads)), Running: running, Demand: encodeDemand(d), Usage: map[string]use{}, Marks: s.FeedMarks(), Small: s.TakeoverDelay > 0}
	for id, l := range loads {
		b.Loads[id] = encodeLoad(l)
	}
	for customer, u := range s.OwnUsage() {
		b.Usage[customer] = use{Spent: u.SpentUnits, Asked: u.RequestedUnitRate}
	}
	s.mu.Lock()
	s.ownLoads = b.Loads
	s.mu.Unlock()
	return b
}

// waitingKeys names what requests wait for, so that a change of it can be told.
func waitingKeys(d []afassign.Demand) string {
	out := ""
	for _, x := range d {
		if x.WaitingRequests > 0 {
			out += afassign.AdapterKey(x.Model, x.Adapter) + " "
		}
	}
	return out
}

// HoldsLease reports whether this VM holds the placement lease.
func (s *Service) HoldsLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.IsHolder(s.BootTime())
}

// ReceivesPlacementViews reports whether another VM that holds the lease tells this one about the platform's objects.
func (s *Service) ReceivesPlacementViews() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder != s.Self.VM && !s.viewed.IsZero() && s.Timer.Now().Sub(s.viewed) < s.silence()
}

// ReleaseLease gives the lease up, so that another VM can take it without waiting for its end.
func (s *Service) ReleaseLease(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	record, ok := s.lease.ReleaseRecord()
	version := s.lease.Version()
	s.mu.Unlock()
	if !ok {
		return
	}
	s.retire()
	if _, err := s.write(ctx, record, version); err != nil {
		s.Log.Warn("placement lease not released; it ends by itself", "error", err)
	}
}
