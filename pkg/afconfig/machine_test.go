package afconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// maxEnforcementDelay is the time within which an accepted change must be in force on every VM.
const maxEnforcementDelay = 5 * time.Second

// disabledRules disables single rules, to show that the freshness property depends on each of them.
type disabledRules struct {
	acceptsMinority        bool // The evidence of one witness is sufficient.
	vouchesUnconditionally bool // A VM gives evidence before it has been fresh for the first time.
	acceptsEarlierEvidence bool // Evidence from before the start of the receiver counts.
	skipsSecondRound       bool // A change is accepted after one round of acknowledgements.
}

// clusterModel models VMs, the platform and the messages between them. A request may be answered, and its answer
// delivered, at any later moment or never, which covers pauses, slow links and lost heartbeats.
type clusterModel struct {
	disabledRules
	now          time.Time
	platform     *Snapshot
	isPlatformUp bool
	vms          []*modelVM
	// cutLinks holds the pairs of VMs, or of platformID and a VM, between which no message passes.
	cutLinks      map[[2]int]bool
	requests      []*request
	confirmations []*confirmationRun
	accepted      []acceptance
}

type modelVM struct {
	id          int
	startedAt   time.Time
	incarnation int64 // incarnation increases with each restart.
	isPaused    bool
	snapshot    *Snapshot
	view        FreshnessView
}

// request is a heartbeat or a probe in flight.
type request struct {
	from, to    int
	incarnation int64 // incarnation is that of the VM that sent the request.
	sentAt      time.Time
	// deliverAnswer applies the answer to the sender. It is nil until the receiver has answered.
	deliverAnswer func(*modelVM)
}

type confirmationRun struct {
	initiator    int
	incarnation  int64
	set          WitnessSet
	nextSet      *WitnessSet // nextSet is the witness set to write once version is confirmed. It may be nil.
	version      int64
	confirmation Confirmation
}

type acceptance struct {
	version    int64
	acceptedAt time.Time
}

// platformID stands for the platform where the number of a VM is expected.
const platformID = -1

func vmName(i int) string { return "vm" + strconv.Itoa(i) }

// newClusterModel returns a model of n running VMs, of which the first w are the witnesses. All VMs are fresh and hold
// the same version.
func newClusterModel(n, w int, g disabledRules) *clusterModel {
	m := &clusterModel{
		disabledRules: g, now: time.Unix(1000, 0), isPlatformUp: true, cutLinks: make(map[[2]int]bool), platform: new(Snapshot),
	}
	set := WitnessSet{Epoch: 1}
	for i := range w {
		set.VMs = append(set.VMs, vmName(i))
	}
	m.writeWitnesses(set)
	for i := range n {
		m.vms = append(m.vms, &modelVM{id: i})
		m.restartVM(i)
		m.pullFromPlatform(i)
		m.probePlatform(i)
	}
	return m
}

func (m *clusterModel) writeWitnesses(set WitnessSet) {
	spec, _ := json.Marshal(set) // A WitnessSet can always be encoded.
	m.platform, _ = m.platform.WithObjects(0, afobject.Object{
		Kind: afobject.KindWitnesses, Name: SingletonName, Version: m.platform.Version + 1, Spec: spec,
	})
}

// withdrawKey commits the withdrawal of a key on the platform.
func (m *clusterModel) withdrawKey() {
	spec, _ := json.Marshal(arbutusfork.APIKey{Name: "k", Digest: "d", IsWithdrawn: true}) // An APIKey can always be encoded.
	m.platform, _ = m.platform.WithObjects(0, afobject.Object{
		Kind: afobject.KindKeys, Name: "k", Version: m.platform.Version + 1, Spec: spec,
	})
}

func (m *clusterModel) restartVM(i int) {
	n := m.vms[i]
	n.incarnation++
	n.startedAt, n.snapshot, n.isPaused = m.now, new(Snapshot), false
	n.view = FreshnessView{SelfName: vmName(i), StartedAt: m.now, acceptsMinority: m.acceptsMinority}
	if m.acceptsEarlierEvidence {
		n.view.StartedAt = time.Time{}
	}
}

// canReach reports whether a message can pass between two VMs, or between a VM and the platform.
func (m *clusterModel) canReach(i, j int) bool {
	for _, k := range []int{i, j} {
		if k != platformID && m.vms[k].isPaused || k == platformID && !m.isPlatformUp {
			return false
		}
	}
	return !m.cutLinks[[2]int{min(i, j), max(i, j)}]
}

func (m *clusterModel) setLinkCut(i, j int, cut bool) { m.cutLinks[[2]int{min(i, j), max(i, j)}] = cut }

func (n *modelVM) applyDelta(m *clusterModel, d Delta) {
	n.snapshot, _ = n.snapshot.MergeDelta(d)
	n.view = n.view.WithSnapshot(n.snapshot).AllowVouchingIfFresh(m.now)
}

func (m *clusterModel) pullFromPlatform(i int) {
	if m.canReach(i, platformID) {
		m.vms[i].applyDelta(m, m.platform.ChangesSince(m.vms[i].snapshot.Version))
	}
}

