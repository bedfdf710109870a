package afdispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afretry"
)

// maxResponseBytes bounds a response that is not a stream, since it is held in memory until it is complete.
const maxResponseBytes = 8 << 20

var (
	errDeadlineExceeded = errors.New("no response within the deadline")
	errNoProgress       = errors.New("no progress on the connection")
	errTruncated        = errors.New("response ended early")
	errSizeLimit        = errors.New("response exceeds the size limit")
	errNotResumed       = errors.New("engine did not resume the stream")
)

// attemptResult is the result of sending a call once.
type attemptResult struct {
	afretry.Attempt
	// err is why the attempt failed. It is nil after a complete response.
	err error
	// isSinkError means that err came from the sink, so that the caller and not the endpoint is at fault.
	isSinkError bool
	// isDraining means that the endpoint refused because it takes no new requests.
	isDraining bool
	// isWithheld means that the caller must not get the response, since its status would promise that the call did not run.
	isWithheld bool
	// isModelMissing means that the endpoint refused because it does not have the model.
	isModelMissing bool
	// isResponseStarted means that a part of the response has reached the sink.
	isResponseStarted bool
	// isResumable means that the endpoint offered to resume the stream that broke.
	isResumable bool
	// eventCount is the number of events that were relayed.
	eventCount int
}

func (a attemptResult) isRetryable() bool {
	return !a.isSinkError && !errors.Is(a.err, errDeadlineExceeded)
}

func (a attemptResult) isEndpointFault() bool {
	return !a.isSinkError && !errors.Is(a.err, errDeadlineExceeded) && !errors.Is(a.err, context.Canceled) &&
		a.StatusCode != http.StatusTooManyRequests && !a.MayBeRepeated && !a.isWithheld
}

// toRefusal returns the refusal for the caller if the call is not sent again.
func (a attemptResult) toRefusal() *arbutusfork.Refusal {
	switch {
	case a.isWithheld, a.StatusCode == http.StatusTooManyRequests && !a.NotRun:
		return arbutusfork.NewRefusal(arbutusfork.CodeEndpointFailed, "the endpoint answered "+strconv.Itoa(a.StatusCode)+", and may have run the request")
	case errors.Is(a.err, errDeadlineExceeded):
		return arbutusfork.NewRefusal(arbutusfork.CodeDeadlineExceeded, "the endpoint did not answer within the deadline")
	case a.isDraining, a.NotRun && (a.StatusCode == http.StatusTooManyRequests || a.StatusCode == http.StatusServiceUnavailable):
		return arbutusfork.NewRefusal(arbutusfork.CodeNoCapacity, "no endpoint accepted the request").WithRetryAfter(time.Second)
	case a.isResponseStarted:
		return arbutusfork.NewRefusal(arbutusfork.CodeEndpointFailed, "the endpoint broke the answer off")
	case a.StatusCode != 0:
		return arbutusfork.NewRefusal(arbutusfork.CodeEndpointFailed, "the endpoint's answer was cut")
	default:
		return arbutusfork.NewRefusal(arbutusfork.CodeEndpointFailed, "the endpoint failed")
	}
}

// connTracker records which connection the transport uses for one attempt.
type connTracker struct {
	mu           sync.Mutex
	conn         *sealableConn
	writeMark    int
	isReusedConn bool
	// wasOldVersion means that the connection had answered an earlier call with HTTP/1.0.
	wasOldVersion bool
	connCount     int
}

// recordConn is the GotConn hook of httptrace.ClientTrace.
func (t *connTracker) recordConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connCount++
	t.isReusedConn = info.Reused
	if c, ok := info.Conn.(*sealableConn); ok {
		t.conn, t.writeMark, t.wasOldVersion = c, c.countWrites(), c.IsOldVersion()
	}
}

// closeConn closes the connection of the attempt and reports whether bytes of the request may have been written to it.
func (t *connTracker) closeConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.connCount == 0:
		return false
	case t.connCount > 1 || t.conn == nil:
		return true
	}
	return t.conn.seal(t.writeMark)
}

// isOldVersion reports whether the connection answered with HTTP/1.0, so that the endpoint closes it after the response.
func (t *connTracker) isOldVersion() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.IsOldVersion()
}

// isRepeatedAnswer reports whether an answer on the connection can only be a second copy of an earlier one, after which the endpoint closes.
func (t *connTracker) isRepeatedAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isReusedConn && t.wasOldVersion
}

func (t *connTracker) isReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isReusedConn
}

