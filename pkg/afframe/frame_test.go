package afframe

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestFrameInPieces guards against losing or merging frames that TCP delivers in pieces of any size.
func TestFrameInPieces(t *testing.T) {
	body, err := msgpack.Marshal("text")
	require.NoError(t, err)
	var stream []byte
	for id := range uint64(3) {
		stream, err = AppendFrame(stream, Frame{Kind: "beat", ID: id, Body: body})
		require.NoError(t, err)
	}
	for pieceBytes := 1; pieceBytes <= len(stream); pieceBytes++ {
		var d Decoder
		var ids []uint64
		for offset := 0; offset < len(stream); offset += pieceBytes {
			piece := stream[offset:min(offset+pieceBytes, len(stream))]
			require.NoError(t, d.FeedBytes(piece, func(f Frame) { ids = append(ids, f.ID) }))
		}
		require.Equal(t, []uint64{0, 1, 2}, ids)
	}
}

// TestMalformedFrame guards against allocating memory for a corrupt length, and against accepting invalid data as a frame.
func TestMalformedFrame(t *testing.T) {
	var d Decoder
	err := d.FeedBytes([]byte{0xff, 0xff, 0xff, 0xff}, func(Frame) {})
	require.True(t, IsKind(err, FrameTooLarge))
	d = Decoder{}
	err = d.FeedBytes([]byte{0, 0, 0, 1, 0xc1}, func(Frame) {})
	require.True(t, IsKind(err, MalformedFrame))
	_, err = AppendFrame(nil, Frame{Body: make([]byte, MaxFrameBytes)})
	require.Error(t, err)
}
