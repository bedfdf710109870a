package afobject

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// maxShortAnswerBytes is what each call reads of an answer without waiting for the long answers of other calls. Most answers
// are shorter.
const maxShortAnswerBytes = 256 << 10

// answerReader reads the bodies of answers. Only one answer at a time may be longer than maxShortAnswerBytes, since each may
// take up to maxAnswerBytes and a process has several calls in progress. The zero value is ready to use.
type answerReader struct {
	once sync.Once
	// long holds a value while a long answer is read.
	long chan struct{}
}

// read reads a body. It fails if the body is longer than maxAnswerBytes, or if ctx ends while it waits for another long answer.
// What was read is returned also with an error.
func (a *answerReader) read(ctx context.Context, r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxShortAnswerBytes))
	if err != nil || len(body) < maxShortAnswerBytes {
		return body, err
	}
	a.once.Do(func() { a.long = make(chan struct{}, 1) })
	select {
	case a.long <- struct{}{}:
		defer func() { <-a.long }()
	case <-ctx.Done():
		return body, ctx.Err()
	}
	for err == nil {
		if len(body) > maxAnswerBytes {
			return body, errors.Errorf("the answer is longer than %d bytes", maxAnswerBytes)
		}
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), maxAnswerBytes+1)), body...)
		}
		var n int
		n, err = r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, err
}
