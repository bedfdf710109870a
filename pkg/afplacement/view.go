package afplacement

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// LeaseTerm is the lease term. A renewal every third of it leaves room for two lost renewals.
	LeaseTerm = 6 * time.Second
	// expiry is the time after which a follower takes over: the term and 25 % for clock drift.
	expiry = LeaseTerm + LeaseTerm/4
	// renewal is the time between two renewals of the lease.
	renewal = LeaseTerm / 3
	// retry is the pause after a commit that failed.
	retry = 200 * time.Millisecond
)

// View is what one VM knows about a shard. It is immutable; Step returns the next one.
type View struct {
	// Self is this process.
	Self arbutusfork.Incarnation
	// Rank is this VM's place in the shard's order of preferred owners. Higher ranks take over later.
	Rank int
	// DemandTTL is how long a VM's report of demand stays valid. It grows with the period of the reports; at least 3 s hold.
	DemandTTL time.Duration

	cfg     Config
	record  Record // record is the last one known to have committed.
	version int64
	seen    time.Time // seen is when the version was first observed here.
	checked time.Time // checked is when a read last confirmed the version.
	absent  time.Time // absent is since when the object is known not to exist.

	pending *Record   // pending is the commit in flight.
	sent    time.Time // sent is when the commit in flight was sent.
	until   time.Time // until is the end of the own lease, counted from before the last renewal was sent.
	first   time.Time // first is when the first commit on top of the present version was sent.
	tenure  time.Time // tenure is when the take-over that gave the present fence was sent.
	floor   int64     // floor is the fence below which this VM has promised to send nothing.
	renewed time.Time // renewed is when the last successful commit was sent.
	swept   time.Time // swept is when idle replicas were last weighed.
	failed  time.Time // failed is when the last commit failed.
	unsure  bool      // unsure means that the record must be read back before another commit.
	resign  bool

	flights  map[int64]flight     // flights are the own orders that were sent.
	reports  map[string]report    // reports are the endpoints' last reports.
	acks     map[string]int64     // acks are the highest fences that endpoints accepted.
	settled  map[place]time.Time  // settled is when the last order for a place was answered.
	barrier  map[string]time.Time // barrier is the time before which an endpoint\'s reports are void.
	released map[arbutusfork.Incarnation]release
	gone     map[arbutusfork.Incarnation]bool
	// copies counts the sent copies of a load that took an empty place under the present fence.
	copies map[place]int
	asked  map[arbutusfork.Incarnation]time.Time

	demand  map[string]demand
	rates   map[string]rate
	gaps    gaps
	used    map[string]time.Time // used is when a model last had a request.
	starts  map[place]start      // starts are the loads in progress.
	budget  float64              // budget is the number of loads that the weight store has room for.
	filled  time.Time            // filled is when budget was last computed.
	pace    float64              // pace is how many times their bare time the last loads from the weight store took.
	variant variant
}

// place is a model on an endpoint.
type place struct{ endpoint, model string }

// flight is an own order that was sent.
type flight struct {
	reply    OrderOutcome
	answered bool
	at       time.Time
}

type report struct {
	status EndpointStatus
	asked  time.Time
	// misses counts reports that failed since the last good one.
	misses int
}

type release struct {
	fence int64
	doubt []int64
}

// start is what was expected of a load when it was decided.
type start struct {
	at     time.Time
	bare   time.Duration
	ready  time.Duration
	remote bool
	done   bool
}

// variant switches off single rules of the protocol, so that tests can show that each of them is needed.
type variant struct {
	sendUncommitted  bool
	sendLapsed       bool
	freeExposed      bool
	freeUnobserved   bool
	ignoreUnknown    bool
	trustLost        bool
	ignoreMemory     bool
	ignoreReplicas   bool
	earlyTakeover    bool
	believeOldReport bool
	noBarrier        bool
	sendFloored      bool
	hideDoubt        bool
	assumeCommitted  bool
	ignoreAck        bool
}

// NewView returns the view of a VM that knows nothing about the shard yet.
func NewView(self arbutusfork.Incarnation, cfg Config) View {
	return View{Self: self, cfg: cfg}
}

// HasLease reports whether this VM holds the shard at the time and may send orders.
func (v View) HasLease(now time.Time) bool {
	return v.holds() && now.Before(v.until)
}

// holds reports whether the committed record names this VM.
func (v View) holds() bool {
	return v.version > 0 && v.record.Owner == v.Self
}

