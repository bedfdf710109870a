// Package afpeer connects the VMs of the system. It sends messages and calls between them, exchanges heartbeats and
// derives the membership from the heartbeats.
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
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/afring"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// maxQueuedEvents bounds the functions that wait for the goroutine of Run.
	maxQueuedEvents = 1024
	// acceptedLinkIdleTimeout is how long a link that another VM dialled may stay without received frames before it is
	// closed. The other VM sends heartbeats on the link; if it dies without closing the link, no other event ends it.
	acceptedLinkIdleTimeout = 30 * time.Second
)

// ConfigurationReport describes a VM's configuration to other VMs. It is part of each heartbeat answer.
type ConfigurationReport struct {
	// Version is the configuration version and Epoch the witness epoch that the VM holds.
	Version, Epoch int64
	// CanVouch means that others may use the report as evidence.
	CanVouch bool
	// Evidence is the VM's evidence about the witnesses, with RequestedAt by the clock of the VM that uses the report.
	Evidence []afconfig.Evidence
	// ListDigest is the digest of the platform's list of VMs that the VM holds. Zero means that it holds none.
	ListDigest int64
	// ListRequestedAt is when the list was requested from the platform, by the clock of the VM that uses the report.
	// It is the zero time if ListDigest is zero.
	ListRequestedAt time.Time
}

// Handler handles a message from another VM and returns the answer, which is sent only if the message came from Call. It
// runs on the goroutine of the link, after the handlers of the messages received earlier on that link.
type Handler func(from arbutusfork.Incarnation, body []byte) (any, error)

// Service keeps one dialled link to each heartbeat peer and answers on the links that other VMs dialled, so that each VM
// checks by itself whether the other VM answers. Set the fields before Run.
type Service struct {
	// Self is this VM's name and the ID of this start of its program.
	Self arbutusfork.Incarnation
	// ListenAddress is the IP address and port to listen on. Other VMs must reach it under this address unless
	// AdvertisedAddress is set.
	ListenAddress string
	// AdvertisedAddress is the address sent to other VMs. Empty means the bound address.
	AdvertisedAddress string
	// Centre is the data centre of this VM.
	Centre string
	// Seeds are addresses of VMs to connect to while the platform's list of VMs is missing or names too few.
	Seeds []string
	// Timer schedules the heartbeats. It must be set.
	Timer *aftimer.Service
	// Log receives the service's log lines. Nil means slog.Default.
	Log *slog.Logger
	// Transport opens connections. The zero value means TCP.
	Transport Transport

	// BuildReport returns the report on this VM's configuration for other VMs. Nil means that none is sent. It must not
	// block.
	BuildReport func(now time.Time) ConfigurationReport
	// OnReport is called with the report of another VM and the time at which it was requested. It must not block.
	OnReport func(from arbutusfork.Incarnation, requestedAt time.Time, r ConfigurationReport)
	// TableVersions returns this VM's version of each shard, by shard. It must not block.
	TableVersions func() map[string]afplacement.PartVersion
	// OnTableVersions is called with the shard versions of another VM. It must not block.
	OnTableVersions func(from arbutusfork.Incarnation, versions map[string]afplacement.PartVersion)
	// OnMembershipChange is called after each change of the membership. It must not block.
	OnMembershipChange func(afmember.View)

	initOnce sync.Once
	// ctx is the context of Run. All links end with it.
	ctx context.Context
	// events holds the functions that wait for the goroutine of Run.
	events *afring.Queue[func()]
	// handlers maps kinds of messages to their handlers.
	handlers  map[string]Handler
	snapshot  atomic.Pointer[serviceSnapshot]
	isLeaving atomic.Bool
	stats     trafficCounters
	// listening is closed once the service listens and its address is set.
	listening chan struct{}

	// Only the goroutine of Run uses the fields below.
	peers map[string]*peer      // peers maps names of VMs to peers.
	seeds map[string]*seedState // seeds maps addresses of seeds to their states.
	view  afmember.View
	// effectiveAddress is AdvertisedAddress, or the bound address if AdvertisedAddress is empty.
	effectiveAddress string
}

