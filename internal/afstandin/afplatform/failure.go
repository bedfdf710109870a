package afplatform

import (
	"net/http"
	"strconv"
	"strings"
)

// Failure is how a failing endpoint answers requests that it has run.
type Failure struct {
	Status int
	// RetryAfter is the value of Retry-After. Empty means none.
	RetryAfter string
	// BodyBytes is the length of the body.
	BodyBytes int
	// IsStream means that the answer is typed as a stream of events, and IsChunked that it has chunks instead of a length.
	IsStream, IsChunked bool
}

// SetFailure makes the endpoint run every second request and answer it with a failure. Nil ends it.
func (e *Endpoint) SetFailure(f *Failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failure = f
}

// nextFailure returns how the endpoint fails the request that it is about to run, or nil.
func (e *Endpoint) nextFailure() *Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failure == nil {
		return nil
	}
	if e.failureTurn = !e.failureTurn; e.failureTurn {
		return e.failure
	}
	return nil
}

// write answers a request that has run.
func (f *Failure) write(w http.ResponseWriter) {
	if f.RetryAfter != "" {
		w.Header().Set("Retry-After", f.RetryAfter)
	}
	if f.IsStream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	if !f.IsChunked {
		w.Header().Set("Content-Length", strconv.Itoa(f.BodyBytes))
	}
	w.WriteHeader(f.Status)
	if flusher, ok := w.(http.Flusher); ok && f.IsChunked {
		flusher.Flush() // net/http would send the length of a short body.
	}
	_, _ = w.Write([]byte(strings.Repeat("x", f.BodyBytes))) // The caller may have left.
}
