package afdispatch

import (
	"bufio"
	"bytes"
	"io"

	"arbutusfork.example/arbutusfork/internal/afmemory"
)

const (
	// doneData is the data of the last event of an engine's stream.
	doneData = "[DONE]"
	// eventBufferBytes is the size of the read buffer of an open stream. An event with one token has about 200 bytes.
	eventBufferBytes = 2 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
)

var dataField = []byte("data:")

// eventReader splits a stream into server-sent events.
type eventReader struct {
	r *bufio.Reader
	// held reserves the memory of an event of more than afmemory.FreeBytes.
	held *afmemory.Holder
	// raw holds the lines of the event as they were received.
	raw []byte
	// data is the payload of the event: its data lines without the field name, joined by line feeds.
	data []byte
}

func newEventReader(r io.Reader, held *afmemory.Holder) *eventReader {
	return &eventReader{held: held, r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// readEvent returns the next event: its lines as received, and its payload. The slices are valid until the next call. The
// error is io.EOF only if the stream ended between two events.
func (e *eventReader) readEvent() (raw, data []byte, err error) {
	e.raw, e.data = e.raw[:0], e.data[:0]
	fields := 0
	for {
		start := len(e.raw)
		if err := e.readLine(); err != nil {
			if err == io.EOF && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, nil, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				e.raw = e.raw[:0]
				continue
			}
			return e.raw, e.data, nil
		}
		if payload, ok := bytes.CutPrefix(line, dataField); ok {
			if fields > 0 {
				e.data = append(e.data, '\n')
			}
			fields++
			e.data = append(e.data, bytes.TrimPrefix(payload, []byte(" "))...)
		}
	}
}

// readLine appends one line with its line feed to raw.
func (e *eventReader) readLine() error {
	for {
		b, err := e.r.ReadSlice('\n')
		if len(e.raw)+len(b) > maxEventBytes {
			return errSizeLimit
		}
		if need := len(e.raw) + len(b); need > cap(e.raw) && !e.growRaw(need) {
			return afmemory.ErrExhausted
		}
		e.raw = append(e.raw, b...)
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// growRaw makes room for need bytes in raw. It returns false if the memory for them and for their copy in data cannot be
// reserved.
func (e *eventReader) growRaw(need int) bool {
	capacity := max(2*cap(e.raw), need)
	if capacity > afmemory.FreeBytes && !e.held.Reserve(2*(capacity-cap(e.raw))) {
		return false
	}
	e.raw = append(make([]byte, 0, capacity), e.raw...)
	return true
}

// hasBuffered reports whether more bytes of the stream have already been received.
func (e *eventReader) hasBuffered() bool { return e.r.Buffered() > 0 }