// serviceSnapshot is the state of the service for goroutines other than that of Run. It is immutable.
type serviceSnapshot struct {
	view  afmember.View
	links map[string]*link
	// connected holds up to MaxHeartbeatPeers VMs to which this VM has a link. They are sent in heartbeat answers.
	connected []arbutusfork.VM
}

// trafficCounters counts the messages and bytes on all links.
type trafficCounters struct {
	messagesReceived, messagesSent, bytesReceived, bytesSent atomic.Int64
}

// Stats counts the messages and bytes on all links since the start, heartbeats and answers included.
type Stats struct {
	MessagesReceived, MessagesSent int64
	BytesReceived, BytesSent       int64
}

func (s *Service) init() {
	s.initOnce.Do(func() {
		s.events = afring.New[func()](maxQueuedEvents)
		s.handlers = make(map[string]Handler)
		s.peers = make(map[string]*peer)
		s.seeds = make(map[string]*seedState)
		s.listening = make(chan struct{})
		s.view = afmember.NewView(arbutusfork.VM{Name: s.Self.VM, Address: s.ListenAddress, Centre: s.Centre})
		s.snapshot.Store(&serviceSnapshot{view: s.view})
	})
}

func (s *Service) log() *slog.Logger {
	if s.Log != nil {
		return s.Log
	}
	return slog.Default()
}

// Handle sets the handler for a kind of message. It must be called before Run, and panics if the kind has a handler.
func (s *Service) Handle(kind string, h Handler) {
	s.init()
	if s.handlers[kind] != nil {
		panic("two handlers for peer messages of kind " + kind)
	}
	s.handlers[kind] = h
}

// Run accepts and opens links until ctx ends. It fails with ListenFailed.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	s.ctx = ctx
	if s.Transport.Listen == nil {
		s.Transport = NewTransport()
	}
	bound, stop, err := s.Transport.Listen(s.ListenAddress, s.acceptConn)
	if err != nil {
		return &Error{Op: "listen", VM: s.Self.VM, Kind: ListenFailed, Err: err}
	}
	defer stop()
	s.effectiveAddress = bound
	if s.AdvertisedAddress != "" {
		s.effectiveAddress = s.AdvertisedAddress
	}
	s.view = s.view.WithSelf(arbutusfork.VM{Name: s.Self.VM, Address: s.effectiveAddress, Centre: s.Centre})
	s.publishSnapshot()
	close(s.listening)
	heartbeatTimer := s.Timer.CallEvery(heartbeatInterval, func(now time.Time) { s.events.TryPush(func() { s.maintainLinks(now) }) })
	defer heartbeatTimer.Stop()
	s.maintainLinks(s.Timer.Now())
	s.events.Consume(ctx, func(fn func()) { fn() })
	for _, p := range s.peers {
		if p.link != nil {
			p.link.close()
		}
	}
	return nil
}

// Ready returns a channel that is closed once the service listens and its address is set.
func (s *Service) Ready() <-chan struct{} {
	s.init()
	return s.listening
}

// acceptConn serves a connection that another VM opened, and closes it when it is idle.
func (s *Service) acceptConn(conn *Conn) {
	<-s.listening
	l := s.newLink(conn)
	go func() {
		idleCheck := s.Timer.CallEvery(acceptedLinkIdleTimeout, func(time.Time) {
			if l.framesSinceCheck.Swap(0) == 0 {
				l.close()
			}
		})
		defer idleCheck.Stop()
		defer l.close()
		l.serveRequests()
	}()
}

// publishSnapshot makes the view and the links available to other goroutines.
func (s *Service) publishSnapshot() {
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
	s.snapshot.Store(&serviceSnapshot{view: s.view, links: links, connected: connected})
}

// publishMembership publishes the view and calls OnMembershipChange.
func (s *Service) publishMembership() {
	s.publishSnapshot()
	if s.OnMembershipChange != nil {
		s.OnMembershipChange(s.view)
	}
}

