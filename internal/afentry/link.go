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
	"arbutusfork.example/arbutusfork/internal/afmemory"
)

const (
	// defaultMaxHeaderBytes limits the request line and headers of one request.
	defaultMaxHeaderBytes = 32 << 10
	// maxPipelinedRequests limits the requests that wait on one connection for the running request to end.
	maxPipelinedRequests = 16
	// maxUnsentBytes limits the bytes that the operating system has not accepted yet for a slow caller. Above the limit,
	// relaying of the response pauses.
	maxUnsentBytes = 64 << 10
	// readBufferBytes is the size of a poller's read buffer, which all its connections share.
	readBufferBytes = 64 << 10
)

// serverConn is one caller's connection. It replaces nbhttp's parser as the session of the nbio connection: it passes
// received data on to the parser, checks the message framing that the parser leaves unchecked, responds to requests that
// the parser rejects, and runs one request at a time. It cancels the running request as soon as the caller disconnects;
// nbhttp itself reports a disconnect only after the running request has ended.
type serverConn struct {
	*nbhttp.Parser
	server    *Server
	nbConn    *nbio.Conn
	validator *requestValidator
	receiver  bodyReceiver
	// held is the memory of the connection.
	held *afmemory.Holder
	// heldUnsent is the memory of unsentBytes. It is guarded by unsentMu.
	heldUnsent *afmemory.Holder
	unsentMu   sync.Mutex
	// hasClosed is isClosed for holders of no lock.
	hasClosed atomic.Bool
	// hasHeldUnsent means that heldUnsent is not empty.
	hasHeldUnsent atomic.Bool
	// openedWhileDraining is set if the connection was opened while the server was draining.
	openedWhileDraining bool
	// disconnected is closed when the connection is closed.
	disconnected chan struct{}

	mu sync.Mutex
	// isRunning is set while a goroutine runs requests of this connection.
	isRunning bool
	isClosed  bool
	// closesAfterResponse is set if the connection is closed after the running request.
	closesAfterResponse bool
	// isShutDown is set if no further request may run.
	isShutDown bool
	// pendingRequests are the requests that wait for the running request to end.
	pendingRequests []func()
	// cancel cancels the running request when the caller disconnects. It is nil if no request runs.
	cancel func(error)
	// requestStartedAt is when the first byte of an incomplete request arrived, or when its headers were complete. It is zero
	// between requests.
	requestStartedAt time.Time
	// isReceivingBody means that the headers of an incomplete request are complete.
	isReceivingBody bool
	// idleTimeout is the idle limit that was in force when the connection became idle.
	idleTimeout time.Duration
	// idleStartedAt is when the last request ended or, before the first request, when the connection was opened.
	idleStartedAt time.Time
	// closeAt is when the connection is closed after a refusal. It is zero if no refusal was sent.
	closeAt time.Time

	// unsentBytes counts the bytes of responses that the operating system has not accepted yet.
	unsentBytes atomic.Int64
	// lastSentUnixNanos is when the operating system last accepted bytes, or when the oldest unsent bytes were written if that
	// was later. It is in nanoseconds since the Unix epoch, by the clock of the timer service.
	lastSentUnixNanos atomic.Int64
	// sendProgress receives a value when unsentBytes is at most half of maxUnsentBytes.
	sendProgress chan struct{}
}

// createdConns counts all serverConns. A poller receives a connection from the kernel, which establishes no order in the
// Go memory model. Pollers therefore load the counter before they use a serverConn, so that its creation happens before
// its use.
var createdConns atomic.Uint64

// newServerConn creates the serverConn of a new connection, which is not yet registered with the poller.
func (s *Server) newServerConn(e *nbhttp.Engine, conn net.Conn) (*serverConn, error) {
	c, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	sc := &serverConn{
		server: s, nbConn: c, openedWhileDraining: s.isDraining.Load(), idleStartedAt: s.Timer.Now(),
		disconnected: make(chan struct{}), sendProgress: make(chan struct{}, 1),
	}
	sc.idleTimeout = s.limitsInForce().IdleTimeout
	sc.held = s.Memory.HoldKind(afmemory.Connection)
	sc.held.Force(connectionBytes)
	sc.heldUnsent = s.Memory.HoldKind(afmemory.Unsent)
	sc.receiver.init(sc)
	sc.validator = &requestValidator{Processor: nbhttp.NewServerProcessor(), conn: sc}
	sc.Parser = nbhttp.NewParser(&countingConn{Conn: c, owner: sc}, e, sc.validator, false, sc.enqueueRequest)
	s.mu.Lock()
	s.conns[sc] = struct{}{}
	s.mu.Unlock()
	s.metrics.openConns.Inc()
	createdConns.Add(1)
	c.SetSession(sc)
	c.OnData(e.DataHandler)
	return sc, nil
}

