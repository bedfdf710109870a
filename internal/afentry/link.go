package afentry

import (
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"arbutusfork.example/arbutusfork"
)

const (
	defaultMaxHead = 32 << 10
	// maxPipeline bounds the requests that wait on one connection behind the one that runs.
	maxPipeline = 16
	// maxUnsent is how many bytes may wait for a slow caller before the relay pauses.
	maxUnsent = 64 << 10
	// readBuffer is the buffer of one poller, which all its connections share.
	readBuffer = 64 << 10
)

// link is one caller's connection. It takes the place of the engine's parser as the connection's session: it
// passes data on to the parser, checks the framing that the parser leaves unchecked, answers what the parser
// refuses, runs one request at a time, and learns at once when the caller hangs up. The engine itself would
// tell that only after the running request has ended.
type link struct {
	*nbhttp.Parser
	server *Server
	conn   *nbio.Conn
	guard  *guard
	// late tells that the connection was opened while the server was draining.
	late bool
	// gone is closed when the connection is closed.
	gone chan struct{}

	mu      sync.Mutex
	running bool
	closed  bool
	closing bool // closing makes the link close after the running request.
	shut    bool // shut tells that no further request runs.
	jobs    []func()
	cancel  func(error)
	// partial is when the first byte of an incomplete request came. It is zero between requests.
	partial time.Time
	// idle is when the last request ended.
	idle time.Time
	// linger is when the connection is closed after a refusal. It is zero otherwise.
	linger time.Time

	// unsent counts the bytes that wait for the caller, and moved is when the last of them left, in nanoseconds
	// of the Unix epoch of the timer service.
	unsent  atomic.Int64
	moved   atomic.Int64
	drained chan struct{}
}

// opened counts the links. The pollers learn of a connection through the kernel, which the Go memory model knows
// nothing of; they load the counter before they use a link, which orders that after the making of the link.
var opened atomic.Uint64

// open makes a link of a new connection, which is not yet with the poller.
func (s *Server) open(e *nbhttp.Engine, conn net.Conn) (*link, error) {
	c, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	l := &link{
		server: s, conn: c, late: s.draining.Load(), idle: s.Timer.Now(),
		gone: make(chan struct{}), drained: make(chan struct{}, 1),
	}
	l.guard = &guard{Processor: nbhttp.NewServerProcessor(), link: l}
	l.Parser = nbhttp.NewParser(&linkConn{Conn: c, link: l}, e, l.guard, false, l.execute)
	s.mu.Lock()
	s.links[l] = struct{}{}
	s.mu.Unlock()
	s.metrics.conns.Inc()
	opened.Add(1)
	c.SetSession(l)
	c.OnData(e.DataHandler)
	return l, nil
}

// Parse takes data that the caller sent.
func (l *link) Parse(data []byte) error {
	opened.Load()
	if l.guard.refusal != nil {
		return nil // The connection lingers; what still comes is not looked at.
	}
	l.guard.begin(len(data))
	err := l.Parser.Parse(data)
	refusal := l.guard.end(err)
	now := l.server.Timer.Now()
	l.mu.Lock()
	switch {
	case l.guard.between:
		l.partial = time.Time{}
	case l.partial.IsZero():
		l.partial = now
	}
	l.mu.Unlock()
	if refusal != nil {
		l.reject(refusal)
	}
	return nil
}

// reject answers a request that cannot be read and closes the connection.
func (l *link) reject(r *arbutusfork.Refusal) {
	l.server.metrics.refused.WithLabelValues(r.Code.String()).Inc()
	l.execute(func() {
		_, _ = l.Conn.Write(rawRefusal(r, l.server.NewRequestID()))
		l.mu.Lock()
		defer l.mu.Unlock()
		l.jobs = nil
		l.linger = l.server.Timer.Now().Add(lingerTime)
	})
}

// shutdown closes the connection and lets no further request run on it. What the operating system has is still
// sent.
func (l *link) shutdown() {
	l.mu.Lock()
	l.shut = true
	l.jobs = nil
	l.mu.Unlock()
	_ = l.conn.Close()
}

// CloseAndClean is called by the engine after the connection was closed.
func (l *link) CloseAndClean(err error) {
	opened.Load()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	l.jobs = nil
	cancel := l.cancel
	l.mu.Unlock()
	l.Parser.CloseAndClean(err)
	close(l.gone)
	if cancel != nil {
		cancel(&Error{Op: "serve", Kind: CallerDisconnected, Err: err})
	}
	s := l.server
	s.mu.Lock()
	delete(s.links, l)
	s.mu.Unlock()
	s.metrics.conns.Dec()
}