// sendAttempt sends the call once to the endpoint of the lease and relays the response.
func (s *Service) sendAttempt(parent context.Context, l *Lease, c Call, sink Sink) (a attemptResult) {
	if l.request.IsDetached {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	tracker := &connTracker{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.recordConn})
	req, err := c.buildRequest(ctx, l.Replica.Address)
	if err != nil {
		a.err = err
		return a
	}
	watchdog := s.startWatchdog(l, c, tracker, cancel)
	defer watchdog.stop()
	transport := s.transports.singleUseTransport()
	if c.IsIdempotent {
		transport = s.transports.transportFor(l.Replica.Address)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.RequestWritten = tracker.closeConn()
		a.err = contextCause(ctx, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	if tracker.isRepeatedAnswer() {
		a.RequestWritten, a.MayBeRepeated = tracker.closeConn(), true
		a.err = errors.New("answer on a connection that the endpoint closes")
		return a
	}
	if tracker.isOldVersion() {
		defer tracker.closeConn() // The transport would use the connection again.
	}
	a.RequestWritten = true
	a.StatusCode = resp.StatusCode
	a.NotRun = resp.Header.Get(afretry.NotRunHeader) == "true"
	outcome := afretry.ClassifyAttempt(a.Attempt)
	isRefusal := outcome == arbutusfork.OutcomeNotRun || resp.StatusCode == http.StatusTooManyRequests
	if isRefusal && tracker.isReused() && resp.Header.Get(RequestIDHeader) != c.ID {
		a.MayBeRepeated = true
		a.err = errors.Errorf("refused with status %d on a connection that was used before", resp.StatusCode)
		// The response to this call may follow. A refusal on a new connection is certain.
		tracker.closeConn()
		s.transports.transportFor(l.Replica.Address).CloseIdleConnections()
		return a
	}
	a.isDraining = isDrainingResponse(resp.StatusCode, resp.Header)
	a.isModelMissing = a.NotRun && !a.isDraining && resp.StatusCode == http.StatusServiceUnavailable && l.request.Model != ""
	a.isWithheld = outcome != arbutusfork.OutcomeNotRun && !arbutusfork.MayRelayStatus(resp.StatusCode, c.IsIdempotent)
	switch {
	case a.isWithheld:
		a.err = errors.Errorf("status %d does not say that the call did not run", resp.StatusCode)
		return a
	case isRefusal:
		a.err = errors.Errorf("refused with status %d", resp.StatusCode)
		return a
	}
	body := &progressReader{r: resp.Body, watchdog: watchdog}
	if isEventStream(resp) {
		s.relayStream(&a, resp, body, c, sink, watchdog)
	} else {
		s.relayResponse(&a, resp, body, c, sink, watchdog)
	}
	if a.err != nil && !a.isSinkError {
		a.err = contextCause(ctx, a.err)
	}
	return a
}

// relayResponse reads a response that is not a stream to its end and writes it to the sink.
func (s *Service) relayResponse(a *attemptResult, resp *http.Response, body io.Reader, c Call, sink Sink, watchdog *watchdog) {
	watchdog.recordResponseByte()
	if c.resumeOffset > 0 {
		a.ResponseTruncated, a.err = true, errNotResumed
		return
	}
	held := s.AnswerMemory.Hold()
	defer held.Release()
	b, isWhole, err := held.ReadBody(body, resp.ContentLength, maxResponseBytes)
	if err != nil || !isWhole {
		a.ResponseTruncated = true
		a.err = err
		if err == nil {
			a.err = errSizeLimit
		}
		return
	}
	watchdog.stop()
	a.isResponseStarted = true
	if err := sink.WriteResponse(resp.StatusCode, resp.Header, b); err != nil {
		a.err, a.isSinkError = err, true
	}
}

// relayStream writes the events of a stream to the sink as they arrive.
func (s *Service) relayStream(a *attemptResult, resp *http.Response, body io.Reader, c Call, sink Sink, watchdog *watchdog) {
	isResumed := c.IsResumable && resp.StatusCode == http.StatusOK && resp.Header.Get(ResumeOffsetHeader) == strconv.Itoa(c.resumeOffset)
	if c.resumeOffset > 0 && !isResumed {
		a.ResponseTruncated, a.err = true, errNotResumed
		return
	}
	held := s.AnswerMemory.Hold()
	defer held.Release()
	events := newEventReader(body, held)
	sawDone := false
	for {
		raw, data, err := events.readEvent()
		if err != nil {
			// The stream of an engine must end with [DONE]. Other streams end with the body.
			if c.IsResumable && sawDone {
				return
			}
			if !errors.Is(err, io.EOF) || c.IsResumable {
				a.ResponseTruncated, a.err, a.isResumable = true, errors.Wrap(errTruncated, err.Error()), isResumed
			}
			return
		}
		watchdog.recordResponseByte()
		if !a.isResponseStarted && c.resumeOffset == 0 {
			if err := sink.StartStream(resp.StatusCode, resp.Header); err != nil {
				a.err, a.isSinkError = err, true
				return
			}
		}
		a.isResponseStarted = true
		a.eventCount++
		sawDone = sawDone || string(data) == doneData
		if err := s.relayEvent(events, sink, raw, data, watchdog); err != nil {
			a.err, a.isSinkError = err, true
			return
		}
	}
}

// relayEvent writes one event to the sink. The progress timeout does not run during the write, since a slow caller is not
// the endpoint's fault.
func (s *Service) relayEvent(events *eventReader, sink Sink, raw, data []byte, watchdog *watchdog) error {
	watchdog.setSinkWriting(true)
	defer watchdog.setSinkWriting(false)
	if err := sink.WriteEvent(raw, data); err != nil {
		return err
	}
	if events.hasBuffered() {
		return nil
	}
	return sink.Flush()
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// contextCause returns the cause of ctx if ctx has ended, and err otherwise.
func contextCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// nonRewindableBody is a request body that the transport cannot rewind to send the request again.
type nonRewindableBody struct {
	data     []byte
	position atomic.Int64
}

func (b *nonRewindableBody) Read(p []byte) (int, error) {
	position := int(b.position.Load())
	if position >= len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[position:])
	b.position.Add(int64(n))
	return n, nil
}

func (b *nonRewindableBody) Close() error { return nil }
