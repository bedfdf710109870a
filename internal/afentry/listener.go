package afentry

import (
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"arbutusfork.example/arbutusfork"
)

const (
	// reservedDescriptors is the number of file descriptors that are kept free for connections to peers, endpoints and the
	// platform, and for the process itself.
	reservedDescriptors = 256
	// fallbackDescriptors is the number of file descriptors for callers if the descriptor limit is unknown or too low.
	fallbackDescriptors = 512
	// refusalWriteTimeout limits the time for sending the refusal to a connection above MaxConnections.
	refusalWriteTimeout = 100 * time.Millisecond
	// maxAcceptBatch limits the new connections that are queued for registration with the poller.
	maxAcceptBatch = 128
)

// defaultMaxConns returns the number of callers' connections that the process's descriptor limit allows. Each request may
// need a second descriptor for the connection to its endpoint.
func defaultMaxConns() int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil || r.Cur <= 2*reservedDescriptors {
		return fallbackDescriptors / 2
	}
	return int(min(r.Cur, 1<<20)-reservedDescriptors) / 2
}

// limitedListener accepts connections up to the server's MaxConnections.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. Connections above MaxConnections get a refusal and are closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err // The listener is closed.
		}
		if l.server.countConns() < l.server.MaxConnections {
			return c, nil
		}
		l.server.metrics.refusals.WithLabelValues(arbutusfork.CodeNoCapacity.String()).Inc()
		r := arbutusfork.NewRefusal(arbutusfork.CodeNoCapacity, "too many connections").WithRetryAfter(time.Second)
		_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, _ = c.Write(encodeRawRefusal(r, l.server.NewRequestID()))
		_ = c.Close()
	}
}

// acceptConns accepts connections and sends them to newConns until the listener is closed. It replaces nbhttp's accept
// loop, which spins when accept fails and cannot wait for the pollerBarrier.
func (s *Server) acceptConns(e *nbhttp.Engine, newConns chan<- *serverConn) {
	defer close(newConns)
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		sc, err := s.newServerConn(e, c)
		if err != nil {
			s.Log.Warn("connection not accepted", "cause", err)
			continue
		}
		newConns <- sc
	}
}

// registerConns registers new connections with the poller after it has handled all events of earlier connections with the
// same descriptors. Connections that arrive at the same time share one wait for the poller.
func (s *Server) registerConns(e *nbhttp.Engine, b *pollerBarrier, newConns <-chan *serverConn) {
	for sc := range newConns {
		batch := []*serverConn{sc}
		for n := len(newConns); n > 0; n-- {
			if sc, ok := <-newConns; ok {
				batch = append(batch, sc)
			}
		}
		err := b.waitForPoller()
		for _, sc := range batch {
			if err == nil {
				_, err = e.AddConn(sc.nbConn)
			}
			if err != nil {
				s.Log.Warn("connection not accepted", "cause", err)
				sc.CloseAndClean(err)
				_ = sc.nbConn.Close()
			}
		}
	}
}

// countConns returns the number of open connections.
func (s *Server) countConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
