package afentry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// serveStatus makes the plain service answer each request with a status. It returns the number of requests that it ran.
func (f *fixture) serveStatus(status int, header http.Header, body string) *atomic.Int64 {
	runs := new(atomic.Int64)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // A request that broke off shows as an answer that is missing.
		runs.Add(1)
		for k, v := range header {
			w.Header()[k] = v
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	f.t.Cleanup(srv.Close)
	f.Dispatcher.ServiceEndpoints = func(string) []afplacement.Replica {
		return []afplacement.Replica{{Endpoint: "p1", Address: srv.Listener.Addr().String(), Slots: 8}}
	}
	return runs
}

// exchangeRaw sends a request without a body on a connection of its own and returns the response and all bytes after its head.
func (f *fixture) exchangeRaw(method, path, version string, headers ...string) (*http.Response, string, string) {
	c, err := net.Dial("tcp", f.Addr())
	require.NoError(f.t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, method+" "+path+" HTTP/"+version+"\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n"+authHeader+"\r\n"+
		strings.Join(append(headers, "\r\n"), "\r\n"))
	require.NoError(f.t, err)
	raw, err := io.ReadAll(c)
	require.NoError(f.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), &http.Request{Method: method})
	require.NoError(f.t, err, "%q", raw)
	_, after, _ := strings.Cut(string(raw), "\r\n\r\n")
	return resp, readBody(resp), after
}

// TestEndpointStatusIsNoPromise guards against a payment that its caller sends again, because its endpoint ran it and answered 408, 421, 429
// or 503, and against such an answer that is stored for its Idempotency-Key. What may be repeated gets its endpoint's status.
func TestEndpointStatusIsNoPromise(t *testing.T) {
	for _, status := range []int{408, 421, 429, 500, 502, 503, 504} {
		for _, contentType := range []string{"text/plain", "text/event-stream"} {
			for _, q := range [][2]string{{"POST", "1.1"}, {"POST", "1.0"}, {"HEAD", "1.1"}} {
				isStream := contentType == "text/event-stream"
				if isStream && q != [2]string{"POST", "1.1"} {
					continue // Streams need HTTP/1.1 and a body.
				}
				name := fmt.Sprint(status, contentType, q)
				var runs *atomic.Int64
				header := http.Header{"Content-Type": {contentType}, "Retry-After": {"1"}}
				f := newFixture(t, func(f *fixture) { runs = f.serveStatus(status, header, "data: failed\n\n") })
				isWithheld := slices.Contains([]int{408, 421, 429, 503}, status)
				for i := range 2 {
					resp, body, after := f.exchangeRaw(q[0], "/pay", q[1], "Idempotency-Key: k")
					if isStream && !isWithheld && i > 0 {
						continue // A stream is not stored.
					}
					if !isWithheld {
						assert.Equal(t, status, resp.StatusCode, name)
						continue
					}
					assert.Equal(t, 502, resp.StatusCode, name)
					assert.Empty(t, resp.Header.Get("Retry-After"), name)
					if q[0] == "HEAD" {
						assert.Empty(t, after, name)
						continue
					}
					assert.Contains(t, body, `"code":"endpoint_failed"`, name)
					assert.Contains(t, body, `"outcome":"unknown"`, name)
				}
				assert.EqualValues(t, 1, runs.Load(), name)
				if status != 429 { // A request that may be repeated waits for another endpoint.
					resp, _, _ := f.exchangeRaw("GET", "/stock", q[1])
					if !isStream {
						assert.Equal(t, status, resp.StatusCode, name)
						assert.Equal(t, "1", resp.Header.Get("Retry-After"), name)
					}
				}
			}
		}
	}
}

// TestUnansweredPaymentIsNoPromise guards against the status of a refusal for a payment that its endpoint ran and did not answer in time.
func TestUnansweredPaymentIsNoPromise(t *testing.T) {
	isOver := make(chan struct{})
	var runs atomic.Int64
	f := newFixture(t, func(f *fixture) {
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			<-isOver
		}))
		t.Cleanup(srv.Close)
		t.Cleanup(func() { close(isOver) })
		f.Dispatcher.ServiceEndpoints = func(string) []afplacement.Replica {
			return []afplacement.Replica{{Endpoint: "p1", Address: srv.Listener.Addr().String(), Slots: 8}}
		}
	})
	for range 2 {
		resp, body, _ := f.exchangeRaw("POST", "/pay", "1.1", "Idempotency-Key: k", "X-Request-Timeout: 0.3")
		require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, body)
		require.Contains(t, body, `"code":"deadline_exceeded"`)
		require.Contains(t, body, `"outcome":"unknown"`)
	}
	require.EqualValues(t, 1, runs.Load())
}
