package afserve

import (
	"bufio"
	"context"
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

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := afstandin.FreeAddress()
	require.NoError(t, err)
	return address
}

// daemon is one VM with its stand-ins.
type daemon struct {
	settings afsettings.Settings
	platform *afstandin.Platform
	engine   *afstandin.Engine
	stop     context.CancelFunc
	done     chan error
}

func startDaemon(t *testing.T) *daemon {
	d := &daemon{platform: new(afstandin.Platform), done: make(chan error, 1)}
	platform := httptest.NewServer(d.platform.Handler())
	t.Cleanup(platform.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.engine = &afstandin.Engine{
		Listener: l, Memory: 1000, Next: 20 * time.Millisecond,
		Models: map[string]afstandin.Checkpoint{testModel: {Memory: 100, Remote: 1, Disk: 1, Host: 1}},
	}
	go func() { _ = d.engine.Run(t.Context()) }()
	d.settings = afsettings.Settings{
		VM: "vm-1", Centre: "a", Callers: freeAddress(t), Operators: freeAddress(t), Peers: freeAddress(t),
		Platform: platform.URL, Digest: arbutusfork.DigestKey(testToken), JSON: true, Level: 8,
		Settle: time.Millisecond, Drain: time.Minute,
	}
	for _, o := range []struct {
		kind, name string
		spec       any
	}{
		{afobject.KindVMs, "vm-1", map[string]string{"address": d.settings.Peers, "datacentre": "a", "state": "live"}},
		{afobject.KindCustomers, "c", arbutusfork.Customer{Name: "c", Rate: 1000, Burst: 100_000}},
		{afobject.KindKeys, "k", arbutusfork.Key{Name: "k", Customer: "c", Digest: arbutusfork.DigestKey(testKey)}},
		{afobject.KindServices, "llm", arbutusfork.Service{Name: "llm"}},
		{afobject.KindModels, testModel, arbutusfork.Model{Name: testModel, Service: "llm", Memory: 100, Remote: 1, Disk: 1, Host: 1}},
		{afobject.KindEndpoints, "e", arbutusfork.Endpoint{Name: "e", Service: "llm", Address: l.Addr().String(), Memory: 1000, Slots: 4, Fenced: true}},
		{afobject.KindRoutes, "r", arbutusfork.Route{Name: "r", Service: "llm"}},
	} {
		_, err := d.platform.Put(o.kind, o.name, o.spec)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	d.stop = cancel
	go func() { d.done <- Run(ctx, d.settings) }()
	return d
}

// ready waits until the VM takes requests.
func (d *daemon) ready(t *testing.T) {
	for {
		resp, err := http.Get("http://" + d.settings.Operators + "/readyz")
		if err == nil {
			require.NoError(t, resp.Body.Close())
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		require.NoError(t, t.Context().Err())
	}
}

func (d *daemon) stream(t *testing.T, tokens string) *http.Response {
	body := `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":` + tokens + `}`
	req, err := http.NewRequest(http.MethodPost, "http://"+d.settings.Callers+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	return resp
}

// TestGracefulShutdown guards against a planned stop that cuts an open stream or ends before the shards are released,
// and against a cold start that does not work through the whole daemon.
func TestGracefulShutdown(t *testing.T) {
	d := startDaemon(t)
	d.ready(t)
	resp := d.stream(t, "30")
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
	require.Zero(t, d.engine.Counts().Cancelled)
}

// TestOperatorDrain guards against a drain that leaves the daemon running or ready.
func TestOperatorDrain(t *testing.T) {
	d := startDaemon(t)
	d.ready(t)
	req, err := http.NewRequest(http.MethodPost, "http://"+d.settings.Operators+"/v1/drain", strings.NewReader("{}"))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Less(t, resp.StatusCode, http.StatusMultipleChoices)
	require.NoError(t, <-d.done)
	_, err = net.Dial("tcp", d.settings.Callers)
	require.Error(t, err)
}
