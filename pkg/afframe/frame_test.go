package afframe

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestSplit guards against frames lost or merged when TCP delivers them in pieces.
func TestSplit(t *testing.T) {
	body, err := msgpack.Marshal("text")
	require.NoError(t, err)
	var stream []byte
	for id := range uint64(3) {
		stream, err = AppendFrame(stream, Frame{Kind: "beat", ID: id, Body: body})
		require.NoError(t, err)
	}
	for step := 1; step <= len(stream); step++ {
		var d Decoder
		var ids []uint64
		for at := 0; at < len(stream); at += step {
			part := stream[at:min(at+step, len(stream))]
			require.NoError(t, d.FeedBytes(part, func(f Frame) { ids = append(ids, f.ID) }))
		}
		require.Equal(t, []uint64{0, 1, 2}, ids)
	}
}

// TestBadFrames guards against a corrupt length that would exhaust memory and against garbage taken for a frame.
func TestBadFrames(t *testing.T) {
	var d Decoder
	err := d.FeedBytes([]byte{0xff, 0xff, 0xff, 0xff}, func(Frame) {})
	require.True(t, IsKind(err, FrameTooLarge))
	d = Decoder{}
	err = d.FeedBytes([]byte{0, 0, 0, 1, 0xc1}, func(Frame) {})
	require.True(t, IsKind(err, MalformedFrame))
	_, err = AppendFrame(nil, Frame{Body: make([]byte, MaxFrameBytes)})
	require.Error(t, err)
}
