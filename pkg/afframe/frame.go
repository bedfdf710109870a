// Package afframe encodes and decodes the length-prefixed msgpack frames that VMs exchange over TCP.
package afframe

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// lengthPrefixBytes is the size of the big-endian frame length before each frame.
	lengthPrefixBytes = 4
	// MaxFrameBytes limits the size of one frame, so that a corrupt length cannot exhaust memory.
	MaxFrameBytes = 4 << 20
)

// Frame is one message between VMs.
type Frame struct {
	// Kind is the kind of the message. It selects the handler.
	Kind string `msgpack:"k"`
	// ID is chosen by the sender of a request, and the answer carries the same ID. Zero means that no answer is expected.
	ID uint64 `msgpack:"i,omitempty"`
	// IsAnswer is set if the frame is the answer to the request with the same ID.
	IsAnswer bool `msgpack:"a,omitempty"`
	// Body is the msgpack-encoded message.
	Body msgpack.RawMessage `msgpack:"b"`
}

// AppendFrame appends the length-prefixed, encoded frame to dst.
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
	// undecodedBytes are the received bytes of the frames that are not decoded yet.
	undecodedBytes []byte
}

// FeedBytes processes received bytes and calls handleFrame for each frame that they complete. After an error, the
// rest of the stream cannot be decoded.
func (d *Decoder) FeedBytes(data []byte, handleFrame func(Frame)) error {
	d.undecodedBytes = append(d.undecodedBytes, data...)
	for len(d.undecodedBytes) >= lengthPrefixBytes {
		n := int(binary.BigEndian.Uint32(d.undecodedBytes))
		if n > MaxFrameBytes {
			return &Error{Op: "decode", Kind: FrameTooLarge}
		}
		if len(d.undecodedBytes) < lengthPrefixBytes+n {
			return nil
		}
		var f Frame
		if err := msgpack.Unmarshal(d.undecodedBytes[lengthPrefixBytes:lengthPrefixBytes+n], &f); err != nil {
			return &Error{Op: "decode", Kind: MalformedFrame, Err: err}
		}
		d.undecodedBytes = d.undecodedBytes[lengthPrefixBytes+n:]
		handleFrame(f)
	}
	if len(d.undecodedBytes) == 0 {
		d.undecodedBytes = nil
	}
	return nil
}
