package afserve

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afhead"
)

// TestEndpointClientRefusesMalformedAnswers guards against a malformed answer that counts as the status of an endpoint, or as the answer to an
// order.
func TestEndpointClientRefusesMalformedAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	answers := make(chan string, 1)
	go afstandin.ServeOnce(l, func(*http.Request) string { return <-answers })
	client := newEndpointClient()
	fetch := func(answer string) (string, error) {
		answers <- answer
		resp, err := client.Get("http://" + l.Addr().String() + "/status")
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	body, err := fetch("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
	require.Equal(t, "{}", body)
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\n{}", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 2\r\n\r\n{}",
		"HTTP/1.1 409 Conflict\r\nX-A: 1\r\n\nContent-Length: 0\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n",
	} {
		body, err := fetch(answer)
		var malformed *afhead.Error
		require.ErrorAs(t, err, &malformed, "%q has the body %q", answer, body)
	}
}
