package afentry

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"arbutusfork.example/arbutusfork"
)

const (
	// spareDescriptors are left for peers, endpoints, the platform and the process itself.
	spareDescriptors = 256
	fallbackConns    = 512
	// acceptPause is the delay after a failed accept. Without it, accept spins beyond the descriptor limit.
	acceptPause = 50 * time.Millisecond
	// refuseTimeout bounds the refusal of a connection beyond the bound.
	refuseTimeout = 100 * time.Millisecond
	// acceptBatch bounds the new connections that wait for one pass of the barrier.
	acceptBatch = 128
)

// descriptorBound returns the number of callers' connections that the descriptor limit allows. Each request may
// need a second descriptor towards its endpoint.
func descriptorBound() int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil || r.Cur <= 2*spareDescriptors {
		return fallbackConns / 2
	}
	return int(min(r.Cur, 1<<20)-spareDescriptors) / 2
}

// boundedListener keeps the number of connections below the server's bound.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. Connections beyond the bound get a refusal and are closed.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if ne, ok := err.(interface{ Temporary() bool }); ok && ne.Temporary() {
				l.server.Log.Warn("accept failed", "cause", err)
				l.server.Timer.Wait(context.Background(), acceptPause)
				continue
			}
			return nil, err
		}
		if l.server.connections() < l.server.MaxConns {
			return c, nil
		}
		l.server.metrics.refused.WithLabelValues(arbutusfork.CodeNoCapacity.String()).Inc()
		r := arbutusfork.NewRefusal(arbutusfork.CodeNoCapacity, "too many connections").WithRetryAfter(time.Second)
		_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = c.Write(rawRefusal(r, l.server.NewRequestID()))
		_ = c.Close()
	}
}

// accept makes a link of each connection until the listener is closed. nbhttp's own loop spins when accept fails
// and leaves no room for the barrier.
func (s *Server) accept(e *nbhttp.Engine, fresh chan<- *link) {
	defer close(fresh)
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		l, err := s.open(e, c)
		if err != nil {
			s.Log.Warn("connection not accepted", "cause", err)
			continue
		}
		fresh <- l
	}
}

// register hands new links to the poller, after it has forgotten what had their descriptors before. Links that
// come at once share one pass of the barrier.
func (s *Server) register(e *nbhttp.Engine, b *barrier, fresh <-chan *link) {
	for l := range fresh {
		batch := []*link{l}
		for n := len(fresh); n > 0; n-- {
			if l, ok := <-fresh; ok {
				batch = append(batch, l)
			}
		}
		err := b.pass()
		for _, l := range batch {
			if err == nil {
				_, err = e.AddConn(l.conn)
			}
			if err != nil {
				s.Log.Warn("connection not accepted", "cause", err)
				l.CloseAndClean(err)
				_ = l.conn.Close()
			}
		}
	}
}

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}
