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
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// real makes the service follow the real clock, for tests that do not depend on the time.
func (r *rig) real() *rig {
	r.Timer.AdvanceTo(r.start)
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
				r.Timer.AdvanceTo(now)
			}
		}
	})
	r.t.Cleanup(func() { cancel(); wg.Wait() })
	return r.run()
}

// TestLeavingEndpoint guards against new work for an endpoint that said that it is leaving, and against a
// request that fails because of it.
func TestLeavingEndpoint(t *testing.T) {
	var left, served atomic.Int64
	r := newRig(t,
		at("e1", func(w http.ResponseWriter, _ *http.Request) {
			left.Add(1)
			w.Header().Set("X-Not-Run", "true")
			w.Header().Set(DrainingHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, t),
		at("e2", func(http.ResponseWriter, *http.Request) { served.Add(1) }, t)).run()
	for range 20 {
		k := &record{}
		res := r.SendCall(context.Background(), r.request("m", "a"), get("/"), k.sink())
		require.Nil(t, res.Refusal)
	}
	require.LessOrEqual(t, left.Load(), int64(1))
	require.Equal(t, int64(20), served.Load())
}

// TestLeavingEndpointReturns guards against requests that wait out their deadline at the only replica of a model
// because its endpoint was leaving before: the exclusion ends when the routing table lists the endpoint anew.
func TestLeavingEndpointReturns(t *testing.T) {
	var leaving atomic.Bool
	leaving.Store(true)
	r := newRig(t, at("e1", func(w http.ResponseWriter, _ *http.Request) {
		if leaving.Load() {
			w.Header().Set("X-Not-Run", "true")
			w.Header().Set(DrainingHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, t))
	e1 := (*r.table.Load())["m"]
	asked := make(chan struct{}, 1)
	r.IsEndpointListed = func(endpoint string) bool {
		select {
		case asked <- struct{}{}: // The exclusion is in force.
		default:
		}
		return slices.ContainsFunc((*r.table.Load())["m"], func(x afplacement.Replica) bool { return x.Endpoint == endpoint })
	}
	r.run()
	out := make(chan Result, 1)
	go func() { out <- r.SendCall(context.Background(), r.request("m", "a"), get("/"), (&record{}).sink()) }()
	<-asked
	r.RecheckWaiting("m")
	r.settle()
	require.Empty(t, out, "the table that lists the endpoint is older than its refusal")
	r.set()
	r.RecheckWaiting("m")
	r.settle()
	leaving.Store(false)
	r.set(e1...)
	r.RecheckWaiting("m")
	require.Nil(t, (<-out).Refusal)
}

// TestMissingModel guards against asking an endpoint again and again for a model that it does not have, and
// against keeping it away from its other models.
func TestMissingModel(t *testing.T) {
	var asked atomic.Int64
	h := func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/m" {
			asked.Add(1)
			w.Header().Set("X-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	m := at("e1", h, t)
	other := m
	other.Model = "other"
	r := newRig(t, m, other).run()
	out := make(chan Result, 1)
	go func() { out <- r.SendCall(context.Background(), r.request("m", "a"), get("/m"), (&record{}).sink()) }()
	require.Equal(t, demand{"m", 1}, <-r.demand)
	require.Nil(t, r.SendCall(context.Background(), r.request("other", "a"), get("/other"), (&record{}).sink()).Refusal)
	require.Equal(t, int64(1), asked.Load())
	good := at("e2", func(http.ResponseWriter, *http.Request) {}, t)
	r.set(good, other)
	r.RecheckWaiting("m")
	require.Nil(t, (<-out).Refusal)
}

// TestSilentConnection guards against requests that wait on a connection that went silent while new ones work,
// and against the late answer of the silent one reaching the caller.
func TestSilentConnection(t *testing.T) {
	var mu sync.Mutex
	conns := make(map[string]int)
	block := make(chan struct{})
	lost := make(chan struct{}, 1)
	e := at("e1", func(w http.ResponseWriter, req *http.Request) {
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
	r := newRig(t, e).run()
	k := &record{}
	require.Nil(t, r.SendCall(context.Background(), r.request("m", "a"), get("/1"), k.sink()).Refusal)
	out := make(chan Result, 1)
	go func() { out <- r.SendCall(context.Background(), r.request("m", "a"), get("/2"), k.sink()) }()
	<-lost
	r.advance(defaultSuspect)
	// The retry waits for its backoff, which is at most 2 s.
	for n := 1; ; n++ {
		select {
		case res := <-out:
			require.Nil(t, res.Refusal)
			require.Equal(t, "fresh", k.body)
			return
		default:
			r.advance(defaultSuspect + time.Duration(n)*time.Millisecond)
		}
	}
}

// TestStalledStream guards against a stream that goes silent in the middle and is never ended.
func TestStalledStream(t *testing.T) {
	block := make(chan struct{})
	r := newRig(t, at("e1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: one\n\n")
		_ = http.NewResponseController(w).Flush()
		<-block
	}, t)).run()
	defer close(block)
	first := make(chan struct{})
	k := &record{}
	sink := k.sink()
	sink.Flush = func() error { close(first); return nil }
	c := get("/")
	c.IsResumable = true
	out := make(chan Result, 1)
	go func() { out <- r.SendCall(context.Background(), r.request("m", "a"), c, sink) }()
	<-first
	for n := 0; ; n++ {
		select {
		case res := <-out:
			require.Equal(t, arbutusfork.CodeEndpoint, res.Refusal.Code)
			require.True(t, res.IsAnswerStarted)
			require.Equal(t, []string{"one"}, k.events)
			return
		default:
			r.advance(defaultProgress + time.Duration(n)*time.Second)
		}
	}
}

// TestNoFirstByte guards against a request that is sent and not answered by its deadline: it ends as unknown.
func TestNoFirstByte(t *testing.T) {
	block, reached := make(chan struct{}), make(chan struct{})
	r := newRig(t, at("e1", func(http.ResponseWriter, *http.Request) { close(reached); <-block }, t)).run()
	defer close(block)
	out := make(chan Result, 1)
	c := get("/")
	c.IsIdempotent = false
	go func() { out <- r.SendCall(context.Background(), r.request("m", "a"), c, (&record{}).sink()) }()
	<-reached
	r.advance(time.Minute)
	res := <-out
	require.Equal(t, arbutusfork.CodeDeadline, res.Refusal.Code)
	require.Equal(t, arbutusfork.OutcomeUnknown, res.Refusal.Outcome)
}

// flakyServer breaks connections at chosen points and counts the requests of which it read at least one byte.
type flakyServer struct {
	net.Listener
	mu      sync.Mutex
	plan    []int
	reached int
}

// The points at which flakyServer closes a connection.
const (
	breakAtOnce = iota
	breakAfterByte
	breakAfterRequest
	breakInHeader
	breakInBody
	answerAndClose
	answer
	breakPoints
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
		point := answer
		if len(s.plan) > 0 {
			point, s.plan = s.plan[0], s.plan[1:]
		}
		s.mu.Unlock()
		if point == breakAtOnce {
			return
		}
		if _, err := b.Peek(1); err != nil {
			return
		}
		s.mu.Lock()
		s.reached++
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
		case answer, answerAndClose:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		if point != answer {
			return
		}
	}
}

// TestNeverSentTwice guards calls that are not idempotent against being sent again by this package or by the
// transport's own retry, on new and on reused connections, with and without a body, and with the header that
// makes the transport retry. It also guards "not run" against being said of a call that reached the endpoint.
func TestNeverSentTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(rt, err)
		s := &flakyServer{Listener: l, plan: rapid.SliceOfN(rapid.IntRange(0, breakPoints-1), 1, 6).Draw(rt, "plan")}
		defer func() { _ = l.Close() }()
		go s.serve()
		r := newRig(t, afplacement.Replica{Model: "m", Endpoint: "e", Address: l.Addr().String(), Slots: 4}).real()
		for i := range rapid.IntRange(1, 4).Draw(rt, "calls") {
			before := s.count()
			c := Call{ID: "id", Path: "/", Header: http.Header{"Idempotency-Key": {fmt.Sprint(i)}}}
			c.Method = rapid.SampledFrom([]string{"POST", "GET", "DELETE"}).Draw(rt, "method")
			c.Body = []byte(rapid.SampledFrom([]string{"", "body"}).Draw(rt, "body"))
			req := r.request("m", "a")
			req.ArrivedAt = r.Timer.Now()
			req.Deadline = req.ArrivedAt.Add(time.Minute)
			res := r.SendCall(context.Background(), req, c, (&record{}).sink())
			n := s.count() - before
			require.LessOrEqual(rt, n, 1, "the call reached the endpoint %d times", n)
			if res.Refusal != nil && res.Refusal.Outcome == arbutusfork.OutcomeNotRun {
				require.Zero(rt, n, "a call that reached the endpoint was called not run")
			}
		}
	})
}

func (s *flakyServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached
}

// TestRefusedConnection guards against failing a request because one endpoint is down while another works.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := afplacement.Replica{Model: "m", Endpoint: "dead", Address: l.Addr().String(), Slots: 4}
	require.NoError(t, l.Close())
	r := newRig(t, dead, at("e2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, t)).real()
	for range 10 {
		k := &record{}
		req := r.request("m", "a")
		req.Deadline = r.Timer.Now().Add(time.Minute)
		c := get("/")
		c.IsIdempotent = false
		require.Nil(t, r.SendCall(context.Background(), req, c, k.sink()).Refusal)
		require.Equal(t, "ok", k.body)
	}
}

// TestEvents guards the splitting of streams: any line end, comments, and events of several data lines.
func TestEvents(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "\n: ping\ndata: a\r\n\r\nevent: x\ndata:b\ndata: c\n\ndata: cut")
	}))
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	e := newEventReader(resp.Body)
	for _, want := range []string{"a", "b\nc"} {
		_, data, err := e.next()
		require.NoError(t, err)
		require.Equal(t, want, string(data))
	}
	_, _, err = e.next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestTransportRetry guards against the transport's own retry on a reused connection, which it makes for empty
// bodies and for requests with an Idempotency-Key, also of methods that are not idempotent.
func TestTransportRetry(t *testing.T) {
	for _, method := range []string{"POST", "GET", "DELETE"} {
		for _, body := range []string{"", "body"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := &flakyServer{Listener: l, plan: []int{answer, breakAfterByte}}
			go s.serve()
			var p pools
			c := Call{Method: method, Path: "/", Body: []byte(body), Header: http.Header{"Idempotency-Key": {"k"}}}
			for n := 1; n <= 2; n++ {
				req, err := c.request(t.Context(), l.Addr().String())
				require.NoError(t, err)
				resp, err := p.get(l.Addr().String()).RoundTrip(req)
				if n == 1 {
					require.NoError(t, err)
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					continue
				}
				require.Error(t, err)
				require.Equal(t, 2, s.count(), "%s with body %q", method, body)
			}
			_ = l.Close()
		}
	}
}
