package afdispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// startWithRealClock starts Run with the real time instead of the time that the test sets.
func (h *harness) startWithRealClock() *harness {
	h.Timer.AdvanceTo(h.startedAt)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-t.C:
				h.Timer.AdvanceTo(now)
			}
		}
	})
	h.t.Cleanup(func() { cancel(); wg.Wait() })
	return h.startOwner()
}

// TestLeavingEndpoint guards against new requests for an endpoint that responded that it is draining, and against a request
// that fails because of that response.
func TestLeavingEndpoint(t *testing.T) {
	var refusedCount, servedCount atomic.Int64
	h := newHarness(t,
		serveReplica("e1", func(w http.ResponseWriter, _ *http.Request) {
			refusedCount.Add(1)
			w.Header().Set("X-Not-Run", "true")
			w.Header().Set(DrainingHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, t),
		serveReplica("e2", func(http.ResponseWriter, *http.Request) { servedCount.Add(1) }, t)).startOwner()
	for range 20 {
		rec := &recordingSink{}
		res := h.SendCall(context.Background(), h.newRequest("m", "a"), newGetCall("/"), rec.sink())
		require.Nil(t, res.Refusal)
	}
	require.LessOrEqual(t, refusedCount.Load(), int64(1))
	require.Equal(t, int64(20), servedCount.Load())
}

// TestLeavingEndpointReturns guards against requests that wait until their deadline because the endpoint of the only
// replica was draining earlier, although the routing table has dropped the endpoint and listed it again.
func TestLeavingEndpointReturns(t *testing.T) {
	var leaving atomic.Bool
	leaving.Store(true)
	h := newHarness(t, serveReplica("e1", func(w http.ResponseWriter, _ *http.Request) {
		if leaving.Load() {
			w.Header().Set("X-Not-Run", "true")
			w.Header().Set(DrainingHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, t))
	e1 := (*h.table.Load())["m"]
	listedChecked := make(chan struct{}, 1)
	h.IsEndpointListed = func(endpoint string) bool {
		select {
		case listedChecked <- struct{}{}: // The endpoint is excluded now.
		default:
		}
		return slices.ContainsFunc((*h.table.Load())["m"], func(x afplacement.Replica) bool { return x.Endpoint == endpoint })
	}
	h.startOwner()
	out := make(chan Result, 1)
	go func() {
		out <- h.SendCall(context.Background(), h.newRequest("m", "a"), newGetCall("/"), (&recordingSink{}).sink())
	}()
	<-listedChecked
	h.RecheckWaiting("m")
	h.waitForOwner()
	require.Empty(t, out, "the request was sent to the endpoint again although the table has not dropped the endpoint since it was draining")
	h.setReplicas()
	h.RecheckWaiting("m")
	h.waitForOwner()
	leaving.Store(false)
	h.setReplicas(e1...)
	h.RecheckWaiting("m")
	require.Nil(t, (<-out).Refusal)
}

// TestMissingModel guards against a request that is sent again and again to an endpoint that does not have the model, and
// against an endpoint that is then excluded for its other models too.
func TestMissingModel(t *testing.T) {
	var requestsForM atomic.Int64
	handler := func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/m" {
			requestsForM.Add(1)
			w.Header().Set("X-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	replica := serveReplica("e1", handler, t)
	other := replica
	other.Model = "other"
	h := newHarness(t, replica, other).startOwner()
	out := make(chan Result, 1)
	go func() {
		out <- h.SendCall(context.Background(), h.newRequest("m", "a"), newGetCall("/m"), (&recordingSink{}).sink())
	}()
	require.Equal(t, waitingChange{"m", 1}, <-h.waitingChanges)
	require.Nil(t, h.SendCall(context.Background(), h.newRequest("other", "a"), newGetCall("/other"), (&recordingSink{}).sink()).Refusal)
	require.Equal(t, int64(1), requestsForM.Load())
	good := serveReplica("e2", func(http.ResponseWriter, *http.Request) {}, t)
	h.setReplicas(good, other)
	h.RecheckWaiting("m")
	require.Nil(t, (<-out).Refusal)
}

// TestSilentConnection guards against a request that waits for a response on a dead reused connection although new
// connections work, and against the late response on the dead connection reaching the caller.
func TestSilentConnection(t *testing.T) {
	var mu sync.Mutex
	conns := make(map[string]int)
	block := make(chan struct{})
	lost := make(chan struct{}, 1)
	e := serveReplica("e1", func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/status" {
			_, _ = io.WriteString(w, `{"running":0,"waiting":0}`)
			return
		}
		mu.Lock()
		conns[req.RemoteAddr]++
		silent := conns[req.RemoteAddr] > 1
		mu.Unlock()
		if silent {
			lost <- struct{}{}
			<-block
			_, _ = io.WriteString(w, "late")
			return
		}
		_, _ = io.WriteString(w, "fresh")
	}, t)
	defer close(block)
	h := newHarness(t, e).startOwner()
	rec := &recordingSink{}
	require.Nil(t, h.SendCall(context.Background(), h.newRequest("m", "a"), newGetCall("/1"), rec.sink()).Refusal)
	out := make(chan Result, 1)
	go func() { out <- h.SendCall(context.Background(), h.newRequest("m", "a"), newGetCall("/2"), rec.sink()) }()
	<-lost
	h.advance(defaultConnCheckDelay)
	// The retry is sent after a backoff of at most 2 s.
	for n := 1; ; n++ {
		select {
		case res := <-out:
			require.Nil(t, res.Refusal)
			require.Equal(t, "fresh", rec.body)
			return
		default:
			h.advance(defaultConnCheckDelay + time.Duration(n)*time.Millisecond)
		}
	}
}

// Guards against a request that is given up and sent again because its sound endpoint is silent for a moment as it is checked.
func TestEndpointSilentDuringCheckIsKept(t *testing.T) {
	arrived, sends := make(chan struct{}, 9), atomic.Int32{}
	silenceEnds := make(chan struct{})
	statusAsked := make(chan struct{}, 9)
	e := serveReplica("e1", func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/status":
			statusAsked <- struct{}{}
			<-silenceEnds
			_, _ = io.WriteString(w, `{"running":1,"waiting":0}`)
		case "/2":
			sends.Add(1)
			arrived <- struct{}{}
			<-silenceEnds
			_, _ = io.WriteString(w, "answer")
		default:
			_, _ = io.WriteString(w, "fresh")
		}
	}, t)
	h := newHarness(t, e).startOwner()
	rec := &recordingSink{}
	require.Nil(t, h.SendCall(context.Background(), h.newRequest("m", "a"), newGetCall("/1"), rec.sink()).Refusal)
	out := make(chan Result, 1)
	go func() { out <- h.SendCall(context.Background(), h.newRequest("m", "a"), newGetCall("/2"), rec.sink()) }()
	<-arrived
	h.advance(defaultConnCheckDelay)
	<-statusAsked
	silence := time.After(probeTimeout + 400*time.Millisecond)
	for isOver := false; !isOver; {
		select {
		case <-silence:
			isOver = true
			close(silenceEnds)
		case <-time.After(50 * time.Millisecond):
			h.Timer.AdvanceTo(h.Timer.Now().Add(50 * time.Millisecond)) // A retry would wait for its backoff.
		}
	}
	require.Nil(t, (<-out).Refusal)
	require.Equal(t, "answer", rec.body)
	require.EqualValues(t, 1, sends.Load())
}

// TestStalledStream guards against a stream that never ends because the endpoint stops sending events without closing it.
func TestStalledStream(t *testing.T) {
	block := make(chan struct{})
	h := newHarness(t, serveReplica("e1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: one\n\n")
		_ = http.NewResponseController(w).Flush()
		<-block
	}, t)).startOwner()
	defer close(block)
	first := make(chan struct{})
	rec := &recordingSink{}
	sink := rec.sink()
	sink.Flush = func() error { close(first); return nil }
	c := newGetCall("/")
	c.IsResumable = true
	out := make(chan Result, 1)
	go func() { out <- h.SendCall(context.Background(), h.newRequest("m", "a"), c, sink) }()
	<-first
	for n := 0; ; n++ {
		select {
		case res := <-out:
			require.Equal(t, arbutusfork.CodeEndpointFailed, res.Refusal.Code)
			require.True(t, res.IsResponseStarted)
			require.Equal(t, []string{"one"}, rec.events)
			return
		default:
			h.advance(defaultProgressTimeout + time.Duration(n)*time.Second)
		}
	}
}

