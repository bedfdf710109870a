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

// fakePlatform is an in-memory object store with conditional updates, outages and lost answers.
type fakePlatform struct {
	mu      sync.Mutex
	version int64
	objects map[string]afobject.Object
	// isDown makes every call fail.
	isDown bool
	// answersToLose is the number of writes that take effect but return an error.
	answersToLose int
}

func (p *fakePlatform) getObject(_ context.Context, kind, name string) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[kind+"/"+name]
	switch {
	case p.isDown:
		return o, &afobject.Error{Op: "get", Kind: afobject.PlatformUnavailable}
	case !ok:
		return o, &afobject.Error{Op: "get", Kind: afobject.ObjectNotFound}
	}
	return o, nil
}

func (p *fakePlatform) putObject(_ context.Context, o afobject.Object) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := o.Kind + "/" + o.Name
	switch {
	case p.isDown:
		return o, &afobject.Error{Op: "put", Kind: afobject.PlatformUnavailable}
	case p.objects[key].Version != o.Version:
		return o, &afobject.Error{Op: "put", Kind: afobject.VersionConflict}
	}
	p.version++
	o.Version = p.version
	p.objects[key] = o
	if p.answersToLose > 0 {
		p.answersToLose--
		return o, &afobject.Error{Op: "put", Kind: afobject.OutcomeUnknown}
	}
	return o, nil
}

// fakeEndpoint is an endpoint that completes loads at once and records the orders that it receives.
type fakeEndpoint struct {
	mu     sync.Mutex
	status afplacement.EndpointStatus
	orders []string
	// rejectStatus is the HTTP status with which orders are refused. Zero accepts them.
	rejectStatus int
	server       *httptest.Server
}

func newFakeEndpoint(t *testing.T) *fakeEndpoint {
	e := &fakeEndpoint{status: afplacement.EndpointStatus{Cache: afplacement.Cache{}}}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if e.rejectStatus != 0 {
		w.WriteHeader(e.rejectStatus)
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

func (e *fakeEndpoint) receivedOrders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orders...)
}

// testFleet is a set of services that share one platform, with a clock and messages under the control of the test.
type testFleet struct {
	t           *testing.T
	now         time.Time
	platform    *fakePlatform
	vms         map[string]*Service
	timers      map[string]*aftimer.Service
	snapshot    *afconfig.Snapshot
	goneSenders map[arbutusfork.Incarnation]bool
	// isFrozen marks VMs for which no time passes and which cannot be reached.
	isFrozen map[string]bool
	// losesMessage reports whether a message is lost on its way. Nil means that none is.
	losesMessage func(vm, kind string) bool

	mu         sync.Mutex
	sentCounts map[string]int // sentCounts is the number of messages by kind.
}

func newTestFleet(t *testing.T, snapshot *afconfig.Snapshot, names ...string) *testFleet {
	f := &testFleet{
		t: t, now: time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC), snapshot: snapshot,
		platform: &fakePlatform{objects: make(map[string]afobject.Object)},
		vms:      make(map[string]*Service), timers: make(map[string]*aftimer.Service),
		goneSenders: make(map[arbutusfork.Incarnation]bool), isFrozen: make(map[string]bool), sentCounts: make(map[string]int),
	}
	for _, name := range names {
		timer := &aftimer.Service{}
		timer.AdvanceTo(f.now)
		s := &Service{
			Self: arbutusfork.Incarnation{VM: name, StartID: 1}, Timer: timer,
			Snapshot:  func() *afconfig.Snapshot { return f.snapshot },
			GetObject: f.platform.getObject, CreateObject: f.platform.putObject, UpdateObject: f.platform.putObject,
			IsGone:     func(i arbutusfork.Incarnation) bool { return f.goneSenders[i] },
			HTTPClient: &http.Client{},
		}
		s.LiveVMs = func() []arbutusfork.VM {
			var out []arbutusfork.VM
			for _, n := range names {
				if !f.isFrozen[n] {
					out = append(out, arbutusfork.VM{Name: n})
				}
			}
			return out
		}
		s.SendToVM = func(vm, kind string, message any) error {
			return f.deliverMessage(s.Self, vm, kind, message, nil)
		}
		s.CallVM = func(_ context.Context, vm, kind string, message, answer any) error {
			return f.deliverMessage(s.Self, vm, kind, message, answer)
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
		require.True(t, s.runOnLoop(ctx, func() {}))
	}
	return f
}

// deliverMessage calls the handler of the receiving VM, unless a VM is frozen or the message is lost.
func (f *testFleet) deliverMessage(from arbutusfork.Incarnation, vm, kind string, message, answer any) error {
	if f.isFrozen[vm] || f.isFrozen[from.VM] || vm == from.VM {
		return &Error{Op: kind, Kind: EndpointUnreachable}
	}
	f.mu.Lock()
	f.sentCounts[kind]++
	lost := f.losesMessage != nil && f.losesMessage(vm, kind)
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

// advanceTime lets time pass in steps and waits after each step until all calls have ended.
func (f *testFleet) advanceTime(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickInterval)
		for name, timer := range f.timers {
			if !f.isFrozen[name] {
				timer.AdvanceTo(f.now)
			}
		}
		f.waitUntilIdle()
	}
}

// waitUntilIdle waits until no call is in progress and no function is queued on any loop, twice in a row.
func (f *testFleet) waitUntilIdle() {
	for idleRounds := 0; idleRounds < 2; idleRounds++ {
		for _, s := range f.vms {
			require.True(f.t, s.runOnLoop(context.Background(), func() {}))
			if s.runningCalls.Load() > 0 || s.loopQueue.Len() > 0 {
				idleRounds = -1
				runtime.Gosched()
			}
		}
	}
}

// recordedOwner returns the owner in the shard's record, or an empty name if there is no record.
func (f *testFleet) recordedOwner(shard string) string {
	o, err := f.platform.getObject(context.Background(), afobject.KindShards, shard)
	if err != nil {
		return ""
	}
	var r afplacement.Record
	require.NoError(f.t, json.Unmarshal(o.Spec, &r))
	return r.Owner.VM
}

// newSnapshot returns a configuration with one service and its models and endpoints.
func newSnapshot(t *testing.T, service arbutusfork.Service, models []arbutusfork.Model, endpoints []arbutusfork.Endpoint) *afconfig.Snapshot {
	var objects []afobject.Object
	add := func(kind, name string, v any) {
		spec, err := json.Marshal(v)
		require.NoError(t, err)
		objects = append(objects, afobject.Object{Kind: kind, Name: name, Version: int64(len(objects) + 1), Spec: spec})
	}
	add(afobject.KindServices, service.Name, service)
	for _, m := range models {
		m.Service = service.Name
		add(afobject.KindModels, m.Name, m)
	}
	for _, e := range endpoints {
		e.Service = service.Name
		add(afobject.KindEndpoints, e.Name, e)
	}
	s, err := (&afconfig.Snapshot{}).WithObjects(1, objects...)
	require.NoError(t, err)
	return s
}
