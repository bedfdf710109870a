package afentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
	"arbutusfork.example/arbutusfork/pkg/afobject"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

const streamBodyFormat = `{"model":"small","messages":[],"max_tokens":%d,"stream":true}`

// TestBrokenStream guards against a stream that ends like a complete one although the engine closed the connection early.
// The stream must end with an error event, without [DONE] and without the last chunk of the body.
func TestBrokenStream(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.engine.SetFaults(cutAfterTokens(2)) })
	text := readBody(f.request("POST", pathChat, fmt.Sprintf(streamBodyFormat, 5), authHeader))
	require.Contains(t, text, `"t1 "`)
	require.Contains(t, text, `"code":"endpoint_failed"`)
	require.Contains(t, text, `"outcome":"unknown"`)
	require.NotContains(t, text, "[DONE]")
	require.True(t, strings.HasSuffix(text, "\n\n<unexpected EOF>"), text)
}

// TestCutAnswer guards against forwarding a response that the endpoint truncated, and against running a payment again
// because of a truncated response.
func TestCutAnswer(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.plainService.SetFaults(cutAfterTokens(1)) })
	for range 2 {
		resp := f.request("POST", "/pay", `{"id":"p"}`, authHeader, "Idempotency-Key: k")
		text := readBody(resp)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		require.Contains(t, text, `"outcome":"unknown"`)
	}
	require.Equal(t, map[string]int{"p": 1}, f.plainService.PaymentRuns())
}

// TestResume guards against lost or repeated tokens when a stream is interrupted and the engine resumes it.
func TestResume(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.engine.SupportsResume = true; f.engine.SetFaults(cutAfterTokens(6)) })
	text := readBody(f.request("POST", pathChat, fmt.Sprintf(streamBodyFormat, 10), authHeader))
	for n := range 10 {
		require.Equal(t, 1, strings.Count(text, fmt.Sprintf(`"t%d "`, n)), "token %d in %s", n, text)
	}
	require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"), text)
}

// TestWithdrawnKey guards against open streams and waiting requests that continue after their key was withdrawn, and against
// cancelling requests with another key.
func TestWithdrawnKey(t *testing.T) {
	ended := make(chan bool, 2)
	demand := make(chan int, 8)
	f := newFixture(t, func(f *fixture) {
		f.engine.TokenInterval = time.Hour
		f.engine.OnRequestEnd = func(cancelled bool) { ended <- cancelled }
		f.Dispatcher.OnWaitingChanged = func(_ string, waiting int, _ time.Time) { demand <- waiting }
	})
	open := f.request("POST", pathChat, fmt.Sprintf(streamBodyFormat, 5), authHeader)
	other := f.request("POST", pathChat, fmt.Sprintf(streamBodyFormat, 5), "Authorization: Bearer "+secondKey)
	waiting := make(chan string)
	go func() {
		waiting <- readBody(f.request("POST", pathChat, `{"model":"cold","messages":[]}`, authHeader))
	}()
	require.Equal(t, 1, <-demand)
	withdrawal := newObject(t, afobject.KindKeys, "k1",
		arbutusfork.APIKey{Name: "k1", Customer: "acme", Digest: arbutusfork.DigestSecret(goodKey), IsWithdrawn: true})
	withdrawal.Version = 2
	next, err := f.config.Load().WithObjects(2, withdrawal)
	require.NoError(t, err)
	f.config.Store(next)
	f.RecheckKeys(next)
	text := readBody(open)
	require.Contains(t, text, `"code":"key_withdrawn"`)
	require.NotContains(t, text, "[DONE]")
	require.True(t, <-ended, "the engine must see its stream cancelled")
	text = <-waiting
	require.Contains(t, text, `"code":"key_withdrawn"`)
	require.Contains(t, text, `"outcome":"not run"`)
	require.Equal(t, 0, <-demand)
	b := make([]byte, 5)
	_, err = io.ReadFull(other.Body, b)
	require.NoError(t, err)
	require.Equal(t, "data:", string(b))
	require.Equal(t, 1, len(f.runningDigests()))
	_ = other.Body.Close()
	require.True(t, <-ended)
}

// runningDigests returns the key digests of the running requests.
func (s *Server) runningDigests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for a := range s.runningRequests {
		out = append(out, a.keyDigest)
	}
	return out
}

// TestStaleStream guards against streams that continue on a VM whose configuration is stale and may lack the withdrawal of
// their key.
func TestStaleStream(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.engine.TokenInterval = time.Hour; f.StaleConfigTimeout = time.Millisecond })
	open := f.request("POST", pathChat, fmt.Sprintf(streamBodyFormat, 5), authHeader)
	f.isConfigFresh.Store(false)
	require.Contains(t, readBody(open), `"code":"configuration_stale"`)
}