// TestNoFirstByte guards against a request that waits past its deadline for a response, and against calling it not run:
// its outcome is unknown.
func TestNoFirstByte(t *testing.T) {
	block, reached := make(chan struct{}), make(chan struct{})
	h := newHarness(t, serveReplica("e1", func(http.ResponseWriter, *http.Request) { close(reached); <-block }, t)).startOwner()
	defer close(block)
	out := make(chan Result, 1)
	c := newGetCall("/")
	c.IsIdempotent = false
	go func() { out <- h.SendCall(context.Background(), h.newRequest("m", "a"), c, (&recordingSink{}).sink()) }()
	<-reached
	h.advance(time.Minute)
	res := <-out
	require.Equal(t, arbutusfork.CodeDeadlineExceeded, res.Refusal.Code)
	require.Equal(t, arbutusfork.OutcomeUnknown, res.Refusal.Outcome)
}

// flakyServer closes connections at planned points and counts the requests of which it read at least one byte.
type flakyServer struct {
	net.Listener
	mu           sync.Mutex
	breakPlan    []int
	requestCount int
}

// The points at which flakyServer closes a connection.
const (
	breakAtOnce = iota
	breakAfterByte
	breakAfterRequest
	breakInHeader
	breakInBody
	answerAndClose
	answerRequest
	breakPointCount
)

