package afdispatch

import (
	"bufio"
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
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// TestRepeatedRefusal guards against "not run" for a call that the endpoint may be running, because it wrote the refusal of an
// earlier call once more on a kept connection, and against a refusal of the call although a new connection answers it.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
	for _, isAlwaysRefused := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					reader := bufio.NewReader(c)
					for n := 0; ; n++ {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						answer := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + r.URL.Path[:4]
						if n > 0 || isAlwaysRefused && r.URL.Path != "/run" {
							answer = refusal
						}
						_, _ = io.WriteString(c, answer)
					}
				}()
			}
		}()
		h := newHarness(t, afplacement.Replica{Model: "m", Endpoint: "e1", Address: l.Addr().String(), Slots: 4}).startWithRealClock()
		for i, path := range []string{"/run", "/two"} {
			rec := &recordingSink{}
			res := h.SendCall(context.Background(), h.newRequest("m", "a"), newGetCall(path), rec.sink())
			if i > 0 && isAlwaysRefused {
				require.NotNil(t, res.Refusal)
				require.Equal(t, arbutusfork.OutcomeUnknown, res.Refusal.Outcome, "call %d", i)
				continue
			}
			require.Nil(t, res.Refusal, "call %d", i)
			require.Equal(t, path, rec.body)
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
