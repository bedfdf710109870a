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

// maxWhole bounds an answer that is not a stream, since it is held in memory until it is complete.
const maxWhole = 16 << 20

var (
	errDeadline = errors.New("no answer within the deadline")
	errSilent   = errors.New("the connection is silent")
	errBroken   = errors.New("the answer ended early")
	errTooLarge = errors.New("the answer is too large")
	errResume   = errors.New("the engine does not resume the stream")
)

// attempt is the result of sending a call once.
type attempt struct {
	afretry.Attempt
	err error
	// sunk tells that err came from the sink, so that the caller and not the endpoint is at fault.
	sunk bool
	// leaving and missing tell why the endpoint refused: it takes no new work, or it does not have the model.
	leaving   bool
	missing   bool
	relayed   bool
	resumable bool
	events    int
}

func (a attempt) isRetryable() bool { return !a.sunk && !errors.Is(a.err, errDeadline) }

func (a attempt) isEndpointFault() bool {
	return !a.sunk && !errors.Is(a.err, errDeadline) && !errors.Is(a.err, context.Canceled) &&
		a.StatusCode != http.StatusTooManyRequests
}

// refusal returns what the caller is told if the call is not sent again.
func (a attempt) refusal() *arbutusfork.Refusal {
	switch {
	case errors.Is(a.err, errDeadline):
		return arbutusfork.NewRefusal(arbutusfork.CodeDeadlineExceeded, "the endpoint did not answer within the deadline")
	case a.leaving, a.StatusCode == http.StatusTooManyRequests, a.StatusCode == http.StatusServiceUnavailable:
		return arbutusfork.NewRefusal(arbutusfork.CodeNoCapacity, "no endpoint accepted the request").WithRetryAfter(time.Second)
	case a.relayed:
		return arbutusfork.NewRefusal(arbutusfork.CodeEndpointFailed, "the endpoint broke the answer off")
	case a.StatusCode != 0:
		return arbutusfork.NewRefusal(arbutusfork.CodeEndpointFailed, "the endpoint's answer was cut")
	default:
		return arbutusfork.NewRefusal(arbutusfork.CodeEndpointFailed, "the endpoint failed")
	}
}

// tracker follows the connection of one attempt.
type tracker struct {
	mu     sync.Mutex
	conn   *countedConn
	mark   int
	reused bool
	conns  int
}

func (t *tracker) got(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns++
	t.reused = info.Reused
	if c, ok := info.Conn.(*countedConn); ok {
		t.conn, t.mark = c, c.mark()
	}
}

// handed closes the attempt's connection and reports whether bytes were handed to it.
func (t *tracker) handed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.conns == 0:
		return false
	case t.conns > 1 || t.conn == nil:
		return true
	}
	return t.conn.seal(t.mark)
}

func (t *tracker) isReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// attempt sends the call once over the lease and relays the answer.
func (s *Service) attempt(parent context.Context, l *Lease, c Call, k Sink) (a attempt) {
	if l.request.IsDetached {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	t := &tracker{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.got})
	req, err := c.request(ctx, l.Replica.Address)
	if err != nil {
		a.err = err
		return a
	}
	w := s.watch(l, c, t, cancel)
	defer w.stop()
	transport := s.pools.once()
	if c.IsIdempotent {
		transport = s.pools.get(l.Replica.Address)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.RequestWritten = t.handed()
		a.err = cause(ctx, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.RequestWritten = true
	a.StatusCode = resp.StatusCode
	a.NotRun = resp.Header.Get(afretry.NotRunHeader) == "true"
	a.leaving = isLeaving(resp.StatusCode, resp.Header)
	a.missing = a.NotRun && !a.leaving && resp.StatusCode == http.StatusServiceUnavailable && l.request.Model != ""
	if afretry.ClassifyAttempt(a.Attempt) == arbutusfork.OutcomeNotRun {
		a.err = errors.Errorf("refused with status %d", resp.StatusCode)
		return a
	}
	body := &watchedReader{r: resp.Body, w: w}
	if isEvents(resp) {
		s.stream(&a, resp, body, c, k, w)
	} else {
		s.whole(&a, resp, body, c, k, w)
	}
	if a.err != nil && !a.sunk {
		a.err = cause(ctx, a.err)
	}
	return a
}

// whole relays an answer after all of it has arrived.
func (s *Service) whole(a *attempt, resp *http.Response, body io.Reader, c Call, k Sink, w *watch) {
	w.started()
	if c.offset > 0 {
		a.ResponseTruncated, a.err = true, errResume
		return
	}
	b, err := io.ReadAll(io.LimitReader(body, maxWhole+1))
	if err != nil || len(b) > maxWhole {
		a.ResponseTruncated = true
		a.err = err
		if err == nil {
			a.err = errTooLarge
		}
		return
	}
	w.stop()
	a.relayed = true
	if err := k.WriteResponse(resp.StatusCode, resp.Header, b); err != nil {
		a.err, a.sunk = err, true
	}
}

// stream relays events as they arrive.
func (s *Service) stream(a *attempt, resp *http.Response, body io.Reader, c Call, k Sink, w *watch) {
	offered := c.IsResumable && resp.Header.Get(ResumeOffsetHeader) == strconv.Itoa(c.offset)
	if c.offset > 0 && !offered {
		a.ResponseTruncated, a.err = true, errResume
		return
	}
	e := newEventReader(body)
	ended := false
	for {
		raw, data, err := e.next()
		if err != nil {
			// A stream of an engine ends with [DONE]. Other streams end with a complete body.
			if !errors.Is(err, io.EOF) || (c.IsResumable && !ended) {
				a.ResponseTruncated, a.err, a.resumable = true, errors.Wrap(errBroken, err.Error()), offered
			}
			return
		}
		w.started()
		if !a.relayed && c.offset == 0 {
			if err := k.StartStream(resp.StatusCode, resp.Header); err != nil {
				a.err, a.sunk = err, true
				return
			}
		}
		a.relayed = true
		a.events++
		ended = ended || string(data) == doneMark
		if err := s.pass(e, k, raw, data, w); err != nil {
			a.err, a.sunk = err, true
			return
		}
	}
}

// pass hands one event to the sink. The progress deadline does not run while the caller is slow.
func (s *Service) pass(e *eventReader, k Sink, raw, data []byte, w *watch) error {
	w.hold(true)
	defer w.hold(false)
	if err := k.WriteEvent(raw, data); err != nil {
		return err
	}
	if e.buffered() {
		return nil
	}
	return k.Flush()
}

func isEvents(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// cause returns why the context ended, if it did, and err otherwise.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// onceBody is a request body that cannot be rewound.
type onceBody struct {
	data []byte
	pos  atomic.Int64
}

func (b *onceBody) Read(p []byte) (int, error) {
	pos := int(b.pos.Load())
	if pos >= len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[pos:])
	b.pos.Add(int64(n))
	return n, nil
}

func (b *onceBody) Close() error { return nil }