func (m *clusterModel) pullFromPeer(i, j int) {
	if m.canReach(i, j) {
		m.vms[i].applyDelta(m, m.vms[j].snapshot.ChangesSince(m.vms[i].snapshot.Version))
	}
}

// startRequest sends a heartbeat, or a probe if to is platformID.
func (m *clusterModel) startRequest(from, to int) *request {
	q := &request{from: from, to: to, incarnation: m.vms[from].incarnation, sentAt: m.now}
	m.requests = append(m.requests, q)
	return q
}

// advanceRequest makes the receiver answer a request, or delivers the answer if there is one. The answer to an earlier
// incarnation of the sender is discarded.
func (m *clusterModel) advanceRequest(q *request) {
	if !m.canReach(q.from, q.to) {
		return
	}
	switch {
	case q.deliverAnswer != nil:
		m.dropRequest(q)
		if n := m.vms[q.from]; n.incarnation == q.incarnation {
			q.deliverAnswer(n)
			n.view = n.view.AllowVouchingIfFresh(m.now)
		}
	case q.to == platformID:
		p := Probe{Version: m.platform.Version, RequestedAt: q.sentAt}
		q.deliverAnswer = func(n *modelVM) { n.view = n.view.WithProbe(p) }
	default:
		w := m.vms[q.to]
		var list []Evidence
		for _, e := range w.view.RecentEvidence(m.now) {
			e.RequestedAt = q.sentAt.Add(-m.now.Sub(e.RequestedAt))
			list = append(list, e)
		}
		if w.view.CanVouch() || m.vouchesUnconditionally {
			list = append(list, Evidence{
				Witness: vmName(q.to), Start: w.incarnation, Version: w.view.Version(),
				Epoch: w.view.Witnesses().Epoch, RequestedAt: q.sentAt,
			})
		}
		q.deliverAnswer = func(n *modelVM) { n.view = n.view.WithEvidence(list...) }
	}
}

func (m *clusterModel) dropRequest(q *request) {
	m.requests = slices.DeleteFunc(m.requests, func(other *request) bool { return other == q })
}

func (m *clusterModel) probePlatform(i int) { m.exchangeHeartbeat(i, platformID) }

// exchangeHeartbeat sends a heartbeat from VM i to j, or a probe if j is platformID, and delivers the answer at once.
func (m *clusterModel) exchangeHeartbeat(i, j int) {
	q := m.startRequest(i, j)
	m.advanceRequest(q)
	m.advanceRequest(q)
	m.dropRequest(q)
}

// startConfirmation starts the confirmation of the version that a VM holds. If next is not nil, the version of the VM's
// witness set is confirmed instead, and next replaces the set afterwards.
func (m *clusterModel) startConfirmation(by int, next *WitnessSet) *confirmationRun {
	n := m.vms[by]
	version := n.snapshot.Version
	if next != nil {
		version = n.snapshot.ObjectVersion(afobject.KindWitnesses, SingletonName)
	}
	c := &confirmationRun{
		initiator: by, incarnation: n.incarnation, version: version, nextSet: next, set: n.snapshot.Witnesses(),
	}
	c.confirmation = NewConfirmation(version, c.set)
	c.confirmation.skipsSecondRound = m.skipsSecondRound
	m.confirmations = append(m.confirmations, c)
	return c
}

// askWitness asks the k-th witness of a confirmation in the current round.
func (m *clusterModel) askWitness(c *confirmationRun, k int) {
	round, vms := c.confirmation.CurrentRound()
	if len(vms) == 0 || m.vms[c.initiator].incarnation != c.incarnation {
		return
	}
	var w int
	_, _ = fmt.Sscanf(vms[k%len(vms)], "vm%d", &w) // The names come from vmName.
	if w != c.initiator && !m.canReach(c.initiator, w) || c.confirmation.IsAccepted() {
		return
	}
	c.confirmation = c.confirmation.WithAcknowledgement(round, vmName(w), m.vms[w].incarnation, m.vms[w].snapshot.Version)
	if !c.confirmation.IsAccepted() {
		return
	}
	m.accepted = append(m.accepted, acceptance{c.version, m.now})
	current := m.platform.ObjectVersion(afobject.KindWitnesses, SingletonName)
	if c.nextSet != nil && m.canReach(c.initiator, platformID) && c.version == current {
		m.writeWitnesses(*c.nextSet)
	}
}

// checkFreshness returns an error if a fresh VM lacks a change that was accepted more than maxEnforcementDelay ago or
// before the VM started.
func (m *clusterModel) checkFreshness() error {
	for i, n := range m.vms {
		if !n.view.IsFresh(m.now) {
			continue
		}
		for _, a := range m.accepted {
			if n.snapshot.Version < a.version &&
				(m.now.Sub(a.acceptedAt) > maxEnforcementDelay || a.acceptedAt.Before(n.startedAt)) {
				return errors.Errorf("vm%d is fresh at version %d, but version %d was accepted %v ago, %v before its start",
					i, n.snapshot.Version, a.version, m.now.Sub(a.acceptedAt), n.startedAt.Sub(a.acceptedAt))
			}
		}
	}
	return nil
}
