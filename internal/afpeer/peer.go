package afpeer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afframe"
	"arbutusfork.example/arbutusfork/pkg/afmember"
)

const (
	// dialTimeout bounds the opening of a connection and the exchange of hellos.
	dialTimeout = time.Second
	// unusedLinkTimeout is how long a link to a VM that is not a heartbeat peer stays open after its last use.
	unusedLinkTimeout = time.Minute
	// suggestedPeerTimeout is how long a VM that another VM's heartbeat named is kept as a peer. If it answers, it may become
	// a heartbeat peer.
	suggestedPeerTimeout = 3 * time.Second
	// seedRetryInterval is the shortest time between two attempts to connect to a seed.
	seedRetryInterval = 2 * time.Second
	// maxQueuedMessages bounds the messages to one VM that wait for a link.
	maxQueuedMessages = 64
)

// peer is another VM with which this VM exchanges heartbeats or messages.
type peer struct {
	vm arbutusfork.VM
	// incarnation is the start of the VM to which the link was opened.
	incarnation arbutusfork.Incarnation
	link        *link
	// isDialling means that a connection to the VM is being opened.
	isDialling bool
	// missedHeartbeats counts the heartbeats since the last answer, and the heartbeats that were due without a link.
	missedHeartbeats int
	// linkHeartbeats counts the heartbeats requested on the current link.
	linkHeartbeats int
	// nextHeartbeatAt is when the next heartbeat is due if the last one was answered.
	nextHeartbeatAt time.Time
	// isAlive means that the VM opened a link or answered, and has not been suspected since.
	isAlive bool
	// isSuspected means that the VM missed too many heartbeats and that a new connection failed.
	isSuspected bool
	// isLeaving means that the VM announced that it stops.
	isLeaving bool
	// keepUntil is the time until which the link is kept although the VM is not a heartbeat peer.
	keepUntil time.Time
	// queuedMessages are the messages to send once the link is open.
	queuedMessages []afframe.Frame
	// linkWaiters are the calls that wait for the link.
	linkWaiters []chan<- *link
}

// seedState is the state of the connection attempts to one address of Seeds.
type seedState struct {
	isDialling bool
	// isSelf means that the address is this VM's own.
	isSelf bool
	// retryAt is the earliest time of the next attempt.
	retryAt time.Time
}

// addOrUpdatePeer returns the peer with the name of vm, which is added if it is missing. An empty address in vm does not
// replace a known description.
func (s *Service) addOrUpdatePeer(vm arbutusfork.VM) *peer {
	p := s.peers[vm.Name]
	if p == nil {
		p = &peer{vm: vm}
		s.peers[vm.Name] = p
	}
	if vm.Address != "" {
		p.vm = vm
	}
	return p
}

// maintainLinks sends the heartbeats, opens the missing links and removes the peers whose links are unused.
func (s *Service) maintainLinks(now time.Time) {
	isHeartbeatPeer := make(map[string]bool)
	for _, vm := range s.view.HeartbeatPeers() {
		s.addOrUpdatePeer(vm)
		isHeartbeatPeer[vm.Name] = true
	}
	for name, p := range s.peers {
		if !isHeartbeatPeer[name] && now.After(p.keepUntil) {
			s.removePeer(name, p)
			continue
		}
		s.maintainLink(p)
	}
	s.dialSeeds(now)
}

// maintainLink sends a heartbeat over the peer's link. If there is no link or it has missed too many heartbeats, a new
// one is dialled.
func (s *Service) maintainLink(p *peer) {
	if p.link != nil && !p.link.isOpen() {
		p.link = nil
		s.publishSnapshot()
	}
	if p.link != nil && p.missedHeartbeats < maxMissedHeartbeats {
		if p.missedHeartbeats > 0 || !s.Timer.Now().Before(p.nextHeartbeatAt) {
			s.requestHeartbeat(p)
		}
		return
	}
	if p.link == nil {
		p.missedHeartbeats++
	}
	if !p.isDialling {
		p.isDialling = true
		address := p.vm.Address
		go s.dialLink(address, func(l *link, h helloMessage, err error) {
			p.isDialling = false
			if err == nil && h.VM != p.vm.Name {
				l.close()
				err = errors.Errorf("VM at %s has the name %s", address, h.VM)
			}
			s.handleDialResult(p, l, h, err)
		})
	}
}

