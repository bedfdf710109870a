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
)

const token = "operators-token-of-the-tests"

// platform is one object with a version. Answers of writes are lost as lost tells; a write in late arrives only
// with the next call.
type platform struct {
	mu     sync.Mutex
	object afobject.Object
	lost   []string // lost tells for each write: "", "applied", "late" or "dropped".
	late   *afobject.Object
}

func (p *platform) arrive() {
	if p.late != nil && p.late.Version == p.object.Version {
		p.store(*p.late)
	}
	p.late = nil
}

func (p *platform) store(o afobject.Object) {
	o.Version = p.object.Version + 1
	p.object = o
}

func (p *platform) get(context.Context, string, string) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.object.Version == 0 {
		return p.object, &afobject.Error{Kind: afobject.ObjectNotFound}
	}
	return p.object, nil
}

func (p *platform) write(_ context.Context, o afobject.Object) (afobject.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrive()
	if o.Version != p.object.Version {
		return o, &afobject.Error{Kind: afobject.VersionConflict}
	}
	fate := ""
	if len(p.lost) > 0 {
		fate, p.lost = p.lost[0], p.lost[1:]
	}
	switch fate {
	case "late":
		p.late = &o
	case "applied", "":
		p.store(o)
	}
	if fate != "" {
		return o, &afobject.Error{Kind: afobject.OutcomeUnknown}
	}
	return p.object, nil
}

func server(p *platform) *Server {
	return &Server{
		TokenDigest: arbutusfork.DigestSecret(token), Snapshot: func() *afconfig.Snapshot { return &afconfig.Snapshot{} },
		GetObject: p.get, CreateObject: p.write, UpdateObject: p.write,
		ConfirmVersion: func(context.Context, int64) error { return nil },
		CheckReady:     func() (bool, string) { return false, "configuration is stale" },
		ReportStatus:   func() any { panic("broken status") },
		StartDrain:     func() {},
		Gatherer:       prometheus.NewRegistry(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

func call(s *Server, method, path, bearer, seen, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", bearer)
	if seen != "" {
		r.Header.Set("If-Match", seen)
	}
	s.Handler().ServeHTTP(w, r)
	return w
}

// TestLargeMetrics guards against a long page of metrics that is sent without its length, for which the engine uses
// buffers that it has freed.
func TestLargeMetrics(t *testing.T) {
	s := server(&platform{})
	registry := prometheus.NewRegistry()
	many := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "many", Help: "Many series."}, []string{"n"})
	registry.MustRegister(many)
	for n := range 5000 {
		many.WithLabelValues(strconv.Itoa(n)).Set(1)
	}
	s.Gatherer = registry
	r := call(s, "GET", "/metrics", "", "", "")
	require.Equal(t, http.StatusOK, r.Code)
	require.Greater(t, r.Body.Len(), 64<<10)
	require.Equal(t, strconv.Itoa(r.Body.Len()), r.Header().Get("Content-Length"))
}

// TestToken guards against a path that answers without the token, and against a health check that needs it.
func TestToken(t *testing.T) {
	s := server(&platform{})
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503, "/metrics": 200} {
		require.Equal(t, want, call(s, "GET", path, "", "", "").Code, path)
	}
	for _, bearer := range []string{"", "Bearer ", "Bearer wrong", "Basic " + token, token} {
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
			require.Equal(t, 401, call(s, c.method, c.path, bearer, "", "").Code, "%s %s %q", c.method, c.path, bearer)
		}
	}
	require.Equal(t, 200, call(s, "GET", "/v1/customers", "bearer "+token, "", "").Code)
	s.TokenDigest = ""
	require.Equal(t, 401, call(s, "GET", "/v1/customers", "Bearer ", "", "").Code)
}

// TestRequests guards against a request that is accepted although it is malformed or names no version.
func TestRequests(t *testing.T) {
	s := server(&platform{object: afobject.Object{Kind: "customers", Name: "a", Version: 3, Spec: json.RawMessage(`{}`)}})
	for _, c := range []struct {
		seen, body string
		want       int
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
		w := call(s, "PUT", "/v1/customers/a", "Bearer "+token, c.seen, c.body)
		require.Equal(t, c.want, w.Code, "%s %.80s: %s", c.seen, c.body, w.Body)
	}
	require.Equal(t, 500, call(s, "GET", "/v1/status", "Bearer "+token, "", "").Code, "a panic is answered")
}

// TestLostAnswers guards against a write that is reported as failed although it took effect, or the reverse, and
// against one that lands after the operator was told that it did not.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		lost []string
		want int
		rate int64
	}{
		{"took effect", []string{"applied"}, 200, 7},
		{"did not take effect", []string{"dropped"}, 200, 7},
		{"takes effect late", []string{"late"}, 200, 7},
		{"never answered", []string{"dropped", "dropped", "dropped"}, 503, 1},
		{"late and dropped", []string{"late", "dropped"}, 200, 7},
	} {
		p := &platform{lost: c.lost, object: afobject.Object{Version: 3, Spec: json.RawMessage(`{"name":"a","rate":1,"burst":1}`)}}
		w := call(server(p), "PUT", "/v1/customers/a", "Bearer "+token, "3", `{"rate":7,"burst":1}`)
		require.Equal(t, c.want, w.Code, "%s: %s", c.name, w.Body)
		p.arrive()
		var got arbutusfork.Customer
		require.NoError(t, json.Unmarshal(p.object.Spec, &got))
		require.Equal(t, c.rate, got.RatePerSecond, c.name)
	}
}

// TestRace guards against a change that is lost when operators change one object at once.
func TestRace(t *testing.T) {
	p := &platform{}
	s := server(p)
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		codes = make(map[int]int)
	)
	for range 20 {
		wg.Go(func() {
			w := call(s, "PUT", "/v1/customers/a", "Bearer "+token, "0", `{"rate":7,"burst":1}`)
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

// TestShutdown guards against a shutdown that cuts a request which is being answered.
func TestShutdown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := server(&platform{})
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
		r.Header.Set("Authorization", "Bearer "+token)
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
