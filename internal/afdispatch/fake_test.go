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

// harness is a service with a table of replicas and a clock that the test sets.
type harness struct {
	*Service
	t         *testing.T
	startedAt time.Time
	table     atomic.Pointer[map[string][]afplacement.Replica]
	// waitingChanges receives the arguments of each call of OnWaitingChanged.
	waitingChanges chan waitingChange
}

type waitingChange struct {
	model   string
	waiting int
}

func newHarness(t *testing.T, replicas ...afplacement.Replica) *harness {
	h := &harness{t: t, startedAt: time.Now(), waitingChanges: make(chan waitingChange, 100)}
	h.setReplicas(replicas...)
	timer := &aftimer.Service{}
	timer.Advance(h.startedAt)
	h.Service = &Service{
		Timer:            timer,
		ModelReplicas:    func(model string) []afplacement.Replica { return (*h.table.Load())[model] },
		OnWaitingChanged: func(model string, waiting int, _ time.Time) { h.waitingChanges <- waitingChange{model, waiting} },
	}
	return h
}

// startOwner starts the goroutine of Run. The fields must not be changed after it.
func (h *harness) startOwner() *harness {
	h.init()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = h.Run(ctx) })
	h.t.Cleanup(func() { cancel(); wg.Wait() })
	return h
}

func (h *harness) setReplicas(replicas ...afplacement.Replica) {
	m := make(map[string][]afplacement.Replica)
	for _, x := range replicas {
		m[x.Model] = append(m[x.Model], x)
	}
	h.table.Store(&m)
}

// advance sets the clock to d after the start and waits until the goroutine of Run has handled the earlier events.
func (h *harness) advance(d time.Duration) {
	h.Timer.Advance(h.startedAt.Add(d))
	h.waitForOwner()
}

// waitForOwner waits until the goroutine of Run has handled all earlier events.
func (h *harness) waitForOwner() {
	w := &waiter{request: Request{Model: "none", Deadline: h.startedAt}, reply: make(chan acquireResult, 1)}
	h.postEvent(event{kind: eventAcquire, waiter: w})
	<-w.reply
}

func (h *harness) newRequest(model, customer string) Request {
	return Request{ID: "r", Customer: customer, Weight: 1, Model: model, Cost: 10, ArrivedAt: h.startedAt, Deadline: h.startedAt.Add(time.Minute)}
}

func newReplica(name, endpoint string, slots int) afplacement.Replica {
	return afplacement.Replica{Model: name, Endpoint: endpoint, Slots: slots}
}

// serveReplica starts a test server and returns a replica at its address.
func serveReplica(name string, h http.HandlerFunc, t *testing.T) afplacement.Replica {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return afplacement.Replica{Model: "m", Endpoint: name, Address: srv.Listener.Addr().String(), Slots: 4}
}

// recordingSink records the response that its sink receives.
type recordingSink struct {
	status int
	body   string
	events []string
}

func (rec *recordingSink) sink() Sink {
	return Sink{
		WriteResponse: func(status int, _ http.Header, body []byte) error {
			rec.status, rec.body = status, string(body)
			return nil
		},
		StartStream: func(status int, _ http.Header) error { rec.status = status; return nil },
		WriteEvent:  func(_, data []byte) error { rec.events = append(rec.events, string(data)); return nil },
		Flush:       func() error { return nil },
		TokensUsed:  func() int64 { return 0 },
	}
}

func newGetCall(path string) Call {
	return Call{ID: "id", Method: http.MethodGet, Path: path, IsIdempotent: true}
}

func requireGranted(t *testing.T, h *harness, req Request) *Lease {
	l, refusal := h.AcquireLease(context.Background(), req)
	require.Nil(t, refusal)
	return l
}
