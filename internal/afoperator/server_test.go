package afoperator

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afversion"
)

const operatorToken = "operators-token-of-the-tests"

// fakePlatform stores one object with a version and injects faults into writes.
type fakePlatform struct {
	mu     sync.Mutex
	object afobject.Object
	// writeFaults holds the faults of the next writes. Empty means none. With a fault, the response is lost and the write
	// is applied ("applied"), delayed until the next write ("late") or discarded ("dropped").
	writeFaults []string
	// lateWrite is a write that takes effect before the next one, if its version still matches.
	lateWrite *afobject.Object
}

func (p *fakePlatform) applyLateWrite() {
	if p.lateWrite != nil && p.lateWrite.Version == p.object.Version {
		p.applyWrite(*p.lateWrite)
	}
	p.lateWrite = nil
}

func (p *fakePlatform) applyWrite(o afobject.Object) {
	o.Version = p.object.Version + 1
	p.object = o
}

func (p *fakePlatform) getObject(context.Context, string, string) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.object.Version == 0 {
		return p.object, &afobject.Error{Kind: afobject.ObjectNotFound}
	}
	return p.object, nil
}

func (p *fakePlatform) writeObject(_ context.Context, o afobject.Object) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLateWrite()
	if o.Version != p.object.Version {
		return o, &afobject.Error{Kind: afobject.VersionConflict}
	}
	fault := ""
	if len(p.writeFaults) > 0 {
		fault, p.writeFaults = p.writeFaults[0], p.writeFaults[1:]
	}
	switch fault {
	case "late":
		p.lateWrite = &o
	case "applied", "":
		p.applyWrite(o)
	}
	if fault != "" {
		return o, &afobject.Error{Kind: afobject.OutcomeUnknown}
	}
	return p.object, nil
}

func newServer(p *fakePlatform) *Server {
	return &Server{
		TokenDigest: arbutusfork.DigestSecret(operatorToken), Snapshot: func() *afconfig.Snapshot { return &afconfig.Snapshot{} },
		GetObject: p.getObject, CreateObject: p.writeObject, UpdateObject: p.writeObject,
		ConfirmVersion: func(context.Context, int64) error { return nil },
		CheckReady:     func() (bool, string) { return false, "configuration is stale" },
		ReportStatus:   func() any { panic("broken status") },
		StartDrain:     func() {},
		Gatherer:       prometheus.NewRegistry(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

func sendRequest(s *Server, method, path, bearer, ifMatch, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", bearer)
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	s.Handler().ServeHTTP(w, r)
	return w
}

// TestLargeMetricsHaveContentLength guards against a metrics response above 64 KB without a Content-Length, for which
// nbhttp uses buffers that it has freed.
func TestLargeMetricsHaveContentLength(t *testing.T) {
	s := newServer(&fakePlatform{})
	registry := prometheus.NewRegistry()
	many := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "many", Help: "Many series."}, []string{"n"})
	registry.MustRegister(many)
	for n := range 5000 {
		many.WithLabelValues(strconv.Itoa(n)).Set(1)
	}
	s.Gatherer = registry
	r := sendRequest(s, "GET", "/metrics", "", "", "")
	require.Equal(t, http.StatusOK, r.Code)
	require.Greater(t, r.Body.Len(), 64<<10)
	require.Equal(t, strconv.Itoa(r.Body.Len()), r.Header().Get("Content-Length"))
}

// TestTokenRequired guards against an operator path that is served without the token, and against a health check or
// metrics request that needs one.
func TestTokenRequired(t *testing.T) {
	s := newServer(&fakePlatform{})
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503, "/metrics": 200} {
		require.Equal(t, want, sendRequest(s, "GET", path, "", "", "").Code, path)
	}
	for _, bearer := range []string{"", "Bearer ", "Bearer wrong", "Basic " + operatorToken, operatorToken} {
		for _, c := range []struct{ method, path string }{
			{"GET", "/v1/customers"},
			{"PUT", "/v1/customers/a"},
			{"DELETE", "/v1/keys/a"},
			{"POST", "/v1/keys"},
			{"POST", "/v1/keys/a/withdraw"},
			{"GET", "/v1/sheet"},
			{"PATCH", "/v1/sheet"},
			{"POST", "/v1/sheet/accept"},
			{"GET", "/v1/status"},
			{"GET", "/v1/explain"},
			{"POST", "/v1/drain"},
		} {
			require.Equal(t, 401, sendRequest(s, c.method, c.path, bearer, "", "").Code, "%s %s %q", c.method, c.path, bearer)
		}
	}
	require.Equal(t, 200, sendRequest(s, "GET", "/v1/customers", "bearer "+operatorToken, "", "").Code)
	s.TokenDigest = ""
	require.Equal(t, 401, sendRequest(s, "GET", "/v1/customers", "Bearer ", "", "").Code)
}

