package afplacement

import (
	"maps"
	"slices"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const (
	// LeaseTerm is the term of the shard owner's lease. Renewing it after a third of the term leaves room for two lost
	// renewals.
	LeaseTerm = 6 * time.Second
	// takeoverDelay is the time without a renewal after which another VM takes over: the term and 25 % for clock drift.
	takeoverDelay = LeaseTerm + LeaseTerm/4
	// renewalInterval is the time between two renewals of the lease.
	renewalInterval = LeaseTerm / 3
	// commitRetryDelay is the pause after a failed commit.
	commitRetryDelay = 200 * time.Millisecond
)

// View is the state of one shard as one VM has it. It is immutable; Step returns the next view.
type View struct {
	// Self is this process's incarnation.
	Self arbutusfork.Incarnation
	// Rank is this VM's rank among the shard's preferred owners. The higher the rank, the later the VM takes over.
	Rank int
	// DemandTTL is how long a VM's demand stays valid without a new report, at least 3 s. It grows with the interval of
	// the reports.
	DemandTTL time.Duration
	// EraSeenAt is when this process first saw the era of the store, or zero if that is not known.
	EraSeenAt time.Time

	cfg           Config
	record        Record    // record is the last record that this VM has read or committed.
	version       int64     // version is the version of the store's object. Its revision is zero if there is none.
	isLost        bool      // isLost means that the store's record is of an earlier era. record may be a later one then.
	versionSeenAt time.Time // versionSeenAt is when this VM first saw the version.
	versionReadAt time.Time // versionReadAt is when a read last returned the version.
	absentSince   time.Time // absentSince is when a read first returned that the object does not exist.

	pendingRecord     *Record   // pendingRecord is the record of the commit in flight.
	commitSentAt      time.Time // commitSentAt is when the commit in flight was sent.
	leaseEndsAt       time.Time // leaseEndsAt is the end of this VM's lease, counted from when the last renewal was sent.
	firstCommitSentAt time.Time // firstCommitSentAt is when the first commit on top of the current version was sent.
	takeoverSentAt    time.Time // takeoverSentAt is when the take-over that set the current fence was sent.
	minSendFence      int64     // minSendFence is the lowest fence whose orders this VM may still send.
	renewedAt         time.Time // renewedAt is when the last successful commit was sent.
	sweptAt           time.Time // sweptAt is when idle replicas were last checked.
	commitFailedAt    time.Time // commitFailedAt is when the last commit failed.
	mustReadRecord    bool      // mustReadRecord means that the record must be read before the next commit.
	releaseRequested  bool      // releaseRequested means that this VM releases the shard and does not take it over again.

	sentOrders        map[int64]sentOrder       // sentOrders are the orders that this VM has sent, by ID.
	reports           map[string]endpointReport // reports are the last reports by endpoint.
	acceptedFences    map[string]int64          // acceptedFences are the highest accepted fences by endpoint.
	answeredAt        map[placement]time.Time   // answeredAt is when the last order for a placement was answered.
	reportsValidAfter map[string]time.Time      // reportsValidAfter is the time by endpoint up to which reports do not count.
	// fencedSenders are the confirmations of earlier senders that they send no more orders below a fence.
	fencedSenders map[arbutusfork.Incarnation]fenceConfirmation
	// goneSenders are the earlier senders that the platform no longer lists.
	goneSenders map[arbutusfork.Incarnation]bool
	// loadCopies counts how often a load for an empty placement was sent under the current fence.
	loadCopies map[placement]int
	// fenceRequestedAt is when an earlier sender was last asked to send no more orders.
	fenceRequestedAt map[arbutusfork.Incarnation]time.Time

	demand        map[string]modelDemand  // demand is the demand by model.
	arrivalRates  map[string]arrivalRate  // arrivalRates are the observed arrival rates by model.
	idleGaps      idleGaps                // idleGaps counts the idle times of all models.
	lastUsedAt    map[string]time.Time    // lastUsedAt is when a model last had a request.
	loadStarts    map[placement]loadStart // loadStarts are the last loads that this VM started.
	loadBudget    float64                 // loadBudget is the number of loads within the weight store's rate limit, as of loadBudgetAt.
	loadBudgetAt  time.Time               // loadBudgetAt is when loadBudget was last computed.
	storeSlowdown float64                 // storeSlowdown is the average ratio of actual to configured time of loads from the weight store.
	variant       protocolVariant
}

// placement is a model on an endpoint.
type placement struct{ endpoint, model string }

// sentOrder is the state of an order that this VM has sent.
type sentOrder struct {
	outcome    OrderOutcome
	hasOutcome bool
	changedAt  time.Time
}

// endpointReport is the last report of an endpoint.
type endpointReport struct {
	status EndpointStatus
	// requestedAt is when the report was requested.
	requestedAt time.Time
	// missedReports counts the failed status requests since the last report.
	missedReports int
}

// fenceConfirmation is an earlier sender's confirmation that it sends no more orders below the fence.
type fenceConfirmation struct {
	fence int64
	// unresolvedOrders are the IDs of sent orders of which the sender does not know the outcome.
	unresolvedOrders []int64
}

// loadStart is a load with the estimates that it was decided on.
type loadStart struct {
	startedAt   time.Time
	loadTime    time.Duration
	timeToReady time.Duration
	// fromStore means that the load reads from the weight store.
	fromStore bool
	// isDone means that the load's duration has been included in the store's slowdown.
	isDone bool
}

// protocolVariant switches off single rules of the protocol, so that tests can show that each rule is needed.
type protocolVariant struct {
	sendBeforeCommit        bool
	sendAfterLeaseEnd       bool
	ignoreExposedOrders     bool
	endChargeUnobserved     bool
	ignoreUnassignedModels  bool
	ignoreLostAnswers       bool
	ignoreMemoryLimit       bool
	ignoreReplicaLimit      bool
	takeOverEarly           bool
	trustOldReports         bool
	ignoreReportsValidAfter bool
	sendBelowMinFence       bool
	hideUnresolvedOrders    bool
	assumeCommitSucceeded   bool
	ignoreAcceptedFence     bool
}

// NewView returns the view of a VM that has not read the shard's record yet.
func NewView(self arbutusfork.Incarnation, cfg Config) View {
	return View{Self: self, cfg: cfg}
}

// HasLease reports whether this VM owns the shard at the time and may send orders.
func (v View) HasLease(now time.Time) bool {
	return v.isRecordedOwner() && now.Before(v.leaseEndsAt)
}

// isRecordedOwner reports whether the committed record names this VM as owner.
func (v View) isRecordedOwner() bool {
	return v.recordExists() && !v.isLost && v.record.Owner == v.Self
}

// Record returns the last record that this VM has read or committed, with its version.
func (v View) Record() (Record, int64) { return v.record, v.version }

// Step applies an event and returns the next view and the effects to carry out.
func (v View) Step(e Event, now time.Time) (View, []Effect) {
	var effects []Effect
	switch e := e.(type) {
	case ConfigChanged:
		v.cfg = e.Config
	case RecordFetched:
		v = v.applyRead(e, now)
	case CommitSucceeded:
		if afversion.Era(e.Version) != afversion.Era(v.version) {
			return v.Step(CommitFailed{}, now)
		}
		v = v.applyCommit(e)
	case CommitFailed:
		if p := v.pendingRecord; p != nil && v.variant.assumeCommitSucceeded {
			v.record = *p
		}
		v.pendingRecord, v.mustReadRecord, v.commitFailedAt = nil, true, now
		if v.variant.assumeCommitSucceeded {
			return v, nil
		}
		return v, []Effect{FetchRecord{}}
	case StatusPolled:
		v = v.applyStatus(e)
	case OrderAnswered:
		v = v.applyOutcome(e, now)
	case DemandReported:
		v = v.applyDemand(e, now)
	case RequestsArrived:
		v = v.applyArrivals(e, now)
	case ReportBatch:
		v = v.applyReportBatch(e, now)
	case SenderFenced:
		v.fencedSenders = mapWith(v.fencedSenders, e.Sender, fenceConfirmation{fence: e.Fence, unresolvedOrders: e.UnresolvedOrders})
		v = v.invalidateReports(e.Sender, now)
	case SenderGone:
		v.goneSenders = mapWith(v.goneSenders, e.Sender, true)
		v = v.invalidateReports(e.Sender, now)
	case SendFenceRaised:
		v.minSendFence = max(v.minSendFence, e.Fence)
	case ReleaseRequested:
		v.releaseRequested = true
	}
	v, effects = v.nextEffects(now)
	return v, effects
}

// nextEffects takes the shard over, or as its owner decides, renews the lease, sends orders and fences earlier senders.
func (v View) nextEffects(now time.Time) (View, []Effect) {
	if !v.isRecordedOwner() {
		return v.takeOverIfDue(now)
	}
	var effects []Effect
	if v.pendingRecord == nil && !v.mustReadRecord && now.Sub(v.commitFailedAt) >= commitRetryDelay {
		var commit []Effect
		v, commit = v.commitChanges(now)
		effects = append(effects, commit...)
	}
	v, sends := v.sendOrders(now)
	effects = append(effects, sends...)
	v, asks := v.fenceEarlierSenders(now)
	return v, append(effects, asks...)
}

// takeOverIfDue takes the shard over when its owner has released it or let the lease expire.
func (v View) takeOverIfDue(now time.Time) (View, []Effect) {
	if v.pendingRecord != nil || v.mustReadRecord || v.releaseRequested || now.Sub(v.commitFailedAt) < commitRetryDelay {
		return v, nil
	}
	wait := time.Duration(v.Rank) * time.Second
	switch {
	case v.isLost:
		if !v.continuesLease(now) && v.lostOwnersMayAct(wait) {
			return v, nil
		}
	case !v.recordExists():
		if v.absentSince.IsZero() || now.Sub(v.absentSince) < wait {
			return v, nil
		}
	case v.record.Owner.IsZero():
		if now.Sub(v.versionSeenAt) < wait {
			return v, nil
		}
	case v.variant.takeOverEarly:
	case v.versionReadAt.Sub(v.versionSeenAt) < takeoverDelay+wait/2:
		// Only a read shows that the owner has not renewed the lease. Without a read the version may be outdated.
		return v, nil
	}
	return v.startCommit(v.nextOwnerRecord(now), now)
}

// startCommit starts a commit of the record. Each commit renews the lease.
func (v View) startCommit(next Record, now time.Time) (View, []Effect) {
	next.CommitCount++
	v.pendingRecord, v.commitSentAt = &next, now
	if v.firstCommitSentAt.IsZero() {
		v.firstCommitSentAt = now
	}
	return v, []Effect{CommitRecord{Version: v.version, Record: next}}
}

// applyCommit makes the pending record the committed one and renews the lease from when the commit was sent.
func (v View) applyCommit(e CommitSucceeded) View {
	if v.pendingRecord == nil {
		return v
	}
	next := *v.pendingRecord
	if next.Fence != v.record.Fence || next.Owner != v.record.Owner {
		v = v.clearOwnerState()
		v.takeoverSentAt = v.commitSentAt
	}
	v.record, v.version, v.pendingRecord, v.firstCommitSentAt = next, e.Version, nil, time.Time{}
	v.renewedAt, v.versionSeenAt, v.isLost = v.commitSentAt, v.commitSentAt, false
	v.leaseEndsAt = v.commitSentAt.Add(LeaseTerm)
	v.commitFailedAt = time.Time{}
	return v
}

// clearOwnerState drops what this VM recorded as owner under an earlier fence, except for its orders without a known
// outcome.
func (v View) clearOwnerState() View {
	v.sentOrders = maps.Clone(v.sentOrders)
	maps.DeleteFunc(v.sentOrders, func(_ int64, f sentOrder) bool { return f.hasOutcome && f.outcome != OutcomeAnswerLost })
	v.fenceRequestedAt, v.answeredAt, v.reports, v.loadStarts, v.loadCopies = nil, nil, nil, nil, nil
	return v
}

// applyStatus stores an endpoint's report, or counts a missed one. Reports that were requested before the stored one
// are ignored.
func (v View) applyStatus(e StatusPolled) View {
	old := v.reports[e.Endpoint]
	if e.Failed {
		old.missedReports++
		v.reports = mapWith(v.reports, e.Endpoint, old)
		return v
	}
	if !old.requestedAt.IsZero() && !e.RequestedAt.After(old.requestedAt) {
		return v
	}
	v.reports = mapWith(v.reports, e.Endpoint, endpointReport{status: e.Status, requestedAt: e.RequestedAt})
	v = v.updateStoreSlowdown(e)
	if e.Status.Fence > v.acceptedFences[e.Endpoint] {
		v.acceptedFences = mapWith(v.acceptedFences, e.Endpoint, e.Status.Fence)
	}
	return v
}

// storeSlowdownWeight is the weight of the last load in the moving average of storeSlowdown.
const storeSlowdownWeight = 0.3

// updateStoreSlowdown includes the duration of loads from the weight store that the report shows as completed.
func (v View) updateStoreSlowdown(e StatusPolled) View {
	for _, m := range e.Status.Models {
		p := placement{e.Endpoint, m.Name}
		start, ok := v.loadStarts[p]
		if m.State != stateLoaded || !ok || !start.fromStore || start.isDone || start.loadTime <= 0 || !e.RequestedAt.After(start.startedAt) {
			continue
		}
		start.isDone = true
		v.loadStarts = mapWith(v.loadStarts, p, start)
		ratio := float64(e.RequestedAt.Sub(start.startedAt)) / float64(start.loadTime)
		v.storeSlowdown = (1-storeSlowdownWeight)*max(v.storeSlowdown, 1) + storeSlowdownWeight*max(ratio, 1)
	}
	return v
}

// applyOutcome stores the outcome of an order that this VM has sent.
func (v View) applyOutcome(e OrderAnswered, now time.Time) View {
	o, ok := v.record.orderByID(e.OrderID)
	if !ok && e.Outcome != OutcomeAnswerLost || e.Outcome == OutcomeNotSent {
		v.sentOrders = maps.Clone(v.sentOrders)
		delete(v.sentOrders, e.OrderID)
	}
	if !ok && e.Outcome == OutcomeAnswerLost {
		v.sentOrders = mapWith(v.sentOrders, e.OrderID, sentOrder{outcome: OutcomeAnswerLost, hasOutcome: true, changedAt: now})
	}
	if !ok {
		return v
	}
	if e.Outcome == OutcomeNotSent {
		v.answeredAt = mapWith(v.answeredAt, placement{o.Endpoint, o.Model}, now)
		return v
	}
	if e.Outcome == OutcomeAccepted && o.Fence > v.acceptedFences[o.Endpoint] {
		v.acceptedFences = mapWith(v.acceptedFences, o.Endpoint, o.Fence)
		v.reportsValidAfter = mapWith(v.reportsValidAfter, o.Endpoint, now)
	}
	v.sentOrders = mapWith(v.sentOrders, e.OrderID, sentOrder{outcome: e.Outcome, hasOutcome: true, changedAt: now})
	v.answeredAt = mapWith(v.answeredAt, placement{o.Endpoint, o.Model}, now)
	return v
}

// invalidateReports makes the earlier reports of all endpoints with orders of the sender void, because an order that
// ends now may have arrived after the report.
func (v View) invalidateReports(sender arbutusfork.Incarnation, now time.Time) View {
	for _, o := range v.record.Orders {
		if o.Sender == sender {
			v.reportsValidAfter = mapWith(v.reportsValidAfter, o.Endpoint, now)
		}
	}
	return v
}

// UnresolvedOrders returns the IDs of the sent orders of which this VM does not know the outcome, as the answer to
// FenceSender. The caller must have applied SendFenceRaised first, so that no order below the fence is sent any more.
func (v View) UnresolvedOrders() (unresolved []int64) {
	if v.variant.hideUnresolvedOrders {
		return nil
	}
	for id, f := range v.sentOrders {
		if !f.hasOutcome || f.outcome == OutcomeAnswerLost {
			unresolved = append(unresolved, id)
		}
	}
	slices.Sort(unresolved)
	return unresolved
}

// mapWith returns a copy of the map in which k maps to x.
func mapWith[K comparable, V any](m map[K]V, k K, x V) map[K]V {
	c := maps.Clone(m)
	if c == nil {
		c = make(map[K]V)
	}
	c[k] = x
	return c
}
