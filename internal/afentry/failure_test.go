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

const streamBody = `{"model":"small","messages":[],"max_tokens":%d,"stream":true}`

// TestBrokenStream guards against a stream that ends normally although its engine died: it ends with an error
// event, without [DONE] and without the end of the body.
func TestBrokenStream(t *testing.T) {
	r := newRig(t, func(r *rig) { r.engine.SetFaults(faultCut(2)) })
	text := readAll(r.request("POST", pathChat, fmt.Sprintf(streamBody, 5), auth))
	require.Contains(t, text, `"t1 "`)
	require.Contains(t, text, `"code":"endpoint_failed"`)
	require.Contains(t, text, `"outcome":"unknown"`)
	require.NotContains(t, text, "[DONE]")
	require.True(t, strings.HasSuffix(text, "\n\n<unexpected EOF>"), text)
}

// TestCutAnswer guards against a whole answer that is cut being passed on, and against running a payment twice
// because of it.
func TestCutAnswer(t *testing.T) {
	r := newRig(t, func(r *rig) { r.plain.SetFaults(faultCut(1)) })
	for range 2 {
		resp := r.request("POST", "/pay", `{"id":"p"}`, auth, "Idempotency-Key: k")
		text := readAll(resp)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		require.Contains(t, text, `"outcome":"unknown"`)
	}
	require.Equal(t, map[string]int{"p": 1}, r.plain.Runs())
}

// TestResume guards a stream that breaks at an engine that resumes streams: the caller gets each token once.
func TestResume(t *testing.T) {
	r := newRig(t, func(r *rig) { r.engine.Resume = true; r.engine.SetFaults(faultCut(6)) })
	text := readAll(r.request("POST", pathChat, fmt.Sprintf(streamBody, 10), auth))
	for n := range 10 {
		require.Equal(t, 1, strings.Count(text, fmt.Sprintf(`"t%d "`, n)), "token %d in %s", n, text)
	}
	require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"), text)
}

// TestWithdrawnKey guards against open streams and waiting requests that outlive their key. Requests of another
// key go on.
func TestWithdrawnKey(t *testing.T) {
	ended := make(chan bool, 2)
	demand := make(chan int, 8)
	r := newRig(t, func(r *rig) {
		r.engine.Next = time.Hour
		r.engine.Ended = func(cancelled bool) { ended <- cancelled }
		r.Dispatcher.OnWaitingChanged = func(_ string, waiting int, _ time.Time) { demand <- waiting }
	})
	open := r.request("POST", pathChat, fmt.Sprintf(streamBody, 5), auth)
	other := r.request("POST", pathChat, fmt.Sprintf(streamBody, 5), "Authorization: Bearer "+secondKey)
	waiting := make(chan string)
	go func() {
		waiting <- readAll(r.request("POST", pathChat, `{"model":"cold","messages":[]}`, auth))
	}()
	require.Equal(t, 1, <-demand)
	withdrawal := object(t, afobject.Keys, "k1",
		arbutusfork.APIKey{Name: "k1", Customer: "acme", Digest: arbutusfork.DigestSecret(goodKey), IsWithdrawn: true})
	withdrawal.Version = 2
	next, err := r.config.Load().With(2, withdrawal)
	require.NoError(t, err)
	r.config.Store(next)
	r.RecheckKeys(next)
	text := readAll(open)
	require.Contains(t, text, `"code":"key_withdrawn"`)
	require.NotContains(t, text, "[DONE]")
	require.True(t, <-ended, "the engine's stream goes on")
	text = <-waiting
	require.Contains(t, text, `"code":"key_withdrawn"`)
	require.Contains(t, text, `"outcome":"not run"`)
	require.Equal(t, 0, <-demand)
	b := make([]byte, 5)
	_, err = io.ReadFull(other.Body, b)
	require.NoError(t, err)
	require.Equal(t, "data:", string(b))
	require.Equal(t, 1, len(r.snapshotActive()))
	_ = other.Body.Close()
	require.True(t, <-ended)
}

func (s *Server) snapshotActive() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for a := range s.active {
		out = append(out, a.digest)
	}
	return out
}

// TestStaleStream guards against keyed streams that go on for long on a VM that no longer hears of withdrawals.
func TestStaleStream(t *testing.T) {
	r := newRig(t, func(r *rig) { r.engine.Next = time.Hour; r.StaleConfigTimeout = time.Millisecond })
	open := r.request("POST", pathChat, fmt.Sprintf(streamBody, 5), auth)
	r.fresh.Store(false)
	require.Contains(t, readAll(open), `"code":"configuration_stale"`)
}

