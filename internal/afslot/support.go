package afslot

import (
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afpace"
)

const (
	// supportInterval is the time between two messages by which a VM supports the home VM of paced endpoints, and
	// supportCheckInterval the time between two checks which VMs that are.
	supportInterval      = 750 * time.Millisecond
	supportCheckInterval = 250 * time.Millisecond
	// supportTime is how long a support counts after the home VM issued the token that it carries. The next token is used within two
	// intervals, so that one message may fail meanwhile, which takes supportTimeout.
	supportTime = 2800 * time.Millisecond
	// clockMargin covers the difference of the rates of two clocks within supportTime.
	clockMargin = 100 * time.Millisecond
	// supportTimeout bounds a message with a support, and maxSupported the endpoints in one.
	supportTimeout = 500 * time.Millisecond
	maxSupported   = 4096
	// maxFleetSize bounds the number of VMs in a support. A larger one would keep an endpoint from getting slots.
	maxFleetSize = 10_000
)

// supportMessage supports the asked VM as home VM of endpoints.
type supportMessage struct {
	Endpoints []string `msgpack:"endpoints,omitempty"`
	// Token is the latest token that the asked VM issued to the sender. A support without a valid one does not count, so that
	// messages that arrive late have no effect.
	Token supportToken `msgpack:"token"`
	// Released names endpoints for which the sender supports the asked VM no more, so that the sender may support another VM soon.
	Released []string `msgpack:"released,omitempty"`
	// FleetSize is the number of VMs that may be alive, or 0 if the sender does not know it.
	FleetSize int `msgpack:"vms"`
}

// supportToken is a time on the clock of the VM that issued it. Epoch identifies the run of its daemon.
type supportToken struct {
	Epoch int64 `msgpack:"epoch"`
	AgeMs int64 `msgpack:"ms"`
}

// heldToken is a token that another VM issued to this one.
type heldToken struct {
	supportToken
	receivedAt time.Time
}

// ownSupport is this VM's support of the home VM of one endpoint.
type ownSupport struct {
	vm string
	// boundUntil is until when the VM may count the support, or slots that it gave out with it may be used. No other VM is supported
	// before.
	boundUntil time.Time
	// isReleased means that the VM is to be told that it is supported no more, and gets no further support before it was.
	isReleased bool
}

// support is the support of this VM by another one.
type support struct {
	fleetSize int
	until     time.Time
	// releasedAt is when the other VM ended its support. Tokens from before then are not valid any more.
	releasedAt time.Time
}

// supportState is what a Service keeps about supports. The Service's mu guards it.
type supportState struct {
	// own holds this VM's supports by endpoint.
	own map[string]ownSupport
	// tokens holds the latest token of each VM. askedAt and releaseSentAt hold when it was last sent a support, and the end of one.
	tokens        map[string]heldToken
	askedAt       map[string]time.Time
	releaseSentAt map[string]time.Time
	// received holds the supports of this VM by endpoint and VM.
	received map[string]map[string]support
	// lowestShare is the lowest part of the fleet that supports this VM as home VM of one of the endpoints for which it takes itself
	// for that, or 1 if there are none.
	lowestShare float64
	// homes holds the home VM of each paced endpoint among homesOf. In a large fleet, the ranking takes most of a check.
	homes   map[string]string
	homesOf []arbutusfork.VM
}

// rankHomes sets homes for the endpoints and the live VMs. Without live VMs, there are none.
func (s *supportState) rankHomes(endpoints []string, live []arbutusfork.VM) {
	known := s.homes
	if !slices.Equal(live, s.homesOf) {
		known = nil
	}
	s.homes, s.homesOf = make(map[string]string, len(endpoints)), live
	for _, endpoint := range endpoints {
		home, isKnown := known[endpoint]
		if !isKnown {
			ranked := rankVMs(live, afengine.EndpointStart{Endpoint: endpoint}, 1)
			if len(ranked) == 0 {
				continue
			}
			home = ranked[0].Name
		}
		s.homes[endpoint] = home
	}
}

func (s *supportState) init() {
	if s.own == nil {
		s.own, s.tokens, s.askedAt = make(map[string]ownSupport), make(map[string]heldToken), make(map[string]time.Time)
		s.received, s.releaseSentAt = make(map[string]map[string]support), make(map[string]time.Time)
	}
}

// share returns the part of the fleet that supports this VM as home VM of an endpoint.
func (s *supportState) share(endpoint string, fleetSize int, now time.Time) float64 {
	count := 0
	for _, received := range s.received[endpoint] {
		if now.Before(received.until) {
			count++
			fleetSize = max(fleetSize, received.fleetSize)
		}
	}
	if fleetSize <= 0 {
		return 0 // A VM that does not know the others can't tell which part of them it is.
	}
	return min(float64(count)/float64(fleetSize), 1)
}

