package afgateway

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afmemory"
)

// errStreamEnd means that a stream ended between two events.
var errStreamEnd = errors.New("end of stream")

// maxEventBytes bounds the size of one event, and that of the comments and other events without content between two events with
// content. Comments without end would take the processor from other requests.
const maxEventBytes = 256 << 10

// event is one complete event of a stream, with the blank line that ends it.
type event struct {
	raw []byte
	id  string
	// hasContent means that the event has an ID or data. Comments and other fields alone are no progress of the stream.
	hasContent bool
}

// eventReader splits a stream into complete events.
type eventReader struct {
	reader io.Reader
	buffer []byte
	// start is the index in buffer of the first byte that was not returned, lineStart that of the first byte of the first
	// line that is not known to be complete, and searched that of the first byte that was not searched for a line feed.
	start, lineStart, searched int
	// emptyBytes is the size of the events since the latest one with content.
	emptyBytes int
	// held reserves the memory of a buffer of more than afmemory.FreeBytes.
	held *afmemory.Holder
	err  error
}

// readEvent returns the next complete event. It returns errStreamEnd if the stream ended between two events.
func (e *eventReader) readEvent() (event, error) {
	for {
		if n := e.eventLength(); n > 0 {
			raw := e.buffer[e.start : e.start+n]
			e.start += n
			id, hasContent := parseEvent(raw)
			if e.emptyBytes += n; hasContent {
				e.emptyBytes = 0
			}
			if e.emptyBytes > maxEventBytes {
				return event{}, errors.Errorf("no event with content within %d bytes", maxEventBytes)
			}
			return event{raw: raw, id: id, hasContent: hasContent}, nil
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
		e.lineStart, e.searched, e.start = e.lineStart-e.start, e.searched-e.start, 0
	}
	const minReadBytes = 2 << 10
	end := len(e.buffer)
	if cap(e.buffer)-end < minReadBytes {
		capacity := 2*cap(e.buffer) + minReadBytes
		if capacity > afmemory.FreeBytes && !e.held.Reserve(capacity-cap(e.buffer)) {
			e.err = afmemory.ErrExhausted
			return
		}
		e.buffer = append(make([]byte, 0, capacity), e.buffer...)
	}
	var n int
	n, e.err = e.reader.Read(e.buffer[end:cap(e.buffer)])
	e.buffer = e.buffer[:end+n]
}

// unreadBytes returns the number of buffered bytes that were not returned, which belong to an incomplete event.
func (e *eventReader) unreadBytes() int { return len(e.buffer) - e.start }

// eventLength returns the length of the first complete event including its blank line, or 0 if the buffer contains none.
// Each byte is searched once, however often more bytes of the same event arrive.
func (e *eventReader) eventLength() int {
	for {
		n := bytes.IndexByte(e.buffer[e.searched:], '\n')
		if n < 0 {
			e.searched = len(e.buffer)
			return 0
		}
		line := e.buffer[e.lineStart : e.searched+n]
		isFirst := e.lineStart == e.start
		e.searched += n + 1
		e.lineStart = e.searched
		if !isFirst && (len(line) == 0 || len(line) == 1 && line[0] == '\r') {
			return e.searched - e.start
		}
	}
}

// parseEvent returns the value of the event's id field, and whether the event has an ID or data.
func parseEvent(raw []byte) (id string, hasContent bool) {
	for line := range bytes.Lines(raw) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok && id == "" {
			id, hasContent = string(bytes.TrimSpace(v)), true
		}
		hasContent = hasContent || bytes.HasPrefix(line, []byte("data"))
	}
	return id, hasContent
}
