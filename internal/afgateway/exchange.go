package afgateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/pkg/afhead"
	"arbutusfork.example/arbutusfork/pkg/afreset"
)

const (
	// maxHeadBytes bounds the head of a response together with the interim responses before it.
	maxHeadBytes = 32 << 10
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 8 << 20
	// maxBufferedBytes bounds the part of such a body that is received before the response to the caller begins. A longer
	// body is relayed as it arrives.
	maxBufferedBytes = 64 << 10
	// relayBufferBytes is the size of the buffer of a body that is relayed as it arrives.
	relayBufferBytes = 16 << 10
	// readBufferBytes is the size of the read buffer, which holds a few events or the head of a response.
	readBufferBytes = 4 << 10
)

var errResponseTooLong = errors.Errorf("the answer is longer than %d bytes", maxResponseBytes)

// exchange is one request and its response on a new connection. A kept connection could have broken without notice, or
// could deliver a late response to an earlier request. Opening a connection takes about a millisecond.
type exchange struct {
	conn net.Conn
	// head bounds what reader reads from conn before the response has begun.
	head     afmemory.HeadLimiter
	reader   *bufio.Reader
	response *http.Response
	// stopCancelWatch keeps the end of the context from closing the connection.
	stopCancelWatch func() bool
}

// readerPool holds read buffers for reuse, since each exchange needs one.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// openExchange connects to the address, sends the request and reads the head of the response. The error is a
// *sendError.
func (s *Server) openExchange(ctx context.Context, address string, r *http.Request, h http.Header, body []byte) (*exchange, error) {
	dialed, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &sendError{err: errors.Wrap(err, "connect")}
	}
	conn := afreset.NewConn(dialed)
	ex := &exchange{conn: conn, reader: readerPool.Get().(*bufio.Reader)}
	ex.head = afmemory.HeadLimiter{Reader: &afhead.Reader{Reader: conn}, RemainingBytes: maxHeadBytes}
	ex.reader.Reset(&ex.head)
	ex.stopCancelWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	written := make(chan struct{})
	// The endpoint may send a response before it has read a long body, so that the request is written in the
	// background. The caller's request may be used again by then and must not be read there.
	requestHead := encodeRequestHead(r, h, body)
	go func() {
		defer close(written)
		// A failed write is not reported, since reading the response fails then.
		if _, err := conn.Write(requestHead); err == nil && len(body) > 0 {
			_, _ = conn.Write(body)
		}
	}()
	resp, err := ex.readResponseHead(r)
	if err != nil {
		ex.close()
		<-written
		return nil, &sendError{requestWritten: true, err: errors.Wrap(err, "read the answer")}
	}
	ex.response = resp
	return ex, nil
}

// readResponseHead reads the head of the response and skips interim (1xx) responses.
func (ex *exchange) readResponseHead(r *http.Request) (*http.Response, error) {
	const maxInterimResponses = 5
	for range maxInterimResponses {
		resp, err := http.ReadResponse(ex.reader, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			ex.head.IsHeadComplete = true
			afhead.CheckTrailer(resp)
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// endsWithConnection reports whether only the end of the connection ends the body of the response, so that a body that was
// broken off may look complete.
func (ex *exchange) endsWithConnection() bool {
	return ex.response.ContentLength < 0 && len(ex.response.TransferEncoding) == 0
}

// close closes the connection and returns the reader to the pool.
func (ex *exchange) close() {
	ex.stopCancelWatch()
	_ = ex.conn.Close()
	if ex.reader != nil {
		ex.reader.Reset(nil)
		readerPool.Put(ex.reader)
		ex.reader = nil
	}
}

// encodeRequestHead returns the request line and the headers in the form of HTTP/1.1.
func encodeRequestHead(r *http.Request, h http.Header, body []byte) []byte {
	var b bytes.Buffer
	target := r.RequestURI
	if target == "" {
		target = r.URL.RequestURI()
	}
	b.WriteString(r.Method + " " + target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range h {
		for _, v := range values {
			b.WriteString(name + ": " + strings.NewReplacer("\r", " ", "\n", " ").Replace(v) + "\r\n")
		}
	}
	if len(body) > 0 || r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("Connection: close\r\n\r\n")
	return b.Bytes()
}

// readBodyStart reads the body of a response that is not a stream, or its first bytes if the body is longer than
// maxBufferedBytes or if the holder has no memory for more of it.
func (ex *exchange) readBodyStart(held *afmemory.Holder) (body []byte, isWhole bool, err error) {
	if ex.response.ContentLength > maxResponseBytes {
		return nil, false, errResponseTooLong
	}
	return held.ReadBody(ex.response.Body, ex.response.ContentLength, maxBufferedBytes)
}

// readRequestBody reads the body of a caller's request.
func readRequestBody(r *http.Request) ([]byte, error) { return io.ReadAll(r.Body) }

// cancelAfter cancels a context with the cause after the duration d. The returned function stops the timer.
func (s *Server) cancelAfter(d time.Duration, cancel context.CancelCauseFunc, cause error) func() {
	timer := s.Timer.CallAfter(d, func(time.Time) { cancel(cause) })
	return timer.Stop
}