// record records a support of this VM with a token that was issued at a time.
func (s *supportState) record(endpoint, vm string, received support, issuedAt time.Time) {
	s.init()
	byVM := s.received[endpoint]
	if byVM == nil {
		if len(s.received) >= maxSupported {
			return
		}
		byVM = make(map[string]support)
		s.received[endpoint] = byVM
	}
	if known := byVM[vm]; received.releasedAt.IsZero() {
		if issuedAt.Before(known.releasedAt) {
			return // The message was overtaken by the end of the support.
		}
		received.releasedAt = known.releasedAt
	}
	byVM[vm] = received
}

// release ends the support of this VM by another one, also one whose message has not arrived yet.
func (s *supportState) release(endpoint, vm string, now time.Time) {
	s.record(endpoint, vm, support{releasedAt: now}, now)
}

// dropExpired removes what does not count any more.
func (s *supportState) dropExpired(now time.Time) {
	for endpoint, byVM := range s.received {
		for vm, received := range byVM {
			if !now.Before(received.until) && now.Sub(received.releasedAt) > supportTime {
				delete(byVM, vm)
			}
		}
		if len(byVM) == 0 {
			delete(s.received, endpoint)
		}
	}
	for endpoint, own := range s.own {
		if now.Sub(own.boundUntil) > supportTime {
			delete(s.own, endpoint)
		}
	}
	for vm, token := range s.tokens {
		if now.Sub(token.receivedAt) > supportTime {
			delete(s.tokens, vm)
		}
	}
	for _, sentAt := range []map[string]time.Time{s.askedAt, s.releaseSentAt} {
		for vm, at := range sentAt {
			if now.Sub(at) > supportTime {
				delete(sentAt, vm)
			}
		}
	}
}

// renewSupports supports the home VM of each paced endpoint, unless another VM may still count this VM's support for it. That one is
// told to count it no more.
func (s *Service) renewSupports(now time.Time) {
	if s.PacedEndpoints == nil {
		return
	}
	endpoints, live, fleetSize := s.PacedEndpoints(), s.LiveVMs(), s.fleetSize()
	s.mu.Lock()
	s.supports.init()
	s.supports.dropExpired(now)
	s.supports.rankHomes(endpoints, live)
	byVM, isDue, released := make(map[string][]string), make(map[string]bool), make(map[string][]string)
	for _, endpoint := range endpoints {
		vm, hasHome := s.supports.homes[endpoint]
		if !hasHome {
			continue
		}
		own := s.supports.own[endpoint]
		if now.Before(own.boundUntil) && (own.vm != vm || own.isReleased) {
			s.supports.own[endpoint] = s.releaseOwn(endpoint, own, now)
			if own.vm != s.Self {
				released[own.vm] = append(released[own.vm], endpoint)
			}
			continue
		}
		isNew := own.vm != vm || own.isReleased || own.boundUntil.IsZero()
		if isNew {
			s.supports.own[endpoint] = ownSupport{vm: vm}
		}
		byVM[vm] = append(byVM[vm], endpoint)
		isDue[vm] = isDue[vm] || isNew
	}
	var messages []func()
	s.supports.lowestShare = 1
	for _, endpoint := range byVM[s.Self] {
		s.supports.lowestShare = min(s.supports.lowestShare, s.supports.share(endpoint, fleetSize, now))
	}
	for vm, supported := range byVM {
		if vm == s.Self {
			for _, endpoint := range supported {
				s.supports.own[endpoint] = ownSupport{vm: vm, boundUntil: now.Add(supportTime + afpace.MaxSpacedAhead)}
				s.supports.record(endpoint, vm, support{fleetSize: fleetSize, until: now.Add(supportTime)}, now)
			}
			continue
		}
		if wait := now.Sub(s.supports.askedAt[vm]); wait >= supportInterval || isDue[vm] && wait >= supportCheckInterval {
			s.supports.askedAt[vm] = now
			messages = append(messages, func() { s.supportVM(vm, supported) })
		}
	}
	for vm, endpoints := range released {
		if now.Sub(s.supports.releaseSentAt[vm]) >= supportTimeout {
			s.supports.releaseSentAt[vm] = now
			messages = append(messages, func() { s.releaseVM(vm, endpoints) })
		}
	}
	s.mu.Unlock()
	for _, send := range messages {
		s.run(send)
	}
}

// releaseOwn returns this VM's support of a VM that is to be told that it ends. The caller holds mu.
func (s *Service) releaseOwn(endpoint string, own ownSupport, now time.Time) ownSupport {
	if own.vm == s.Self && !own.isReleased {
		s.supports.release(endpoint, s.Self, now)
		own.boundUntil = now.Add(afpace.MaxSpacedAhead)
	}
	own.isReleased = true
	return own
}

