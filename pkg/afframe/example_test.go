package afframe_test

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork/pkg/afframe"
)

func ExampleDecoder_FeedBytes() {
	body, _ := msgpack.Marshal("payload")
	stream, _ := afframe.AppendFrame(nil, afframe.Frame{Kind: "beat", ID: 7, Body: body})
	var d afframe.Decoder
	show := func(f afframe.Frame) { fmt.Println(f.Kind, f.ID) }
	_ = d.FeedBytes(stream[:3], show)
	_ = d.FeedBytes(stream[3:], show)
	// Output: beat 7
}