// TestHangUp guards against work that goes on for callers that are gone, while they wait and in mid-stream.
func TestHangUp(t *testing.T) {
	ended := make(chan bool, 1)
	demand := make(chan int, 8)
	r := newRig(t, func(r *rig) {
		r.engine.Next = time.Hour
		r.engine.Ended = func(cancelled bool) { ended <- cancelled }
		r.Dispatcher.OnWaitingChanged = func(_ string, waiting int, _ time.Time) { demand <- waiting }
	})
	resp := r.request("POST", pathChat, fmt.Sprintf(streamBody, 5), auth)
	_ = resp.Body.Close()
	require.True(t, <-ended)
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	body := `{"model":"cold","messages":[]}`
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: %d\r\n\r\n%s", pathChat, auth, len(body), body)
	require.NoError(t, err)
	require.Equal(t, 1, <-demand)
	_ = c.Close()
	require.Equal(t, 0, <-demand)
}

// TestHungUpPayment guards a payment whose caller hangs up while it runs: a retry gets its answer and does not
// run it again.
func TestHungUpPayment(t *testing.T) {
	reached, answer, finished := make(chan struct{}), make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(reached)
		<-answer
		_, _ = io.WriteString(w, "paid")
	}))
	defer srv.Close()
	r := newRig(t, func(r *rig) {
		r.Dispatcher.ServiceEndpoints = func(string) []afplacement.Replica {
			return []afplacement.Replica{{Endpoint: "p", Address: srv.Listener.Addr().String(), Slots: 1}}
		}
		r.FinishCall = func(c afclaim.Call, a afclaim.Answer) { r.finish(c, a); close(finished) }
	})
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, err = fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: x\r\n%s\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}", auth)
	require.NoError(t, err)
	<-reached
	_ = c.Close()
	close(answer)
	<-finished
	require.Equal(t, "paid", readAll(r.request("POST", "/pay", "{}", auth, "Idempotency-Key: k")))
}

// TestSlowReader guards against memory that grows with what a caller does not read, and against an engine that
// works for a caller that never reads.
func TestSlowReader(t *testing.T) {
	ended := make(chan bool, 1)
	r := newRig(t, func(r *rig) {
		r.WriteTimeout = 100 * time.Millisecond
		r.engine.Ended = func(cancelled bool) { ended <- cancelled }
	})
	resp := r.request("POST", pathChat, fmt.Sprintf(streamBody, 10_000_000), auth)
	require.True(t, <-ended)
	require.NotContains(t, readAll(resp), "[DONE]")
}

// TestCrossedAnswers guards against answers that reach another caller's request when they arrive in another
// order than their requests, over shared connections.
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
		// Answers leave in the reverse order of arrival.
		<-release[n+1]
		_, _ = io.WriteString(w, req.URL.Path)
		close(release[n])
	}))
	defer srv.Close()
	r := newRig(t, func(r *rig) {
		r.Dispatcher.ServiceEndpoints = func(string) []afplacement.Replica {
			return []afplacement.Replica{{Endpoint: "p", Address: srv.Listener.Addr().String(), Slots: callers}}
		}
	})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			path := fmt.Sprintf("/stock/%d", i)
			if text := readAll(r.request("GET", path, "")); text != path {
				t.Errorf("the answer to %s is %q", path, text)
			}
		})
	}
	wg.Wait()
}

// TestDrain guards the graceful shutdown: a running stream ends whole, and new connections are refused as not run.
func TestDrain(t *testing.T) {
	r := newRig(t, func(r *rig) { r.engine.Next = 20 * time.Millisecond })
	open := r.request("POST", pathChat, fmt.Sprintf(streamBody, 20), auth)
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	b := bufio.NewReader(c)
	ask := func() (*http.Response, error) {
		_, err := io.WriteString(c, "GET /stock/nut HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		return http.ReadResponse(b, nil)
	}
	resp, err := ask()
	require.NoError(t, err)
	_ = readAll(resp)
	drained := make(chan int)
	r.draining.Store(true)
	resp, err = ask()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "a request on an open connection is served")
	require.True(t, resp.Close)
	resp = r.request("POST", pathChat, fmt.Sprintf(streamBody, 20), auth)
	text := readAll(resp)
	require.Contains(t, text, `"code":"shutting_down"`)
	require.Contains(t, text, `"outcome":"not run"`)
	go func() {
		r.Drain(context.Background())
		drained <- r.running()
	}()
	require.True(t, strings.HasSuffix(readAll(open), "data: [DONE]\n\n"))
	require.Zero(t, <-drained, "the drain ended before its requests")
}
