// Package afaccept accepts connections although accepting them fails for a while.
package afaccept

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/aftimer"
)

// retryDelay is the delay after a failed accept. Without it, a loop that accepts connections spins at the descriptor limit.
const retryDelay = 50 * time.Millisecond

// Listener is a listener whose Accept fails only once it is closed. Other errors, such as a lack of descriptors or of buffers,
// end by themselves, and a server whose accept loop has ended is not noticed.
type Listener struct {
	net.Listener
	timer  *aftimer.Service
	log    *slog.Logger
	closed context.Context
	cancel context.CancelFunc
}

// NewListener returns a Listener that accepts connections from l.
func NewListener(l net.Listener, timer *aftimer.Service, log *slog.Logger) *Listener {
	closed, cancel := context.WithCancel(context.Background())
	return &Listener{Listener: l, timer: timer, log: log, closed: closed, cancel: cancel}
}

// Accept returns the next connection. It fails once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || l.closed.Err() != nil {
			return c, err
		}
		l.log.Warn("connection accept failed", "address", l.Addr().String(), "cause", err)
		if !l.timer.Sleep(l.closed, retryDelay) {
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends a call of Accept.
func (l *Listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}