// dialLink opens a link and passes the result to onResult on the goroutine of Run.
func (s *Service) dialLink(address string, onResult func(*link, helloMessage, error)) {
	ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
	defer cancel()
	l, h, err := s.openLink(ctx, address)
	if !s.events.PushWithContext(s.ctx, func() { onResult(l, h, err) }) && l != nil {
		l.close()
	}
}

// openLink connects to an address and exchanges hellos.
func (s *Service) openLink(ctx context.Context, address string) (*link, helloMessage, error) {
	var l *link
	err := s.Transport.Dial(ctx, address, func(conn *Conn) { l = s.newLink(conn) })
	if err != nil {
		if l != nil {
			l.close()
		}
		return nil, helloMessage{}, err
	}
	body, err := msgpack.Marshal(s.buildHello())
	if err != nil {
		l.close()
		return nil, helloMessage{}, err
	}
	f, err := l.requestAndWait(ctx, kindHello, body)
	var h helloMessage
	if err == nil {
		err = msgpack.Unmarshal(f.Body, &h)
	}
	if err == nil && h.VM == "" {
		err = errors.New("hello without a VM name")
	}
	if err != nil {
		l.close()
		return nil, helloMessage{}, err
	}
	from := h.incarnation()
	l.peerIncarnation.Store(&from)
	return l, h, nil
}

// handleDialResult handles the result of dialling a peer: a failure may make the peer suspected, and a new link replaces
// one that has missed too many heartbeats.
func (s *Service) handleDialResult(p *peer, l *link, h helloMessage, err error) {
	if err != nil {
		if p.missedHeartbeats >= maxMissedHeartbeats && !p.isSuspected {
			p.isAlive, p.isSuspected = false, true
			s.log().Warn("VM suspected", "vm", p.vm.Name, "address", p.vm.Address, "error", err)
			s.recordObservation(p)
		}
		p.queuedMessages = nil
		s.notifyLinkWaiters(p, nil)
		return
	}
	oldLink := p.link
	if oldLink != nil && oldLink.isOpen() && p.missedHeartbeats < maxMissedHeartbeats {
		l.close() // Another connection was opened first.
		return
	}
	p.link, p.incarnation, p.vm, p.missedHeartbeats = l, h.incarnation(), h.vm(), 0
	if oldLink != nil && oldLink.isOpen() {
		s.log().Info("unanswered link replaced", "vm", p.vm.Name)
		oldLink.close()
	}
	s.log().Info("VM connected", "vm", p.vm.Name, "incarnation", p.incarnation.String(), "suspected", p.isSuspected)
	p.isAlive, p.isSuspected, p.isLeaving = true, false, h.Leaving
	s.recordObservation(p)
	s.notifyLinkWaiters(p, l)
	for _, f := range p.queuedMessages {
		if l.writeFrame(f) != nil {
			l.close()
			break
		}
	}
	p.queuedMessages = nil
	p.linkHeartbeats = 0
	s.requestHeartbeat(p)
}

// notifyLinkWaiters passes a link, or nil if none could be opened, to the calls that wait for it.
func (s *Service) notifyLinkWaiters(p *peer, l *link) {
	for _, ch := range p.linkWaiters {
		ch <- l
	}
	p.linkWaiters = nil
}

// recordHeartbeatAnswer marks a peer as alive after an answer on its current link.
func (s *Service) recordHeartbeatAnswer(p *peer, l *link, answer heartbeatAnswer) {
	if p.link != l {
		return
	}
	p.missedHeartbeats = 0
	if p.isSuspected || !p.isAlive || p.isLeaving != answer.Leaving {
		p.isAlive, p.isSuspected, p.isLeaving = true, false, answer.Leaving
		s.recordObservation(p)
	}
	s.connectSuggestedPeers(answer.Peers)
}

// recordHello records a VM that opened a link to this VM.
func (s *Service) recordHello(h helloMessage) {
	p := s.addOrUpdatePeer(h.vm())
	if p.incarnation == h.incarnation() && p.isAlive {
		return
	}
	// The VM is new or has restarted. This VM dials it too, since each side checks the other over a link of its own.
	p.isAlive, p.isLeaving = true, h.Leaving
	s.recordObservation(p)
	s.maintainLink(p)
}

// recordLeaving records that a VM is leaving.
func (s *Service) recordLeaving(vm string) {
	if p := s.peers[vm]; p != nil && !p.isLeaving {
		s.log().Info("VM is leaving", "vm", vm)
		p.isLeaving = true
		s.recordObservation(p)
	}
}

