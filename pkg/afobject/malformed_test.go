package afobject_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// startRawPlatform answers each request on a new connection with the given bytes and returns a client for it.
func startRawPlatform(t *testing.T, answer string) *afobject.Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go afstandin.ServeOnce(l, func(*http.Request) string { return answer })
	return &afobject.Client{BaseURL: "http://" + l.Addr().String()}
}

// TestMalformedAnswersAreLost guards against a read that believes a malformed answer, and against a write that counts as executed or refused
// because of one.
func TestMalformedAnswersAreLost(t *testing.T) {
	const object = `{"kind":"customers","metadata":{"name":"a","resourceVersion":"7"},"spec":{"rate":1}}`
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(object), object)
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 Odd\r\n", "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\nStore-Era : 1\r\n",
		"HTTP/1.1 200 OK\r\nX-A: 1\r\n Store-Era: 1\r\n", "HTTP/1.1 404 Not Found\r\nX Odd: 1\r\n", "HTTP/1.1 409 Conflict\r\nX Odd: 1\r\n", "HTTP/1.1 410 Gone\r\nX Odd: 1\r\n",
		"HTTP/1.1 429 Too Many Requests\r\nX Odd: 1\r\n", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n", "trailer",
	} {
		answer := head + chunked + "\r\n"
		if head == "trailer" {
			answer = "HTTP/1.1 200 OK\r\n" + chunked + "X Odd: 1\r\n\r\n"
		}
		c := startRawPlatform(t, answer)
		_, err := c.Get(t.Context(), afobject.KindCustomers, "a")
		require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), "get, %q: %v", head, err)
		_, _, err = c.List(t.Context(), afobject.KindCustomers)
		require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), "list, %q: %v", head, err)
		_, err = c.Update(t.Context(), customerObject("a", `{"rate":1}`))
		require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), "update, %q: %v", head, err)
		err = c.Delete(t.Context(), afobject.KindCustomers, "a", 7)
		require.True(t, afobject.IsKind(err, afobject.OutcomeUnknown), "delete, %q: %v", head, err)
		if head != "trailer" {
			err = c.Watch(t.Context(), afobject.KindCustomers, 1, func(e afobject.Event) { require.Fail(t, "event", "%q: %v", head, e) })
			require.True(t, afobject.IsKind(err, afobject.PlatformUnavailable), "watch, %q: %v", head, err)
		}
		require.Zero(t, c.Era(), "%q", head)
	}
}
