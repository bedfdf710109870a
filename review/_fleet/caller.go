package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is a request of a caller. Model and parts are empty for plain services.
type request struct {
	method, path, key, model, parts string
	promptTokens, outputTokens      int
	timeout                         time.Duration
	body                            string
}

// response is what the caller got.
type response struct {
	id         string
	status     int
	header     http.Header
	body       string
	isComplete bool
	err        error
}

var requestCount atomic.Int64

func newRequestID() string {
	return fmt.Sprintf("%08x%04x", time.Now().UnixMilli()&0xffffffff, requestCount.Add(1))
}

// send sends a request to a machine on a new channel and reads the response.
func (f *fleet) send(m *machine, q request) response {
	out := response{id: newRequestID()}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", f.callersAddress(m))
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.timeout))
	if f.onSend != nil {
		f.onSend(out.id)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: review.example\r\nX-Arbutusfork-Request-Id: %s\r\nX-Arbutusfork-Deadline-Ms: %d\r\n", q.method, q.path, out.id, q.timeout.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if q.model != "" {
		fmt.Fprintf(&b, "X-Arbutusfork-Model: %s\r\nX-Arbutusfork-Token-Usage: %d,%d\r\nX-Arbutusfork-Prompt-Prefix: %s\r\n", q.model, q.promptTokens, q.outputTokens, q.parts)
	}
	if q.method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	b.WriteString("\r\n" + q.body)
	f.record.printf("%s sent to %s: %s %s parts %s", out.id, m.name, q.method, q.path, q.parts)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		out.err = err
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		out.err = err
	} else {
		body, err := io.ReadAll(resp.Body)
		out.status, out.header, out.body, out.isComplete, out.err = resp.StatusCode, resp.Header, string(body), err == nil, err
	}
	f.record.printf("%s answered: status %d, complete %t, %d bytes, retry after %q, %v", out.id, out.status, out.isComplete, len(out.body), out.header.Get("Retry-After"), out.err)
	return out
}
