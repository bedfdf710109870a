package afgateway

import (
	"log/slog"
	"testing"
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
