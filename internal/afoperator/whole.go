package afoperator

import (
	"bytes"
	"net/http"
	"strconv"
)

// bufferingWriter is a ResponseWriter that keeps the status and body in memory.
type bufferingWriter struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (w *bufferingWriter) WriteHeader(status int)      { w.status = status }
func (w *bufferingWriter) Write(b []byte) (int, error) { return w.body.Write(b) }

// bufferResponse returns a handler that buffers the response of h and sends it with its Content-Length. Without a
// Content-Length, nbhttp corrupts its buffers when a response exceeds 64 KB.
func bufferResponse(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		buffered := &bufferingWriter{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(buffered, r)
		w.Header().Set("Content-Length", strconv.Itoa(buffered.body.Len()))
		w.WriteHeader(buffered.status)
		_, _ = w.Write(buffered.body.Bytes())
	})
}