// Parse processes received data. The poller calls it.
func (sc *serverConn) Parse(data []byte) error {
	createdConns.Load()
	for len(data) > 0 {
		if sc.validator.refusal != nil {
			return nil // The connection was refused and waits for closeAt. Further data is ignored.
		}
		n, err := sc.receiver.receive(data)
		data = data[n:]
		refusal := sc.validator.afterParse(err)
		sc.recordReceipt()
		if refusal != nil {
			sc.receiver.release()
			sc.rejectRequest(refusal)
		}
	}
	return nil
}

// recordReceipt records how far the current request has been received.
func (sc *serverConn) recordReceipt() {
	now := sc.server.Timer.Now()
	isReceivingBody := !sc.validator.isReadingHeaders
	sc.mu.Lock()
	defer sc.mu.Unlock()
	switch {
	case sc.validator.isBetweenRequests:
		sc.requestStartedAt, isReceivingBody = time.Time{}, false
	case sc.requestStartedAt.IsZero(), isReceivingBody != sc.isReceivingBody:
		sc.requestStartedAt = now
	}
	sc.isReceivingBody = isReceivingBody
}

// rejectRequest responds to a request that cannot be parsed, and closes the connection after lingerTimeout.
func (sc *serverConn) rejectRequest(r *arbutusfork.Refusal) {
	sc.server.metrics.refusals.WithLabelValues(r.Code.String()).Inc()
	sc.enqueueRequest(func() {
		_, _ = sc.Conn.Write(encodeRawRefusal(r, sc.server.NewRequestID()))
		sc.mu.Lock()
		defer sc.mu.Unlock()
		sc.pendingRequests = nil
		sc.closeAt = sc.server.Timer.Now().Add(lingerTimeout)
	})
}

// shutdown closes the connection and discards its pending requests. The operating system still sends the bytes that it
// has accepted.
func (sc *serverConn) shutdown() {
	sc.mu.Lock()
	sc.isShutDown = true
	sc.pendingRequests = nil
	sc.mu.Unlock()
	_ = sc.nbConn.Close()
}

// CloseAndClean releases the connection's state and cancels the running request. nbhttp calls it after the connection was
// closed.
func (sc *serverConn) CloseAndClean(err error) {
	createdConns.Load()
	sc.mu.Lock()
	if sc.isClosed {
		sc.mu.Unlock()
		return
	}
	sc.isClosed = true
	sc.hasClosed.Store(true)
	sc.pendingRequests = nil
	cancel := sc.cancel
	sc.mu.Unlock()
	sc.Parser.CloseAndClean(err)
	sc.receiver.close()
	sc.held.Release()
	sc.holdUnsent()
	close(sc.disconnected)
	if cancel != nil {
		cancel(&Error{Op: "serve request", Kind: CallerDisconnected, Err: err})
	}
	s := sc.server
	s.mu.Lock()
	delete(s.conns, sc)
	s.mu.Unlock()
	s.metrics.openConns.Dec()
}

// setCancel sets the function that is called when the caller disconnects. It returns false if the connection is already
// closed.
func (sc *serverConn) setCancel(cancel func(error)) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.cancel = cancel
	return !sc.isClosed
}

// closeAfterResponse closes the connection after the response to the running request.
func (sc *serverConn) closeAfterResponse() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.closesAfterResponse = true
}

// enqueueRequest runs f after the earlier requests of the connection. It returns false if the connection is closed or has
// too many pending requests.
func (sc *serverConn) enqueueRequest(f func()) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	switch {
	case sc.isClosed, sc.isShutDown:
		return false
	case !sc.isRunning:
		sc.isRunning = true
		go sc.runRequests(f)
	case len(sc.pendingRequests) >= maxPipelinedRequests:
		go sc.shutdown()
		return false
	default:
		sc.pendingRequests = append(sc.pendingRequests, f)
	}
	return true
}

// runRequests runs f and then the pending requests until none is left.
func (sc *serverConn) runRequests(f func()) {
	for f != nil {
		sc.runRecovered(f)
		f = sc.nextRequest()
	}
}

// runRecovered runs f and recovers from a panic, so that one request cannot end the process. After a panic, the connection
// is closed without the end of the response.
func (sc *serverConn) runRecovered(f func()) {
	defer func() {
		if v := recover(); v != nil {
			sc.server.Log.Error("request panicked", "cause", v, "stack", string(debug.Stack()))
			sc.closeAfterResponse()
		}
	}()
	f()
}

// nextRequest returns the next pending request. It returns nil if there is none or if the connection is to be closed.
func (sc *serverConn) nextRequest() func() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.cancel = nil
	if sc.closesAfterResponse {
		// nbio discards unsent bytes when a connection is closed, so they are sent first.
		sc.mu.Unlock()
		_ = sc.waitForUnsent(0)
		sc.shutdown()
		sc.mu.Lock()
		sc.isRunning = false
		return nil
	}
	if len(sc.pendingRequests) == 0 {
		sc.isRunning = false
		sc.idleStartedAt, sc.idleTimeout = sc.server.Timer.Now(), sc.server.limitsInForce().IdleTimeout
		return nil
	}
	f := sc.pendingRequests[0]
	sc.pendingRequests = sc.pendingRequests[1:]
	return f
}

