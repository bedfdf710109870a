package afslot

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afpace"
)

// The kinds of messages for endpoints that the configuration paces. VMs of earlier builds refuse them.
const (
	// KindPacedSlot asks for a slot of a paced endpoint.
	KindPacedSlot = "pacedslot"
	// KindSupport supports the receiver as home VM of paced endpoints.
	KindSupport = "slotsupport"
)

const (
	// contendedTime is how long after a denied slot only one request of this VM at a time asks for a slot of the endpoint.
	// Otherwise all waiting requests of all VMs would ask each time that the endpoint may have a slot.
	contendedTime = 2 * time.Second
	// maxClosedTime bounds the time for which an endpoint that denied a slot gets no request of this VM.
	maxClosedTime = time.Second
)

// pacedSlotMessage asks for a slot of a paced endpoint. The rate is the one that the asking VM takes for right.
type pacedSlotMessage struct {
	Endpoint  string  `msgpack:"endpoint"`
	PerSecond float64 `msgpack:"rate"`
	MaxWaitMs int64   `msgpack:"wait"`
}

// pacedState is what this VM knows about the next slots of a paced endpoint.
type pacedState struct {
	nextSlotAt, closedUntil, contendedUntil time.Time
}

// pace returns the rate of an endpoint, if the configuration paces its service. A limit that the endpoint named holds too.
func (s *Service) pace(e afengine.EndpointStart, now time.Time) (perSecond float64, isPaced, isCold bool) {
	if s.OwnPace == nil {
		return 0, false, false
	}
	perSecond, isPaced, isCold = s.OwnPace(e)
	if limit, isLimited := s.Limits().Limit(e, now); isLimited {
		perSecond = min(perSecond, limit.PerSecond)
	}
	return perSecond, isPaced, isCold
}

// IsPaced reports whether the configuration paces the service of an endpoint, so that a request to it always needs a slot.
func (s *Service) IsPaced(e afengine.EndpointStart) bool {
	_, isPaced, _ := s.pace(e, s.Timer.Now())
	return isPaced
}

// expectedPacedWait returns how long a request to a paced endpoint probably waits for a slot. It is above afpace.MaxAhead while the
// endpoint gets no request of this VM.
func (s *Service) expectedPacedWait(endpoint string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.paced[endpoint]
	if left := state.closedUntil.Sub(now); left > 0 {
		return afpace.MaxAhead + left
	}
	return max(state.nextSlotAt.Sub(now), 0)
}

// expectPacedRequest counts a request that is about to take a slot of a paced endpoint.
func (s *Service) expectPacedRequest(endpoint string, perSecond float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.paced[endpoint]
	if now.Before(state.contendedUntil) {
		// The request may be given up before it asks, so that the endpoint is opened again by time.
		state.closedUntil = now.Add(askTimeout)
		s.Timer.CallAfter(askTimeout, s.notifySlotFree)
	} else {
		if state.nextSlotAt.Before(now) {
			state.nextSlotAt = now
		}
		state.nextSlotAt = state.nextSlotAt.Add(afpace.Limit{PerSecond: perSecond}.Interval())
	}
	s.setPaced(endpoint, state)
}

// setPaced sets what is known about the next slots of an endpoint. The caller holds mu.
func (s *Service) setPaced(endpoint string, state pacedState) {
	if s.paced == nil || len(s.paced) >= maxKnownSlots {
		s.paced = make(map[string]pacedState)
	}
	s.paced[endpoint] = state
}

func (s *Service) notifySlotFree(time.Time) {
	if s.OnSlotFree != nil {
		s.OnSlotFree()
	}
}

// takePacedSlot takes a slot of a paced endpoint. While neither its home VM nor the VM that ranks next answers, there is none.
func (s *Service) takePacedSlot(ctx context.Context, e afengine.EndpointStart, perSecond float64, isCold bool, maxWait time.Duration) (time.Duration, bool) {
	slot := s.requestPacedSlot(ctx, e, perSecond, maxWait)
	now := s.Timer.Now()
	s.Metrics.countSlot(slot.IsGranted)
	if !slot.IsGranted && ctx.Err() == nil {
		s.Metrics.countWithheld(isCold)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.paced[e.Endpoint]
	switch {
	case slot.IsGranted:
		state.closedUntil = time.Time{}
		state.nextSlotAt = now.Add(slot.Wait + afpace.Limit{PerSecond: perSecond}.Interval())
		if now.Before(state.contendedUntil) {
			s.Timer.CallAfter(minClosedTime, s.notifySlotFree)
		}
	case ctx.Err() == nil:
		closedTime := min(max(slot.Wait-afpace.MaxSpacedAhead/2, minClosedTime), maxClosedTime)
		state.closedUntil, state.contendedUntil = now.Add(closedTime), now.Add(contendedTime)
		s.Timer.CallAfter(closedTime, s.notifySlotFree)
	}
	s.setPaced(e.Endpoint, state)
	return slot.Wait, slot.IsGranted
}

// requestPacedSlot asks the home VM of the endpoint for a slot, or the VM that ranks next.
func (s *Service) requestPacedSlot(ctx context.Context, e afengine.EndpointStart, perSecond float64, maxWait time.Duration) afpace.Slot {
	m := pacedSlotMessage{Endpoint: e.Endpoint, PerSecond: perSecond, MaxWaitMs: max(maxWait, 0).Milliseconds()}
	for _, vm := range rankVMs(s.LiveVMs(), e, 2) {
		if vm.Name == s.Self {
			return s.givePacedSlot(s.Self, m)
		}
		if slot, ok := s.askVM(ctx, vm.Name, KindPacedSlot, e.Endpoint, m); ok {
			return slot
		}
	}
	return afpace.Slot{Wait: silenceTime}
}

// givePacedSlot gives a VM a slot at the lower of the asked rate and that which this VM takes for right, as far as other VMs support
// it as home VM of the endpoint.
func (s *Service) givePacedSlot(vm string, m pacedSlotMessage) afpace.Slot {
	now, perSecond, fleetSize := s.Timer.Now(), m.PerSecond, s.fleetSize()
	if known, isPaced, _ := s.pace(afengine.EndpointStart{Endpoint: m.Endpoint}, now); isPaced {
		perSecond = min(perSecond, known)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.supports.share(m.Endpoint, fleetSize, now)
	// An earlier run of this daemon may have given out slots.
	return s.spacer.TakeSlot(m.Endpoint, vm, perSecond*share, decodeMillis(m.MaxWaitMs), s.startedAt.Add(afpace.MaxSpacedAhead), now)
}

// HandlePacedSlot gives another VM a slot of a paced endpoint.
func (s *Service) HandlePacedSlot(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m pacedSlotMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "paced slot", Kind: MalformedMessage, Err: err}
	}
	if m.Endpoint == "" || !isRate(m.PerSecond) {
		return nil, &Error{Op: "paced slot", Kind: MalformedMessage, Err: errors.New("the endpoint is missing or its rate is no rate")}
	}
	slot := s.givePacedSlot(from.VM, m)
	return slotMessage{IsGranted: slot.IsGranted, WaitMicros: slot.Wait.Microseconds()}, nil
}
