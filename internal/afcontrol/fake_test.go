package afcontrol

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// platform is an in-memory object store with conditional updates and two faults.
type platform struct {
	mu      sync.Mutex
	version int64
	objects map[string]afobject.Object
	// down refuses every call; lose drops the answers of that many writes after they took effect.
	down bool
	lose int
}

func (p *platform) get(_ context.Context, kind, name string) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[kind+"/"+name]
	switch {
	case p.down:
		return o, &afobject.Error{Op: "get", Kind: afobject.Unavailable}
	case !ok:
		return o, &afobject.Error{Op: "get", Kind: afobject.NotFound}
	}
	return o, nil
}

func (p *platform) put(_ context.Context, o afobject.Object) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := o.Kind + "/" + o.Name
	switch {
	case p.down:
		return o, &afobject.Error{Op: "put", Kind: afobject.Unavailable}
	case p.objects[key].Version != o.Version:
		return o, &afobject.Error{Op: "put", Kind: afobject.Conflict}
	}
	p.version++
	o.Version = p.version
	p.objects[key] = o
	if p.lose > 0 {
		p.lose--
		return o, &afobject.Error{Op: "put", Kind: afobject.Unknown}
	}
	return o, nil
}

// engine is a model runner that completes loads at once. It records the orders it got.
type engine struct {
	mu     sync.Mutex
	status afplacement.EndpointStatus
	orders []string
	// reject answers orders with that status.
	reject int
	server *httptest.Server
}

func newEngine(t *testing.T) *engine {
	e := &engine{status: afplacement.EndpointStatus{Cache: afplacement.Cache{}}}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/status" {
		_ = json.NewEncoder(w).Encode(e.status)
		return
	}
	var body struct {
		orderBody
		adapterBody
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	verb, model := parts[len(parts)-1], ""
	if strings.HasSuffix(verb, "_lora_adapter") {
		verb, model = strings.TrimSuffix(verb, "_lora_adapter"), body.Name
	} else {
		model = parts[len(parts)-2]
	}
	e.orders = append(e.orders, verb+" "+model)
	if e.reject != 0 {
		w.WriteHeader(e.reject)
		return
	}
	models := e.status.Models[:0]
	for _, m := range e.status.Models {
		if m.Name != model {
			models = append(models, m)
		}
	}
	if verb == "load" {
		models = append(models, afplacement.ModelStatus{Name: model, State: "loaded", Memory: 10})
	}
	e.status.Models = models
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) got() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orders...)
}

// fleet is a set of services over one platform, driven by hand.
type fleet struct {
	t        *testing.T
	now      time.Time
	platform *platform
	vms      map[string]*Service
	timers   map[string]*aftimer.Service
	snapshot *afconfig.Snapshot
	gone     map[arbutusfork.Incarnation]bool
	// frozen VMs do not see time pass and cannot be reached.
	frozen map[string]bool
	// lose reports whether a message is lost on its way. Nil means that none is.
	lose func(vm, kind string) bool

	mu   sync.Mutex
	sent map[string]int // sent counts the messages by kind.
}

func newFleet(t *testing.T, snapshot *afconfig.Snapshot, names ...string) *fleet {
	f := &fleet{
		t: t, now: time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC), snapshot: snapshot,
		platform: &platform{objects: make(map[string]afobject.Object)},
		vms:      make(map[string]*Service), timers: make(map[string]*aftimer.Service),
		gone: make(map[arbutusfork.Incarnation]bool), frozen: make(map[string]bool), sent: make(map[string]int),
	}
	for _, name := range names {
		timer := &aftimer.Service{}
		timer.Advance(f.now)
		s := &Service{
			Self: arbutusfork.Incarnation{VM: name, Start: 1}, Timer: timer,
			Snapshot:  func() *afconfig.Snapshot { return f.snapshot },
			GetObject: f.platform.get, CreateObject: f.platform.put, UpdateObject: f.platform.put,
			IsGone:     func(i arbutusfork.Incarnation) bool { return f.gone[i] },
			HTTPClient: &http.Client{},
		}
		s.Members = func() []arbutusfork.VM {
			var out []arbutusfork.VM
			for _, n := range names {
				if !f.frozen[n] {
					out = append(out, arbutusfork.VM{Name: n})
				}
			}
			return out
		}
		s.SendMessage = func(vm, kind string, message any) error {
			return f.deliver(s.Self, vm, kind, message, nil)
		}
		s.CallVM = func(_ context.Context, vm, kind string, message, answer any) error {
			return f.deliver(s.Self, vm, kind, message, answer)
		}
		f.vms[name], f.timers[name] = s, timer
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, s := range f.vms {
		s.init()
		wg.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	for _, s := range f.vms {
		require.True(t, s.ask(ctx, func() {}))
	}
	return f
}

func (f *fleet) deliver(from arbutusfork.Incarnation, vm, kind string, message, answer any) error {
	if f.frozen[vm] || f.frozen[from.VM] || vm == from.VM {
		return &Error{Op: kind, Kind: EndpointUnreachable}
	}
	f.mu.Lock()
	f.sent[kind]++
	lost := f.lose != nil && f.lose(vm, kind)
	f.mu.Unlock()
	if lost {
		return nil
	}
	s := f.vms[vm]
	b, err := msgpack.Marshal(message)
	require.NoError(f.t, err)
	handler := map[string]func(arbutusfork.Incarnation, []byte) (any, error){
		KindDemand: s.HandleDemand, KindTablePart: s.HandleTablePart, KindOwner: s.HandleOwner,
		KindFetchPart: s.HandleFetchPart, KindFenceSender: s.HandleFenceSender,
	}[kind]
	out, err := handler(from, b)
	if err != nil || answer == nil {
		return err
	}
	b, err = msgpack.Marshal(out)
	require.NoError(f.t, err)
	return msgpack.Unmarshal(b, answer)
}

// advance lets time pass in steps and waits after each until all calls have ended.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		for name, timer := range f.timers {
			if !f.frozen[name] {
				timer.Advance(f.now)
			}
		}
		f.settle()
	}
}

func (f *fleet) settle() {
	for quiet := 0; quiet < 2; quiet++ {
		for _, s := range f.vms {
			require.True(f.t, s.ask(context.Background(), func() {}))
			if s.calls.Load() > 0 || s.ring.Len() > 0 {
				quiet = -1
				runtime.Gosched()
			}
		}
	}
}

func (f *fleet) owner(shard string) string {
	o, err := f.platform.get(context.Background(), afobject.Shards, shard)
	if err != nil {
		return ""
	}
	var r afplacement.Record
	require.NoError(f.t, json.Unmarshal(o.Spec, &r))
	return r.Owner.VM
}

func snapshot(t *testing.T, service arbutusfork.Service, models []arbutusfork.Model, endpoints []arbutusfork.Endpoint) *afconfig.Snapshot {
	var objects []afobject.Object
	add := func(kind, name string, v any) {
		spec, err := json.Marshal(v)
		require.NoError(t, err)
		objects = append(objects, afobject.Object{Kind: kind, Name: name, Version: int64(len(objects) + 1), Spec: spec})
	}
	add(afobject.Services, service.Name, service)
	for _, m := range models {
		m.Service = service.Name
		add(afobject.Models, m.Name, m)
	}
	for _, e := range endpoints {
		e.Service = service.Name
		add(afobject.Endpoints, e.Name, e)
	}
	s, err := (&afconfig.Snapshot{}).With(1, objects...)
	require.NoError(t, err)
	return s
}
