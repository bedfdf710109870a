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

// start runs a platform stand-in on an in-memory network. The test function runs under synctest.
func start(t *testing.T, p *afstandin.Platform) (*afobject.Client, *afstandin.Network) {
	n := new(afstandin.Network)
	l, err := n.Listen("platform")
	require.NoError(t, err)
	server := &http.Server{Handler: p.Handler()}
	go func() { _ = server.Serve(l) }()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return n.Dial(ctx, "vm", "platform")
	}}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		require.NoError(t, server.Close())
	})
	return &afobject.Client{BaseURL: "http://platform", HTTPClient: &http.Client{Transport: transport}}, n
}

func object(name, spec string) afobject.Object {
	return afobject.Object{Kind: afobject.KindCustomers, Name: name, Spec: json.RawMessage(spec)}
}

// TestConditionalWrites guards against a lost update: two writers that read the same version must not both win.
func TestConditionalWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := start(t, new(afstandin.Platform))
		ctx := t.Context()
		first, err := c.Create(ctx, object("a", `{"rate":1}`))
		require.NoError(t, err)
		_, err = c.Create(ctx, object("a", `{"rate":2}`))
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

// TestWriteResolvesLostAnswer guards against a write reported as failed although it stands, and against an
// outcome called certain while nobody can know it.
func TestWriteResolvesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := new(afstandin.Platform)
		c, n := start(t, p)
		ctx := t.Context()
		p.SetFaults(afstandin.PlatformFaults{LosesWriteAnswers: true})
		_, err := c.Create(ctx, object("a", `{"rate":1}`))
		require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), err)
		found, err := c.WriteWithReadback(ctx, object("b", `{ "rate": 1 }`))
		require.NoError(t, err)
		require.JSONEq(t, `{"rate":1}`, string(found.Spec))
		found.Spec = []byte(`{"rate":2}`)
		updated, err := c.WriteWithReadback(ctx, found)
		require.NoError(t, err)
		require.Greater(t, updated.Version, found.Version)
		_, err = c.WriteWithReadback(ctx, found)
		require.True(t, afobject.IsKind(err, afobject.VersionConflict) || err == nil, err)

		p.SetFaults(afstandin.PlatformFaults{IsDown: true})
		_, err = c.WriteWithReadback(ctx, object("c", `{}`))
		require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), err)
		n.CutLink("vm", "platform")
		_, err = c.WriteWithReadback(ctx, object("c", `{}`))
		require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), err)
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (fn roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return fn(r) }

// TestWriteStaysUnknown guards against "not carried out" for a write whose first attempt may still take effect
// while the second one finds nobody to talk to.
func TestWriteStaysUnknown(t *testing.T) {
	writes := 0
	c := &afobject.Client{HTTPClient: &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		if r.Method == http.MethodGet {
			w := httptest.NewRecorder()
			_, err := w.WriteString(`{"metadata":{"name":"a","resourceVersion":"3"},"spec":{}}`)
			return w.Result(), err
		}
		trace := httptrace.ContextClientTrace(r.Context())
		trace.GetConn("platform")
		writes++
		if writes == 1 {
			trace.GotConn(httptrace.GotConnInfo{})
		}
		return nil, io.ErrUnexpectedEOF
	})}}
	o := object("a", `{"rate":1}`)
	o.Version = 3
	_, err := c.WriteWithReadback(t.Context(), o)
	require.Greater(t, writes, 1)
	require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), err)
}

// TestWatch guards against missed, reordered or foreign events, and against a start version that is too old
// being taken for a complete history.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &afstandin.Platform{HistoryLimit: 3}
		c, _ := start(t, p)
		c.WatchIdleTimeout = 20 * time.Second
		put := func(kind, name string) {
			_, err := p.PutObject(kind, name, map[string]string{})
			require.NoError(t, err)
		}
		put(afobject.KindCustomers, "a")
		var got []string
		done := make(chan error, 1)
		go func() {
			done <- c.Watch(t.Context(), "", 0, func(e afobject.Event) {
				got = append(got, e.Type.String()+" "+e.Object.Kind+"/"+e.Object.Name)
			})
		}()
		synctest.Wait()
		put(afobject.KindShards, "s")
		put(afobject.KindKeys, "k")
		p.RemoveObject(afobject.KindCustomers, "a")
		synctest.Wait()
		require.Equal(t, []string{"ADDED customers/a", "ADDED keys/k", "DELETED customers/a"}, got)
		require.EqualValues(t, 1, p.Counts().OpenWatches)
		version, err := c.ConfigurationVersion(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, 4, version)

		<-time.After(6 * time.Second) // The bubble's clock passes one interval of bookmarks.
		p.SetFaults(afstandin.PlatformFaults{SilencesOpenConnections: true})
		err = <-done // Returns once the watch has been silent for long enough.
		require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), err)
		require.Contains(t, got, "BOOKMARK configuration/")
		err = c.Watch(t.Context(), "", 0, func(afobject.Event) {})
		require.True(t, afobject.IsKind(err, afobject.VersionExpired), err)
	})
}
