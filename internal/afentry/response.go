package afentry

import "github.com/lesismal/nbio/nbhttp"

// maxBufferedBytes limits the bytes of a chunked response in nbhttp's buffer. With the headers, the buffer must stay below
// 64 KB: at that size, nbhttp writes the buffer out, frees it, and continues to use it, which corrupts other responses.
const maxBufferedBytes = 16 << 10

// response is the response to one request. It flushes chunked responses before nbhttp's buffer is full.
type response struct {
	*nbhttp.Response
	// bufferedBytes counts the bytes written since the last flush. It is at most maxBufferedBytes.
	bufferedBytes int
}

// Write writes part of the body. Responses with a Content-Length are passed to nbhttp unchanged.
func (r *response) Write(b []byte) (int, error) {
	if r.Header().Get("Content-Length") != "" {
		return r.Response.Write(b)
	}
	n := 0
	for len(b) > 0 {
		if r.bufferedBytes >= maxBufferedBytes {
			r.Flush()
		}
		part := b[:min(len(b), maxBufferedBytes-r.bufferedBytes)]
		if _, err := r.Response.Write(part); err != nil {
			return n, err
		}
		r.bufferedBytes += len(part)
		n += len(part)
		b = b[len(part):]
	}
	return n, nil
}

// Flush sends the buffered bytes.
func (r *response) Flush() {
	r.Response.Flush()
	r.bufferedBytes = 0
}
