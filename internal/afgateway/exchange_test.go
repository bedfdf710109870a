package afgateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afmemory"
)

// countingReader counts the bytes that were read.
type countingReader struct {
	reader io.Reader
	bytes  int
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	r.bytes += n
	return n, err
}

// FuzzResponseHead guards against a panic for bytes that are no response, and against a head that is read past its bound.
func FuzzResponseHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), 1)
	f.Add([]byte("HTTP/1.1 102 Processing\r\n\r\n"), 2000)
	f.Add([]byte("X-Noise: noise\r\n"), 5000)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x\r\nhello\r\n0\r\nA: b\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, block []byte, repeat int) {
		repeat = min(max(repeat, 0), 2*maxHeadBytes/(len(block)+1))
		input := &countingReader{reader: bytes.NewReader(bytes.Repeat(block, repeat))}
		ex := &exchange{head: afmemory.HeadLimiter{Reader: input, RemainingBytes: maxHeadBytes}}
		ex.reader = bufio.NewReaderSize(&ex.head, readBufferBytes)
		r, err := http.NewRequest(http.MethodGet, "http://a.example/", nil)
		require.NoError(t, err)
		ex.response, err = ex.readResponseHead(r)
		require.LessOrEqual(t, input.bytes, maxHeadBytes)
		if err != nil {
			return
		}
		held := new(afmemory.Budget).Hold()
		body, _, _ := ex.readBodyStart(held)
		require.LessOrEqual(t, cap(body), 4*maxBufferedBytes)
	})
}
