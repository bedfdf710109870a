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

// inForce is the time within which an accepted change must be in force everywhere.
const inForce = 5 * time.Second

// guards switches off single rules, to show that the properties need them.
type guards struct {
	minority bool // Evidence of any witness suffices.
	eager    bool // A VM vouches before it has ever been fresh.
	early    bool // Evidence from before the reader's start counts.
	single   bool // A change is accepted after one round of acknowledgements.
}

// machine models VMs, the platform and the messages between them. Messages are answered and delivered at any
// later moment or never, so that pauses, slow links and lost heartbeats need no further model.
type machine struct {
	guards
	now      time.Time
	platform *Snapshot
	up       bool
	nodes    []*node
	cut      map[[2]int]bool // cut holds the pairs of nodes that cannot talk; node -1 is the platform.
	asked    []*question
	confirms []*confirming
	accepted []acceptance
}

type node struct {
	id       int
	start    time.Time
	count    int64 // count tells the incarnations apart.
	paused   bool
	snapshot *Snapshot
	view     FreshnessView
}

// question is a heartbeat or a probe under way.
type question struct {
	from, to int
	count    int64 // count is the incarnation that asked.
	sent     time.Time
	answer   func(*node) // answer delivers the answer, nil until it is given.
}

type confirming struct {
	by      int
	count   int64
	set     WitnessSet
	next    *WitnessSet // next is what to write once the set is confirmed.
	version int64
	c       Confirmation
}

type acceptance struct {
	version int64
	at      time.Time
}

const platformID = -1

func nodeName(i int) string { return "vm" + strconv.Itoa(i) }

// newMachine starts n VMs, the first w of which are the witnesses. All are fresh and hold the same version.
func newMachine(n, w int, g guards) *machine {
	m := &machine{guards: g, now: time.Unix(1000, 0), up: true, cut: make(map[[2]int]bool), platform: new(Snapshot)}
	set := WitnessSet{Epoch: 1}
	for i := range w {
		set.VMs = append(set.VMs, nodeName(i))
	}
	m.write(set)
	for i := range n {
		m.nodes = append(m.nodes, &node{id: i})
		m.restart(i)
		m.sync(i)
		m.probe(i)
	}
	return m
}

func (m *machine) write(set WitnessSet) {
	spec, _ := json.Marshal(set) // A plain struct can always be encoded.
	m.platform, _ = m.platform.WithObjects(0, afobject.Object{
		Kind: afobject.KindWitnesses, Name: SingletonName, Version: m.platform.Version + 1, Spec: spec,
	})
}

// change commits a change on the platform, as the withdrawal of a key would.
func (m *machine) change() {
	spec, _ := json.Marshal(arbutusfork.APIKey{Name: "k", Digest: "d", IsWithdrawn: true}) // As above.
	m.platform, _ = m.platform.WithObjects(0, afobject.Object{
		Kind: afobject.KindKeys, Name: "k", Version: m.platform.Version + 1, Spec: spec,
	})
}

func (m *machine) restart(i int) {
	n := m.nodes[i]
	n.count++
	n.start, n.snapshot, n.paused = m.now, new(Snapshot), false
	n.view = FreshnessView{SelfName: nodeName(i), StartedAt: m.now, minority: m.minority}
	if m.early {
		n.view.StartedAt = time.Time{}
	}
}

// reaches reports whether a message can pass between two nodes now.
func (m *machine) reaches(i, j int) bool {
	for _, k := range []int{i, j} {
		if k != platformID && m.nodes[k].paused || k == platformID && !m.up {
			return false
		}
	}
	return !m.cut[[2]int{min(i, j), max(i, j)}]
}

func (m *machine) setCut(i, j int, cut bool) { m.cut[[2]int{min(i, j), max(i, j)}] = cut }

func (n *node) take(m *machine, d Delta) {
	n.snapshot, _ = n.snapshot.MergeDelta(d)
	n.view = n.view.WithSnapshot(n.snapshot).AllowVouchingIfFresh(m.now)
}

func (m *machine) sync(i int) {
	if m.reaches(i, platformID) {
		m.nodes[i].take(m, m.platform.ChangesSince(m.nodes[i].snapshot.Version))
	}
}

