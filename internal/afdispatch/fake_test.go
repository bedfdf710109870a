package afdispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// rig is a service whose time the test advances.
type rig struct {
	*Service
	t     *testing.T
	start time.Time
	table atomic.Pointer[map[string][]afplacement.Replica]
	// demand receives each call of OnWaitingChanged as model and number.
	demand chan demand
}

type demand struct {
	model   string
	waiting int
}

func newRig(t *testing.T, replicas ...afplacement.Replica) *rig {
	r := &rig{t: t, start: time.Now(), demand: make(chan demand, 100)}
	r.set(replicas...)
	timer := &aftimer.Service{}
	timer.AdvanceTo(r.start)
	r.Service = &Service{
		Timer:            timer,
		ModelReplicas:    func(model string) []afplacement.Replica { return (*r.table.Load())[model] },
		OnWaitingChanged: func(model string, waiting int, _ time.Time) { r.demand <- demand{model, waiting} },
	}
	return r
}

// run starts the owner goroutine after the test has changed the fields.
func (r *rig) run() *rig {
	r.init()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.Run(ctx) })
	r.t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

func (r *rig) set(replicas ...afplacement.Replica) {
	m := make(map[string][]afplacement.Replica)
	for _, x := range replicas {
		m[x.Model] = append(m[x.Model], x)
	}
	r.table.Store(&m)
}

// advance sets the time to d after the start and waits until the owner goroutine has seen it.
func (r *rig) advance(d time.Duration) {
	r.Timer.AdvanceTo(r.start.Add(d))
	r.settle()
}

// settle waits until the owner goroutine has handled all events before.
func (r *rig) settle() {
	w := &waiter{request: Request{Model: "none", Deadline: r.start}, reply: make(chan grant, 1)}
	r.send(event{kind: eventAcquire, waiter: w})
	<-w.reply
}

func (r *rig) request(model, customer string) Request {
	return Request{ID: "r", Customer: customer, Weight: 1, Model: model, Cost: 10, ArrivedAt: r.start, Deadline: r.start.Add(time.Minute)}
}

func model(name, endpoint string, slots int) afplacement.Replica {
	return afplacement.Replica{Model: name, Endpoint: endpoint, Slots: slots}
}

// at returns a replica behind a test server.
func at(name string, h http.HandlerFunc, t *testing.T) afplacement.Replica {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return afplacement.Replica{Model: "m", Endpoint: name, Address: srv.Listener.Addr().String(), Slots: 4}
}

// record is a sink that keeps what it receives.
type record struct {
	status int
	body   string
	events []string
}

func (k *record) sink() Sink {
	return Sink{
		WriteResponse: func(status int, _ http.Header, body []byte) error {
			k.status, k.body = status, string(body)
			return nil
		},
		StartStream: func(status int, _ http.Header) error { k.status = status; return nil },
		WriteEvent:  func(_, data []byte) error { k.events = append(k.events, string(data)); return nil },
		Flush:       func() error { return nil },
		TokensUsed:  func() int64 { return 0 },
	}
}

func get(path string) Call {
	return Call{ID: "id", Method: http.MethodGet, Path: path, IsIdempotent: true}
}

func requireGranted(t *testing.T, r *rig, req Request) *Lease {
	l, refusal := r.AcquireLease(context.Background(), req)
	require.Nil(t, refusal)
	return l
}
