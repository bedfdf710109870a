// Package afslot keeps the requests of all VMs to an endpoint within the limit that the endpoint names, and within the rate that the
// configuration sets for its service. What one VM learns
// from an answer spreads to the others over the heartbeat peers, and VMs compare digests of what they know. Before a VM sends
// a request to a limited endpoint, it asks the endpoint's home VM for a slot (package afpace), or the VM that ranks next while
// the home VM does not answer. Neither needs the platform.
package afslot

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afpace"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// spreadInterval is the time between two messages with new limits to a VM.
	spreadInterval = 100 * time.Millisecond
	// compareInterval is the time between two comparisons of digests with some VM.
	compareInterval = time.Second
	// startInterval is the time after the start in which this VM compares digests although it knows no limit.
	startInterval = 5 * time.Second
	// askTimeout bounds a request for a slot. A round trip takes some milliseconds, but a VM whose processor time is a quota may
	// pause for a tenth of a second on either side.
	askTimeout = 250 * time.Millisecond
	// silenceTime is how long a VM that did not answer is not asked again.
	silenceTime = time.Second
	// minClosedTime is the least time for which an endpoint without a free slot gets no requests of this VM.
	minClosedTime = 50 * time.Millisecond
	// maxKnownSlots bounds the endpoints for which the time of the next slot is kept.
	maxKnownSlots = 4096
)

// Service keeps the limits on one VM. Set the exported fields before the first call.
type Service struct {
	// Self is the name of this VM.
	Self  string
	Timer *aftimer.Service
	Log   *slog.Logger
	// LiveVMs returns the VMs that take work, including this one unless it is leaving.
	LiveVMs func() []arbutusfork.VM
	// HeartbeatPeers returns the VMs to which new limits are sent.
	HeartbeatPeers func() []arbutusfork.VM
	// SendToVM sends a message to a VM. It must not block.
	SendToVM func(vm, kind string, message any) error
	// CallVM sends a message to a VM and waits for the answer.
	CallVM func(ctx context.Context, vm, kind string, message, answer any) error
	// OnStart is called with each start of an endpoint about which something new was heard. It must not block. Nil does nothing.
	OnStart func(e afengine.EndpointStart)
	// OnSlotFree is called when waiting requests should be checked again. It must not block.
	OnSlotFree func()
	// OwnPace returns the rate of an endpoint, whatever its start, if the configuration paces its service, and whether it is cold. Nil
	// paces none.
	OwnPace func(e afengine.EndpointStart) (perSecond float64, isPaced, isCold bool)
	// PacedEndpoints returns the IDs of the listed endpoints that the configuration paces. Nil means none.
	PacedEndpoints func() []string
	// FleetSize returns the number of VMs that may be alive, or 0 if it is not known.
	FleetSize func() int
	// Go runs a function that waits for another VM. Nil runs it in a goroutine.
	Go func(fn func())
	// Metrics counts slots. The zero value counts nothing.
	Metrics Metrics

	limits atomic.Pointer[afpace.Limits]

	// mu serializes changes of the limits and guards the fields below.
	mu    sync.Mutex
	pacer afpace.Pacer
	// nextSlotAt holds when this VM expects the next free slot of an endpoint.
	nextSlotAt map[afengine.EndpointStart]time.Time
	// liveNames are the names of the live VMs, and liveSince is since when they are the same.
	liveNames []string
	liveSince time.Time
	// silentUntil holds the time until which a VM that did not answer a kind of message is not asked.
	silentUntil map[string]time.Time
	// pending holds the limits that were not sent to the heartbeat peers yet.
	pending   map[afengine.EndpointStart]afpace.Limit
	startedAt time.Time
	// nextPeer is the position of the heartbeat peer of the next comparison.
	nextPeer int
	// spacer gives out the slots of paced endpoints as far as supports allow, and paced holds what this VM knows about the next ones.
	spacer   afpace.Spacer
	supports supportState
	paced    map[string]pacedState
}

// Metrics counts requests for slots by result.
type Metrics struct {
	slots, withheld *prometheus.CounterVec
}

// NewMetrics registers the metrics and returns them.
func NewMetrics(r prometheus.Registerer) Metrics {
	f := promauto.With(r)
	return Metrics{
		slots: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_slot_requests_total", Help: "Requests of this VM for slots of limited endpoints, by whether one was granted.",
		}, []string{"granted"}),
		withheld: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_slot_withheld_total", Help: "Times that a request was withheld from an endpoint that may be cold, by whether it was known to be.",
		}, []string{"cold"}),
	}
}

// Run compares the known limits with other VMs until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.startedAt = s.Timer.Now()
	s.mu.Unlock()
	comparisons := s.Timer.CallEvery(compareInterval, s.compareWithPeer)
	defer comparisons.Stop()
	if s.PacedEndpoints != nil {
		supports := s.Timer.CallEvery(supportCheckInterval, s.renewSupports)
		defer supports.Stop()
	}
	<-ctx.Done()
}