// Record returns the last record that is known to have committed, with its version.
func (v View) Record() (Record, int64) { return v.record, v.version }

// Step applies an event and returns the next view and what must be done.
func (v View) Step(e Event, now time.Time) (View, []Effect) {
	var effects []Effect
	switch e := e.(type) {
	case ConfigChanged:
		v.cfg = e.Config
	case RecordFetched:
		v = v.read(e, now)
	case CommitSucceeded:
		v = v.committed(e)
	case CommitFailed:
		if p := v.pending; p != nil && v.variant.assumeCommitted {
			v.record = *p
		}
		v.pending, v.unsure, v.failed = nil, true, now
		if v.variant.assumeCommitted {
			return v, nil
		}
		return v, []Effect{FetchRecord{}}
	case StatusPolled:
		v = v.observed(e)
	case OrderAnswered:
		v = v.answered(e, now)
	case DemandReported:
		v = v.wanted(e, now)
	case RequestsArrived:
		v = v.arrived(e, now)
	case ReportBatch:
		v = v.reported(e, now)
	case SenderFenced:
		v.released = with(v.released, e.Sender, release{fence: e.Fence, doubt: e.UnresolvedOrders})
		v = v.bar(e.Sender, now)
	case SenderGone:
		v.gone = with(v.gone, e.Sender, true)
		v = v.bar(e.Sender, now)
	case SendFenceRaised:
		v.floor = max(v.floor, e.Fence)
	case ReleaseRequested:
		v.resign = true
	}
	v, effects = v.act(now)
	return v, effects
}

// act does what the view calls for: take over, decide, renew, send.
func (v View) act(now time.Time) (View, []Effect) {
	if !v.holds() {
		return v.follow(now)
	}
	var effects []Effect
	if v.pending == nil && !v.unsure && now.Sub(v.failed) >= retry {
		var commit []Effect
		v, commit = v.commit(now)
		effects = append(effects, commit...)
	}
	v, sends := v.send(now)
	effects = append(effects, sends...)
	v, asks := v.askReleases(now)
	return v, append(effects, asks...)
}

// follow takes the shard over when its owner has let the lease expire or released it.
func (v View) follow(now time.Time) (View, []Effect) {
	if v.pending != nil || v.unsure || v.resign || now.Sub(v.failed) < retry {
		return v, nil
	}
	wait := time.Duration(v.Rank) * time.Second
	switch {
	case v.version == 0:
		if v.absent.IsZero() || now.Sub(v.absent) < wait {
			return v, nil
		}
	case v.record.Owner.IsZero():
		if now.Sub(v.seen) < wait {
			return v, nil
		}
	case v.variant.earlyTakeover:
	case v.checked.Sub(v.seen) < expiry+wait/2:
		// Only a read can tell that the owner did not renew: without one the version is merely old news.
		return v, nil
	}
	next := v.record.WithOwner(v.Self)
	next.LeaseTermMillis = LeaseTerm.Milliseconds()
	return v.propose(next, now)
}

// propose starts a commit. Each commit renews the lease.
func (v View) propose(next Record, now time.Time) (View, []Effect) {
	next.CommitCount++
	v.pending, v.sent = &next, now
	if v.first.IsZero() {
		v.first = now
	}
	return v, []Effect{CommitRecord{Version: v.version, Record: next}}
}

func (v View) committed(e CommitSucceeded) View {
	if v.pending == nil {
		return v
	}
	next := *v.pending
	if next.Fence != v.record.Fence || next.Owner != v.record.Owner {
		v = v.forget()
		v.tenure = v.sent
	}
	v.record, v.version, v.pending, v.first = next, e.Version, nil, time.Time{}
	v.renewed, v.seen = v.sent, v.sent
	v.until = v.sent.Add(LeaseTerm)
	v.failed = time.Time{}
	return v
}

// forget drops what the VM knew as owner under an earlier fence, but for its orders of unknown fate.
func (v View) forget() View {
	v.flights = maps.Clone(v.flights)
	maps.DeleteFunc(v.flights, func(_ int64, f flight) bool { return f.answered && f.reply != OutcomeAnswerLost })
	v.asked, v.settled, v.reports, v.starts, v.copies = nil, nil, nil, nil, nil
	return v
}

