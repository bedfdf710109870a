// Package afcrash shares between the VMs which requests were in progress when endpoints crashed, and keeps requests whose
// prompts crash endpoints from being sent (package afquarantine decides which ones).
//
// New facts spread from each VM to its heartbeat peers. In addition, VMs compare digests, so that a VM that has restarted
// or was unreachable learns what it missed. Neither needs the platform. The quarantines are also kept in the record of the
// placement lease, for the case that all VMs restart at once.
package afcrash

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afquarantine"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// spreadInterval is the time between two messages with new facts to a VM.
	spreadInterval = 100 * time.Millisecond
	// compareInterval is the time between two comparisons of digests with some VM.
	compareInterval = time.Second
	// startInterval is the time after the start in which each comparison includes all heartbeat peers, since this VM may have
	// missed facts.
	startInterval = 5 * time.Second
)

// Service holds this VM's copy of the evidence. Set the exported fields before Run.
type Service struct {
	Timer *aftimer.Service
	Log   *slog.Logger
	// HeartbeatPeers returns the VMs to which new facts are sent.
	HeartbeatPeers func() []arbutusfork.VM
	// SendToVM sends a message to a VM. It must not block.
	SendToVM func(vm, kind string, message any) error
	// OnStart is called with each start of an endpoint that crashed. It must not block. Nil does nothing.
	OnStart func(e afengine.EndpointStart)
	// OnQuarantine is called after the quarantines changed. It must not block.
	OnQuarantine func()
	// WallClock returns the time of day for notes, which outlive the process. Nil means time.Now.
	WallClock func() time.Time
	// Metrics counts crashes and quarantines. The zero value counts nothing.
	Metrics Metrics

	history afquarantine.History
	// suspected holds the suspected parts of the state, so that answers with other parts need no lock.
	suspected atomic.Pointer[map[afquarantine.PartKey]bool]
	state     atomic.Pointer[afquarantine.State]

	// mu serializes changes of the state and guards the fields below.
	mu sync.Mutex
	// pending holds the facts that were not sent to the heartbeat peers yet.
	pending pendingFacts
	// isSpreadScheduled and isDecisionScheduled mean that a timer will send the pending facts or decide.
	isSpreadScheduled, isDecisionScheduled bool
	startedAt                              time.Time
	// nextPeer is the position of the heartbeat peer of the next comparison.
	nextPeer int
}

// pendingFacts are facts to send.
type pendingFacts struct {
	crashes     []afquarantine.Crash
	answers     map[afquarantine.PartKey]time.Time
	quarantines []afquarantine.Quarantine
}

func (p pendingFacts) isEmpty() bool {
	return len(p.crashes) == 0 && len(p.answers) == 0 && len(p.quarantines) == 0
}

// Metrics counts what the service learns.
type Metrics struct {
	crashes, quarantines, messages prometheus.Counter
}

// NewMetrics registers the metrics and returns them.
func NewMetrics(r prometheus.Registerer) Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	return Metrics{
		crashes:     counter("arbutusfork_crash_crashes_total", "Crashes of endpoints under requests with prompts, as far as this VM knows."),
		quarantines: counter("arbutusfork_crash_quarantines_total", "Quarantines of parts of prompts that this VM decided on or learnt of."),
		messages:    counter("arbutusfork_crash_messages_total", "Messages with facts or digests to other VMs."),
	}
}

func count(c prometheus.Counter) {
	if c != nil {
		c.Inc()
	}
}

// Run compares the state with other VMs until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.startedAt = s.Timer.Now()
	s.mu.Unlock()
	comparisons := s.Timer.CallEvery(compareInterval, s.compareWithPeers)
	defer comparisons.Stop()
	<-ctx.Done()
}

// State returns the current state.
func (s *Service) State() afquarantine.State {
	if state := s.state.Load(); state != nil {
		return *state
	}
	return afquarantine.State{}
}

// FindQuarantine reports whether requests of the service with the parts must not be sent, and for how long.
func (s *Service) FindQuarantine(service string, parts []string) (time.Duration, bool) {
	state := s.state.Load()
	if state == nil || len(parts) == 0 {
		return 0, false
	}
	now := s.Timer.Now()
	q, ok := state.Match(service, parts, now)
	return q.Until.Sub(now), ok
}

// RecordAnswer records that a request with the parts was answered, and when its answer began.
func (s *Service) RecordAnswer(service string, parts []string, beganAt time.Time) {
	s.history.RecordAnswer(service, parts, beganAt)
	suspected := s.suspected.Load()
	if suspected == nil {
		return
	}
	for _, part := range parts {
		if (*suspected)[afquarantine.PartKey{Service: service, Part: part}] {
			s.learn(pendingFacts{answers: map[afquarantine.PartKey]time.Time{{Service: service, Part: part}: beganAt}})
		}
	}
}

// RecordCrash records the crash of an endpoint as this VM saw it.
func (s *Service) RecordCrash(c afquarantine.Crash) {
	s.learn(pendingFacts{crashes: []afquarantine.Crash{c}})
}

// learn adds facts to the state and schedules what follows from them.
func (s *Service) learn(facts pendingFacts) {
	s.mu.Lock()
	hasChanged := s.addFacts(facts)
	s.mu.Unlock()
	if s.OnStart != nil {
		for _, c := range facts.crashes {
			s.OnStart(afengine.EndpointStart{Endpoint: c.Endpoint, StartUnixMs: c.StartUnixMs})
		}
	}
	if hasChanged && s.OnQuarantine != nil {
		s.OnQuarantine()
	}
}

