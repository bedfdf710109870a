package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is what a consumer sends.
type request struct {
	id, method, path string
	parts            []string
	timeout          time.Duration
	body             string
	// front is the index of the gateway.
	front int
}

// reply is what a consumer gets.
type reply struct {
	status    int
	header    http.Header
	body      []byte
	head      []byte // head holds the bytes of the head as they arrived.
	err       error
	firstByte time.Duration
}

// encode returns the bytes of the request.
func (q request) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", q.method, q.path, hostName, headerID, q.id, headerTimeout, q.timeout.Milliseconds(), apiKey)
	if len(q.parts) > 0 {
		const tokens = 1460
		list := make([]string, len(q.parts))
		for i, p := range q.parts {
			list[i] = p + ":" + strconv.Itoa(tokens/len(q.parts))
		}
		fmt.Fprintf(&b, "%s: %s\r\n%s: %d,80\r\n%s: %s\r\n", headerModel, modelName, headerTokens, tokens, headerParts, strings.Join(list, ","))
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// tee keeps what was read through it.
type tee struct {
	io.Reader
	seen bytes.Buffer
}

func (t *tee) Read(b []byte) (int, error) {
	n, err := t.Reader.Read(b)
	t.seen.Write(b[:n])
	return n, err
}

// send sends a request on a new connection and reads the whole answer.
func (f *fleet) send(q request) reply {
	conn, err := net.DialTimeout("tcp", f.front(q.front), time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	return f.sendOn(conn, q)
}

// sendOn sends a request on a connection and reads the whole answer.
func (f *fleet) sendOn(conn net.Conn, q request) reply {
	startedAt := time.Now()
	_ = conn.SetDeadline(startedAt.Add(q.timeout + time.Second)) // A closed connection fails below.
	f.rec.line("send %s %s to %s, parts %s", q.id, q.path, f.gateways[q.front%len(f.gateways)].name, shortParts(strings.Join(q.parts, ",")))
	if _, err := io.WriteString(conn, q.encode()); err != nil {
		return reply{err: err}
	}
	t := &tee{Reader: conn}
	b := bufio.NewReader(t)
	resp, err := http.ReadResponse(b, &http.Request{Method: q.method})
	if err != nil {
		f.rec.line("answer %s: %v", q.id, err)
		return reply{err: err, head: t.seen.Bytes()}
	}
	out := reply{status: resp.StatusCode, header: resp.Header, firstByte: time.Since(startedAt)}
	out.body, out.err = io.ReadAll(resp.Body)
	head, _, _ := bytes.Cut(t.seen.Bytes(), []byte("\r\n\r\n"))
	out.head = head
	f.rec.line("answer %s: %d, %d bytes, signature %q, id %q, error %v", q.id, out.status, len(out.body), resp.Header.Get(headerSigned), resp.Header.Get(headerID), out.err)
	return out
}