// bind sets what is called when the caller hangs up. It reports false if that has already happened.
func (l *link) bind(cancel func(error)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancel = cancel
	return !l.closed
}

// closeAfter makes the link close when the running request has been answered.
func (l *link) closeAfter() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
}

// execute runs a request after those before it on the same connection.
func (l *link) execute(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed, l.shut:
		return false
	case !l.running:
		l.running = true
		go l.work(f)
	case len(l.jobs) >= maxPipeline:
		go l.shutdown()
		return false
	default:
		l.jobs = append(l.jobs, f)
	}
	return true
}

// work runs requests until none is left.
func (l *link) work(f func()) {
	for f != nil {
		l.guarded(f)
		f = l.next()
	}
}

// guarded keeps a panic of one request from ending the process. The connection is closed without the end of the
// answer.
func (l *link) guarded(f func()) {
	defer func() {
		if v := recover(); v != nil {
			l.server.Log.Error("request panicked", "cause", v, "stack", string(debug.Stack()))
			l.closeAfter()
		}
	}()
	f()
}

func (l *link) next() func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancel = nil
	if l.closing {
		// The engine drops what it has not sent when a connection is closed.
		l.mu.Unlock()
		_ = l.flush(0)
		l.shutdown()
		l.mu.Lock()
		l.running = false
		return nil
	}
	if len(l.jobs) == 0 {
		l.running = false
		l.idle = l.server.Timer.Now()
		return nil
	}
	f := l.jobs[0]
	l.jobs = l.jobs[1:]
	return f
}

// written notes bytes that the operating system took. It is called with the connection's lock held.
func (l *link) written(n int) {
	opened.Load()
	l.moved.Store(l.server.Timer.Now().UnixNano())
	if l.unsent.Add(int64(-n)) <= maxUnsent/2 {
		select {
		case l.drained <- struct{}{}:
		default:
		}
	}
}

// flush waits until no more than limit bytes wait for the caller. It returns an error if the caller hangs up or
// does not read; the sweep closes the connection then.
func (l *link) flush(limit int64) error {
	for l.unsent.Load() > limit {
		select {
		case <-l.drained:
		case <-l.gone:
			return &Error{Op: "write", Kind: CallerDisconnected}
		}
	}
	return nil
}

// sweep carries out the link's timeouts.
func (l *link) sweep(now time.Time) {
	s := l.server
	l.mu.Lock()
	linger, partial, idle, running := l.linger, l.partial, l.idle, l.running
	l.mu.Unlock()
	stalled := l.unsent.Load() > 0 && now.UnixNano()-l.moved.Load() > int64(s.WriteTimeout)
	limit := s.IdleTimeout
	if s.draining.Load() {
		limit = drainIdle
	}
	switch {
	case !linger.IsZero():
		if now.After(linger) {
			l.shutdown()
		}
	case stalled:
		l.shutdown()
	case running:
	case !partial.IsZero():
		if now.Sub(partial) > s.ReadTimeout {
			l.guard.timeout()
			l.reject(arbutusfork.NewRefusal(arbutusfork.CodeRequestTimeout, "the request did not arrive in time"))
		}
	case now.Sub(idle) > limit:
		l.shutdown()
	}
}

// sweep carries out the timeouts of all connections and ends keyed requests on a stale configuration.
func (s *Server) sweep(now time.Time) {
	s.mu.Lock()
	links := slices.Collect(maps.Keys(s.links))
	s.mu.Unlock()
	for _, l := range links {
		l.sweep(now)
	}
	s.checkStale(now)
}

// linkConn is the connection as the parser writes to it.
type linkConn struct {
	net.Conn
	link *link
}

// Write counts the bytes that wait for the caller.
func (c *linkConn) Write(b []byte) (int, error) {
	l := c.link
	// The time is set first, so that the sweep never sees new bytes with the time of old ones.
	if l.unsent.Load() <= 0 {
		l.moved.Store(l.server.Timer.Now().UnixNano())
	}
	l.unsent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// SetReadDeadline does nothing, since the link keeps its own timeouts.
func (c *linkConn) SetReadDeadline(time.Time) error { return nil }