func (m *machine) pull(i, j int) {
	if m.reaches(i, j) {
		m.nodes[i].take(m, m.nodes[j].snapshot.ChangesSince(m.nodes[i].snapshot.Version))
	}
}

// ask starts a heartbeat, or a probe if to is the platform.
func (m *machine) ask(from, to int) *question {
	q := &question{from: from, to: to, count: m.nodes[from].count, sent: m.now}
	m.asked = append(m.asked, q)
	return q
}

// step answers a question, or delivers its answer. Answers to an earlier incarnation are lost.
func (m *machine) step(q *question) {
	if !m.reaches(q.from, q.to) {
		return
	}
	switch {
	case q.answer != nil:
		m.drop(q)
		if n := m.nodes[q.from]; n.count == q.count {
			q.answer(n)
			n.view = n.view.AllowVouchingIfFresh(m.now)
		}
	case q.to == platformID:
		p := Probe{Version: m.platform.Version, RequestedAt: q.sent}
		q.answer = func(n *node) { n.view = n.view.WithProbe(p) }
	default:
		w := m.nodes[q.to]
		var list []Evidence
		for _, e := range w.view.RecentEvidence(m.now) {
			e.RequestedAt = q.sent.Add(-m.now.Sub(e.RequestedAt))
			list = append(list, e)
		}
		if w.view.CanVouch() || m.eager {
			list = append(list, Evidence{
				Witness: nodeName(q.to), Start: w.count, Version: w.view.Version(),
				Epoch: w.view.Witnesses().Epoch, RequestedAt: q.sent,
			})
		}
		q.answer = func(n *node) { n.view = n.view.WithEvidence(list...) }
	}
}

func (m *machine) drop(q *question) {
	m.asked = slices.DeleteFunc(m.asked, func(other *question) bool { return other == q })
}

func (m *machine) probe(i int) { m.exchange(i, platformID) }

// exchange is a heartbeat that is answered and delivered at once.
func (m *machine) exchange(i, j int) {
	q := m.ask(i, j)
	m.step(q)
	m.step(q)
	m.drop(q)
}

// confirm starts the confirmation of what a node holds; a next set is written once the node's set is confirmed.
func (m *machine) confirm(by int, next *WitnessSet) *confirming {
	n := m.nodes[by]
	version := n.snapshot.Version
	if next != nil {
		version = n.snapshot.ObjectVersion(afobject.KindWitnesses, SingletonName)
	}
	c := &confirming{by: by, count: n.count, version: version, next: next, set: n.snapshot.Witnesses()}
	c.c = NewConfirmation(version, c.set)
	c.c.single = m.single
	m.confirms = append(m.confirms, c)
	return c
}

// ack asks the k-th witness of a confirmation in its present round.
func (m *machine) ack(c *confirming, k int) {
	round, vms := c.c.CurrentRound()
	if len(vms) == 0 || m.nodes[c.by].count != c.count {
		return
	}
	var w int
	_, _ = fmt.Sscanf(vms[k%len(vms)], "vm%d", &w) // The names come from nodeName.
	if w != c.by && !m.reaches(c.by, w) || c.c.IsAccepted() {
		return
	}
	c.c = c.c.WithAcknowledgement(round, nodeName(w), m.nodes[w].count, m.nodes[w].snapshot.Version)
	if !c.c.IsAccepted() {
		return
	}
	m.accepted = append(m.accepted, acceptance{c.version, m.now})
	current := m.platform.ObjectVersion(afobject.KindWitnesses, SingletonName)
	if c.next != nil && m.reaches(c.by, platformID) && c.version == current {
		m.write(*c.next)
	}
}

// check returns an error if a VM that is fresh lacks an accepted change that it must hold by now, or one that
// was accepted before it started.
func (m *machine) check() error {
	for i, n := range m.nodes {
		if !n.view.IsFresh(m.now) {
			continue
		}
		for _, a := range m.accepted {
			if n.snapshot.Version < a.version && (m.now.Sub(a.at) > inForce || a.at.Before(n.start)) {
				return errors.Errorf("vm%d is fresh at version %d; %d was accepted %v ago, %v before its start",
					i, n.snapshot.Version, a.version, m.now.Sub(a.at), n.start.Sub(a.at))
			}
		}
	}
	return nil
}
