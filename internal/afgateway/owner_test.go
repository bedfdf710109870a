package afgateway

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afroute"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// newOwnerServer returns a server with two endpoints whose time a test controls.
func newOwnerServer(limits EndpointLimits, budget RetryBudget) *Server {
	timer := &aftimer.Service{}
	timer.AdvanceTo(time.Unix(1000, 0))
	s := &Server{
		Roster: &afroster.Roster{Now: timer.Now}, Timer: timer, Log: slog.New(slog.DiscardHandler), ListedVMCount: func() int { return 1 },
		EndpointLimits: limits, RetryBudget: budget,
	}
	s.init()
	for _, id := range []string{"i-1", "i-2"} {
		s.Roster.PutEntry(afengine.EndpointEntry{ID: id, Service: "app", Slots: 4})
	}
	return s
}

// Guards against a retry that is taken for a place which is gone a moment later, and is never given back.
func TestRetryWithoutPlaceIsGivenBack(t *testing.T) {
	waits := []time.Duration{0, 0, time.Second, time.Second} // The limits are asked twice for each of the two endpoints.
	limits := EndpointLimits{ExpectedWait: func(afengine.EndpointStart) time.Duration {
		wait := waits[0]
		waits = waits[1:]
		return wait
	}}
	s := newOwnerServer(limits, RetryBudget{ExtraRetries: 4, Window: time.Minute}) // One VM uses half, and a silent request half of that.
	p := &proxiedRequest{server: s, service: afroute.Service{Name: "app"}}
	_, ok := p.placePicker(nil, nil, s.Timer.Now())()
	require.False(t, ok)
	require.Empty(t, waits)
	require.True(t, s.takeRetry("app", s.Timer.Now()))
	require.True(t, s.takeRetry("app", s.Timer.Now()), "the retry was kept")
}

// Guards against timers that add up with each second attempt and go on after the request.
func TestOneTimerWatchesAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := EndpointLimits{TakeSlot: func(ctx context.Context, _ afengine.EndpointStart, _ time.Duration) (time.Duration, bool) {
			<-ctx.Done() // The second attempt waits, so that the first one stays silent.
			return 0, false
		}}
		s := newOwnerServer(limits, RetryBudget{ExtraRetries: 20, Window: time.Minute})
		p := &proxiedRequest{server: s, service: afroute.Service{Name: "app"}, route: afroute.Route{Kind: afroute.KindSafe, MaxAttempts: 2}, deadline: s.Timer.Now().Add(time.Minute), timeoutSpread: 0.1}
		o := newAttemptOwner(t.Context(), p)
		first, ok := p.pickEndpoint(nil)
		require.True(t, ok)
		o.begin(first)
		checks := 0
		for last, step := o.timer, 0; step < 2000; step++ {
			s.Timer.AdvanceTo(s.Timer.Now().Add(time.Millisecond))
			synctest.Wait()
			if o.timer != last {
				last = o.timer
				checks++
			}
		}
		require.Len(t, o.live, 2)
		o.end()
		require.LessOrEqual(t, checks, int(2*time.Second/placeRetryDelay))
	})
}

// Guards against heartbeats and other timers that are late because many requests at silent or full endpoints look for a place.
func TestSearchForPlaceBlocksNoTimer(t *testing.T) {
	for name, search := range map[string]func(*proxiedRequest){
		"silent endpoint": func(p *proxiedRequest) {
			o := newAttemptOwner(t.Context(), p)
			first, ok := p.pickEndpoint(nil)
			require.True(t, ok)
			o.begin(first)
			t.Cleanup(o.end)
		},
		"full endpoint": func(p *proxiedRequest) { p.recordFull(p.server.Roster.UsableEndpoints("app")[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newOwnerServer(EndpointLimits{}, RetryBudget{Window: time.Minute})
			p := &proxiedRequest{server: s, service: afroute.Service{Name: "app"}, route: afroute.Route{Kind: afroute.KindSafe, MaxAttempts: 2}, deadline: s.Timer.Now().Add(time.Minute)}
			search(p)
			called := make(chan struct{})
			s.Timer.CallAfter(time.Second, func(time.Time) { close(called) })
			s.queue.mu.Lock() // Another search is in progress.
			defer s.queue.mu.Unlock()
			go s.Timer.AdvanceTo(s.Timer.Now().Add(time.Second))
			select {
			case <-called:
			case <-time.After(3 * time.Second):
				require.Fail(t, "the timer waits for the search")
			}
		})
	}
}
