package afbench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

// client sends requests of one kind.
type client struct {
	// request makes the next request.
	request   func(ctx context.Context) (*http.Request, error)
	transport *http.Transport
}

const clientConns = 1024

func newClient(request func(ctx context.Context) (*http.Request, error)) *client {
	return &client{request: request, transport: &http.Transport{
		MaxIdleConnsPerHost: clientConns, MaxConnsPerHost: clientConns, DisableCompression: true,
	}}
}

// chat makes requests to the callers' interface at the address.
func chat(address, body string) func(context.Context) (*http.Request, error) {
	return func(ctx context.Context) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Authorization", "Bearer "+benchKey)
		return req, nil
	}
}

func chatBody(model string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":%d,"stream":%t}`, model, tokens, stream)
}

// call sends one request and returns the times to the first byte of the body and to its end.
func (c *client) call(ctx context.Context) (first, whole time.Duration, err error) {
	req, err := c.request(ctx)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var b [1]byte
	if _, err := io.ReadFull(resp.Body, b[:]); err != nil {
		return 0, 0, err
	}
	first = time.Since(start)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, 0, errors.Errorf("status %d", resp.StatusCode)
	}
	return first, time.Since(start), nil
}

// closed sends requests one after another on each of n connections. It returns the times of those that were answered
// and how many that were a second.
func (c *client) closed(ctx context.Context, n int, length time.Duration) (Latencies, float64, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	t := newTimes()
	var mu sync.Mutex
	var failed error
	var wg sync.WaitGroup
	start := time.Now()
	for range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				first, whole, err := c.call(ctx)
				if err != nil && ctx.Err() != nil {
					return
				}
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					t.record(first, whole)
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return t, float64(t.WholeAnswer.TotalCount()) / time.Since(start).Seconds(), failed
}

// Latencies holds the time to the first byte and to the end of answers, in microseconds.
type Latencies struct {
	FirstByte   *hdrhistogram.Histogram
	WholeAnswer *hdrhistogram.Histogram
}

func newTimes() Latencies {
	const limit, digits = 60_000_000, 3
	return Latencies{FirstByte: hdrhistogram.New(1, limit, digits), WholeAnswer: hdrhistogram.New(1, limit, digits)}
}

// record adds one answer. Times above the histograms' limit are left out.
func (t Latencies) record(first, whole time.Duration) {
	_ = t.FirstByte.RecordValue(first.Microseconds())
	_ = t.WholeAnswer.RecordValue(whole.Microseconds())
}

// open sends requests at a constant rate without waiting for answers.
func (c *client) open(ctx context.Context, rate float64, length time.Duration) (Latencies, error) {
	t := newTimes()
	var mu sync.Mutex
	var failed error
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); {
		<-tick.C
		wg.Go(func() {
			first, whole, err := c.call(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			t.record(first, whole)
		})
	}
	wg.Wait()
	return t, failed
}

// hold opens n connections, sends a request on each and returns them with the request in progress. If begun is
// true, it waits for the first byte of each answer.
func hold(address, body string, n int, begun bool) ([]net.Conn, error) {
	conns := make([]net.Conn, n)
	errs := make(chan error, n)
	gate := make(chan struct{}, 64)
	for i := range n {
		go func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			c, err := net.Dial("tcp", address)
			if err != nil {
				errs <- err
				return
			}
			conns[i] = c
			_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
				address, benchKey, len(body), body)
			if err == nil && begun {
				_, err = bufio.NewReaderSize(c, 16).ReadByte()
			}
			errs <- err
		}()
	}
	var failed error
	for range n {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	return conns, failed
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
}
