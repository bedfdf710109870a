package afoperator

import (
	"bytes"
	"net/http"
	"strconv"
)

// wholeWriter collects an answer.
type wholeWriter struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (w *wholeWriter) WriteHeader(status int)      { w.status = status }
func (w *wholeWriter) Write(b []byte) (int, error) { return w.body.Write(b) }

// whole sends the handler's answer in one piece with its length. The engine spoils its buffers when an answer
// without a length outgrows 64 KB.
func whole(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		collected := &wholeWriter{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(collected, r)
		w.Header().Set("Content-Length", strconv.Itoa(collected.body.Len()))
		w.WriteHeader(collected.status)
		_, _ = w.Write(collected.body.Bytes())
	})
}