// removePeer closes the link to a VM and removes its observation from the view. A peer that is being dialled stays.
func (s *Service) removePeer(name string, p *peer) {
	if p.isDialling {
		return
	}
	if p.link != nil {
		p.link.close()
	}
	delete(s.peers, name)
	s.view = s.view.WithoutObservation(name)
	s.publishMembership()
}

// findPeerAndExtendLink returns the peer with the name, or nil if the VM is unknown. The link to the peer is opened if it
// is missing and kept for at least unusedLinkTimeout.
func (s *Service) findPeerAndExtendLink(name string) *peer {
	now := s.Timer.Now()
	p := s.peers[name]
	if p == nil {
		for _, vm := range s.view.PossiblyAliveVMs() {
			if vm.Name == name && name != s.Self.VM {
				p = s.addOrUpdatePeer(vm)
			}
		}
	}
	if p == nil {
		return nil
	}
	p.keepUntil = now.Add(unusedLinkTimeout)
	if p.link == nil || !p.link.isOpen() {
		s.maintainLink(p)
	}
	return p
}

// sendOrQueue sends a message to a VM, or queues it until a link to the VM is open. If the VM is unknown or its queue is
// full, the message is dropped.
func (s *Service) sendOrQueue(name string, f afframe.Frame) {
	p := s.findPeerAndExtendLink(name)
	switch {
	case p == nil || len(p.queuedMessages) >= maxQueuedMessages:
		s.log().Warn("message dropped: no link to the VM", "vm", name, "kind", f.Kind)
	case p.link != nil && p.link.isOpen():
		if p.link.writeFrame(f) != nil {
			p.link.close()
		}
	default:
		p.queuedMessages = append(p.queuedMessages, f)
	}
}

// addLinkWaiter passes the link to a VM to ch once it is open, or nil if it cannot be opened.
func (s *Service) addLinkWaiter(name string, ch chan<- *link) {
	p := s.findPeerAndExtendLink(name)
	switch {
	case p == nil:
		ch <- nil
	case p.link != nil && p.link.isOpen():
		ch <- p.link
	default:
		p.linkWaiters = append(p.linkWaiters, ch)
	}
}

// dialSeeds connects to the seeds while this VM has fewer live peers than MaxHeartbeatPeers. Without this condition,
// every VM of a large system would keep a link to every seed.
func (s *Service) dialSeeds(now time.Time) {
	if !s.needsMorePeers() {
		return
	}
	for _, address := range s.Seeds {
		state := s.seeds[address]
		if state == nil {
			state = new(seedState)
			s.seeds[address] = state
		}
		if state.isDialling || state.isSelf || now.Before(state.retryAt) || s.isKnownAddress(address) {
			continue
		}
		state.isDialling, state.retryAt = true, now.Add(seedRetryInterval)
		go s.dialLink(address, func(l *link, h helloMessage, err error) {
			state.isDialling = false
			if err != nil {
				s.log().Debug("seed does not answer", "address", address, "error", err)
				return
			}
			if h.VM == s.Self.VM {
				state.isSelf = true
				l.close()
				return
			}
			p := s.addOrUpdatePeer(h.vm())
			if p.link != nil && p.link.isOpen() {
				l.close()
				return
			}
			p.keepUntil = s.Timer.Now().Add(unusedLinkTimeout)
			s.handleDialResult(p, l, h, nil)
		})
	}
}

// needsMorePeers reports whether this VM has fewer live peers than MaxHeartbeatPeers.
func (s *Service) needsMorePeers() bool {
	livePeers := 0
	for _, p := range s.peers {
		if p.isAlive {
			livePeers++
		}
	}
	return livePeers < afmember.MaxHeartbeatPeers
}

// connectSuggestedPeers connects to VMs that another VM's heartbeat named, while this VM needs more peers.
func (s *Service) connectSuggestedPeers(suggestedVMs []connectedVM) {
	for _, suggested := range suggestedVMs {
		if suggested.VM == s.Self.VM || s.peers[suggested.VM] != nil || !s.needsMorePeers() {
			continue
		}
		p := s.addOrUpdatePeer(arbutusfork.VM{Name: suggested.VM, Address: suggested.Address, Centre: suggested.Centre})
		p.keepUntil = s.Timer.Now().Add(suggestedPeerTimeout)
		s.maintainLink(p)
	}
}

// isKnownAddress reports whether an address belongs to this VM or to a peer.
func (s *Service) isKnownAddress(address string) bool {
	if address == s.effectiveAddress {
		return true
	}
	for _, p := range s.peers {
		if p.vm.Address == address {
			return true
		}
	}
	return false
}
