package afdispatch

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTransportRetry guards against the retry by which http.Transport sends a request again after an error on a reused
// connection. It does so for empty bodies and for requests with an Idempotency-Key, also if the method is not idempotent.
func TestTransportRetry(t *testing.T) {
	for _, method := range []string{"POST", "GET", "DELETE"} {
		for _, body := range []string{"", "body"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := &flakyServer{Listener: l, breakPlan: []int{answerRequest, breakAfterByte}}
			go s.serve()
			var p transportPool
			c := Call{Method: method, Path: "/", Body: []byte(body), Header: http.Header{"Idempotency-Key": {"k"}}}
			for n := 1; n <= 2; n++ {
				req, err := c.buildRequest(t.Context(), l.Addr().String())
				require.NoError(t, err)
				resp, err := p.transportFor(l.Addr().String()).RoundTrip(req)
				if n == 1 {
					require.NoError(t, err)
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					continue
				}
				require.Error(t, err)
				require.Equal(t, 2, s.countRequests(), "%s with body %q", method, body)
			}
			_ = l.Close()
		}
	}
}
