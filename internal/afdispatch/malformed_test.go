package afdispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// malformedAnswers are answers with a part that HTTP/1.1 does not allow. Each has the body "ok" for a reader that overlooks this part.
var malformedAnswers = []string{
	"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 101 Switching Protocols\r\n\r\nok", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\n\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n",
	"HTTP/1.1 429 Too Many Requests\r\nX-Not-Run: true\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
}

// serveInOrder answers the requests on all connections with the answers in order, and closes a connection after an answer other than ok.
func serveInOrder(t *testing.T, ok string, answers ...string) (address string, requestCount *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requestCount = new(atomic.Int64)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		b := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // The content does not matter.
			answer := ok
			if n := int(requestCount.Add(1)); n <= len(answers) {
				answer = answers[n-1]
			}
			if _, err := io.WriteString(c, answer); err != nil || answer != ok {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), requestCount
}

// TestMalformedAnswers guards against a malformed answer that reaches a caller, or that counts as a refusal of a call that may have run, on a
// new connection and on one that was used before.
func TestMalformedAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, malformed := range malformedAnswers {
		t.Run(strings.ReplaceAll(malformed, "/", "_"), func(t *testing.T) {
			address, requestCount := serveInOrder(t, ok, ok, malformed, ok, malformed)
			h := newHarness(t, afplacement.Replica{Model: "m", Endpoint: "e1", Address: address, Slots: 4}).startWithRealClock()
			for range 2 {
				rec := &recordingSink{}
				result := h.SendCall(t.Context(), h.newRequest("m", "a"), newGetCall("/1"), rec.sink())
				require.Nil(t, result.Refusal)
				require.Equal(t, http.StatusOK, rec.status)
				require.Equal(t, "ok", rec.body)
			}
			require.EqualValues(t, 3, requestCount.Load())

			rec := &recordingSink{}
			result := h.SendCall(t.Context(), h.newRequest("m", "a"), Call{ID: "id", Method: http.MethodPost, Path: "/1", Header: http.Header{}}, rec.sink())
			require.NotNil(t, result.Refusal)
			require.Equal(t, arbutusfork.OutcomeUnknown, result.Refusal.Outcome)
			require.Zero(t, rec.status)
			require.EqualValues(t, 4, requestCount.Load())
		})
	}
}

// TestMalformedStream guards against a stream whose malformed trailer section ends it as a whole one, and against one with a malformed head.
func TestMalformedStream(t *testing.T) {
	const event = "data: a\n\n"
	for _, malformed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + event + "\r\n0\r\nX Odd: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + event + "\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding : chunked\r\n\r\n9\r\n" + event + "\r\n0\r\n\r\n",
	} {
		address, _ := serveInOrder(t, "", malformed)
		h := newHarness(t, afplacement.Replica{Model: "m", Endpoint: "e1", Address: address, Slots: 4}).startWithRealClock()
		result := h.SendCall(t.Context(), h.newRequest("m", "a"), Call{ID: "id", Method: http.MethodPost, Path: "/1", Header: http.Header{}}, (&recordingSink{}).sink())
		require.NotNil(t, result.Refusal, "%q", malformed)
	}
}
