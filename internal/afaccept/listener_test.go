package afaccept

import (
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// failingListener fails each accept and reports it.
type failingListener struct {
	net.Listener
	failed chan struct{}
}

func (l failingListener) Accept() (net.Conn, error) {
	l.failed <- struct{}{}
	return nil, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}
}

// Guards against an accept loop that goes on waiting to repeat a failed accept after its listener was closed.
func TestCloseEndsAccept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	timer := &aftimer.Service{}
	timer.AdvanceTo(time.Unix(1000, 0))
	failed := make(chan struct{}, 1)
	l := NewListener(failingListener{inner, failed}, timer, slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	<-failed
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
