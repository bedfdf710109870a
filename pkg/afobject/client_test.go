package afobject_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// startPlatform serves p on an in-memory network and returns a client for it. The caller must run under synctest.
func startPlatform(t *testing.T, p *afstandin.Platform) (*afobject.Client, *afstandin.Network) {
	network := new(afstandin.Network)
	listener, err := network.Listen("platform")
	require.NoError(t, err)
	server := &http.Server{Handler: p.Handler()}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return network.Dial(ctx, "vm", "platform")
	}}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		require.NoError(t, server.Close())
	})
	return &afobject.Client{BaseURL: "http://platform", HTTPClient: &http.Client{Transport: transport}}, network
}

func customerObject(name, spec string) afobject.Object {
	return afobject.Object{Kind: afobject.KindCustomers, Name: name, Spec: json.RawMessage(spec)}
}

// TestConditionalWritesRefuseOldVersions guards against lost updates: of two writers that read the same version, only
// one may succeed.
func TestConditionalWritesRefuseOldVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := startPlatform(t, new(afstandin.Platform))
		ctx := t.Context()
		first, err := c.Create(ctx, customerObject("a", `{"rate":1}`))
		require.NoError(t, err)
		_, err = c.Create(ctx, customerObject("a", `{"rate":2}`))
		require.True(t, afobject.IsKind(err, afobject.VersionConflict), err)
		second, err := c.Update(ctx, afobject.Object{Kind: first.Kind, Name: "a", Version: first.Version, Spec: []byte(`{"rate":3}`)})
		require.NoError(t, err)
		require.Greater(t, second.Version, first.Version)
		_, err = c.Update(ctx, first)
		require.True(t, afobject.IsKind(err, afobject.VersionConflict), err)
		require.True(t, afobject.IsKind(c.Delete(ctx, first.Kind, "a", first.Version), afobject.VersionConflict))
		require.NoError(t, c.Delete(ctx, first.Kind, "a", second.Version))
		_, err = c.Get(ctx, first.Kind, "a")
		require.True(t, afobject.IsKind(err, afobject.ObjectNotFound), err)
	})
}

// TestWriteWithReadbackResolvesLostAnswer guards against a write that is reported as failed although it took effect,
// and against a definite error while the outcome of the write is unknown.
func TestWriteWithReadbackResolvesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := new(afstandin.Platform)
		c, network := startPlatform(t, p)
		ctx := t.Context()
		p.SetFaults(afstandin.PlatformFaults{LosesWriteAnswers: true})
		_, err := c.Create(ctx, customerObject("a", `{"rate":1}`))
		require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), err)
		found, err := c.WriteWithReadback(ctx, customerObject("b", `{ "rate": 1 }`))
		require.NoError(t, err)
		require.JSONEq(t, `{"rate":1}`, string(found.Spec))
		found.Spec = []byte(`{"rate":2}`)
		updated, err := c.WriteWithReadback(ctx, found)
		require.NoError(t, err)
		require.Greater(t, updated.Version, found.Version)
		_, err = c.WriteWithReadback(ctx, found)
		require.True(t, afobject.IsKind(err, afobject.VersionConflict) || err == nil, err)

		p.SetFaults(afstandin.PlatformFaults{IsDown: true})
		_, err = c.WriteWithReadback(ctx, customerObject("c", `{}`))
		require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), err)
		network.CutLink("vm", "platform")
		_, err = c.WriteWithReadback(ctx, customerObject("c", `{}`))
		require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), err)
	})
}

// roundTripFunc is an http.RoundTripper made of a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (fn roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return fn(r) }

// TestOutcomeStaysUnknownAfterFailedRetry guards against PlatformUnavailable, instead of OutcomeUnknown, for a write
// whose first attempt may still take effect and whose second attempt gets no connection.
func TestOutcomeStaysUnknownAfterFailedRetry(t *testing.T) {
	writeCount := 0
	c := &afobject.Client{HTTPClient: &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
		if r.Method == http.MethodGet {
			w := httptest.NewRecorder()
			_, err := w.WriteString(`{"metadata":{"name":"a","resourceVersion":"3"},"spec":{}}`)
			return w.Result(), err
		}
		trace := httptrace.ContextClientTrace(r.Context())
		trace.GetConn("platform")
		writeCount++
		if writeCount == 1 {
			trace.GotConn(httptrace.GotConnInfo{})
		}
		return nil, io.ErrUnexpectedEOF
	})}}
	o := customerObject("a", `{"rate":1}`)
	o.Version = 3
	_, err := c.WriteWithReadback(t.Context(), o)
	require.Greater(t, writeCount, 1)
	require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), err)
}

// TestWatchReportsEachChangeOnce guards against events that are missed, out of order or of another collection, and
// against a watch that starts at an expired version and so misses changes without an error.
func TestWatchReportsEachChangeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &afstandin.Platform{HistoryLimit: 3}
		c, _ := startPlatform(t, p)
		c.WatchIdleTimeout = 20 * time.Second
		putObject := func(kind, name string) {
			_, err := p.PutObject(kind, name, map[string]string{})
			require.NoError(t, err)
		}
		putObject(afobject.KindCustomers, "a")
		var events []string
		watchEnded := make(chan error, 1)
		go func() {
			watchEnded <- c.Watch(t.Context(), "", 0, func(e afobject.Event) {
				events = append(events, e.Type.String()+" "+e.Object.Kind+"/"+e.Object.Name)
			})
		}()
		synctest.Wait()
		putObject(afobject.KindShards, "s")
		putObject(afobject.KindKeys, "k")
		p.RemoveObject(afobject.KindCustomers, "a")
		synctest.Wait()
		require.Equal(t, []string{"ADDED customers/a", "ADDED keys/k", "DELETED customers/a"}, events)
		require.EqualValues(t, 1, p.Counts().OpenWatches)
		version, err := c.ConfigurationVersion(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, 4, version)

		<-time.After(6 * time.Second) // The stand-in sends a bookmark in this time of the synctest clock.
		p.SetFaults(afstandin.PlatformFaults{SilencesOpenConnections: true})
		err = <-watchEnded // Watch returns after its idle timeout.
		require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), err)
		require.Contains(t, events, "BOOKMARK configuration/")
		err = c.Watch(t.Context(), "", 0, func(afobject.Event) {})
		require.True(t, afobject.IsKind(err, afobject.VersionExpired), err)
	})
}

// Guards against the answer to another call that is taken for the answer to this one, after the platform sent it a second time
// on a connection that was in use again.
func TestAnswerAboutAnotherObjectIsLost(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"kind":"customers","metadata":{"name":"b","resourceVersion":"7"},"spec":{}}`)
	}))
	defer server.Close()
	c := &afobject.Client{BaseURL: server.URL}
	_, err := c.Get(t.Context(), afobject.KindCustomers, "a")
	require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), err)
	_, err = c.Update(t.Context(), afobject.Object{Kind: afobject.KindCustomers, Name: "a", Version: 3, Spec: []byte("{}")})
	require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), err)
	_, err = c.Create(t.Context(), afobject.Object{Kind: afobject.KindCustomers, Name: "b", Spec: []byte("{}")})
	require.NoError(t, err)
}
