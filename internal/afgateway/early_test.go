package afgateway

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that ends because the endpoint answers before the request is written: the listener uses the request
// again once it is answered.
func TestRequestIsNotReadAfterEarlyAnswer(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // The answer arrives before the writer runs.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			_ = c.(*net.TCPConn).CloseWrite()
		}
	}()
	s := &Server{}
	s.init()
	for range 300 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a.example/x", nil)
		require.NoError(t, err)
		ex, err := s.openExchange(t.Context(), l.Addr().String(), r, http.Header{}, nil)
		r.URL = nil
		if err == nil {
			ex.close()
		}
	}
}