// LiveMembers returns the VMs that take work, including this VM unless it is leaving, sorted by name.
func (s *Service) LiveMembers() []arbutusfork.VM { return s.Membership().LiveVMs() }

// Membership returns the membership as this VM sees it.
func (s *Service) Membership() afmember.View {
	s.init()
	return s.snapshot.Load().view
}

// SetListedVMs replaces the platform's list of VMs in the view.
func (s *Service) SetListedVMs(vms []arbutusfork.VM) {
	s.init()
	s.events.TryPush(func() {
		s.view = s.view.WithList(vms)
		s.publishMembership()
	})
}

// AnnounceLeaving marks this VM as leaving and announces this to the connected VMs.
func (s *Service) AnnounceLeaving() {
	s.init()
	s.isLeaving.Store(true)
	s.events.TryPush(func() {
		s.view = s.view.WithSelf(arbutusfork.VM{
			Name: s.Self.VM, Address: s.effectiveAddress, Centre: s.Centre, State: arbutusfork.VMLeaving,
		})
		s.publishMembership()
		for _, p := range s.peers {
			if p.link != nil {
				s.requestHeartbeat(p)
			}
		}
	})
}

// Stats returns the counts of messages and bytes.
func (s *Service) Stats() Stats {
	return Stats{
		MessagesReceived: s.stats.messagesReceived.Load(), MessagesSent: s.stats.messagesSent.Load(),
		BytesReceived: s.stats.bytesReceived.Load(), BytesSent: s.stats.bytesSent.Load(),
	}
}

// Send queues a message to a VM. If there is no link to the VM, one is opened first. A nil error does not mean that the
// message arrives. Send fails with MalformedMessage, or with VMUnreachable if the link fails or too many messages are
// queued.
func (s *Service) Send(vm, kind string, message any) error {
	s.init()
	body, err := encodeMessage(message)
	if err != nil {
		return &Error{Op: "send", VM: vm, Kind: MalformedMessage, Err: err}
	}
	f := afframe.Frame{Kind: kind, Body: body}
	if l := s.snapshot.Load().links[vm]; l != nil && l.isOpen() {
		if err := l.writeFrame(f); err != nil {
			l.close()
			return &Error{Op: "send", VM: vm, Kind: VMUnreachable, Err: err}
		}
		return nil
	}
	if !s.events.TryPush(func() { s.sendOrQueue(vm, f) }) {
		return &Error{Op: "send", VM: vm, Kind: VMUnreachable, Err: errors.New("too many messages are queued")}
	}
	return nil
}

// Call sends a message to a VM and decodes the reply into answer unless answer is nil. If there is no link to the VM,
// Call opens one and waits for it until ctx ends. It fails with VMUnreachable, NoAnswer, RefusedByVM or MalformedMessage.
func (s *Service) Call(ctx context.Context, vm, kind string, message, answer any) error {
	s.init()
	body, err := encodeMessage(message)
	if err != nil {
		return &Error{Op: "call", VM: vm, Kind: MalformedMessage, Err: err}
	}
	l, err := s.waitForLink(ctx, vm)
	if err != nil {
		return &Error{Op: "call", VM: vm, Kind: VMUnreachable, Err: err}
	}
	f, err := l.requestAndWait(ctx, kind, body)
	if err != nil {
		return &Error{Op: "call", VM: vm, Kind: NoAnswer, Err: err}
	}
	if f.Kind == kindError {
		var text string
		_ = msgpack.Unmarshal(f.Body, &text) // If the text cannot be decoded, the kind still reports the refusal.
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

// waitForLink returns an open link to a VM. If there is none, it has one opened and waits for it until ctx ends.
func (s *Service) waitForLink(ctx context.Context, vm string) (*link, error) {
	if l := s.snapshot.Load().links[vm]; l != nil && l.isOpen() {
		return l, nil
	}
	linkFound := make(chan *link, 1)
	if !s.events.PushWithContext(ctx, func() { s.addLinkWaiter(vm, linkFound) }) {
		return nil, ctx.Err()
	}
	select {
	case l := <-linkFound:
		if l == nil {
			return nil, errors.New("no link could be opened")
		}
		return l, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
