// Package afpeer keeps the links between VMs: messages, calls, heartbeats and the membership that follows.
package afpeer

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afframe"
	"arbutusfork.example/arbutusfork/pkg/afmember"
	"arbutusfork.example/arbutusfork/pkg/afring"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	eventQueue = 1024
	// acceptedIdle is how long a link that another VM dialled may stay silent. The other VM sends heartbeats on
	// it; one that died without closing it would leave it open for good.
	acceptedIdle = 30 * time.Second
)

// ConfigurationReport is what a VM tells others in its heartbeats about its configuration.
type ConfigurationReport struct {
	// Version and Epoch are the configuration version and the witness epoch that the VM holds.
	Version, Epoch int64
	// CanVouch means that the report counts as evidence.
	CanVouch bool
	// Evidence is what the VM knows about the witnesses, with RequestedAt on its own clock.
	Evidence []afconfig.Evidence
	// ListDigest is the digest of the platform's list of VMs that the VM holds, and ListRequestedAt when the platform
	// was asked for it, on the own clock. Zero means none.
	ListDigest      int64
	ListRequestedAt time.Time
}

// Handler takes a message from another VM and returns the answer, which is sent only to a Call. It runs on the
// goroutine of the link, after the messages that the VM sent before.
type Handler func(from arbutusfork.Incarnation, body []byte) (any, error)

// Service holds one dialled link to each neighbour and answers on the links that others dialled, so that each
// side finds out by itself whether the other one answers. Set the fields before Run.
type Service struct {
	Self arbutusfork.Incarnation
	// ListenAddress is the IP address and port to listen on. Other VMs must reach it under this address unless
	// AdvertisedAddress is set.
	ListenAddress string
	// AdvertisedAddress is the address that is told to other VMs. Empty means the bound address.
	AdvertisedAddress string
	Centre            string
	// Seeds are addresses of VMs to connect to without the platform's list.
	Seeds []string
	Timer *aftimer.Service
	// Log receives the service's log lines. Nil means slog.Default.
	Log *slog.Logger
	// Transport opens connections. The zero value means TCP.
	Transport Transport

	// BuildReport returns what to tell others about the configuration. It must not block.
	BuildReport func(now time.Time) ConfigurationReport
	// OnReport is called with the report of another VM and the moment when it was asked for. It must not block.
	OnReport func(from arbutusfork.Incarnation, sent time.Time, r ConfigurationReport)
	// TableDigests returns the versions of the shards that this VM knows. It must not block.
	TableDigests func() map[string]int64
	// OnTableDigests is called with the digests of another VM. It must not block.
	OnTableDigests func(from arbutusfork.Incarnation, digests map[string]int64)
	// OnMembershipChange is called after each change of the membership. It must not block.
	OnMembershipChange func(afmember.View)

	once     sync.Once
	ctx      context.Context
	events   *afring.Queue[func()]
	handlers map[string]Handler
	shared   atomic.Pointer[shared]
	leaving  atomic.Bool
	stats    counters
	ready    chan struct{}

	// The fields below belong to the goroutine of Run.
	peers   map[string]*peer
	seeds   map[string]*seed
	view    afmember.View
	address string
}

// shared is what other goroutines see of the service. It is immutable.
type shared struct {
	view  afmember.View
	links map[string]*link
	// connected holds up to MaxHeartbeatPeers VMs with a link.
	connected []arbutusfork.VM
}

type counters struct {
	messagesIn, messagesOut, bytesIn, bytesOut atomic.Int64
}

// Stats counts messages and bytes since the start.
type Stats struct {
	MessagesReceived, MessagesSent int64
	BytesReceived, BytesSent       int64
}

func (s *Service) init() {
	s.once.Do(func() {
		s.events = afring.New[func()](eventQueue)
		s.handlers = make(map[string]Handler)
		s.peers = make(map[string]*peer)
		s.seeds = make(map[string]*seed)
		s.ready = make(chan struct{})
		s.view = afmember.NewView(arbutusfork.VM{Name: s.Self.VM, Address: s.ListenAddress, Centre: s.Centre})
		s.shared.Store(&shared{view: s.view})
	})
}

func (s *Service) log() *slog.Logger {
	if s.Log != nil {
		return s.Log
	}
	return slog.Default()
}

// Handle sets the handler for a kind of message. It must be called before Run, and panics if the kind has one.
func (s *Service) Handle(kind string, h Handler) {
	s.init()
	if s.handlers[kind] != nil {
		panic("two handlers for peer messages of kind " + kind)
	}
	s.handlers[kind] = h
}

// Run listens and keeps the links until ctx ends. It fails with ListenFailed.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	s.ctx = ctx
	if s.Transport.Listen == nil {
		s.Transport = NewTransport()
	}
	bound, stop, err := s.Transport.Listen(s.ListenAddress, s.accept)
	if err != nil {
		return &Error{Op: "listen", VM: s.Self.VM, Kind: ListenFailed, Err: err}
	}
	defer stop()
	s.address = bound
	if s.AdvertisedAddress != "" {
		s.address = s.AdvertisedAddress
	}
	s.view = s.view.WithSelf(arbutusfork.VM{Name: s.Self.VM, Address: s.address, Centre: s.Centre})
	s.publish()
	close(s.ready)
	tick := s.Timer.CallEvery(beatPeriod, func(now time.Time) { s.events.TryPush(func() { s.tick(now) }) })
	defer tick.Stop()
	s.tick(s.Timer.Now())
	s.events.Consume(ctx, func(fn func()) { fn() })
	for _, p := range s.peers {
		if p.link != nil {
			p.link.close()
		}
	}
	return nil
}

