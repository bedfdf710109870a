package afentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
)

// sendRaw sends bytes on a new connection and returns everything that the server sends until it closes the connection.
func (f *fixture) sendRaw(text string) string {
	c, err := net.Dial("tcp", f.Addr())
	require.NoError(f.t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	require.NoError(f.t, err)
	b, _ := io.ReadAll(c)
	return string(b)
}

// TestMalformedRequests guards against accepting requests that another server could interpret differently, against malformed
// requests without a response, and against a connection that stays open after such a request.
func TestMalformedRequests(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.MaxBodyBytes = 1000 })
	const post = "POST /pay HTTP/1.1\r\nHost: x\r\n"
	cases := map[string]string{
		"both framings, encoding first": post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"both framings, length first":   post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":                   post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		"length list":                   post + "Content-Length: 3, 4\r\n\r\nabc",
		"signed length":                 post + "Content-Length: +3\r\n\r\nabc",
		"negative length":               post + "Content-Length: -3\r\n\r\nabc",
		"empty length":                  post + "Content-Length:\r\n\r\n",
		"unknown encoding":              post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"two encodings":                 post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"encoding in HTTP/1.0":          "POST /pay HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"wrong chunk size":              post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
		"wrong method":                  "G=T / HTTP/1.1\r\nHost: x\r\n\r\n",
		"unknown method":                "BREW / HTTP/1.1\r\nHost: x\r\n\r\n",
		"wrong version":                 "GET / HTTP/9.9\r\nHost: x\r\n\r\n",
		"no version":                    "GET /\r\nHost: x\r\n\r\n",
		"header without colon":          "GET / HTTP/1.1\r\nHost\r\n\r\n",
		"line feed in a header":         "GET / HTTP/1.1\r\nHost: x\r\nA: b\nAuthorization: c\r\n\r\n",
		"NUL in a header":               "GET / HTTP/1.1\r\nHost: x\r\nA: b\x00\r\n\r\n",
		"no host":                       "GET /stock/nut HTTP/1.1\r\n\r\n",
		"two hosts":                     "GET /stock/nut HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		"control character in the path": "GET /stock/\x01 HTTP/1.1\r\nHost: x\r\n\r\n",
		"TLS":                           "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
		"413 length":                    post + "Content-Length: 1001\r\n\r\n",
		"413 chunk":                     post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n",
		"413 endless chunk":             post + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n" + strings.Repeat("x", 100_000),
		"431 one line":                  "GET /stock/nut HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 3*defaultMaxHeaderBytes),
		"431 many lines":                "GET /stock/nut HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: b\r\n", defaultMaxHeaderBytes/6+1) + "\r\n",
		"431 path":                      "GET /" + strings.Repeat("x", 3*defaultMaxHeaderBytes),
	}
	var wg sync.WaitGroup
	answers := make(map[string]string)
	var mu sync.Mutex
	for name, text := range cases {
		wg.Go(func() {
			a := f.sendRaw(text)
			mu.Lock()
			defer mu.Unlock()
			answers[name] = a
		})
	}
	wg.Wait()
	for name, a := range answers {
		status := "400"
		if strings.HasPrefix(name, "4") {
			status = name[:3]
		}
		require.True(t, strings.HasPrefix(a, "HTTP/1.1 "+status+" "), "%s: %.200q", name, a)
		require.Contains(t, a, "Connection: close", name)
		require.Contains(t, a, `"outcome":"not run"`, name)
		require.Equal(t, 1, strings.Count(a, "HTTP/1.1 "), "%s: more than one response", name)
	}
	require.Empty(t, f.plainService.PaymentRuns())
}

// TestPipelinedRequests guards against responses in the wrong order on one connection, and against losing a response when a
// malformed request follows.
func TestPipelinedRequests(t *testing.T) {
	f := newFixture(t, nil)
	get := func(item string) string { return "GET /stock/" + item + " HTTP/1.1\r\nHost: x\r\n\r\n" }
	a := f.sendRaw(get("a") + get("bb") + get("ccc") + "\r\r\r")
	one, two, three := strings.Index(a, `"stock":1`), strings.Index(a, `"stock":2`), strings.Index(a, `"stock":3`)
	require.True(t, one > 0 && one < two && two < three, a)
	require.Greater(t, strings.Index(a, "HTTP/1.1 400"), three, a)
}

// TestIncompleteRequest guards against callers that hold a connection by sending only part of a request. They must get status
// 408.
func TestIncompleteRequest(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.ReadTimeout, f.IdleTimeout = 20*time.Millisecond, time.Second })
	for _, text := range []string{"POST /pay HTTP/1.1\r\nHo", "POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", "GE"} {
		require.Contains(t, f.sendRaw(text), "HTTP/1.1 408 Request Timeout", text)
	}
	require.Empty(t, f.sendRaw(""), "an idle connection must be closed without a response")
}

// TestHTTP10 guards against chunked responses to HTTP/1.0 callers, which cannot read them: streams must be refused and other
// responses must have a Content-Length.
func TestHTTP10(t *testing.T) {
	f := newFixture(t, nil)
	send := func(stream bool) string {
		body := fmt.Sprintf(`{"model":"small","prompt":"x","max_tokens":2,"stream":%t}`, stream)
		return f.sendRaw(fmt.Sprintf("POST %s HTTP/1.0\r\n%s\r\nContent-Length: %d\r\n\r\n%s", pathCompletions, authHeader, len(body), body))
	}
	require.Contains(t, send(true), "streams need HTTP/1.1")
	a := send(false)
	require.Contains(t, a, "Content-Length: ")
	require.Contains(t, a, `"text":"t0 t1 "`)
}

// TestRequestPanic guards against a panic in one request that ends the process or affects other connections.
func TestRequestPanic(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.ClaimCall = func(context.Context, afclaim.Call) (afclaim.Result, *arbutusfork.Refusal) { panic("claim") }
	})
	require.Empty(t, f.sendRaw("POST /pay HTTP/1.1\r\nHost: x\r\n"+authHeader+"\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}"))
	require.Contains(t, readBody(f.request("GET", "/stock/nut", "")), "stock")
	require.Empty(t, f.runningDigests())
}

// TestExpectContinue guards against a deadlock with callers that wait for 100 Continue before they send the body.
func TestExpectContinue(t *testing.T) {
	f := newFixture(t, nil)
	c, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /pay HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+goodKey+"\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n")
	require.NoError(t, err)
	b := bufio.NewReader(c)
	line, err := b.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = io.WriteString(c, `{"id":"x"}`)
	require.NoError(t, err)
	_, err = b.ReadString('\n')
	require.NoError(t, err)
	resp, err := http.ReadResponse(b, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	_ = resp.Body.Close()
}

// TestMaxConns guards against accepting connections up to the descriptor limit. Connections above MaxConnections must be refused.
func TestMaxConns(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.MaxConnections = 1 })
	c, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	b := bufio.NewReader(c)
	resp, err := http.ReadResponse(b, nil)
	require.NoError(t, err)
	require.Equal(t, "ok\n", readBody(resp))
	require.Contains(t, f.sendRaw(""), arbutusfork.CodeNoCapacity.String())
	_ = c.Close()
}
