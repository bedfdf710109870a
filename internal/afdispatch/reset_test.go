package afdispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// TestResetDuringUpload guards against an answer without a length, or a stream of a service without [DONE], that looks whole although its
// connection was reset while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	for _, fields := range []string{"", "Content-Type: text/event-stream\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+"\r\ndata: a\n\n")
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}
		}()
		const (
			resets      = 200 // Most resets end the request before the transport reads on.
			uploadBytes = 8 << 20
		)
		looksWhole := 0
		for range resets {
			// An endpoint that has failed is not used at once.
			h := newHarness(t, afplacement.Replica{Model: "m", Endpoint: "e1", Address: l.Addr().String(), Slots: 4}).startWithRealClock()
			call := Call{ID: "id", Method: http.MethodPost, Path: "/1", Header: http.Header{}, Body: make([]byte, uploadBytes)}
			result := h.SendCall(t.Context(), h.newRequest("m", "a"), call, (&recordingSink{}).sink())
			if result.Refusal == nil {
				looksWhole++
				continue
			}
			require.Equal(t, arbutusfork.OutcomeUnknown, result.Refusal.Outcome)
		}
		require.Zero(t, looksWhole, "answers of %d that look whole, fields %q", resets, fields)
	}
}
