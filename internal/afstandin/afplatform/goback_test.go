package afplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStoreGoesBack guards against a stand-in that keeps what was acknowledged, or hides that it went back.
func TestStoreGoesBack(t *testing.T) {
	s, now := NewStore(), time.Unix(1000, 0)
	s.Now = func() time.Time { return now }
	server := httptest.NewServer(s)
	defer server.Close()
	call := func(method, path, body string) (status int, era, answer string) {
		r, err := http.NewRequest(method, server.URL+"/objects/"+path, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, "", ""
		}
		defer func() { _ = resp.Body.Close() }()
		raw, _ := io.ReadAll(resp.Body) // A cut answer differs from the expected one.
		return resp.StatusCode, resp.Header.Get(headerEra), string(raw)
	}
	s.PutObject(KindEndpoints, "a", `{"state":"ready"}`)
	s.PutObject(KindEndpoints, "b", `{}`)
	status, era, _ := call("POST", "leases", `{"metadata":{"name":"placement"},"spec":{"epoch":1}}`)
	require.Equal(t, 200, status)
	require.Equal(t, "1", era)
	kept := s.ObjectRevision("leases", "placement")

	now = now.Add(5 * time.Second)
	s.PutObject(KindEndpoints, "a", `{"state":"draining"}`)
	s.RemoveObject(KindEndpoints, "b")
	status, _, _ = call("PUT", "leases/placement", `{"metadata":{"name":"placement"},"spec":{"epoch":2}}`)
	require.Equal(t, 200, status)
	lost := s.ObjectRevision("leases", "placement")

	watch := make(chan int)
	go func() {
		status, _, _ := call("GET", "leases?watch=7&wait-ms=60000", "")
		watch <- status
	}()
	now = now.Add(time.Second)
	age, found := s.AgeOf("leases", "placement", func(spec json.RawMessage) bool { return string(spec) == `{"epoch":1}` })
	require.True(t, found)
	require.Equal(t, time.Second, age)
	s.GoAway()
	require.Zero(t, <-watch, "a waiting watch is cut")
	status, _, _ = call("GET", "leases/placement", "")
	require.Zero(t, status, "calls are cut while the store is away")
	s.PutObject("config", "main", `{"version":1}`)
	s.ComeBack(3 * time.Second)

	status, era, answer := call("GET", "leases/placement", "")
	require.Equal(t, 200, status)
	require.Equal(t, "2", era)
	require.Contains(t, answer, `{"epoch":1}`)
	require.Equal(t, kept, s.ObjectRevision("leases", "placement"))
	status, era, _ = call("GET", "leases?watch=7&wait-ms=0", "")
	require.Equal(t, 410, status, "a revision that was not given out yet")
	require.Equal(t, "2", era)
	status, _, _ = call("PUT", "leases/placement", `{"metadata":{"name":"placement","revision":7},"spec":{}}`)
	require.Equal(t, 409, status)
	_, _, answer = call("GET", KindEndpoints, "")
	require.Contains(t, answer, `"ready"`)
	require.Contains(t, answer, `"name":"b"`)

	s.WriteAgain(KindEndpoints)
	s.WriteAgain("config")
	require.Equal(t, lost, s.ObjectRevision("config", "main"), "revisions are given out again with another meaning")
	_, _, answer = call("GET", KindEndpoints, "")
	var list struct{ Items []object }
	require.NoError(t, json.Unmarshal([]byte(answer), &list))
	require.Len(t, list.Items, 1)
	require.JSONEq(t, `{"state":"draining"}`, string(list.Items[0].Spec))
}
