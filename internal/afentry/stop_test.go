package afentry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDrainRefusesIncompleteRequest guards against a request of which only a part has arrived and that is cut without an answer.
func TestDrainRefusesIncompleteRequest(t *testing.T) {
	for _, part := range []string{"POST /pay HTTP/1.1\r\nHost: x\r\nContent-Le", "POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nbody"} {
		f := newFixture(t, nil)
		c, err := net.Dial("tcp", f.Addr())
		require.NoError(t, err)
		_, err = c.Write([]byte(part))
		require.NoError(t, err)
		for f.countStartedRequests() == 0 {
			runtime.Gosched()
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		f.Drain(ctx)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Contains(t, readBody(resp), "not run")
		require.NoError(t, c.Close())
	}
}

// countStartedRequests returns the number of requests of which a part was received.
func (s *Server) countStartedRequests() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sc := range s.conns {
		sc.mu.Lock()
		if !sc.requestStartedAt.IsZero() {
			n++
		}
		sc.mu.Unlock()
	}
	return n
}
