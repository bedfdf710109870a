package afentry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDescriptorReuse guards against a poller that closes a new connection because of an event of an earlier connection with
// the same descriptor. That happens when many connections are closed by both sides at the same time.
func TestDescriptorReuse(t *testing.T) {
	f := newFixture(t, nil)
	tr := &http.Transport{DisableKeepAlives: true}
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			for n := range 150 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.Addr()+"/healthz", nil)
				if err != nil {
					t.Error(err)
					return
				}
				resp, err := tr.RoundTrip(req)
				if err != nil {
					t.Errorf("connection %d: %v", n, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
}

// TestConnectionReset guards against a poller that fails when a caller resets a connection with unsent bytes.
func TestConnectionReset(t *testing.T) {
	f := newFixture(t, nil)
	for range 8 {
		c, err := net.Dial("tcp", f.Addr())
		require.NoError(t, err)
		body := fmt.Sprintf(streamBodyFormat, 10_000_000)
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: %d\r\n\r\n%s", pathChat, authHeader, len(body), body)
		require.NoError(t, err)
		for f.totalUnsentBytes() == 0 {
			runtime.Gosched()
		}
		require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		require.NoError(t, c.Close())
		for len(f.runningDigests()) > 0 {
			runtime.Gosched()
		}
		require.Equal(t, "ok\n", readBody(f.request("GET", "/healthz", "")))
	}
}

// totalUnsentBytes returns the unsent bytes of all connections.
func (s *Server) totalUnsentBytes() (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sc := range s.conns {
		n += sc.unsentBytes.Load()
	}
	return n
}
