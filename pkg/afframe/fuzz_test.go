package afframe

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecoder guards against a panic for bytes that are no frames, against a buffer that grows past the largest frame, and
// against frames that depend on how the bytes are split into packets.
func FuzzDecoder(f *testing.F) {
	whole, err := AppendFrame(nil, Frame{Kind: "beat", ID: 7, Body: []byte{0xa1, 'x'}})
	require.NoError(f, err)
	f.Add(append(whole, whole...))
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var frames, again []Frame
		var d, single Decoder
		err := d.FeedBytes(data, func(f Frame) { frames = append(frames, f) })
		require.LessOrEqual(t, len(d.undecodedBytes), lengthPrefixBytes+MaxFrameBytes)
		var errSingle error
		for i := 0; i < len(data) && errSingle == nil; i++ {
			errSingle = single.FeedBytes(data[i:i+1], func(f Frame) { again = append(again, f) })
		}
		require.Equal(t, err == nil, errSingle == nil)
		require.Equal(t, frames, again)
	})
}