// Ready returns a channel that is closed once the service listens.
func (s *Service) Ready() <-chan struct{} {
	s.init()
	return s.ready
}

// accept takes a connection that another VM opened.
func (s *Service) accept(conn *Conn) {
	<-s.ready
	l := s.newLink(conn)
	go func() {
		check := s.Timer.CallEvery(acceptedIdle, func(time.Time) {
			if l.frames.Swap(0) == 0 {
				l.close()
			}
		})
		defer check.Stop()
		defer l.close()
		l.serve()
	}()
}

func (s *Service) publish() {
	links := make(map[string]*link, len(s.peers))
	var connected []arbutusfork.VM
	for name, p := range s.peers {
		if p.link != nil {
			links[name] = p.link
			if len(connected) < afmember.MaxHeartbeatPeers {
				connected = append(connected, p.vm)
			}
		}
	}
	s.shared.Store(&shared{view: s.view, links: links, connected: connected})
}

func (s *Service) changed() {
	s.publish()
	if s.OnMembershipChange != nil {
		s.OnMembershipChange(s.view)
	}
}

// LiveMembers returns the live VMs, this one included, in order of name.
func (s *Service) LiveMembers() []arbutusfork.VM { return s.Membership().LiveVMs() }

// Membership returns the membership as this VM sees it.
func (s *Service) Membership() afmember.View {
	s.init()
	return s.shared.Load().view
}

// SetListedVMs takes an answer of the platform's list of VMs.
func (s *Service) SetListedVMs(vms []arbutusfork.VM) {
	s.init()
	s.events.TryPush(func() {
		s.view = s.view.WithList(vms)
		s.changed()
	})
}

// AnnounceLeaving tells the other VMs that this one stops.
func (s *Service) AnnounceLeaving() {
	s.init()
	s.leaving.Store(true)
	s.events.TryPush(func() {
		s.view = s.view.WithSelf(arbutusfork.VM{
			Name: s.Self.VM, Address: s.address, Centre: s.Centre, State: arbutusfork.VMLeaving,
		})
		s.changed()
		for _, p := range s.peers {
			if p.link != nil {
				s.sendBeat(p)
			}
		}
	})
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		MessagesReceived: s.stats.messagesIn.Load(), MessagesSent: s.stats.messagesOut.Load(),
		BytesReceived: s.stats.bytesIn.Load(), BytesSent: s.stats.bytesOut.Load(),
	}
}

// Send queues a message to a VM. Without a link to it, one is opened and the message follows. A nil error does
// not mean that the message arrives. It fails with MalformedMessage, or with VMUnreachable if too many messages wait.
func (s *Service) Send(vm, kind string, message any) error {
	s.init()
	body, err := encode(message)
	if err != nil {
		return &Error{Op: "send", VM: vm, Kind: MalformedMessage, Err: err}
	}
	f := afframe.Frame{Kind: kind, Body: body}
	if l := s.shared.Load().links[vm]; l != nil && l.alive() {
		if err := l.write(f); err != nil {
			l.close()
			return &Error{Op: "send", VM: vm, Kind: VMUnreachable, Err: err}
		}
		return nil
	}
	if !s.events.TryPush(func() { s.queue(vm, f) }) {
		return &Error{Op: "send", VM: vm, Kind: VMUnreachable, Err: errors.New("too many messages wait")}
	}
	return nil
}

// Call sends a message to a VM and decodes the answer into answer unless it is nil. Without a link to the VM it
// waits for one until ctx ends. It fails with VMUnreachable, NoAnswer, RefusedByVM or MalformedMessage.
func (s *Service) Call(ctx context.Context, vm, kind string, message, answer any) error {
	s.init()
	body, err := encode(message)
	if err != nil {
		return &Error{Op: "call", VM: vm, Kind: MalformedMessage, Err: err}
	}
	l, err := s.connected(ctx, vm)
	if err != nil {
		return &Error{Op: "call", VM: vm, Kind: VMUnreachable, Err: err}
	}
	f, err := l.call(ctx, kind, body)
	if err != nil {
		return &Error{Op: "call", VM: vm, Kind: NoAnswer, Err: err}
	}
	if f.Kind == kindError {
		var text string
		_ = msgpack.Unmarshal(f.Body, &text) // Without a text the kind still says it.
		return &Error{Op: "call", VM: vm, Kind: RefusedByVM, Err: errors.New(text)}
	}
	if answer == nil {
		return nil
	}
	if err := msgpack.Unmarshal(f.Body, answer); err != nil {
		return &Error{Op: "call", VM: vm, Kind: MalformedMessage, Err: err}
	}
	return nil
}

func (s *Service) connected(ctx context.Context, vm string) (*link, error) {
	if l := s.shared.Load().links[vm]; l != nil && l.alive() {
		return l, nil
	}
	found := make(chan *link, 1)
	if !s.events.PushWithContext(ctx, func() { s.await(vm, found) }) {
		return nil, ctx.Err()
	}
	select {
	case l := <-found:
		if l == nil {
			return nil, errors.New("no connection")
		}
		return l, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
