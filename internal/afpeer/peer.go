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
	// dialTimeout bounds a new connection with its hello.
	dialTimeout = time.Second
	// linkIdle is how long a link to a VM that is no neighbour stays open after its last use.
	linkIdle = time.Minute
	// introduced is how long a VM that another one named is tried. If it answers, it may become a neighbour.
	introduced = 3 * time.Second
	// seedPeriod is the time between two attempts to reach a seed.
	seedPeriod = 2 * time.Second
	// maxBacklog bounds the messages that wait for a link.
	maxBacklog = 64
)

// peer is another VM.
type peer struct {
	vm   arbutusfork.VM
	from arbutusfork.Incarnation
	link *link
	// dialling means that a new connection is being opened.
	dialling bool
	// missed counts the heartbeats since the last answer.
	missed int
	// beats counts the heartbeats on the present link.
	beats                     int
	alive, suspected, leaving bool
	wanted                    time.Time // wanted is until when the link is kept although the VM is no neighbour.
	backlog                   []afframe.Frame
	waiting                   []chan<- *link
}

// seed is an address from the settings.
type seed struct {
	dialling bool
	// self means that the address is this VM's own.
	self bool
	next time.Time // next is when the address may be tried again.
}

func (s *Service) peer(vm arbutusfork.VM) *peer {
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

// tick sends the heartbeats and opens the connections that are missing.
func (s *Service) tick(now time.Time) {
	keep := make(map[string]bool)
	for _, vm := range s.view.HeartbeatPeers() {
		s.peer(vm)
		keep[vm.Name] = true
	}
	for name, p := range s.peers {
		if !keep[name] && now.After(p.wanted) {
			s.drop(name, p)
			continue
		}
		s.keep(p)
	}
	s.dialSeeds(now)
}

// keep sends a heartbeat over the peer's link. A link that is missing or silent is replaced.
func (s *Service) keep(p *peer) {
	if p.link != nil && !p.link.alive() {
		p.link = nil
		s.publish()
	}
	if p.link != nil && p.missed < maxMissed {
		s.sendBeat(p)
		return
	}
	if p.link == nil {
		p.missed++
	}
	if !p.dialling {
		p.dialling = true
		address := p.vm.Address
		go s.dial(address, func(l *link, h hello, err error) {
			p.dialling = false
			if err == nil && h.VM != p.vm.Name {
				l.close()
				err = errors.Errorf("%s answers as %s", address, h.VM)
			}
			s.dialled(p, l, h, err)
		})
	}
}

// dial opens a link and passes it to fn on the service's goroutine.
func (s *Service) dial(address string, fn func(*link, hello, error)) {
	ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
	defer cancel()
	l, h, err := s.open(ctx, address)
	if !s.events.PushWithContext(s.ctx, func() { fn(l, h, err) }) && l != nil {
		l.close()
	}
}

func (s *Service) open(ctx context.Context, address string) (*link, hello, error) {
	var l *link
	err := s.Transport.Dial(ctx, address, func(conn *Conn) { l = s.newLink(conn) })
	if err != nil {
		if l != nil {
			l.close()
		}
		return nil, hello{}, err
	}
	body, err := msgpack.Marshal(s.hello())
	if err != nil {
		l.close()
		return nil, hello{}, err
	}
	f, err := l.call(ctx, kindHello, body)
	var h hello
	if err == nil {
		err = msgpack.Unmarshal(f.Body, &h)
	}
	if err == nil && h.VM == "" {
		err = errors.New("hello without a name")
	}
	if err != nil {
		l.close()
		return nil, hello{}, err
	}
	from := h.incarnation()
	l.from.Store(&from)
	return l, h, nil
}

// dialled takes the result of a new connection to a peer.
func (s *Service) dialled(p *peer, l *link, h hello, err error) {
	if err != nil {
		if p.missed >= maxMissed && !p.suspected {
			p.alive, p.suspected = false, true
			s.log().Warn("VM suspected", "vm", p.vm.Name, "address", p.vm.Address, "error", err)
			s.observe(p)
		}
		p.backlog = nil
		s.release(p, nil)
		return
	}
	old := p.link
	if old != nil && old.alive() && p.missed < maxMissed {
		l.close() // Another connection came first.
		return
	}
	p.link, p.from, p.vm, p.missed = l, h.incarnation(), h.vm(), 0
	if old != nil && old.alive() {
		s.log().Info("silent link replaced", "vm", p.vm.Name)
		old.close()
	}
	s.log().Info("VM connected", "vm", p.vm.Name, "incarnation", p.from.String(), "suspected", p.suspected)
	p.alive, p.suspected, p.leaving = true, false, h.Leaving
	s.observe(p)
	s.release(p, l)
	for _, f := range p.backlog {
		if l.write(f) != nil {
			l.close()
			break
		}
	}
	p.backlog = nil
	p.beats = 0
	s.sendBeat(p)
}

func (s *Service) release(p *peer, l *link) {
	for _, ch := range p.waiting {
		ch <- l
	}
	p.waiting = nil
}

// answered takes note of an answered heartbeat.
func (s *Service) answered(p *peer, l *link, a beatAnswer) {
	if p.link != l {
		return
	}
	p.missed = 0
	if p.suspected || !p.alive || p.leaving != a.Leaving {
		p.alive, p.suspected, p.leaving = true, false, a.Leaving
		s.observe(p)
	}
	s.introduce(a.Peers)
}

// met takes note of a VM that opened a link to this one.
func (s *Service) met(h hello) {
	p := s.peer(h.vm())
	if p.from == h.incarnation() && p.alive {
		return
	}
	// The VM started anew or is new. It is checked over a link of this VM's own.
	p.alive, p.leaving = true, h.Leaving
	s.observe(p)
	s.keep(p)
}

func (s *Service) left(vm string) {
	if p := s.peers[vm]; p != nil && !p.leaving {
		s.log().Info("VM is leaving", "vm", vm)
		p.leaving = true
		s.observe(p)
	}
}

// drop forgets a VM that is neither a neighbour nor wanted.
func (s *Service) drop(name string, p *peer) {
	if p.dialling {
		return
	}
	if p.link != nil {
		p.link.close()
	}
	delete(s.peers, name)
	s.view = s.view.WithoutObservation(name)
	s.changed()
}

// want returns the peer of that name with its link kept for a while, or nil if the VM is unknown.
func (s *Service) want(name string) *peer {
	now := s.Timer.Now()
	p := s.peers[name]
	if p == nil {
		for _, vm := range s.view.PossiblyAliveVMs() {
			if vm.Name == name && name != s.Self.VM {
				p = s.peer(vm)
			}
		}
	}
	if p == nil {
		return nil
	}
	p.wanted = now.Add(linkIdle)
	if p.link == nil || !p.link.alive() {
		s.keep(p)
	}
	return p
}

// queue holds a message until there is a link.
func (s *Service) queue(name string, f afframe.Frame) {
	p := s.want(name)
	switch {
	case p == nil || len(p.backlog) >= maxBacklog:
		s.log().Warn("message dropped: no link", "vm", name, "kind", f.Kind)
	case p.link != nil && p.link.alive():
		if p.link.write(f) != nil {
			p.link.close()
		}
	default:
		p.backlog = append(p.backlog, f)
	}
}

// await passes the link to ch once there is one, or nil if it cannot be opened.
func (s *Service) await(name string, ch chan<- *link) {
	p := s.want(name)
	switch {
	case p == nil:
		ch <- nil
	case p.link != nil && p.link.alive():
		ch <- p.link
	default:
		p.waiting = append(p.waiting, ch)
	}
}

// dialSeeds connects to the seeds while there are too few neighbours. With more VMs than one has neighbours,
// every VM would otherwise keep a link to every seed.
func (s *Service) dialSeeds(now time.Time) {
	if !s.lonely() {
		return
	}
	for _, address := range s.Seeds {
		e := s.seeds[address]
		if e == nil {
			e = new(seed)
			s.seeds[address] = e
		}
		if e.dialling || e.self || now.Before(e.next) || s.knows(address) {
			continue
		}
		e.dialling, e.next = true, now.Add(seedPeriod)
		go s.dial(address, func(l *link, h hello, err error) {
			e.dialling = false
			if err != nil {
				s.log().Debug("seed does not answer", "address", address, "error", err)
				return
			}
			if h.VM == s.Self.VM {
				e.self = true
				l.close()
				return
			}
			p := s.peer(h.vm())
			if p.link != nil && p.link.alive() {
				l.close()
				return
			}
			p.wanted = s.Timer.Now().Add(linkIdle)
			s.dialled(p, l, h, nil)
		})
	}
}

// lonely reports whether there are fewer live peers than this VM could have as neighbours.
func (s *Service) lonely() bool {
	alive := 0
	for _, p := range s.peers {
		if p.alive {
			alive++
		}
	}
	return alive < afmember.MaxHeartbeatPeers
}

// introduce connects to VMs that another VM named.
func (s *Service) introduce(peers []beatPeer) {
	for _, h := range peers {
		if h.VM == s.Self.VM || s.peers[h.VM] != nil || !s.lonely() {
			continue
		}
		p := s.peer(arbutusfork.VM{Name: h.VM, Address: h.Address, Centre: h.Centre})
		p.wanted = s.Timer.Now().Add(introduced)
		s.keep(p)
	}
}

func (s *Service) knows(address string) bool {
	if address == s.address {
		return true
	}
	for _, p := range s.peers {
		if p.vm.Address == address {
			return true
		}
	}
	return false
}
