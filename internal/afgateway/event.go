package afgateway

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// errStreamEnd means that a stream ended between two events.
var errStreamEnd = errors.New("end of stream")

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// event is one complete event of a stream, with the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into complete events.
type eventReader struct {
	reader io.Reader
	buffer []byte
	// start is the index in buffer of the first byte that was not returned.
	start int
	err   error
}

// readEvent returns the next complete event. It returns errStreamEnd if the stream ended between two events.
func (e *eventReader) readEvent() (event, error) {
	for {
		if n := eventLength(e.buffer[e.start:]); n > 0 {
			raw := e.buffer[e.start : e.start+n]
			e.start += n
			return event{raw: raw, id: eventID(raw)}, nil
		}
		if e.err != nil {
			if errors.Is(e.err, io.EOF) {
				if e.unreadBytes() == 0 {
					return event{}, errStreamEnd
				}
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, e.err
		}
		if e.unreadBytes() > maxEventBytes {
			return event{}, errors.Errorf("an event is longer than %d bytes", maxEventBytes)
		}
		e.readChunk()
	}
}

// readChunk moves the remaining bytes to the beginning of the buffer and reads more bytes. An error is kept in err.
func (e *eventReader) readChunk() {
	if e.start > 0 {
		e.buffer = append(e.buffer[:0], e.buffer[e.start:]...)
		e.start = 0
	}
	const minReadBytes = 2 << 10
	end := len(e.buffer)
	if cap(e.buffer)-end < minReadBytes {
		e.buffer = append(make([]byte, 0, 2*cap(e.buffer)+minReadBytes), e.buffer...)
	}
	var n int
	n, e.err = e.reader.Read(e.buffer[end:cap(e.buffer)])
	e.buffer = e.buffer[:end+n]
}

// unreadBytes returns the number of buffered bytes that were not returned, which belong to an incomplete event.
func (e *eventReader) unreadBytes() int { return len(e.buffer) - e.start }

// eventLength returns the length of the first complete event including its blank line, or 0 if b contains none.
func eventLength(b []byte) int {
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