// TestCallerDisconnects guards against requests that continue after their caller has disconnected, both while they wait for a
// replica and during a stream.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan bool, 1)
	demand := make(chan int, 8)
	f := newFixture(t, func(f *fixture) {
		f.engine.TokenInterval = time.Hour
		f.engine.OnRequestEnd = func(cancelled bool) { ended <- cancelled }
		f.Dispatcher.OnWaitingChanged = func(_ string, waiting int, _ time.Time) { demand <- waiting }
	})
	resp := f.request("POST", pathChat, fmt.Sprintf(streamBodyFormat, 5), authHeader)
	_ = resp.Body.Close()
	require.True(t, <-ended)
	c, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	body := `{"model":"cold","messages":[]}`
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: %d\r\n\r\n%s", pathChat, authHeader, len(body), body)
	require.NoError(t, err)
	require.Equal(t, 1, <-demand)
	_ = c.Close()
	require.Equal(t, 0, <-demand)
}

// TestHungUpPayment guards against running a payment again when its caller disconnects during the call and retries. The
// retry must get the response of the first call.
func TestHungUpPayment(t *testing.T) {
	reached, answer, finished := make(chan struct{}), make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(reached)
		<-answer
		_, _ = io.WriteString(w, "paid")
	}))
	defer srv.Close()
	f := newFixture(t, func(f *fixture) {
		f.Dispatcher.ServiceEndpoints = func(string) []afplacement.Replica {
			return []afplacement.Replica{{Endpoint: "p", Address: srv.Listener.Addr().String(), Slots: 1}}
		}
		f.FinishCall = func(c afclaim.Call, a afclaim.Answer) { f.finish(c, a); close(finished) }
	})
	c, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	_, err = fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: x\r\n%s\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}", authHeader)
	require.NoError(t, err)
	<-reached
	_ = c.Close()
	close(answer)
	<-finished
	require.Equal(t, "paid", readBody(f.request("POST", "/pay", "{}", authHeader, "Idempotency-Key: k")))
}

// TestSlowReader guards against unbounded buffering for a caller that does not read its response, and against an engine that
// continues to generate for such a caller.
func TestSlowReader(t *testing.T) {
	ended := make(chan bool, 1)
	f := newFixture(t, func(f *fixture) {
		f.WriteTimeout = 100 * time.Millisecond
		f.engine.OnRequestEnd = func(cancelled bool) { ended <- cancelled }
	})
	resp := f.request("POST", pathChat, fmt.Sprintf(streamBodyFormat, 10_000_000), authHeader)
	require.True(t, <-ended)
	require.NotContains(t, readBody(resp), "[DONE]")
}

// TestCrossedAnswers guards against a response that reaches another caller when an endpoint responds in another order than
// that of the requests, over shared connections.
func TestCrossedAnswers(t *testing.T) {
	const callers = 50
	var mu sync.Mutex
	arrived := 0
	release := make([]chan struct{}, callers+1)
	for i := range release {
		release[i] = make(chan struct{})
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		n := arrived % callers
		arrived++
		if n == callers-1 {
			close(release[callers])
		}
		mu.Unlock()
		// Responses are sent in the reverse order of the requests.
		<-release[n+1]
		_, _ = io.WriteString(w, req.URL.Path)
		close(release[n])
	}))
	defer srv.Close()
	f := newFixture(t, func(f *fixture) {
		f.Dispatcher.ServiceEndpoints = func(string) []afplacement.Replica {
			return []afplacement.Replica{{Endpoint: "p", Address: srv.Listener.Addr().String(), Slots: callers}}
		}
	})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			path := fmt.Sprintf("/stock/%d", i)
			if text := readBody(f.request("GET", path, "")); text != path {
				t.Errorf("the response to %s is %q", path, text)
			}
		})
	}
	wg.Wait()
}

// TestDrain guards against a graceful shutdown that truncates a running stream, refuses a request on an open connection, or
// serves a request on a new one.
func TestDrain(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.engine.TokenInterval = 20 * time.Millisecond })
	openStream := f.request("POST", pathChat, fmt.Sprintf(streamBodyFormat, 20), authHeader)
	c, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	b := bufio.NewReader(c)
	sendRequest := func() (*http.Response, error) {
		_, err := io.WriteString(c, "GET /stock/nut HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		return http.ReadResponse(b, nil)
	}
	resp, err := sendRequest()
	require.NoError(t, err)
	_ = readBody(resp)
	drained := make(chan int)
	f.isDraining.Store(true)
	resp, err = sendRequest()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "a request on an open connection must be served")
	require.True(t, resp.Close)
	resp = f.request("POST", pathChat, fmt.Sprintf(streamBodyFormat, 20), authHeader)
	text := readBody(resp)
	require.Contains(t, text, `"code":"shutting_down"`)
	require.Contains(t, text, `"outcome":"not run"`)
	go func() {
		f.Drain(context.Background())
		drained <- f.countOpenWork()
	}()
	require.True(t, strings.HasSuffix(readBody(openStream), "data: [DONE]\n\n"))
	require.Zero(t, <-drained, "Drain returned before all requests had ended")
}
