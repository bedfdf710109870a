// Package affact shares between the VMs what endpoints say about themselves in their answers (package afnotice says what that is
// and what follows from it). What one VM hears spreads to the others over the heartbeat peers, and VMs compare digests, so that
// a VM that has restarted or was unreachable learns what it missed. Neither needs the platform.
package affact

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

const (
	// spreadInterval is the time between two messages with new notices to a VM. News take three or four such steps through a fleet
	// of 380 VMs, which should know them within a second.
	spreadInterval = 100 * time.Millisecond
	// compareInterval is the time between two comparisons of digests with some VM. A VM that has restarted or was cut off learns by
	// comparisons alone what it missed, and so does one that is no other VM's heartbeat peer, of which a fleet of 380 VMs has one
	// now and then. Together with the news it must learn it within a second.
	compareInterval = 400 * time.Millisecond
)

// Service holds the notices on one VM. Set the exported fields before the first call.
type Service struct {
	// Self is the name of this VM.
	Self  string
	Timer *aftimer.Service
	Log   *slog.Logger
	// HeartbeatPeers returns the VMs to which new notices are sent.
	HeartbeatPeers func() []arbutusfork.VM
	// SendToVM sends a message to a VM. It must not block.
	SendToVM func(vm, kind string, message any) error
	// IsListed reports whether an endpoint is known to exist, or did not long ago.
	IsListed func(e afengine.EndpointStart) bool
	// OnStart is called with each start of an endpoint about which something new was heard. It must not block. Nil does nothing.
	OnStart func(e afengine.EndpointStart)
	// OnChange is called when requests and placement should be checked again. It must not block.
	OnChange func()
	// Metrics counts notices and messages. The zero value counts nothing.
	Metrics Metrics

	view atomic.Pointer[afnotice.View]

	// mu serializes changes of the view and guards the fields below.
	mu sync.Mutex
	// pending holds the notices that were not sent to the heartbeat peers yet.
	pending map[afnotice.Key]afnotice.Notice
	// nextPeer is the position of the heartbeat peer of the next comparison.
	nextPeer int
}

// Metrics counts what the service learns and sends.
type Metrics struct {
	notices  *prometheus.CounterVec
	messages prometheus.Counter
}

// NewMetrics registers the metrics and returns them.
func NewMetrics(r prometheus.Registerer) Metrics {
	f := promauto.With(r)
	return Metrics{
		notices: f.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusfork_fact_notices_total", Help: "Things that endpoints said about themselves, heard by this VM or learnt from others, by kind.",
		}, []string{"kind"}),
		messages: f.NewCounter(prometheus.CounterOpts{
			Name: "arbutusfork_fact_messages_total", Help: "Messages with notices or digests to other VMs.",
		}),
	}
}

// RegisterGauges registers the metrics whose values are read at each collection.
func (s *Service) RegisterGauges(r prometheus.Registerer) {
	f := promauto.With(r)
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutusfork_fact_leaving", Help: "Endpoints that said that they leave, as far as this VM knows.",
	}, func() float64 { return float64(s.View().LeavingCount()) })
	f.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "arbutusfork_fact_paused", Help: "Endpoints that are in a pause for which they asked, as far as this VM knows.",
	}, func() float64 { return float64(s.View().PausedCount(s.Timer.Now())) })
}

// Run compares the notices with other VMs until ctx ends.
func (s *Service) Run(ctx context.Context) {
	comparisons := s.Timer.CallEvery(compareInterval, s.compareWithPeer)
	defer comparisons.Stop()
	<-ctx.Done()
}

// View returns the known notices.
func (s *Service) View() afnotice.View {
	if v := s.view.Load(); v != nil {
		return *v
	}
	return afnotice.View{}
}

// IsLeaving reports whether an endpoint said that it leaves.
func (s *Service) IsLeaving(e afengine.EndpointStart) bool {
	v := s.view.Load()
	return v != nil && v.IsLeaving(e)
}

// PausedUntil returns the end of the pause for which an endpoint asked, and whether it is in a pause.
func (s *Service) PausedUntil(e afengine.EndpointStart) (time.Time, bool) {
	v := s.view.Load()
	if v == nil {
		return time.Time{}, false
	}
	return v.PausedUntil(e, s.Timer.Now())
}

// HasPauses reports whether any endpoint is in a pause for which it asked.
func (s *Service) HasPauses() bool {
	v := s.view.Load()
	return v != nil && v.HasPauses(s.Timer.Now())
}

// Record records what an endpoint said about itself in an answer to this VM.
func (s *Service) Record(e afengine.EndpointStart, said afnotice.Statement) {
	if said.IsEmpty() {
		return
	}
	if said.OddPause != "" {
		s.Log.Warn("endpoint pause bounded or ignored", "endpoint", e.Endpoint, "value", said.OddPause, "pause", said.Pause)
	}
	s.learn(func(v afnotice.View) (afnotice.View, map[afnotice.Key]afnotice.Notice) {
		return v.WithStatement(e, said, s.Self, s.Timer.Now())
	})
	if until, isPaused := s.PausedUntil(e); said.Pause > 0 && isPaused {
		s.notifyAt(until)
	}
}