// addFacts adds facts to the state, and those that are new to the pending ones. It reports whether the quarantines have
// changed. The caller holds mu.
func (s *Service) addFacts(facts pendingFacts) (haveQuarantinesChanged bool) {
	state, now := s.State(), s.Timer.Now()
	hadPending := !s.pending.isEmpty()
	for _, c := range facts.crashes {
		var merged afquarantine.Crash
		var isNew bool
		if state, merged, isNew = state.WithCrash(c); isNew {
			s.pending.addCrash(merged)
			count(s.Metrics.crashes)
			s.Log.Info("endpoint crashed", "service", c.Service, "endpoint", c.Endpoint, "suspects", len(merged.Suspects))
		}
	}
	for key, at := range facts.answers {
		var isNew bool
		if state, isNew = state.WithAnswer(key, at); isNew {
			s.pending.addAnswer(key, at)
			haveQuarantinesChanged = true
		}
	}
	for _, q := range facts.quarantines {
		var isNew bool
		if state, isNew = state.WithQuarantine(q); isNew {
			s.addQuarantine(q, "learnt")
			haveQuarantinesChanged = true
		}
	}
	if !hadPending && s.pending.isEmpty() {
		return false
	}
	suspected := state.SuspectedParts(now)
	for key := range suspected {
		if at, ok := s.history.LastAnswer(key); ok {
			var isNew bool
			if state, isNew = state.WithAnswer(key, at); isNew {
				s.pending.addAnswer(key, at)
			}
		}
	}
	s.state.Store(&state)
	s.suspected.Store(&suspected)
	s.scheduleWork(len(facts.crashes) > 0)
	return haveQuarantinesChanged
}

// addQuarantine logs and counts a quarantine and adds it to the pending facts. The caller holds mu.
func (s *Service) addQuarantine(q afquarantine.Quarantine, origin string) {
	s.pending.quarantines = append(s.pending.quarantines, q)
	count(s.Metrics.quarantines)
	s.Log.Warn("prompt part quarantined", "service", q.Service, "parts", strings.Join(q.Parts, ","), "until", q.Until, "renewals", q.Renewals, "origin", origin)
}

// scheduleWork schedules the sending of pending facts, and a decision if a crash was added. The caller holds mu.
func (s *Service) scheduleWork(needsDecision bool) {
	if !s.pending.isEmpty() && !s.isSpreadScheduled {
		s.isSpreadScheduled = true
		s.Timer.CallAfter(spreadInterval, s.spread)
	}
	if needsDecision && !s.isDecisionScheduled {
		s.isDecisionScheduled = true
		s.Timer.CallAfter(afquarantine.SettleDelay, s.decide)
	}
}

// decide adds the quarantines that follow from the evidence.
func (s *Service) decide(now time.Time) {
	s.mu.Lock()
	s.isDecisionScheduled = false
	state, decided := s.State().WithDecisions(now)
	s.state.Store(&state)
	for _, q := range decided {
		s.addQuarantine(q, "decided")
	}
	suspected := state.SuspectedParts(now)
	s.suspected.Store(&suspected)
	crashes := state.Crashes()
	s.scheduleWork(len(crashes) > 0 && now.Sub(crashes[len(crashes)-1].At) < afquarantine.SettleDelay)
	s.mu.Unlock()
	if len(decided) > 0 && s.OnQuarantine != nil {
		s.OnQuarantine()
	}
}

// spread sends the pending facts to the heartbeat peers.
func (s *Service) spread(time.Time) {
	s.mu.Lock()
	s.isSpreadScheduled = false
	facts := s.pending
	s.pending = pendingFacts{}
	s.mu.Unlock()
	if facts.isEmpty() {
		return
	}
	message := s.encodeFacts(facts)
	for _, vm := range s.HeartbeatPeers() {
		s.send(vm.Name, KindFacts, message)
	}
}

// compareWithPeers sends a digest of the state to a heartbeat peer, or to all of them soon after the start. It sends nothing
// while nothing is known.
func (s *Service) compareWithPeers(now time.Time) {
	s.mu.Lock()
	state := s.State().WithoutExpired(now)
	s.state.Store(&state)
	isStart := now.Sub(s.startedAt) < startInterval
	s.nextPeer++
	next := s.nextPeer
	s.mu.Unlock()
	peers := s.HeartbeatPeers()
	if state.IsEmpty() && !isStart || len(peers) == 0 {
		return
	}
	if !isStart {
		peers = peers[next%len(peers):][:1]
	}
	for _, vm := range peers {
		s.send(vm.Name, KindDigest, digestMessage{Digest: state.Digest()})
	}
}

// send sends a message to a VM. A message that is lost is made up for by the next comparison.
func (s *Service) send(vm, kind string, message any) {
	count(s.Metrics.messages)
	if err := s.SendToVM(vm, kind, message); err != nil {
		s.Log.Debug("crash message not sent", "to", vm, "kind", kind, "error", err)
	}
}

// addCrash adds a crash, or replaces an earlier description of the same crash.
func (p *pendingFacts) addCrash(c afquarantine.Crash) {
	for i, known := range p.crashes {
		if known.Endpoint == c.Endpoint && known.StartUnixMs == c.StartUnixMs && known.Service == c.Service {
			p.crashes[i] = c
			return
		}
	}
	p.crashes = append(p.crashes, c)
}

// addAnswer adds the time of an answer.
func (p *pendingFacts) addAnswer(key afquarantine.PartKey, at time.Time) {
	if p.answers == nil {
		p.answers = make(map[afquarantine.PartKey]time.Time)
	}
	p.answers[key] = at
}
