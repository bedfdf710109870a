package afgateway

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// errStreamEnd means that a stream ended between two events.
var errStreamEnd = errors.New("end of stream")

// maxEvent bounds one event.
const maxEvent = 1 << 20

// event is one complete event of a stream, with the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into complete events.
type eventReader struct {
	r   io.Reader
	buf []byte
	// from is the start of what was not returned yet.
	from int
	err  error
}

// next returns the next complete event. It fails with errStreamEnd at a clean end.
func (e *eventReader) next() (event, error) {
	for {
		if n := endOfEvent(e.buf[e.from:]); n > 0 {
			raw := e.buf[e.from : e.from+n]
			e.from += n
			return event{raw: raw, id: eventID(raw)}, nil
		}
		if e.err != nil {
			if errors.Is(e.err, io.EOF) {
				if e.partial() == 0 {
					return event{}, errStreamEnd
				}
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, e.err
		}
		if e.partial() > maxEvent {
			return event{}, errors.Errorf("an event is longer than %d bytes", maxEvent)
		}
		e.fill()
	}
}

func (e *eventReader) fill() {
	if e.from > 0 {
		e.buf = append(e.buf[:0], e.buf[e.from:]...)
		e.from = 0
	}
	const chunk = 2 << 10
	at := len(e.buf)
	if cap(e.buf)-at < chunk {
		e.buf = append(make([]byte, 0, 2*cap(e.buf)+chunk), e.buf...)
	}
	var n int
	n, e.err = e.r.Read(e.buf[at:cap(e.buf)])
	e.buf = e.buf[:at+n]
}

// partial returns the number of bytes of an event that is not complete.
func (e *eventReader) partial() int { return len(e.buf) - e.from }

// endOfEvent returns the length of the first complete event, or 0.
func endOfEvent(b []byte) int {
	for i := 0; i < len(b); {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		if i > 0 && (n == 0 || n == 1 && b[i] == '\r') {
			return i + n + 1
		}
		i += n + 1
	}
	return 0
}

// eventID returns the value of the event's id field.
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}