// recordSentBytes records n bytes that the operating system has accepted. nbio calls it with its connection's lock held.
func (sc *serverConn) recordSentBytes(n int) {
	createdConns.Load()
	sc.lastSentUnixNanos.Store(sc.server.Timer.Now().UnixNano())
	unsent := sc.unsentBytes.Add(int64(-n))
	if sc.hasHeldUnsent.Load() {
		sc.holdUnsent()
	}
	if unsent <= maxUnsentBytes/2 {
		select {
		case sc.sendProgress <- struct{}{}:
		default:
		}
	}
}

// holdUnsent holds the memory of the unsent bytes, or none after the connection was closed.
func (sc *serverConn) holdUnsent() {
	sc.unsentMu.Lock()
	defer sc.unsentMu.Unlock()
	n := max(int(sc.unsentBytes.Load()), 0)
	if sc.hasClosed.Load() {
		n = 0
	}
	sc.heldUnsent.Force(n)
	sc.hasHeldUnsent.Store(n > 0)
}

// waitForUnsent blocks until at most maxUnsent bytes are unsent. It returns an error if the caller disconnects. A caller
// that does not read is disconnected by applyTimeouts.
func (sc *serverConn) waitForUnsent(maxUnsent int64) error {
	for sc.unsentBytes.Load() > maxUnsent {
		select {
		case <-sc.sendProgress:
		case <-sc.disconnected:
			return &Error{Op: "send response", Kind: CallerDisconnected}
		}
	}
	return nil
}

// applyTimeouts closes the connection or rejects its incomplete request if a timeout has expired.
func (sc *serverConn) applyTimeouts(now time.Time) {
	s := sc.server
	sc.mu.Lock()
	closeAt, requestStartedAt, idleStartedAt, isRunning := sc.closeAt, sc.requestStartedAt, sc.idleStartedAt, sc.isRunning
	isReceivingBody, idleTimeout := sc.isReceivingBody, sc.idleTimeout
	sc.mu.Unlock()
	limits := s.limitsInForce()
	receiveTimeout := limits.HeaderTimeout
	if isReceivingBody {
		receiveTimeout = max(s.ReadTimeout, limits.HeaderTimeout)
	}
	isStalled := sc.unsentBytes.Load() > 0 && now.UnixNano()-sc.lastSentUnixNanos.Load() > int64(s.WriteTimeout)
	idleTimeout = max(idleTimeout, limits.IdleTimeout) + idleMargin
	if s.isDraining.Load() {
		idleTimeout = drainIdleTimeout
	}
	switch {
	case !closeAt.IsZero():
		if now.After(closeAt) {
			sc.shutdown()
		}
	case isStalled:
		sc.shutdown()
	case isRunning:
	case !requestStartedAt.IsZero():
		if now.Sub(requestStartedAt) > receiveTimeout {
			sc.validator.markTimedOut()
			sc.rejectRequest(arbutusfork.NewRefusal(arbutusfork.CodeRequestTimeout, "the request did not arrive in time"))
		}
	case now.Sub(idleStartedAt) > idleTimeout:
		sc.shutdown()
	}
}

// sweepConns applies the timeouts of all connections, and cancels requests with a key if the configuration is stale.
func (s *Server) sweepConns(now time.Time) {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, sc := range conns {
		sc.applyTimeouts(now)
	}
	s.cancelOnStaleConfig(now)
}

// refuseIncompleteRequests refuses the requests of which only a part was received, since the process ends before the rest.
func (s *Server) refuseIncompleteRequests() {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, sc := range conns {
		sc.mu.Lock()
		isIncomplete := !sc.isRunning && !sc.requestStartedAt.IsZero() && sc.closeAt.IsZero()
		sc.mu.Unlock()
		if isIncomplete {
			sc.validator.markTimedOut()
			sc.rejectRequest(arbutusfork.NewRefusal(arbutusfork.CodeShuttingDown, "the server is stopping").WithRetryAfter(time.Second))
		}
	}
}

// countingConn is the connection that nbhttp writes responses to. It counts the unsent bytes of its serverConn.
type countingConn struct {
	net.Conn
	owner *serverConn
}

// Write counts the bytes as unsent and writes them to the connection.
func (c *countingConn) Write(b []byte) (int, error) {
	sc := c.owner
	// The time is set first, so that applyTimeouts never sees new bytes with the time of earlier ones.
	if sc.unsentBytes.Load() <= 0 {
		sc.lastSentUnixNanos.Store(sc.server.Timer.Now().UnixNano())
	}
	sc.unsentBytes.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	if sc.unsentBytes.Load() > 0 {
		sc.holdUnsent()
	}
	return n, err
}

// SetReadDeadline does nothing, because applyTimeouts applies the read timeout.
func (c *countingConn) SetReadDeadline(time.Time) error { return nil }
