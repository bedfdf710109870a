package afserve

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afsettings"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

const (
	testKey   = "af-test"
	testToken = "operator"
	testModel = "m"
)

// freeAddress returns a loopback address whose port is free.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := afstandin.FreeAddress()
	require.NoError(t, err)
	return address
}

// daemon is the daemon of one VM with a simulated platform and a simulated engine.
type daemon struct {
	settings afsettings.Settings
	platform *afstandin.Platform
	engine   *afstandin.Engine
	stop     context.CancelFunc
	done     chan error
}

// startDaemon starts a daemon with one customer, one model and one endpoint.
func startDaemon(t *testing.T) *daemon {
	d := &daemon{platform: new(afstandin.Platform), done: make(chan error, 1)}
	platform := httptest.NewServer(d.platform.Handler())
	t.Cleanup(platform.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.engine = &afstandin.Engine{
		Listener: l, MemoryMB: 1000, TokenInterval: 20 * time.Millisecond,
		Checkpoints: map[string]afstandin.Checkpoint{testModel: {MemoryMB: 100, RemoteLoadMillis: 1, DiskLoadMillis: 1, HostLoadMillis: 1}},
	}
	go func() { _ = d.engine.Run(t.Context()) }()
	d.settings = afsettings.Settings{
		VM: "vm-1", Centre: "a", CallerAddress: freeAddress(t), OperatorAddress: freeAddress(t), PeerAddress: freeAddress(t),
		PlatformURL: platform.URL, OperatorTokenDigest: arbutusfork.DigestSecret(testToken), LogsJSON: true, LogLevel: 8,
		SettleDelay: time.Millisecond, DrainTimeout: time.Minute,
	}
	for _, o := range []struct {
		kind, name string
		spec       any
	}{
		{afobject.KindVMs, "vm-1", map[string]string{"address": d.settings.PeerAddress, "datacentre": "a", "state": "live"}},
		{afobject.KindCustomers, "c", arbutusfork.Customer{Name: "c", RatePerSecond: 1000, Burst: 100_000}},
		{afobject.KindKeys, "k", arbutusfork.APIKey{Name: "k", Customer: "c", Digest: arbutusfork.DigestSecret(testKey)}},
		{afobject.KindServices, "llm", arbutusfork.Service{Name: "llm"}},
		{afobject.KindModels, testModel, arbutusfork.Model{Name: testModel, Service: "llm", MemoryMB: 100, StoreLoadMillis: 1, DiskLoadMillis: 1, MemoryLoadMillis: 1}},
		{afobject.KindEndpoints, "e", arbutusfork.Endpoint{Name: "e", Service: "llm", Address: l.Addr().String(), MemoryMB: 1000, Slots: 4, EnforcesFence: true}},
		{afobject.KindRoutes, "r", arbutusfork.Route{Name: "r", Service: "llm"}},
	} {
		_, err := d.platform.PutObject(o.kind, o.name, o.spec)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	d.stop = cancel
	go func() { d.done <- Run(ctx, d.settings, nil) }()
	return d
}

// waitReady waits until the readiness check of the VM succeeds.
func (d *daemon) waitReady(t *testing.T) {
	for {
		resp, err := http.Get("http://" + d.settings.OperatorAddress + "/readyz")
		if err == nil {
			require.NoError(t, resp.Body.Close())
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		require.NoError(t, t.Context().Err())
	}
}

// openStream requests a stream of the given number of tokens.
func (d *daemon) openStream(t *testing.T, tokens string) *http.Response {
	body := `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":` + tokens + `}`
	req, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddress+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	return resp
}

// TestGracefulShutdown guards against a graceful shutdown that truncates an open stream or ends before the shards are
// released, and against a daemon that does not load a model for its first request.
func TestGracefulShutdown(t *testing.T) {
	d := startDaemon(t)
	d.waitReady(t)
	resp := d.openStream(t, "30")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	lines := bufio.NewScanner(resp.Body)
	require.True(t, lines.Scan())
	d.stop()
	last := ""
	for lines.Scan() {
		if lines.Text() != "" {
			last = lines.Text()
		}
	}
	require.NoError(t, lines.Err())
	require.Equal(t, "data: [DONE]", last)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, <-d.done)
	require.EqualValues(t, 1, d.engine.Counts().Loads)
	require.Zero(t, d.engine.Counts().CancelledRequests)
}

// TestOperatorDrain guards against a drain request of an operator after which the daemon still runs or accepts connections.
func TestOperatorDrain(t *testing.T) {
	d := startDaemon(t)
	d.waitReady(t)
	req, err := http.NewRequest(http.MethodPost, "http://"+d.settings.OperatorAddress+"/v1/drain", strings.NewReader("{}"))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Less(t, resp.StatusCode, http.StatusMultipleChoices)
	require.NoError(t, <-d.done)
	_, err = net.Dial("tcp", d.settings.CallerAddress)
	require.Error(t, err)
}

// TestOrderGetsItsOwnAnswer guards against an order or a status that is taken for done because the endpoint wrote an earlier
// answer once more on a kept connection.
func TestOrderGetsItsOwnAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	statuses := map[string]int{http.MethodGet: 200, http.MethodPost: 409}
	go afstandin.ServeRepeatedly(l, func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %d Answer\r\nContent-Length: 0\r\n\r\n", statuses[r.Method])
	})
	client := newEndpointClient()
	for range 3 {
		for method, status := range statuses {
			req, err := http.NewRequestWithContext(t.Context(), method, "http://"+l.Addr().String(), nil)
			require.NoError(t, err)
			resp, err := client.Do(req)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, status, resp.StatusCode, method)
		}
	}
}
