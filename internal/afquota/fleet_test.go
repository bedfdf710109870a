package afquota

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// store is a platform that may refuse calls, and lose the answer of a write before or after it took effect.
type store struct {
	mu      sync.Mutex
	version int64
	objects map[string]afobject.Object
	down    bool
	lose    int // lose is the number of writes whose answer is lost.
	writes  int
	reads   int
}

func (s *store) get(_ context.Context, kind, name string) (afobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return afobject.Object{}, &afobject.Error{Kind: afobject.Unavailable}
	}
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return o, &afobject.Error{Kind: afobject.NotFound}
	}
	return o, nil
}

func (s *store) put(_ context.Context, o afobject.Object) (afobject.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return afobject.Object{}, &afobject.Error{Kind: afobject.Unavailable}
	}
	key := o.Kind + "/" + o.Name
	if s.objects[key].Version != o.Version {
		return afobject.Object{}, &afobject.Error{Kind: afobject.Conflict}
	}
	s.version++
	s.writes++
	o.Version = s.version
	s.objects[key] = o
	if s.lose > 0 {
		s.lose--
		return afobject.Object{}, &afobject.Error{Kind: afobject.Unknown}
	}
	return o, nil
}

// fleet is a set of VMs that share a store and a timer which the test advances.
type fleet struct {
	t         testing.TB
	store     *store
	timer     *aftimer.Service
	start     time.Time
	customers map[string]arbutusfork.Customer
	mu        sync.Mutex
	vms       map[string]*Service
	gone      map[arbutusfork.Incarnation]bool
	list      []arbutusfork.VM
}

func newFleet(t testing.TB, n int, customers ...arbutusfork.Customer) *fleet {
	f := &fleet{
		t: t, store: &store{objects: map[string]afobject.Object{}}, timer: &aftimer.Service{},
		start: time.Unix(1_000_000, 0), customers: map[string]arbutusfork.Customer{},
		vms: map[string]*Service{}, gone: map[arbutusfork.Incarnation]bool{},
	}
	f.timer.Advance(f.start)
	for _, c := range customers {
		f.customers[c.Name] = c
	}
	for i := range n {
		name := fmt.Sprintf("vm%d", i)
		f.list = append(f.list, arbutusfork.VM{Name: name})
		f.boot(name, 1)
	}
	return f
}

func (f *fleet) boot(name string, start int64) *Service {
	s := &Service{
		Self: arbutusfork.Incarnation{VM: name, Start: start}, Timer: f.timer, Log: slog.New(slog.DiscardHandler),
		Customer: func(n string) (arbutusfork.Customer, bool) { c, ok := f.customers[n]; return c, ok },
		Customers: func() (out []arbutusfork.Customer) {
			for _, c := range f.customers {
				out = append(out, c)
			}
			return out
		},
		Members: func() []arbutusfork.VM { return f.list },
		Get:     f.store.get, Create: f.store.put, Update: f.store.put,
		Gone: func(i arbutusfork.Incarnation) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.gone[i]
		},
	}
	s.Call = func(_ context.Context, vm, kind string, message, answer any) error {
		f.mu.Lock()
		peer := f.vms[vm]
		f.mu.Unlock()
		if peer == nil {
			return &Error{Op: "call", Kind: Stale}
		}
		body, err := msgpack.Marshal(message)
		require.NoError(f.t, err)
		handler := peer.HandleBorrow
		if kind == KindGiveback {
			handler = peer.HandleGiveback
		}
		out, err := handler(s.Self, body)
		if err != nil {
			return err
		}
		body, err = msgpack.Marshal(out)
		require.NoError(f.t, err)
		return msgpack.Unmarshal(body, answer)
	}
	f.mu.Lock()
	f.vms[name] = s
	f.mu.Unlock()
	return s
}

// step advances the time and carries out the duties of each VM.
func (f *fleet) step(d time.Duration) {
	f.start = f.start.Add(d)
	f.timer.Advance(f.start)
	for i := range f.list {
		if s := f.vms[f.list[i].Name]; s != nil {
			s.keepRecords(context.Background())
			s.keepLoans(context.Background())
		}
	}
}

// TestLargeRequestThroughLoans guards against refusing a request that is within the burst but above any VM's share.
func TestLargeRequestThroughLoans(t *testing.T) {
	f := newFleet(t, 6, arbutusfork.Customer{Name: "c", Rate: 1000, Burst: 6000})
	f.step(time.Second)
	f.step(time.Second)
	for _, s := range f.vms {
		require.EqualValues(t, 140_000, s.Status()[0].Base)
	}
	r, refusal := f.vms["vm0"].Reserve(t.Context(), "c", 6000)
	require.Nil(t, refusal)
	_, refusal = f.vms["vm1"].Reserve(t.Context(), "c", 1)
	require.NotNil(t, refusal, "the burst is used up")
	require.Equal(t, arbutusfork.CodeLimited, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
	r.Settle(1000)
	_, refusal = f.vms["vm2"].Reserve(t.Context(), "c", 5001)
	require.NotNil(t, refusal)
	_, refusal = f.vms["vm2"].Reserve(t.Context(), "c", 6001)
	require.Equal(t, arbutusfork.CodeTooLarge, refusal.Code)
}
