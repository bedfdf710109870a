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

// client sends requests of one kind and measures the time to their answers.
type client struct {
	newRequest func(ctx context.Context) (*http.Request, error)
	transport  *http.Transport
}

// maxClientConns limits the connections of a client to one address.
const maxClientConns = 1024

func newClient(request func(ctx context.Context) (*http.Request, error)) *client {
	return &client{newRequest: request, transport: &http.Transport{
		MaxIdleConnsPerHost: maxClientConns, MaxConnsPerHost: maxClientConns, DisableCompression: true,
	}}
}

// newChatRequest returns a function that creates requests with the body to the callers' interface at the address.
func newChatRequest(address, body string) func(context.Context) (*http.Request, error) {
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

func formatChatBody(model string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":%d,"stream":%t}`, model, tokens, stream)
}

// sendRequest sends one request and returns the times to the first byte of the answer's body and to its end.
func (c *client) sendRequest(ctx context.Context) (first, whole time.Duration, err error) {
	req, err := c.newRequest(ctx)
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

// runClosedLoop sends requests one after another on each of n connections. It returns the latencies of the answered
// requests and their number per second.
func (c *client) runClosedLoop(ctx context.Context, n int, length time.Duration) (Latencies, float64, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	latencies := newLatencies()
	var mu sync.Mutex
	var lastErr error
	var wg sync.WaitGroup
	start := time.Now()
	for range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				first, whole, err := c.sendRequest(ctx)
				if err != nil && ctx.Err() != nil {
					return
				}
				mu.Lock()
				if err != nil {
					lastErr = err
				} else {
					latencies.recordAnswer(first, whole)
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return latencies, float64(latencies.WholeAnswer.TotalCount()) / time.Since(start).Seconds(), lastErr
}

// Latencies holds the times to the first byte and to the end of answers, in microseconds.
type Latencies struct {
	FirstByte   *hdrhistogram.Histogram
	WholeAnswer *hdrhistogram.Histogram
}

func newLatencies() Latencies {
	const maxMicroseconds, significantDigits = 60_000_000, 3
	return Latencies{FirstByte: hdrhistogram.New(1, maxMicroseconds, significantDigits), WholeAnswer: hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

// recordAnswer records the times of one answer. Times above the maximum of the histograms are dropped.
func (t Latencies) recordAnswer(first, whole time.Duration) {
	_ = t.FirstByte.RecordValue(first.Microseconds())
	_ = t.WholeAnswer.RecordValue(whole.Microseconds())
}

// runOpenLoop sends requests at a constant rate, in requests per second, without waiting for answers.
func (c *client) runOpenLoop(ctx context.Context, rate float64, length time.Duration) (Latencies, error) {
	latencies := newLatencies()
	var mu sync.Mutex
	var lastErr error
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); {
		<-tick.C
		wg.Go(func() {
			first, whole, err := c.sendRequest(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			latencies.recordAnswer(first, whole)
		})
	}
	wg.Wait()
	return latencies, lastErr
}

// openRequests opens n connections, sends a request on each and returns the connections with the requests in progress.
// If waitFirstByte is true, it waits for the first byte of each answer.
func openRequests(address, body string, n int, waitFirstByte bool) ([]net.Conn, error) {
	conns := make([]net.Conn, n)
	errs := make(chan error, n)
	dialSlots := make(chan struct{}, 64)
	for i := range n {
		go func() {
			dialSlots <- struct{}{}
			defer func() { <-dialSlots }()
			c, err := net.Dial("tcp", address)
			if err != nil {
				errs <- err
				return
			}
			conns[i] = c
			_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
				address, benchKey, len(body), body)
			if err == nil && waitFirstByte {
				_, err = bufio.NewReaderSize(c, 16).ReadByte()
			}
			errs <- err
		}()
	}
	var lastErr error
	for range n {
		if err := <-errs; err != nil {
			lastErr = err
		}
	}
	return conns, lastErr
}

func closeConns(conns []net.Conn) {
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
}
