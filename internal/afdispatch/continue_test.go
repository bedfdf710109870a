package afdispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// TestRepeatedRefusal guards against "not run" for a call that the endpoint may be running, because it wrote the refusal of an
// earlier call once more on a kept connection, and against a refusal of a call that a new connection answers.
func TestRepeatedRefusal(t *testing.T) {
	for _, isAlwaysRefused := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		var refusals atomic.Int64
		go afstandin.ServeRepeatedly(l, func(r *http.Request) string {
			if r.URL.Path == "/busy" && (refusals.Add(1) == 1 || isAlwaysRefused) {
				return "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
			}
			return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + r.URL.Path
		})
		h := newHarness(t, afplacement.Replica{Model: "m", Endpoint: "e1", Address: l.Addr().String(), Slots: 4}).startWithRealClock()
		req, err := newGetCall("/busy").buildRequest(t.Context(), l.Addr().String())
		require.NoError(t, err)
		resp, err := h.transports.transportFor(l.Addr().String()).RoundTrip(req) // The connection is kept.
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		rec := &recordingSink{}
		res := h.SendCall(t.Context(), h.newRequest("m", "a"), newGetCall("/busy"), rec.sink())
		require.Equal(t, isAlwaysRefused, res.Refusal != nil)
		if isAlwaysRefused {
			require.Equal(t, arbutusfork.OutcomeUnknown, res.Refusal.Outcome)
		} else {
			require.Equal(t, "/busy", rec.body)
		}
	}
}

// TestOddContinuation guards against bytes of another answer in a stream that began and broke off, against such a stream that
// looks complete, and against a refusal that asks for a retry after a part was relayed.
func TestOddContinuation(t *testing.T) {
	events := func(status int, offset string, list ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(ResumeOffsetHeader, offset)
			w.WriteHeader(status)
			for _, e := range list {
				_, _ = io.WriteString(w, "data: "+e+"\n\n")
			}
		}
	}
	answer := func(status int, body string, header ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for _, name := range header {
				w.Header().Set(name, "true")
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	long := strings.Repeat("error text ", 20_000)
	for name, second := range map[string]http.HandlerFunc{
		"500": answer(500, "error text"), "long 500": answer(500, long), "400": answer(400, "error text"), "long 200": answer(200, long), "429": answer(429, ""),
		"refusal": answer(503, "", "X-Not-Run"), "draining": answer(503, "", "X-Not-Run", DrainingHeader), "no events": events(200, "2"), "no end": events(200, "0"),
		"from the beginning": events(200, "0", "a", "b", "c", doneData), "no offset": events(200, "", "c", doneData), "another offset": events(200, "3", "d", doneData),
		"500 as events": events(500, "2", "error text", doneData), "503 as events": events(503, "2", "error text"),
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			h := newHarness(t, serveReplica("e1", func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) > 1 {
					second(w, r)
					return
				}
				events(200, "0", "a", "b")(w, r)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}, t)).startWithRealClock()
			call := newGetCall("/")
			call.IsResumable = true
			r := h.newRequest("m", "a")
			r.Deadline = time.Now().Add(5 * time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			rec := &recordingSink{}
			res := h.SendCall(ctx, r, call, rec.sink())
			cancel()
			require.Equal(t, []string{"a", "b"}, rec.events)
			require.Empty(t, rec.body)
			require.NotNil(t, res.Refusal)
			require.Equal(t, arbutusfork.OutcomeUnknown, res.Refusal.Outcome)
			require.Equal(t, http.StatusBadGateway, res.Refusal.HTTPStatus())
			require.Zero(t, res.Refusal.RetryAfter)
		})
	}
}

// TestNothingFollowsDone guards against a second [DONE] if the connection breaks after the first one.
func TestNothingFollowsDone(t *testing.T) {
	h := newHarness(t, serveReplica("e1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(ResumeOffsetHeader, r.Header.Get(ResumeOffsetHeader))
		_, _ = io.WriteString(w, "data: a\n\ndata: [DONE]\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, t)).startWithRealClock()
	call := newGetCall("/")
	call.IsResumable = true
	rec := &recordingSink{}
	require.Nil(t, h.SendCall(t.Context(), h.newRequest("m", "a"), call, rec.sink()).Refusal)
	require.Equal(t, []string{"a", doneData}, rec.events)
}