// Lift ends the notices of a kind, Leaving or Pause, about an endpoint on all VMs, and returns the starts of the endpoint that they
// concerned. What endpoints say later counts again. IsListed tells an unknown endpoint from one that said nothing. Its errors are of kind UnknownEndpoint or NoSuchNotice and change nothing.
func (s *Service) Lift(endpoint string, kind afnotice.Kind, isListed bool) ([]afengine.EndpointStart, error) {
	now := s.Timer.Now()
	lifted := slices.Collect(maps.Keys(s.View().InForce(endpoint, kind, now)))
	if len(lifted) == 0 {
		e := &Error{Op: "lift", Kind: NoSuchNotice, Err: errors.Errorf("no notice %s of endpoint %q is in force", kind, endpoint)}
		if !isListed {
			e.Kind, e.Err = UnknownEndpoint, errors.Errorf("no endpoint %q", endpoint)
		}
		return nil, e
	}
	s.learn(func(v afnotice.View) (afnotice.View, map[afnotice.Key]afnotice.Notice) {
		news := make(map[afnotice.Key]afnotice.Notice)
		for _, e := range lifted {
			changed, lift := v.WithLift(e, kind, s.Self, now)
			v = changed
			maps.Copy(news, lift)
		}
		return v, news
	})
	return lifted, nil
}

// learn changes the view, and schedules the sending of the notices that are new.
func (s *Service) learn(change func(v afnotice.View) (changed afnotice.View, news map[afnotice.Key]afnotice.Notice)) {
	s.mu.Lock()
	view, news := change(s.View())
	s.view.Store(&view)
	if len(news) == 0 {
		s.mu.Unlock()
		return
	}
	now := s.Timer.Now()
	if len(s.pending) == 0 {
		s.pending = make(map[afnotice.Key]afnotice.Notice, len(news))
		s.Timer.CallAfter(spreadInterval, s.spread)
	}
	for k, n := range news {
		s.pending[k] = n
		s.Metrics.countNotice(k.Kind)
		if k.Kind == afnotice.LeavingLift || k.Kind == afnotice.PauseLift {
			s.Log.Info("endpoint notice lifted", "kind", k.Kind.String(), "endpoint", k.Endpoint, "born", k.StartUnixMs, "lifted_by", n.HeardBy, "age", now.Sub(n.HeardAt))
			continue
		}
		left := time.Duration(0)
		if k.Kind == afnotice.Pause {
			left = n.Until.Sub(now)
			s.notifyAt(n.Until)
		}
		s.Log.Info("endpoint notice", "kind", k.Kind.String(), "endpoint", k.Endpoint, "born", k.StartUnixMs, "heard_by", n.HeardBy, "age", now.Sub(n.HeardAt), "left", left)
	}
	s.mu.Unlock()
	if s.OnStart != nil {
		for k := range news {
			s.OnStart(k.EndpointStart)
		}
	}
	if s.OnChange != nil {
		s.OnChange()
	}
}

// notifyAt calls OnChange at a time, when a pause ends.
func (s *Service) notifyAt(at time.Time) {
	if s.OnChange != nil {
		s.Timer.CallAfter(at.Sub(s.Timer.Now()), func(time.Time) { s.OnChange() })
	}
}

func (m Metrics) countNotice(k afnotice.Kind) {
	if m.notices != nil {
		m.notices.WithLabelValues(k.String()).Inc()
	}
}

// spread sends the new notices to the heartbeat peers.
func (s *Service) spread(now time.Time) {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	message := encodeNotices(pending, now)
	for _, vm := range s.HeartbeatPeers() {
		s.send(vm.Name, KindNotices, message)
	}
}

// compareWithPeer drops what has ended and sends a digest of the known notices to the next heartbeat peer, which answers with what
// it knows in the parts in which its own digest is another one.
func (s *Service) compareWithPeer(now time.Time) {
	s.mu.Lock()
	view := s.View().WithoutEnded(now, s.IsListed)
	s.view.Store(&view)
	s.nextPeer++
	next := s.nextPeer
	s.mu.Unlock()
	if peers := s.HeartbeatPeers(); len(peers) > 0 {
		s.send(peers[next%len(peers)].Name, KindDigest, encodeDigest(view.Digest(now)))
	}
}

// send sends a message to a VM. A message that is lost is made up for by the next comparison.
func (s *Service) send(vm, kind string, message any) {
	if s.Metrics.messages != nil {
		s.Metrics.messages.Inc()
	}
	if err := s.SendToVM(vm, kind, message); err != nil {
		s.Log.Debug("endpoint notices not sent", "to", vm, "kind", kind, "error", err)
	}
}
