package afbooking

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
	"github.com/stretchr/testify/require"
)

// store is a platform whose next calls may fail. fault is called with each write and returns the error kind to answer
// with and whether the write takes effect.
type store struct {
	mu      sync.Mutex
	version int64
	objects map[string]afobject.Object
	fault   func() (fails bool, kind afobject.ErrorKind, applies bool)
}

func (s *store) get(_ context.Context, _, name string) (afobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return o, &afobject.Error{Kind: afobject.NotFound}
	}
	return o, nil
}

func (s *store) put(_ context.Context, o afobject.Object) (afobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fails, kind, applies := false, afobject.Unavailable, true
	if s.fault != nil {
		fails, kind, applies = s.fault()
	}
	if s.objects[o.Name].Version != o.Version {
		return afobject.Object{}, &afobject.Error{Kind: afobject.Conflict}
	}
	if applies {
		s.version++
		o.Version = s.version
		s.objects[o.Name] = o
	}
	if fails {
		return afobject.Object{}, &afobject.Error{Kind: kind}
	}
	return o, nil
}

func newService(st *store, vm string, gone func(arbutusfork.Incarnation) bool) *Service {
	return &Service{
		Self: arbutusfork.Incarnation{VM: vm, Start: 1}, Timer: &aftimer.Service{}, Log: slog.New(slog.DiscardHandler),
		GetObject: st.get, CreateObject: st.put, UpdateObject: st.put, IsGone: gone,
	}
}

// TestClaimVerdicts guards against wrong answers to the second call with a key, at the same VM and at another one.
func TestClaimVerdicts(t *testing.T) {
	st := &store{objects: map[string]afobject.Object{}}
	dead := false
	gone := func(i arbutusfork.Incarnation) bool { return dead && i.VM == "a" }
	a, b := newService(st, "a", gone), newService(st, "b", gone)
	call := afclaim.Call{Customer: "c", Route: "r", IdempotencyKey: "k", RequestDigest: "x"}
	verdict := func(s *Service, c afclaim.Call) afclaim.Result {
		r, refusal := s.ClaimCall(t.Context(), c)
		require.Nil(t, refusal)
		return r
	}
	require.Equal(t, afclaim.VerdictGranted, verdict(a, call).Verdict)
	other := call
	other.RequestDigest = "y"
	for _, s := range []*Service{a, b} {
		require.Equal(t, afclaim.VerdictInProgress, verdict(s, call).Verdict)
		require.Equal(t, afclaim.VerdictKeyReused, verdict(s, other).Verdict)
	}
	dead = true
	require.Equal(t, afclaim.VerdictUnknown, verdict(b, call).Verdict)
	dead = false
	answer := afclaim.Answer{Status: 200, ContentType: "text/plain", Body: []byte("done")}
	a.FinishCall(call, answer)
	require.True(t, a.Flush(t.Context()))
	for _, s := range []*Service{a, b} {
		require.Equal(t, afclaim.Result{Verdict: afclaim.VerdictStored, Answer: answer}, verdict(s, call))
	}
	call.IdempotencyKey = "k2"
	require.Equal(t, afclaim.VerdictGranted, verdict(a, call).Verdict)
	a.CancelClaim(call)
	require.True(t, a.Flush(t.Context()))
	require.Equal(t, afclaim.VerdictGranted, verdict(b, call).Verdict)
}
