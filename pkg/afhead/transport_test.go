package afhead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// newCheckedTransport returns a transport whose connections are Conns.
func newCheckedTransport(base *http.Transport) *Transport {
	base.DialContext = DialConns((&net.Dialer{}).DialContext)
	return &Transport{Base: base}
}

// fetch sends a request with a body and returns the body of the answer.
func fetch(t *testing.T, transport *Transport, url, body string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return string(answer), err
}

// Guards against bytes of a handshake or of an encrypted answer that count as a head.
func TestTransportLeavesEncryptedConnectionsAlone(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	t.Cleanup(server.Close)
	base := server.Client().Transport.(*http.Transport)
	transport := newCheckedTransport(base)
	for range 3 {
		body, err := fetch(t, transport, server.URL, "")
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
}

// serveKept answers the requests of each connection with the answers in order. An early answer is sent before the body of the request was
// read.
func serveKept(t *testing.T, isEarly bool, answers ...string) (url string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		b := bufio.NewReader(c)
		for _, answer := range answers {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			if !isEarly {
				_, _ = io.Copy(io.Discard, r.Body) // The content does not matter.
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return "http://" + l.Addr().String()
}

// likeHead is the body of a sound answer. It would be malformed as a head.
const likeHead = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nHTTP/1.1 000 OK\n"

// Guards against a head on a kept connection that is not checked, and against a body that counts as a head.
func TestTransportChecksEachAnswerOfAConnection(t *testing.T) {
	url := serveKept(t, false, likeHead, likeHead, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", likeHead,
		"HTTP/1.1 200 OK\r\nX-A: 1\r\n X-Odd: 1\r\nContent-Length: 2\r\n\r\nok")
	transport := newCheckedTransport(&http.Transport{MaxConnsPerHost: 1})
	for _, want := range []string{"HTTP/1.1 000 OK\n", "HTTP/1.1 000 OK\n", "ok", "HTTP/1.1 000 OK\n"} {
		body, err := fetch(t, transport, url, "body")
		require.NoError(t, err)
		require.Equal(t, want, body)
	}
	_, err := fetch(t, transport, url, "body")
	var malformed *Error
	require.ErrorAs(t, err, &malformed)
	require.Equal(t, FieldName, malformed.Kind)

	url = serveKept(t, false, "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	_, err = fetch(t, transport, url, "body")
	require.ErrorAs(t, err, &malformed)
	require.Equal(t, FieldName, malformed.Kind)
}

// Guards against a body that counts as a head because the request is still being sent.
func TestTransportChecksEarlyAnswerOnce(t *testing.T) {
	body, err := fetch(t, newCheckedTransport(&http.Transport{}), serveKept(t, true, likeHead), strings.Repeat("x", 1<<20))
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 000 OK\n", body)
}

// Guards against malformed answers that pass because the connection is not a Conn.
func TestTransportChecksParsedAnswers(t *testing.T) {
	for answer, kind := range map[string]ErrorKind{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok":                                        StatusCode,
		"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok":                                       StatusCode,
		"HTTP/1.1 101 Switching Protocols\r\n\r\nok":                                            StatusCode,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok":                            FieldName,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n": FieldName,
	} {
		_, err := fetch(t, &Transport{Base: &http.Transport{DisableKeepAlives: true}}, serveKept(t, false, answer), "")
		var malformed *Error
		require.ErrorAs(t, err, &malformed, "%q", answer)
		require.Equal(t, kind, malformed.Kind, "%q", answer)
	}
}

// Guards against interim answers without end, which the bound of http.Transport for heads no longer ends if a trace looks at them.
func TestTransportKeepsTheBoundOfHeads(t *testing.T) {
	interim := strings.Repeat("HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\n", 1000)
	url := serveKept(t, false, interim+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	_, err := fetch(t, newCheckedTransport(&http.Transport{MaxResponseHeaderBytes: 4 << 10}), url, "")
	require.ErrorContains(t, err, "server response headers exceeded")
}

// Guards against an answer without a length that looks whole although its connection was reset while the request was still being written.
func TestTransportReportsResetDuringUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	const (
		resets      = 200 // Most resets end the request before the transport reads on.
		uploadBytes = 8 << 20
	)
	looksWhole, upload := 0, strings.Repeat("x", uploadBytes)
	for range resets {
		if _, err := fetch(t, newCheckedTransport(&http.Transport{}), "http://"+l.Addr().String(), upload); err == nil {
			looksWhole++
		}
	}
	require.Zero(t, looksWhole, "answers of %d that look whole", resets)
}
