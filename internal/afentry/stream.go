package afentry

import (
	"net/http"

	"arbutusfork.example/arbutusfork"
)

// eventStream relays server-sent events to the caller.
type eventStream struct {
	request *admittedRequest
	// isStarted is set when the response header was written.
	isStarted bool
}

// start writes the header of the response.
func (e *eventStream) start(status int, h http.Header) error {
	x := e.request.exchange
	if !x.r.ProtoAtLeast(1, 1) {
		// For HTTP/1.0, nbhttp would send the length of the first event as Content-Length.
		return &Error{Op: "start stream", Kind: OperationUnavailable}
	}
	e.isStarted = true
	out := x.w.Header()
	if x.inference == nil {
		for k, v := range forwardedHeaders(h) {
			out[k] = v
		}
	}
	out.Set("Content-Type", h.Get("Content-Type"))
	out.Set("Cache-Control", "no-cache")
	out.Set(requestIDHeader, x.id)
	x.w.WriteHeader(status)
	s := e.request.server
	s.metrics.firstByteSeconds.WithLabelValues(x.route.Name).Observe(s.Timer.Now().Sub(x.arrivedAt).Seconds())
	s.metrics.openStreams.Inc()
	return nil
}

// writeEvent writes one event, except for an event with token usage only that the caller did not ask for.
func (e *eventStream) writeEvent(raw, data []byte) error {
	x := e.request.exchange
	if x.inference != nil && e.request.meter.countEvent(data) && !x.inference.wantsUsage {
		return nil
	}
	_, err := x.w.Write(raw)
	return err
}

// flush sends the buffered events, and blocks while more than maxUnsentBytes are unsent.
func (e *eventStream) flush() error {
	x := e.request.exchange
	x.w.Flush()
	return x.conn.waitForUnsent(maxUnsentBytes)
}

// close ends the stream. With a refusal, the stream ends with an error event and without the last chunk of the body, so
// that the caller cannot mistake the stream for a complete one.
func (e *eventStream) close(refusal *arbutusfork.Refusal) {
	if !e.isStarted {
		return
	}
	e.request.server.metrics.openStreams.Dec()
	if refusal == nil {
		return
	}
	x := e.request.exchange
	e.request.server.metrics.refusals.WithLabelValues(refusal.Code.String()).Inc()
	_, _ = x.w.Write([]byte("data: " + string(encodeRefusal(refusal, x.id, "")) + "\n\n"))
	x.conn.closeAfterResponse()
	x.w.Flush()
	// nbhttp writes no end of the body for a hijacked response. The serverConn closes the connection.
	_, _, _ = x.w.Hijack()
}
