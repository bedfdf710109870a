package afdispatch

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afcrash"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
	"arbutusfork.example/arbutusfork/pkg/afquarantine"
	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// Guards against engines that crash one after the other under calls that share a message.
func TestMessageThatCrashesEnginesIsQuarantined(t *testing.T) {
	crashes := 0
	crashed := make(chan struct{}, 10)
	serveCrashing := func(name string) afplacement.Replica {
		var srv *httptest.Server
		srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.Contains(r.URL.RawQuery, "dead") {
				return
			}
			crashes++
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush() // The connection is closed next.
			_ = srv.Listener.Close()
			crashed <- struct{}{}
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(srv.Close)
		return afplacement.Replica{Model: "m", Endpoint: name, Address: srv.Listener.Addr().String(), Slots: 4}
	}
	h := newHarness(t)
	clock := &aftimer.Service{} // The crashes are apart in time, which the test does not wait for.
	clock.AdvanceTo(h.startedAt)
	watch := &afcrash.Service{Timer: clock, Log: slog.New(slog.DiscardHandler), HeartbeatPeers: func() []arbutusfork.VM { return nil }}
	h.CrashWatch = watch.NewWatch()
	check, recordAnswer := h.CrashWatch.CheckCrash, h.CrashWatch.RecordAnswer
	h.CrashWatch.CheckCrash = func(address string, c afquarantine.Crash) {
		c.At = clock.Now()
		check(address, c)
	}
	h.CrashWatch.RecordAnswer = func(service string, parts []string, _ time.Time) { recordAnswer(service, parts, clock.Now()) }
	h.startWithRealClock()
	send := func(prompt, query string) Result {
		r := h.newRequest("m", "a")
		r.PromptParts = PromptParts([]byte(prompt))
		c := newGetCall("/?" + query)
		c.IsIdempotent = false
		return h.SendCall(context.Background(), r, c, (&recordingSink{}).sink())
	}
	system, dead := `{"role":"system","content":"be kind"}`, `{"role":"user","content":"dead"}`
	for i, own := range []string{"a", "b", "c"} {
		clock.AdvanceTo(clock.Now().Add(time.Second))
		h.setReplicas(serveCrashing("e" + own))
		require.Equal(t, arbutusfork.CodeEndpointFailed, send("["+system+","+dead+`,{"content":"`+own+`"}]`, "dead").Refusal.Code)
		<-crashed
		require.Eventually(t, func() bool { return len(watch.State().Crashes()) == i+1 }, 5*time.Second, time.Millisecond)
		require.Eventually(t, func() bool {
			h.setReplicas(serveCrashing("ok" + own))
			return send("["+system+`,{"content":"sound"}]`, "").Refusal == nil
		}, 5*time.Second, time.Millisecond)
	}
	clock.AdvanceTo(clock.Now().Add(time.Second))
	require.Len(t, watch.State().Quarantines(), 1)
	res := send("["+system+","+dead+`,{"content":"d"}]`, "dead")
	require.Equal(t, arbutusfork.CodePromptQuarantined, res.Refusal.Code)
	require.Equal(t, arbutusfork.OutcomeNotRun, res.Outcome)
	require.Equal(t, 3, crashes)
	require.Nil(t, send("["+system+`,{"content":"sound"}]`, "").Refusal)
}

// Guards against prompts without messages that are never suspected, or that share parts by chance.
func TestPromptParts(t *testing.T) {
	require.Len(t, PromptParts([]byte(`[{"content":"a"},{"content":"b"}]`)), 2)
	require.Equal(t, PromptParts([]byte(`[{"a":1}]`))[0], PromptParts([]byte(`[{"b":1},{"a":1}]`))[1])
	for _, prompt := range []string{`"text"`, `[1,2,3]`, `["a","b"]`, `[]`} {
		require.Len(t, PromptParts([]byte(prompt)), 1, prompt)
	}
	require.Empty(t, PromptParts(nil))
}
