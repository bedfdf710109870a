package afcontrol

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afhead"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// serveRaw answers each request with the bytes and closes the connection. It returns the endpoint.
func serveRaw(t *testing.T, answer string) arbutusfork.Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go afstandin.ServeOnce(l, func(*http.Request) string { return answer })
	return arbutusfork.Endpoint{Name: "e1", Address: l.Addr().String()}
}

// TestMalformedAnswersSayNothing guards against an order that counts as refused or accepted, and against a status that counts, because of a
// malformed answer.
func TestMalformedAnswersSayNothing(t *testing.T) {
	s := &Service{HTTPClient: &http.Client{Transport: &afhead.Transport{Base: &http.Transport{DisableKeepAlives: true}}}}
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 409 Conflict\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 503 Service Unavailable\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
	} {
		ep := serveRaw(t, answer)
		_, err := s.fetchStatus(t.Context(), ep)
		require.Error(t, err, "%q", answer)
		outcome, _ := s.postOrder(t.Context(), ep, afplacement.Order{ID: 1, Endpoint: "e1", Model: "m"})
		require.Equal(t, afplacement.OutcomeAnswerLost, outcome, "%q", answer)
	}
	_, err := s.fetchStatus(t.Context(), serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n"))
	require.Error(t, err, "trailer")
	_, err = s.fetchStatus(t.Context(), serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	require.NoError(t, err)
}
