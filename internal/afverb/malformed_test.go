package afverb

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin"
)

// Guards against a change that the program reports as accepted or refused although the server's answer is malformed.
func TestMalformedAnswersAreErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	answers := make(chan string, 1)
	go afstandin.ServeOnce(l, func(*http.Request) string { return <-answers })
	p := &Program{serverAddress: l.Addr().String()}
	put := func(answer string) error {
		answers <- answer
		_, err := p.newClient().putObject(t.Context(), "customers", "a", 1, []byte("{}"))
		return err
	}
	require.NoError(t, put("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\n{}", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 2\r\n\r\n{}",
		"HTTP/1.1 409 Conflict\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n",
	} {
		err := put(answer)
		if assert.Error(t, err, "%q", answer) {
			assert.Equal(t, ServerUnreachable, err.(*Error).Kind, "%q", answer)
		}
	}
}
