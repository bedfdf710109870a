// Package afframe provides the length-prefixed msgpack frames that VMs exchange over TCP.
package afframe

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	headerBytes = 4
	// MaxFrameBytes bounds one frame, so that a corrupt length cannot exhaust memory.
	MaxFrameBytes = 4 << 20
)

// Frame is one message between VMs.
type Frame struct {
	// Kind names the message and selects its handler.
	Kind string `msgpack:"k"`
	// ID matches an answer to its request. Zero means that no answer is expected.
	ID uint64 `msgpack:"i,omitempty"`
	// IsAnswer marks the answer to the request with the same ID.
	IsAnswer bool `msgpack:"a,omitempty"`
	// Body is the msgpack form of the message.
	Body msgpack.RawMessage `msgpack:"b"`
}

// AppendFrame encodes the frame with its length and appends it to dst.
func AppendFrame(dst []byte, f Frame) ([]byte, error) {
	b, err := msgpack.Marshal(&f)
	if err != nil {
		return dst, &Error{Op: "encode", Kind: MalformedFrame, Err: err}
	}
	if len(b) > MaxFrameBytes {
		return dst, &Error{Op: "encode", Kind: FrameTooLarge}
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(b)))
	return append(dst, b...), nil
}

// Decoder splits a byte stream into frames. The zero value is ready to use.
type Decoder struct {
	buf []byte
}

// FeedBytes adds received bytes and calls fn for each complete frame. After an error the stream cannot be used further.
func (d *Decoder) FeedBytes(data []byte, fn func(Frame)) error {
	d.buf = append(d.buf, data...)
	for len(d.buf) >= headerBytes {
		n := int(binary.BigEndian.Uint32(d.buf))
		if n > MaxFrameBytes {
			return &Error{Op: "decode", Kind: FrameTooLarge}
		}
		if len(d.buf) < headerBytes+n {
			return nil
		}
		var f Frame
		if err := msgpack.Unmarshal(d.buf[headerBytes:headerBytes+n], &f); err != nil {
			return &Error{Op: "decode", Kind: MalformedFrame, Err: err}
		}
		d.buf = d.buf[headerBytes+n:]
		fn(f)
	}
	if len(d.buf) == 0 {
		d.buf = nil
	}
	return nil
}
