package afentry

import (
	"net/http"

	"arbutusfork.example/arbutusfork"
)

// stream relays server-sent events to the caller.
type stream struct {
	job   *job
	begun bool
}

// start writes the header of the answer.
func (t *stream) start(status int, h http.Header) error {
	x := t.job.exchange
	if !x.r.ProtoAtLeast(1, 1) {
		// The engine would give the answer the length of its first part.
		return &Error{Op: "stream", Kind: OperationUnavailable}
	}
	t.begun = true
	out := x.w.Header()
	if x.infer == nil {
		for k, v := range forwarded(h) {
			out[k] = v
		}
	}
	out.Set("Content-Type", h.Get("Content-Type"))
	out.Set("Cache-Control", "no-cache")
	out.Set(requestHeader, x.id)
	x.w.WriteHeader(status)
	s := t.job.server
	s.metrics.first.WithLabelValues(x.route.Name).Observe(s.Timer.Now().Sub(x.arrived).Seconds())
	s.metrics.streams.Inc()
	return nil
}

// event passes one event on, unless it holds only the usage that the caller did not ask for.
func (t *stream) event(raw, data []byte) error {
	x := t.job.exchange
	if x.infer != nil && t.job.meter.event(data) && !x.infer.usage {
		return nil
	}
	_, err := x.w.Write(raw)
	return err
}

// flush sends what was written and waits while too much of it is unsent.
func (t *stream) flush() error {
	x := t.job.exchange
	x.w.Flush()
	return x.link.flush(maxUnsent)
}

// close ends the stream. One that broke ends with an error event and without the last chunk, so that no caller
// takes it for complete.
func (t *stream) close(refusal *arbutusfork.Refusal) {
	if !t.begun {
		return
	}
	t.job.server.metrics.streams.Dec()
	if refusal == nil {
		return
	}
	x := t.job.exchange
	t.job.server.metrics.refused.WithLabelValues(refusal.Code.String()).Inc()
	_, _ = x.w.Write([]byte("data: " + string(encodeRefusal(refusal, x.id, "")) + "\n\n"))
	x.link.closeAfter()
	x.w.Flush()
	// A hijacked response is not ended by the engine. The link closes the connection.
	_, _, _ = x.w.Hijack()
}