// TestMalformedOrUnversionedPut guards against a PUT that is accepted although it is malformed or names no version or a
// wrong one.
func TestMalformedOrUnversionedPut(t *testing.T) {
	s := newServer(&fakePlatform{object: afobject.Object{Kind: "customers", Name: "a", Version: 3, Spec: json.RawMessage(`{}`)}})
	for _, c := range []struct {
		ifMatch, body string
		want          int
	}{
		{"", `{"rate":1,"burst":1}`, 428},
		{"2", `{"rate":1,"burst":1}`, 409},
		{"x", `{"rate":1,"burst":1}`, 400},
		{"3", `{"rate":1,"burst":1,"brust":1}`, 400},
		{"3", `{"rate":1,"burst":1}{}`, 400},
		{"3", `{"name":"b","rate":1,"burst":1}`, 400},
		{"3", `{"rate":1,"burst":1,"name":"` + strings.Repeat("a", maxBodyBytes) + `"}`, 400},
		{`"3"`, `{"rate":1,"burst":1}`, 200},
	} {
		w := sendRequest(s, "PUT", "/v1/customers/a", "Bearer "+operatorToken, c.ifMatch, c.body)
		require.Equal(t, c.want, w.Code, "%s %.80s: %s", c.ifMatch, c.body, w.Body)
	}
	require.Equal(t, 500, sendRequest(s, "GET", "/v1/status", "Bearer "+operatorToken, "", "").Code, "a panic yields a response")
}

// TestLostWriteResponses guards against a wrong result after the platform's response to a write is lost: a write that is
// reported as failed although it took effect, or the reverse, or that takes effect after it was reported as failed.
func TestLostWriteResponses(t *testing.T) {
	for _, c := range []struct {
		name        string
		writeFaults []string
		want        int
		rate        int64
	}{
		{"took effect", []string{"applied"}, 200, 7},
		{"did not take effect", []string{"dropped"}, 200, 7},
		{"takes effect late", []string{"late"}, 200, 7},
		{"every response lost", []string{"dropped", "dropped", "dropped"}, 503, 1},
		{"late, then dropped", []string{"late", "dropped"}, 200, 7},
	} {
		p := &fakePlatform{writeFaults: c.writeFaults, object: afobject.Object{Version: 3, Spec: json.RawMessage(`{"name":"a","rate":1,"burst":1}`)}}
		w := sendRequest(newServer(p), "PUT", "/v1/customers/a", "Bearer "+operatorToken, "3", `{"rate":7,"burst":1}`)
		require.Equal(t, c.want, w.Code, "%s: %s", c.name, w.Body)
		p.applyLateWrite()
		var got arbutusfork.Customer
		require.NoError(t, json.Unmarshal(p.object.Spec, &got))
		require.Equal(t, c.rate, got.RatePerSecond, c.name)
	}
}

// TestConcurrentWrites guards against a lost update when several operators write one object at the same time.
func TestConcurrentWrites(t *testing.T) {
	p := &fakePlatform{}
	s := newServer(p)
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		codes = make(map[int]int)
	)
	for range 20 {
		wg.Go(func() {
			w := sendRequest(s, "PUT", "/v1/customers/a", "Bearer "+operatorToken, "0", `{"rate":7,"burst":1}`)
			mu.Lock()
			defer mu.Unlock()
			codes[w.Code]++
			if w.Code == 409 {
				assert.Contains(t, w.Body.String(), `"current":{"kind"`)
				assert.Contains(t, w.Body.String(), `"yours":{"kind"`)
			}
		})
	}
	wg.Wait()
	require.Equal(t, map[int]int{200: 1, 409: 19}, codes)
}

// TestShutdownFinishesRunningRequests guards against a shutdown that aborts a running request.
func TestShutdownFinishesRunningRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := newServer(&fakePlatform{})
	s.Address = ln.Addr().String()
	s.Listen = func(string, string) (net.Listener, error) { return ln, nil }
	entered, release := make(chan struct{}), make(chan struct{})
	s.ConfirmVersion = func(context.Context, int64) error {
		close(entered)
		<-release
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	codes := make(chan int, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodPut, "http://"+s.Address+"/v1/customers/a", strings.NewReader(`{"rate":1,"burst":1}`))
		r.Header.Set("Authorization", "Bearer "+operatorToken)
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			codes <- 0
			return
		}
		_ = w.Body.Close()
		codes <- w.StatusCode
	}()
	<-entered
	cancel()
	close(release)
	require.Equal(t, 200, <-codes)
	require.NoError(t, <-done)
}

// TestConflictWithAbsentObject guards against an operator who is told that an object exists that the store has lost.
func TestConflictWithAbsentObject(t *testing.T) {
	version, err := afversion.Join(2, 0)
	require.NoError(t, err)
	e := newConflict("put", afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: 7}, afobject.Object{Version: version}, false)
	require.ErrorContains(t, e, "does not exist")
	require.Nil(t, e.detail["current"])
}