// read adopts what the platform holds. It is the truth after a commit whose answer was lost.
func (v View) read(e RecordFetched, now time.Time) View {
	if v.pending != nil && !v.unsure || e.Version != 0 && e.Version < v.version {
		return v
	}
	if e.Version == 0 && v.version != 0 {
		// The object was deleted. Whoever takes the shard over creates it again with what is known of it.
		v.record.Owner = arbutusfork.Incarnation{}
		v.version, v.unsure = 0, false
		return v
	}
	v.unsure, v.checked = false, now
	if e.Version != 0 {
		v.absent = time.Time{}
	} else if v.absent.IsZero() {
		v.absent = now
	}
	if e.Version != 0 && e.Version != v.version {
		if e.Record.Fence != v.record.Fence {
			v = v.forget()
			v.tenure = now
		}
		v.record, v.version, v.seen = e.Record, e.Version, now
		// Of several commits on top of one version any may have landed, so the lease counts from the first.
		if v.holds() && !v.first.IsZero() {
			v.until, v.renewed = v.first.Add(LeaseTerm), v.first
		}
		v.first = time.Time{}
	}
	return v
}

func (v View) observed(e StatusPolled) View {
	old := v.reports[e.Endpoint]
	if e.Failed {
		old.misses++
		v.reports = with(v.reports, e.Endpoint, old)
		return v
	}
	if !old.asked.IsZero() && !e.RequestedAt.After(old.asked) {
		return v
	}
	v.reports = with(v.reports, e.Endpoint, report{status: e.Status, asked: e.RequestedAt})
	v = v.learn(e)
	if e.Status.Fence > v.acks[e.Endpoint] {
		v.acks = with(v.acks, e.Endpoint, e.Status.Fence)
	}
	return v
}

// paceWeight is the weight of the last load in the estimate of the weight store's pace.
const paceWeight = 0.3

// learn takes the duration of loads from the weight store that the report shows as done.
func (v View) learn(e StatusPolled) View {
	for _, m := range e.Status.Models {
		p := place{e.Endpoint, m.Name}
		s, ok := v.starts[p]
		if m.State != stateLoaded || !ok || !s.remote || s.done || s.bare <= 0 || !e.RequestedAt.After(s.at) {
			continue
		}
		s.done = true
		v.starts = with(v.starts, p, s)
		ratio := float64(e.RequestedAt.Sub(s.at)) / float64(s.bare)
		v.pace = (1-paceWeight)*max(v.pace, 1) + paceWeight*max(ratio, 1)
	}
	return v
}

func (v View) answered(e OrderAnswered, now time.Time) View {
	o, ok := v.record.order(e.OrderID)
	if !ok && e.Outcome != OutcomeAnswerLost || e.Outcome == OutcomeNotSent {
		v.flights = maps.Clone(v.flights)
		delete(v.flights, e.OrderID)
	}
	if !ok && e.Outcome == OutcomeAnswerLost {
		v.flights = with(v.flights, e.OrderID, flight{reply: OutcomeAnswerLost, answered: true, at: now})
	}
	if !ok {
		return v
	}
	if e.Outcome == OutcomeNotSent {
		v.settled = with(v.settled, place{o.Endpoint, o.Model}, now)
		return v
	}
	if e.Outcome == OutcomeAccepted && o.Fence > v.acks[o.Endpoint] {
		v.acks = with(v.acks, o.Endpoint, o.Fence)
		v.barrier = with(v.barrier, o.Endpoint, now)
	}
	v.flights = with(v.flights, e.OrderID, flight{reply: e.Outcome, answered: true, at: now})
	v.settled = with(v.settled, place{o.Endpoint, o.Model}, now)
	return v
}

// bar makes earlier reports of the endpoints of a sender's orders void: an order that is over now may have arrived
// after the report was made.
func (v View) bar(sender arbutusfork.Incarnation, now time.Time) View {
	for _, o := range v.record.Orders {
		if o.Sender == sender {
			v.barrier = with(v.barrier, o.Endpoint, now)
		}
	}
	return v
}

// UnresolvedOrders answers an AskRelease: it returns the sent orders of which this VM does not know the fate. The caller must
// have applied Fenced first, so that nothing below the fence is sent any more.
func (v View) UnresolvedOrders() (doubt []int64) {
	if v.variant.hideDoubt {
		return nil
	}
	for id, f := range v.flights {
		if !f.answered || f.reply == OutcomeAnswerLost {
			doubt = append(doubt, id)
		}
	}
	slices.Sort(doubt)
	return doubt
}

func with[K comparable, V any](m map[K]V, k K, x V) map[K]V {
	c := maps.Clone(m)
	if c == nil {
		c = make(map[K]V)
	}
	c[k] = x
	return c
}
