package afentry

import (
	"net"
	"syscall"
	"time"

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
				pause := make(chan struct{})
				l.server.Timer.After(acceptPause, func(time.Time) { close(pause) })
				<-pause
				continue
			}
			return nil, err
		}
		if l.server.connections() < l.server.MaxConns {
			return c, nil
		}
		l.server.metrics.refused.WithLabelValues(arbutusfork.CodeNoCapacity.String()).Inc()
		r := arbutusfork.Refuse(arbutusfork.CodeNoCapacity, "too many connections").WithRetryAfter(time.Second)
		_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = c.Write(rawRefusal(r, l.server.NewID()))
		_ = c.Close()
	}
}

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}
