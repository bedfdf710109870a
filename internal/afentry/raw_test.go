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

// raw sends bytes on a new connection and returns everything until the server closes it.
func (r *rig) raw(text string) string {
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(r.t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	require.NoError(r.t, err)
	b, _ := io.ReadAll(c)
	return string(b)
}

// TestMalformed guards against requests that another server could read differently, against malformed ones that
// are dropped without an answer, and against a connection that stays open after either.
func TestMalformed(t *testing.T) {
	r := newRig(t, func(r *rig) { r.MaxBodyBytes = 1000 })
	const post = "POST /pay HTTP/1.1\r\nHost: x\r\n"
	cases := map[string]string{
		"both framings":         post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"both framings, other":  post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":           post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		"length list":           post + "Content-Length: 3, 4\r\n\r\nabc",
		"signed length":         post + "Content-Length: +3\r\n\r\nabc",
		"negative length":       post + "Content-Length: -3\r\n\r\nabc",
		"empty length":          post + "Content-Length:\r\n\r\n",
		"unknown encoding":      post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"two encodings":         post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"encoding in HTTP/1.0":  "POST /pay HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"wrong chunk size":      post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
		"wrong method":          "G=T / HTTP/1.1\r\nHost: x\r\n\r\n",
		"unknown method":        "BREW / HTTP/1.1\r\nHost: x\r\n\r\n",
		"wrong version":         "GET / HTTP/9.9\r\nHost: x\r\n\r\n",
		"no version":            "GET /\r\nHost: x\r\n\r\n",
		"header without colon":  "GET / HTTP/1.1\r\nHost\r\n\r\n",
		"line feed in a header": "GET / HTTP/1.1\r\nHost: x\r\nA: b\nAuthorization: c\r\n\r\n",
		"zero in a header":      "GET / HTTP/1.1\r\nHost: x\r\nA: b\x00\r\n\r\n",
		"no host":               "GET /stock/nut HTTP/1.1\r\n\r\n",
		"two hosts":             "GET /stock/nut HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		"control in the path":   "GET /stock/\x01 HTTP/1.1\r\nHost: x\r\n\r\n",
		"TLS":                   "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
		"413 length":            post + "Content-Length: 1001\r\n\r\n",
		"413 chunk":             post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n",
		"413 endless chunk":     post + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n" + strings.Repeat("x", 100_000),
		"431 one line":          "GET /stock/nut HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 3*defaultMaxHead),
		"431 many lines":        "GET /stock/nut HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: b\r\n", defaultMaxHead/6+1) + "\r\n",
		"431 path":              "GET /" + strings.Repeat("x", 3*defaultMaxHead),
	}
	var wg sync.WaitGroup
	answers := make(map[string]string)
	var mu sync.Mutex
	for name, text := range cases {
		wg.Go(func() {
			a := r.raw(text)
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
		require.Equal(t, 1, strings.Count(a, "HTTP/1.1 "), "%s: more than one answer", name)
	}
	require.Empty(t, r.plain.Runs())
}

// TestPipeline guards the order of answers on one connection, and an answer that precedes a malformed request.
func TestPipeline(t *testing.T) {
	r := newRig(t, nil)
	get := func(item string) string { return "GET /stock/" + item + " HTTP/1.1\r\nHost: x\r\n\r\n" }
	a := r.raw(get("a") + get("bb") + get("ccc") + "\r\r\r")
	one, two, three := strings.Index(a, `"stock":1`), strings.Index(a, `"stock":2`), strings.Index(a, `"stock":3`)
	require.True(t, one > 0 && one < two && two < three, a)
	require.Greater(t, strings.Index(a, "HTTP/1.1 400"), three, a)
}

// TestSilentCaller guards against callers that send half a request and hold the connection: they are told 408.
func TestSilentCaller(t *testing.T) {
	r := newRig(t, func(r *rig) { r.ReadTimeout, r.IdleTimeout = 20*time.Millisecond, time.Second })
	for _, text := range []string{"POST /pay HTTP/1.1\r\nHo", "POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", "GE"} {
		require.Contains(t, r.raw(text), "HTTP/1.1 408 Request Timeout", text)
	}
	require.Empty(t, r.raw(""), "an idle connection is closed without an answer")
}

// TestOldProtocol guards callers of HTTP/1.0, who cannot read streams: whole answers reach them with their length.
func TestOldProtocol(t *testing.T) {
	r := newRig(t, nil)
	send := func(stream bool) string {
		body := fmt.Sprintf(`{"model":"small","prompt":"x","max_tokens":2,"stream":%t}`, stream)
		return r.raw(fmt.Sprintf("POST %s HTTP/1.0\r\n%s\r\nContent-Length: %d\r\n\r\n%s", pathText, auth, len(body), body))
	}
	require.Contains(t, send(true), "streams need HTTP/1.1")
	a := send(false)
	require.Contains(t, a, "Content-Length: ")
	require.Contains(t, a, `"text":"t0 t1 "`)
}

// TestPanic guards the process and the other connections against a panic in one request.
func TestPanic(t *testing.T) {
	r := newRig(t, func(r *rig) {
		r.ClaimCall = func(context.Context, afclaim.Call) (afclaim.Result, *arbutusfork.Refusal) { panic("claim") }
	})
	require.Empty(t, r.raw("POST /pay HTTP/1.1\r\nHost: x\r\n"+auth+"\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}"))
	require.Contains(t, readAll(r.request("GET", "/stock/nut", "")), "stock")
	require.Empty(t, r.snapshotActive())
}

// TestContinue guards callers that wait for 100 Continue before they send the body.
func TestContinue(t *testing.T) {
	r := newRig(t, nil)
	c, err := net.Dial("tcp", r.Addr())
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

// TestConnectionBound guards against accept at the descriptor limit: connections beyond the bound are refused.
func TestConnectionBound(t *testing.T) {
	r := newRig(t, func(r *rig) { r.MaxConns = 1 })
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	b := bufio.NewReader(c)
	resp, err := http.ReadResponse(b, nil)
	require.NoError(t, err)
	require.Equal(t, "ok\n", readAll(resp))
	require.Contains(t, r.raw(""), arbutusfork.CodeNoCapacity.String())
	_ = c.Close()
}
