package afstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start runs a stand-in on a free port and returns its address.
func start(t *testing.T, set func(net.Listener) runner) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	r := set(l)
	wg.Go(func() { _ = r.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return l.Addr().String()
}

type runner = interface {
	Run(ctx context.Context) error
}

func do(t *testing.T, method, url, body string) (int, string) {
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(b)
}

func loadBody(fence int) string {
	return fmt.Sprintf(`{"parameters":{"fence":"%d","order":"1"}}`, fence)
}

// TestEngineOrders guards what tests of placement rely on: fencing, states, cache tiers, counts and overcommit.
func TestEngineOrders(t *testing.T) {
	models := map[string]Checkpoint{"a": {MemoryMB: 60, RemoteLoadMillis: 1}, "b": {MemoryMB: 50, RemoteLoadMillis: 1}, "a:x": {MemoryMB: 1}}
	store := &WeightStore{Checkpoints: models}
	e := &Engine{MemoryMB: 100, EnforcesFence: true, CheckpointTiers: map[string]string{"b": tierDisk}}
	e.WeightStoreAddress = start(t, func(l net.Listener) runner { store.Listener = l; return store })
	at := start(t, func(l net.Listener) runner { e.Listener = l; return e })
	status, _ := do(t, "POST", at+"/v2/repository/models/a/load", loadBody(3))
	require.Equal(t, http.StatusOK, status)
	status, _ = do(t, "POST", at+"/v2/repository/models/b/load", loadBody(2))
	require.Equal(t, http.StatusConflict, status, "an old fencing number is refused")
	status, _ = do(t, "POST", at+"/v1/load_lora_adapter", `{"lora_name":"a:x","lora_path":"a/x","fence":"3","order":"2"}`)
	require.Equal(t, http.StatusOK, status)
	_, text := do(t, "GET", at+"/status", "")
	require.JSONEq(t, `{"memory":100,"models":[{"name":"a","state":"loaded","memory":60},{"name":"a:x","state":"loaded","memory":1}],
		"cache":{"a":"memory","a:x":"memory","b":"disk"},"running":0,"waiting":0,"leaving":false,"fence":3}`, text)
	status, _ = do(t, "POST", at+"/v2/repository/models/b/load", loadBody(4))
	require.Equal(t, http.StatusOK, status, "a load beyond the memory is recorded, not refused")
	status, _ = do(t, "POST", at+"/v2/repository/models/a/unload", loadBody(4))
	require.Equal(t, http.StatusOK, status)
	_, text = do(t, "POST", at+"/v2/repository/index", "")
	require.JSONEq(t, `[{"name":"a:x","state":"READY"},{"name":"b","state":"READY"}]`, text)
	c := e.Counts()
	require.Equal(t, EngineCounts{Loads: 3, LoadsByModel: map[string]int64{"a": 1, "a:x": 1, "b": 1}, Unloads: 1, RefusedOrders: 1, PeakMemoryMB: 111, PeakReplicas: 3, Overcommits: 1}, c)
	require.Equal(t, WeightStoreCounts{Loads: 1, AdapterLoads: 1, PeakParallelLoads: 1}, store.Counts())
	status, _ = do(t, "POST", at+"/v1/completions", `{"model":"a","prompt":"x"}`)
	require.Equal(t, http.StatusServiceUnavailable, status, "a model that is not loaded does not answer")
}

// TestEngineWithoutFencing guards the engines that ignore fencing numbers.
func TestEngineWithoutFencing(t *testing.T) {
	e := &Engine{Checkpoints: map[string]Checkpoint{"a": {}, "b": {}}}
	at := start(t, func(l net.Listener) runner { e.Listener = l; return e })
	for fence, name := range map[int]string{5: "a", 2: "b"} {
		status, _ := do(t, "POST", at+"/v2/repository/models/"+name+"/load", loadBody(fence))
		require.Equal(t, http.StatusOK, status)
	}
	require.Equal(t, int64(2), e.Counts().Loads)
}

// TestCrossedOrders guards orders for one model that cross: each is carried out, and the last one decides.
func TestCrossedOrders(t *testing.T) {
	e := &Engine{Checkpoints: map[string]Checkpoint{"a": {RemoteLoadMillis: 5}}}
	at := start(t, func(l net.Listener) runner { e.Listener = l; return e })
	var wg sync.WaitGroup
	for range 10 {
		for _, verb := range []string{"load", "unload"} {
			wg.Go(func() { _, _ = do(t, "POST", at+"/v2/repository/models/a/"+verb, loadBody(1)) })
		}
	}
	wg.Wait()
	_, _ = do(t, "POST", at+"/v2/repository/models/a/load", loadBody(1))
	require.True(t, e.isLoaded("a"))
	_, _ = do(t, "POST", at+"/v2/repository/models/a/unload", loadBody(1))
	require.False(t, e.isLoaded("a"))
	require.Equal(t, 1, e.Counts().PeakReplicas)
}

// TestFaults guards the faults that other tests switch.
func TestFaults(t *testing.T) {
	s := &PlainService{}
	at := start(t, func(l net.Listener) runner { s.Listener = l; return s })
	status, _ := do(t, "POST", at+"/pay", `{"id":"p"}`)
	require.Equal(t, http.StatusOK, status)
	status, _ = do(t, "POST", at+"/faults", `{"leaving":true}`)
	require.Equal(t, http.StatusNoContent, status)
	status, _ = do(t, "POST", at+"/pay", `{"id":"p"}`)
	require.Equal(t, http.StatusServiceUnavailable, status)
	_, _ = do(t, "POST", at+"/faults", `{"down":true}`)
	_, err := http.Get("http://" + at + "/stock/nut")
	require.Error(t, err)
	_, _ = do(t, "POST", at+"/faults", `{"silent":true}`)
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	status, _ = do(t, "GET", at+"/stock/nut", "")
	require.Equal(t, http.StatusOK, status, "new connections work while old ones are silent")
	_, text := do(t, "GET", at+"/runs", "")
	var runs map[string]int
	require.NoError(t, json.Unmarshal([]byte(text), &runs))
	require.Equal(t, map[string]int{"p": 1}, runs)
}

// TestWeightRate guards the limits of the weight store: its rate, and the slow-down beyond its parallel loads.
func TestWeightRate(t *testing.T) {
	s := &WeightStore{LoadsPerSecond: 2.5, FullSpeedLoads: 4}
	now := time.Unix(answerTime, 0)
	for range 2 {
		require.True(t, s.start(false, now))
	}
	require.False(t, s.start(false, now))
	require.True(t, s.start(false, now.Add(400*time.Millisecond)))
	require.InDelta(t, 1, s.factor(false), 0)
	s.loads = 6
	require.InDelta(t, 1.5, s.factor(false), 1e-9)
	s.adapters = 64
	require.InDelta(t, 2, s.factor(true), 1e-9)
	s.SetSlowdown(4)
	require.InDelta(t, 6, s.factor(false), 1e-9)
	for _, name := range []string{"a:x", "b:long-adapter"} {
		require.GreaterOrEqual(t, adapterTime(name), adapterBase)
		require.LessOrEqual(t, adapterTime(name), 3*adapterBase)
	}
}
