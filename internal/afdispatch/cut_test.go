package afdispatch

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// TestCutAnswer guards against an answer that breaks off in its head or body and is taken for a whole one.
func TestCutAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	answers := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(<-answers))
			}
			_ = c.Close()
		}
	}()
	h := newHarness(t)
	h.OnWaitingChanged = func(string, int, time.Time) {}
	h.startWithRealClock()
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
		for _, version := range []string{"1.1", "1.0"} {
			for _, lineEnd := range []string{"\r\n", "\n"} {
				for _, framed := range []string{"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
					framing, body, _ := strings.Cut(framed, "\r\n\r\n")
					head := strings.ReplaceAll("HTTP/"+version+" 200 OK\r\n"+framing+"\r\n\r\n", "\r\n", lineEnd)
					for n := range len(head+body) + 1 {
						name := fmt.Sprintf("%s %q", method, (head + body)[:n])
						h.setReplicas(afplacement.Replica{Model: "m", Endpoint: name, Address: l.Addr().String(), Slots: 4})
						answers <- (head + body)[:n]
						rec := &recordingSink{}
						res := h.SendCall(t.Context(), h.newRequest("m", "a"), Call{ID: "id", Method: method, Path: "/", Header: http.Header{}}, rec.sink())
						isWhole := n == len(head+body) || method == http.MethodHead && n >= len(head)
						require.Equal(t, isWhole, res.Refusal == nil, "%s: %v, body %q", name, res.Refusal, rec.body)
					}
				}
			}
		}
	}
}

// TestOldVersionConnectionIsNotKept guards against a call on a connection that an endpoint with HTTP/1.0 closes.
func TestOldVersionConnectionIsNotKept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go afstandin.ServeRepeatedly(l, func(r *http.Request) string { return "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n" + r.URL.Path })
	h := newHarness(t, afplacement.Replica{Model: "m", Endpoint: "e1", Address: l.Addr().String(), Slots: 4}).startWithRealClock()
	for _, path := range []string{"/1", "/2", "/3"} {
		rec := &recordingSink{}
		require.Nil(t, h.SendCall(t.Context(), h.newRequest("m", "a"), newGetCall(path), rec.sink()).Refusal)
		require.Equal(t, path, rec.body)
	}
}
