package afbooking

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"testing"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
	"arbutusfork.example/arbutusfork/pkg/afversion"
	"github.com/stretchr/testify/require"
)

// fakePlatform stores objects in memory.
type fakePlatform struct {
	mu sync.Mutex
	// lastVersion is the version of the latest write.
	lastVersion int64
	objects     map[string]afobject.Object
	// era is the era of the store. Versions of objects hold it.
	era int64
	// drawFault is called for each write. It returns whether the write fails, the kind of the error, and whether the
	// write takes effect nevertheless. Nil means no faults.
	drawFault func() (fails bool, kind afobject.ErrorKind, applies bool)
}

func (p *fakePlatform) getObject(_ context.Context, _, name string) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[name]
	if !ok {
		o.Version, _ = afversion.Join(p.era, 0)
		return o, &afobject.Error{Kind: afobject.ObjectNotFound}
	}
	return o, nil
}

func (p *fakePlatform) putObject(_ context.Context, o afobject.Object) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fails, kind, applies := false, afobject.PlatformUnavailable, true
	if p.drawFault != nil {
		fails, kind, applies = p.drawFault()
	}
	if afversion.Revision(p.objects[o.Name].Version) != afversion.Revision(o.Version) {
		return afobject.Object{}, &afobject.Error{Kind: afobject.VersionConflict}
	}
	if applies {
		p.lastVersion++
		isEarlierEra := o.Version != 0 && afversion.Era(o.Version) != p.era
		o.Version, _ = afversion.Join(p.era, p.lastVersion)
		p.objects[o.Name] = o
		if isEarlierEra {
			return afobject.Object{}, &afobject.Error{Kind: afobject.OutcomeUnknown}
		}
	}
	if fails {
		return afobject.Object{}, &afobject.Error{Kind: kind}
	}
	return o, nil
}

// copyState returns a function that makes the platform go back to its present state, in a new era.
func (p *fakePlatform) copyState() (goBack func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	objects, lastVersion := maps.Clone(p.objects), p.lastVersion
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.objects, p.lastVersion = objects, lastVersion
		p.era++
		for name, o := range objects {
			o.Version, _ = afversion.Join(p.era, afversion.Revision(o.Version))
			objects[name] = o
		}
	}
}

// newService returns a service of the VM that uses the platform.
func newService(platform *fakePlatform, vm string, isGone func(arbutusfork.Incarnation) bool) *Service {
	return &Service{
		Self: arbutusfork.Incarnation{VM: vm, StartID: 1}, Timer: &aftimer.Service{}, Log: slog.New(slog.DiscardHandler),
		GetObject: platform.getObject, CreateObject: platform.putObject, UpdateObject: platform.putObject, IsGone: isGone,
		OtherVMs: func() ([]string, bool) { return nil, true },
	}
}

// TestClaimVerdicts guards against wrong verdicts on a second call with the same key, at the same VM and at another
// one.
func TestClaimVerdicts(t *testing.T) {
	platform := &fakePlatform{objects: map[string]afobject.Object{}}
	isDead := false
	isGone := func(i arbutusfork.Incarnation) bool { return isDead && i.VM == "a" }
	a, b := newService(platform, "a", isGone), newService(platform, "b", isGone)
	call := afclaim.Call{Customer: "c", Route: "r", IdempotencyKey: "k", RequestDigest: "x"}
	claimCall := func(s *Service, c afclaim.Call) afclaim.Result {
		r, refusal := s.ClaimCall(t.Context(), c)
		require.Nil(t, refusal)
		return r
	}
	require.Equal(t, afclaim.VerdictGranted, claimCall(a, call).Verdict)
	other := call
	other.RequestDigest = "y"
	for _, s := range []*Service{a, b} {
		require.Equal(t, afclaim.VerdictInProgress, claimCall(s, call).Verdict)
		require.Equal(t, afclaim.VerdictKeyReused, claimCall(s, other).Verdict)
	}
	isDead = true
	require.Equal(t, afclaim.VerdictUnknown, claimCall(b, call).Verdict)
	isDead = false
	answer := afclaim.Answer{Status: 200, ContentType: "text/plain", Body: []byte("done")}
	a.FinishCall(call, answer)
	require.True(t, a.Flush(t.Context()))
	for _, s := range []*Service{a, b} {
		require.Equal(t, afclaim.Result{Verdict: afclaim.VerdictStored, Answer: answer}, claimCall(s, call))
	}
	call.IdempotencyKey = "k2"
	require.Equal(t, afclaim.VerdictGranted, claimCall(a, call).Verdict)
	a.CancelClaim(call)
	require.True(t, a.Flush(t.Context()))
	require.Equal(t, afclaim.VerdictGranted, claimCall(b, call).Verdict)
}
