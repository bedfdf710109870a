package afentry

import "github.com/lesismal/nbio/nbhttp"

// maxPiece bounds the bytes of an answer in chunks that wait in the engine. It leaves room for the headers within
// the 64 KB at which the engine writes its buffer out, frees it, and goes on using it, which spoils other answers.
const maxPiece = 16 << 10

// response is the answer to one request. It keeps an answer in chunks from filling the engine's buffer.
type response struct {
	*nbhttp.Response
	// waiting counts the bytes written since the last flush. It is at most maxPiece.
	waiting int
}

// Write takes part of the body. Answers with a length go to the engine as they are.
func (r *response) Write(b []byte) (int, error) {
	if r.Header().Get("Content-Length") != "" {
		return r.Response.Write(b)
	}
	n := 0
	for len(b) > 0 {
		if r.waiting >= maxPiece {
			r.Flush()
		}
		piece := b[:min(len(b), maxPiece-r.waiting)]
		if _, err := r.Response.Write(piece); err != nil {
			return n, err
		}
		r.waiting += len(piece)
		n += len(piece)
		b = b[len(piece):]
	}
	return n, nil
}

// Flush sends what was written.
func (r *response) Flush() {
	r.Response.Flush()
	r.waiting = 0
}