// Limits returns the known limits.
func (s *Service) Limits() afpace.Limits {
	if limits := s.limits.Load(); limits != nil {
		return *limits
	}
	return afpace.Limits{}
}

// RecordAnswer records the limit that an endpoint named in an answer. Zero means that it named none.
func (s *Service) RecordAnswer(e afengine.EndpointStart, perSecond float64) {
	if perSecond == 0 && !s.Limits().Knows(e) {
		return
	}
	s.learn(func(l afpace.Limits) (afpace.Limits, map[afengine.EndpointStart]afpace.Limit) {
		return l.WithOwnAnswer(e, perSecond, s.Timer.Now())
	})
}

// learn changes the limits, and schedules the sending of those that are new.
func (s *Service) learn(change func(l afpace.Limits) (changed afpace.Limits, news map[afengine.EndpointStart]afpace.Limit)) {
	s.mu.Lock()
	limits, news := change(s.Limits())
	wasPending, isLifted := len(s.pending) > 0, false
	for e, limit := range news {
		if s.pending == nil {
			s.pending = make(map[afengine.EndpointStart]afpace.Limit)
		}
		s.pending[e] = limit
		if limit.PerSecond == 0 {
			isLifted = true
			delete(s.nextSlotAt, e)
		}
		s.Log.Info("endpoint limit changed", "endpoint", e.Endpoint, "limit", limit.PerSecond)
	}
	s.limits.Store(&limits)
	if !wasPending && len(s.pending) > 0 {
		s.Timer.CallAfter(spreadInterval, s.spread)
	}
	s.mu.Unlock()
	if s.OnStart != nil {
		for e := range news {
			s.OnStart(e)
		}
	}
	if isLifted && s.OnSlotFree != nil {
		s.OnSlotFree()
	}
}

// spread sends the new limits to the heartbeat peers.
func (s *Service) spread(now time.Time) {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	message := encodeLimits(pending, now)
	for _, vm := range s.HeartbeatPeers() {
		s.send(vm.Name, KindLimits, message)
	}
}

// compareWithPeer sends a digest of the known limits to the next heartbeat peer, so that a VM that has restarted or was
// unreachable learns what it missed. It sends nothing while no limit is known, except soon after the start.
func (s *Service) compareWithPeer(now time.Time) {
	s.mu.Lock()
	isStart := now.Sub(s.startedAt) < startInterval
	s.nextPeer++
	next := s.nextPeer
	s.mu.Unlock()
	peers := s.HeartbeatPeers()
	digest := s.Limits().Digest(now)
	if len(peers) == 0 || digest == 0 && !isStart {
		return
	}
	s.send(peers[next%len(peers)].Name, KindDigest, digestMessage{Digest: digest})
}

// send sends a message to a VM. A message that is lost is made up for by the next comparison.
func (s *Service) send(vm, kind string, message any) {
	if err := s.SendToVM(vm, kind, message); err != nil {
		s.Log.Debug("endpoint limits not sent", "to", vm, "kind", kind, "error", err)
	}
}

// ExpectedWait returns how long a request to the endpoint probably waits for a slot. It is zero for endpoints without a limit.
func (s *Service) ExpectedWait(e afengine.EndpointStart) time.Duration {
	now := s.Timer.Now()
	if _, isPaced, _ := s.pace(e, now); isPaced {
		return s.expectedPacedWait(e.Endpoint, now)
	}
	if _, isLimited := s.Limits().Limit(e, now); !isLimited {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.nextSlotAt[e].Sub(now), 0)
}