func (s *flakyServer) serve() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.handle(c)
	}
}

func (s *flakyServer) handle(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		s.mu.Lock()
		point := answerRequest
		if len(s.breakPlan) > 0 {
			point, s.breakPlan = s.breakPlan[0], s.breakPlan[1:]
		}
		s.mu.Unlock()
		if point == breakAtOnce {
			return
		}
		if _, err := b.Peek(1); err != nil {
			return
		}
		s.mu.Lock()
		s.requestCount++
		s.mu.Unlock()
		if point == breakAfterByte {
			return
		}
		req, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		switch point {
		case breakInHeader:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
		case breakInBody:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
		case answerRequest, answerAndClose:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		if point != answerRequest {
			return
		}
	}
}

// TestNeverSentTwice guards against a call that is not idempotent and reaches the endpoint twice because this package or
// the transport retries it. The transport retries on reused connections if the body is empty or the request has an
// Idempotency-Key. The test also guards against the outcome "not run" for a call that reached the endpoint.
func TestNeverSentTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(rt, err)
		s := &flakyServer{Listener: l, breakPlan: rapid.SliceOfN(rapid.IntRange(0, breakPointCount-1), 1, 6).Draw(rt, "plan")}
		defer func() { _ = l.Close() }()
		go s.serve()
		h := newHarness(t, afplacement.Replica{Model: "m", Endpoint: "e", Address: l.Addr().String(), Slots: 4}).startWithRealClock()
		for i := range rapid.IntRange(1, 4).Draw(rt, "calls") {
			before := s.countRequests()
			c := Call{ID: "id", Path: "/", Header: http.Header{"Idempotency-Key": {fmt.Sprint(i)}}}
			c.Method = rapid.SampledFrom([]string{"POST", "GET", "DELETE"}).Draw(rt, "method")
			c.Body = []byte(rapid.SampledFrom([]string{"", "body"}).Draw(rt, "body"))
			req := h.newRequest("m", "a")
			req.ArrivedAt = h.Timer.Now()
			req.Deadline = req.ArrivedAt.Add(time.Minute)
			res := h.SendCall(context.Background(), req, c, (&recordingSink{}).sink())
			n := s.countRequests() - before
			require.LessOrEqual(rt, n, 1, "the call reached the endpoint %d times", n)
			if res.Refusal != nil && res.Refusal.Outcome == arbutusfork.OutcomeNotRun {
				require.Zero(rt, n, "outcome not run of a call that reached the endpoint")
			}
		}
	})
}

func (s *flakyServer) countRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

// TestRefusedConnection guards against a request that fails because one endpoint is down although another one works.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := afplacement.Replica{Model: "m", Endpoint: "dead", Address: l.Addr().String(), Slots: 4}
	require.NoError(t, l.Close())
	h := newHarness(t, dead, serveReplica("e2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, t)).startWithRealClock()
	for range 10 {
		rec := &recordingSink{}
		req := h.newRequest("m", "a")
		req.Deadline = h.Timer.Now().Add(time.Minute)
		c := newGetCall("/")
		c.IsIdempotent = false
		require.Nil(t, h.SendCall(context.Background(), req, c, rec.sink()).Refusal)
		require.Equal(t, "ok", rec.body)
	}
}

// TestEvents guards against a stream that is split wrongly: at any line end, with comments and with several data lines in
// an event. It also guards against the end of a truncated stream being taken for complete.
func TestEvents(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "\n: ping\ndata: a\r\n\r\nevent: x\ndata:b\ndata: c\n\ndata: cut")
	}))
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	e := newEventReader(resp.Body, new(afmemory.Budget).Hold())
	for _, want := range []string{"a", "b\nc"} {
		_, data, err := e.readEvent()
		require.NoError(t, err)
		require.Equal(t, want, string(data))
	}
	_, _, err = e.readEvent()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
