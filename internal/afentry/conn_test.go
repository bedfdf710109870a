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

// TestManyConnections guards against a poller that closes a new connection because of an event of an older one
// with the same descriptor. Many connections that are closed by both sides at once bring that about.
func TestManyConnections(t *testing.T) {
	r := newRig(t, nil)
	tr := &http.Transport{DisableKeepAlives: true}
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			for n := range 150 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.Addr()+"/healthz", nil)
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

// TestReset guards the pollers against callers that reset a connection for which answers are queued.
func TestReset(t *testing.T) {
	r := newRig(t, nil)
	for range 8 {
		c, err := net.Dial("tcp", r.Addr())
		require.NoError(t, err)
		body := fmt.Sprintf(streamBody, 10_000_000)
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: %d\r\n\r\n%s", pathChat, auth, len(body), body)
		require.NoError(t, err)
		for r.unsent() == 0 {
			runtime.Gosched()
		}
		require.NoError(t, c.(*net.TCPConn).SetLinger(0))
		require.NoError(t, c.Close())
		for len(r.snapshotActive()) > 0 {
			runtime.Gosched()
		}
		require.Equal(t, "ok\n", readAll(r.request("GET", "/healthz", "")))
	}
}

// unsent returns the bytes that wait for callers.
func (s *Server) unsent() (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		n += l.unsent.Load()
	}
	return n
}
