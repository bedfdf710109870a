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
)

const (
	// maxWhole bounds an answer that is not a stream.
	maxWhole = 8 << 20
	// readBuffer holds a few events or the head of an answer.
	readBuffer = 4 << 10
)

// exchange is one request on a connection of its own. A connection that stayed open could have gone silent, or could
// bring the late answer to an earlier request; a new one takes about a millisecond.
type exchange struct {
	conn   net.Conn
	reader *bufio.Reader
	resp   *http.Response
	stop   func() bool
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// open connects, sends the request and reads the head of the answer. The error is a *sendError.
func (s *Server) open(ctx context.Context, address string, r *http.Request, h http.Header, body []byte) (*exchange, error) {
	conn, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &sendError{err: errors.Wrap(err, "connect")}
	}
	x := &exchange{conn: conn, reader: readers.Get().(*bufio.Reader)}
	x.reader.Reset(conn)
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	sent := make(chan struct{})
	// The endpoint may answer before it has read a long body, so that writing must not hold up reading.
	go func() {
		defer close(sent)
		// A write that fails shows in the answer, which does not come then.
		if _, err := conn.Write(head(r, h, body)); err == nil && len(body) > 0 {
			_, _ = conn.Write(body)
		}
	}()
	resp, err := x.readHead(r)
	if err != nil {
		x.close()
		<-sent
		return nil, &sendError{sent: true, err: errors.Wrap(err, "read the answer")}
	}
	x.resp = resp
	return x, nil
}

// readHead skips interim answers.
func (x *exchange) readHead(r *http.Request) (*http.Response, error) {
	const maxInterim = 5
	for range maxInterim {
		resp, err := http.ReadResponse(x.reader, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

func (x *exchange) close() {
	x.stop()
	_ = x.conn.Close()
	if x.reader != nil {
		x.reader.Reset(nil)
		readers.Put(x.reader)
		x.reader = nil
	}
}

// head returns the request line and headers.
func head(r *http.Request, h http.Header, body []byte) []byte {
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

// whole reads an answer that is not a stream.
func (x *exchange) whole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x.resp.Body, maxWhole+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxWhole {
		return nil, errors.Errorf("the answer is longer than %d bytes", maxWhole)
	}
	return body, nil
}

func readAll(r *http.Request) ([]byte, error) { return io.ReadAll(r.Body) }

// guardTime ends the context's work at a time. It returns a function that ends the guard.
func (s *Server) guardTime(d time.Duration, cancel context.CancelCauseFunc, cause error) func() {
	sub := s.Timer.After(d, func(time.Time) { cancel(cause) })
	return sub.Stop
}
