package afentry

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// exhaustedListener fails its first accepts as the kernel does without free buffers.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// TestAcceptGoesOn guards against a server that accepts no more callers after an error that is not temporary by its type.
func TestAcceptGoesOn(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		l, err := net.Listen("tcp", f.Address)
		require.NoError(t, err)
		exhausted := &exhaustedListener{Listener: l}
		exhausted.failures.Store(3)
		f.applyDefaults()
		f.serveFrom(exhausted)
	})
	require.Equal(t, "ok\n", readBody(f.request("GET", "/healthz", "")))
}