// releaseVM tells a VM that it is supported no more for endpoints. Slots that it gave out ahead may be used for a while.
func (s *Service) releaseVM(vm string, endpoints []string) {
	ctx, cancel := context.WithTimeout(context.Background(), supportTimeout)
	defer cancel()
	var answer supportToken
	if err := s.CallVM(ctx, vm, KindSupport, supportMessage{Released: endpoints}, &answer); err != nil {
		s.Log.Debug("slot support not sent", "to", vm, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.Timer.Now().Add(afpace.MaxSpacedAhead)
	for _, endpoint := range endpoints {
		if own := s.supports.own[endpoint]; own.vm == vm && own.isReleased && until.Before(own.boundUntil) {
			own.boundUntil = until
			s.supports.own[endpoint] = own
		}
	}
}

// RegisterGauges registers the metrics whose values are read at each collection.
func (s *Service) RegisterGauges(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutusfork_slot_support_min",
		Help: "Lowest part of the VMs that support this VM as home VM of an endpoint of a service with cold endpoints; 1 if it is the home VM of none.",
	}, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.supports.own == nil {
			return 1
		}
		return s.supports.lowestShare
	}))
}

// run runs a function that waits for another VM.
func (s *Service) run(fn func()) {
	if s.Go != nil {
		s.Go(fn)
		return
	}
	go fn()
}

// fleetSize returns the number of VMs that may be alive, or 0 if this VM does not know it.
func (s *Service) fleetSize() int {
	if s.FleetSize == nil {
		return 0
	}
	return s.FleetSize()
}

// supportVM sends a support. Without a valid token, or with one of an earlier run of the VM, it gets one and sends the support again
// with it.
func (s *Service) supportVM(vm string, endpoints []string) {
	for range 2 {
		token, isValid := s.useToken(vm, endpoints)
		ctx, cancel := context.WithTimeout(context.Background(), supportTimeout)
		var answer supportToken
		err := s.CallVM(ctx, vm, KindSupport, supportMessage{Endpoints: endpoints, Token: token, FleetSize: s.fleetSize()}, &answer)
		cancel()
		if err != nil {
			s.Log.Debug("slot support not sent", "to", vm, "error", err)
			s.mu.Lock()
			delete(s.supports.askedAt, vm) // It is sent again with the next check.
			s.mu.Unlock()
			return
		}
		s.mu.Lock()
		s.supports.tokens[vm] = heldToken{answer, s.Timer.Now()}
		s.mu.Unlock()
		if isValid && token.Epoch == answer.Epoch {
			return
		}
	}
}

// useToken returns the token for a support of a VM, and binds this VM to it for as long as the support may count.
func (s *Service) useToken(vm string, endpoints []string) (token supportToken, isValid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.supports.tokens[vm]
	if !ok || s.Timer.Now().Sub(held.receivedAt) >= supportTime {
		return supportToken{}, false
	}
	boundUntil := held.receivedAt.Add(supportTime + afpace.MaxSpacedAhead + clockMargin)
	for _, endpoint := range endpoints {
		own := s.supports.own[endpoint]
		if own.vm != vm || own.isReleased {
			return supportToken{}, false // Another VM was supported while the first message was under way.
		}
		if boundUntil.After(own.boundUntil) {
			s.supports.own[endpoint] = ownSupport{vm: vm, boundUntil: boundUntil}
		}
	}
	return held.supportToken, true
}

// HandleSupport counts a support by another VM and answers with a new token.
func (s *Service) HandleSupport(from arbutusfork.Incarnation, body []byte) (any, error) {
	var m supportMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "support", Kind: MalformedMessage, Err: err}
	}
	now := s.Timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := s.startedAt.UnixNano()
	issuedAt := s.startedAt.Add(decodeMillis(m.Token.AgeMs))
	until := issuedAt.Add(supportTime)
	isSound := m.Token.AgeMs >= 0 && m.FleetSize >= 0 && m.FleetSize <= maxFleetSize && len(m.Endpoints) <= maxSupported
	if len(m.Released) <= maxSupported {
		for _, endpoint := range m.Released {
			s.supports.release(endpoint, from.VM, now)
		}
	}
	if m.Token.Epoch == epoch && !issuedAt.After(now) && now.Before(until) && isSound {
		for _, endpoint := range m.Endpoints {
			s.supports.record(endpoint, from.VM, support{fleetSize: m.FleetSize, until: until}, issuedAt)
		}
	}
	return supportToken{Epoch: epoch, AgeMs: now.Sub(s.startedAt).Milliseconds()}, nil
}