// ExpectRequest counts a request that is about to take a slot, so that ExpectedWait grows before the slot is taken.
func (s *Service) ExpectRequest(e afengine.EndpointStart) {
	now := s.Timer.Now()
	if perSecond, isPaced, _ := s.pace(e, now); isPaced {
		s.expectPacedRequest(e.Endpoint, perSecond, now)
		return
	}
	limit, isLimited := s.Limits().Limit(e, now)
	if !isLimited {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.nextSlotAt[e]
	if next.Before(now) {
		next = now
	}
	s.setNextSlot(e, next.Add(limit.Interval()))
}

// setNextSlot sets when this VM expects the next free slot of an endpoint. The caller holds mu.
func (s *Service) setNextSlot(e afengine.EndpointStart, at time.Time) {
	if s.nextSlotAt == nil || len(s.nextSlotAt) >= maxKnownSlots {
		s.nextSlotAt = make(map[afengine.EndpointStart]time.Time)
	}
	s.nextSlotAt[e] = at
}

// TakeSlot takes a slot of the endpoint, if the endpoint is limited. The request may be sent after the returned time. It
// returns false if no slot is free within maxWait.
func (s *Service) TakeSlot(ctx context.Context, e afengine.EndpointStart, maxWait time.Duration) (time.Duration, bool) {
	if perSecond, isPaced, isCold := s.pace(e, s.Timer.Now()); isPaced {
		return s.takePacedSlot(ctx, e, perSecond, isCold, maxWait)
	}
	limit, isLimited := s.Limits().Limit(e, s.Timer.Now())
	if !isLimited {
		return 0, true
	}
	slot := s.requestSlot(ctx, afpace.Request{Endpoint: e, PerSecond: limit.PerSecond, MaxWait: maxWait})
	now := s.Timer.Now()
	s.Metrics.countSlot(slot.IsGranted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot.IsGranted {
		s.setNextSlot(e, now.Add(slot.Wait+limit.Interval()))
		return slot.Wait, true
	}
	closedTime := max(slot.Wait-afpace.MaxAhead/2, minClosedTime)
	s.setNextSlot(e, now.Add(max(slot.Wait, closedTime)))
	s.Timer.CallAfter(closedTime, func(time.Time) {
		if s.OnSlotFree != nil {
			s.OnSlotFree()
		}
	})
	return 0, false
}

func (m Metrics) countSlot(isGranted bool) {
	if m.slots != nil {
		m.slots.WithLabelValues(strconv.FormatBool(isGranted)).Inc()
	}
}

// countWithheld counts a request that got no slot of a paced endpoint.
func (m Metrics) countWithheld(isCold bool) {
	if m.withheld != nil {
		m.withheld.WithLabelValues(strconv.FormatBool(isCold)).Inc()
	}
}

// requestSlot asks the home VM of the endpoint for a slot, or the VM that ranks next. While neither answers, no slot is granted:
// a single request of each VM of a large fleet would exceed most limits.
func (s *Service) requestSlot(ctx context.Context, r afpace.Request) afpace.Slot {
	for _, vm := range rankVMs(s.LiveVMs(), r.Endpoint, 2) {
		if vm.Name == s.Self {
			return s.takeOwnSlot(r)
		}
		if slot, ok := s.askVM(ctx, vm.Name, KindSlot, r.Endpoint.Endpoint, encodeRequest(r)); ok {
			return slot
		}
	}
	return afpace.Slot{Wait: silenceTime}
}

// rankVMs returns the home VM of an endpoint and the VMs that rank next, k in all.
func rankVMs(live []arbutusfork.VM, e afengine.EndpointStart, k int) []arbutusfork.VM {
	return afmember.HighestRanked(live, "limit/"+e.Endpoint, k)
}

// isHome reports whether a VM is the home VM of an endpoint.
func isHome(live []arbutusfork.VM, e afengine.EndpointStart, vm string) bool {
	first := rankVMs(live, e, 1)
	return len(first) > 0 && first[0].Name == vm
}

// HandleMembership notes since when the VMs are the same, and forgets the slots of endpoints that another VM paces now.
func (s *Service) HandleMembership(v afmember.View) {
	live := v.LiveVMs()
	names := make([]string, len(live))
	for i, vm := range live {
		names[i] = vm.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(names, s.liveNames) {
		return
	}
	s.liveNames, s.liveSince = names, s.Timer.Now()
	s.pacer.DropPaces(func(e afengine.EndpointStart) bool { return isHome(live, e, s.Self) })
}

// takeOwnSlot takes a slot that this VM gives out. A VM that other VMs take for the home VM is a substitute as long as it knows of
// a home VM that lives, since that one may give out slots too.
func (s *Service) takeOwnSlot(r afpace.Request) afpace.Slot {
	r.IsSubstitute = !isHome(s.LiveVMs(), r.Endpoint, s.Self)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.HomeSince = s.liveSince; s.liveNames == nil {
		r.HomeSince = s.Timer.Now()
	}
	return s.pacer.TakeSlot(r, s.Timer.Now())
}

// askVM asks a VM for a slot of an endpoint. It returns false if the VM does not answer, or did not a short time ago.
func (s *Service) askVM(ctx context.Context, vm, kind, endpoint string, message any) (afpace.Slot, bool) {
	key := kind + " " + vm
	s.mu.Lock()
	isSilent := s.Timer.Now().Before(s.silentUntil[key])
	s.mu.Unlock()
	if isSilent {
		return afpace.Slot{}, false
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer slotMessage
	err := s.CallVM(askCtx, vm, kind, message, &answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return afpace.Slot{}, false // The request ended, which says nothing about the asked VM.
	}
	if err != nil {
		s.Log.Info("slot request failed", "asked", vm, "endpoint", endpoint, "error", err)
		if s.silentUntil == nil || len(s.silentUntil) >= maxKnownSlots {
			s.silentUntil = make(map[string]time.Time)
		}
		s.silentUntil[key] = s.Timer.Now().Add(silenceTime)
		return afpace.Slot{}, false
	}
	delete(s.silentUntil, key)
	return answer.decode(), true
}
