package afbench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	largeBodyBytes, smallBodyBytes = 4_000_000, 1_000
	// usualCallers arrive in usualPeriod with the usual load. Each sends small and large requests in turn.
	usualCallers = 17
	usualPeriod  = 11400 * time.Millisecond
	// arrivalPeriod is how long callers arrive.
	arrivalPeriod = 6500 * time.Millisecond
	// requestsPerCaller is the number of requests of each caller, one after another.
	requestsPerCaller = 4
	// smallInterval is the time between two small requests that are sent beside the callers.
	smallInterval = 100 * time.Millisecond
	// promptTime is the time from a large prompt to its first event, and eventPause the time between two events.
	promptTime, eventPause = 1500 * time.Millisecond, 500 * time.Millisecond
	// drippedBytesPerSecond is the speed of slow bodies.
	drippedBytesPerSecond = 1 << 10
	memorySampleInterval  = 10 * time.Millisecond
	memoryRequestTimeout  = 60 * time.Second
)

// MemoryPlan configures MeasureMemory.
type MemoryPlan struct {
	// ProgramPath is the path of the daemon's binary.
	ProgramPath string
	// MemoryMB is the memory limit of the daemon in MB.
	MemoryMB int
	// LoadFactor is how many times the usual load is sent.
	LoadFactor float64
	// IsDripped sends the large bodies at 1 KB a second.
	IsDripped bool
	Output    io.Writer
}

// requestCounts counts the requests of one kind by what their callers got. Other means another status or none.
type requestCounts struct {
	answered, refused, timedOut, other atomic.Int64
	// lastOther describes the last of the others.
	lastOther atomic.Value
}

// addOther counts a request with another status or none.
func (c *requestCounts) addOther(cause string) {
	c.other.Add(1)
	c.lastOther.Store(cause)
}

func (c *requestCounts) String() string {
	text := fmt.Sprintf("%d answered, %d refused with 503, %d with 408, %d other", c.answered.Load(), c.refused.Load(), c.timedOut.Load(), c.other.Load())
	if cause, ok := c.lastOther.Load().(string); ok {
		text += ", the last: " + cause
	}
	return text
}

// MeasureMemory starts a gateway, sends it large and small bodies of many callers, and prints its peak anonymous memory and
// what the callers got.
func MeasureMemory(ctx context.Context, p MemoryPlan) error {
	dir, err := os.MkdirTemp("", "arbutusfork-bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	g := &gateway{GatewayPlan: GatewayPlan{ProgramPath: p.ProgramPath, Output: p.Output}, memoryLimitMB: p.MemoryMB, wrapEngine: slowDownLarge}
	if err := g.startDaemon(ctx, dir); err != nil {
		return errors.Wrap(err, "start the gateway")
	}
	defer func() {
		_ = g.cmd.Process.Kill()
		_ = g.cmd.Wait() // Wait reports that the process was killed.
	}()
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	var peak int64
	var beside, callers sync.WaitGroup
	var besideCounts, smallCounts, largeCounts requestCounts
	beside.Go(func() {
		for wait(runCtx, memorySampleInterval) {
			peak = max(peak, anonymousKB(g.cmd.Process.Pid))
		}
	})
	beside.Go(func() {
		for wait(runCtx, smallInterval) {
			beside.Go(func() { g.sendBody(ctx, http.DefaultClient, false, false, &besideCounts) })
		}
	})
	interval := time.Duration(float64(usualPeriod) / usualCallers / p.LoadFactor)
	count := int(arrivalPeriod / interval)
	for i := range count {
		callers.Go(func() {
			wait(ctx, time.Duration(i)*interval)
			c := &http.Client{Transport: &http.Transport{}, Timeout: memoryRequestTimeout}
			defer c.CloseIdleConnections()
			for k := range requestsPerCaller {
				if k%2 == 0 {
					g.sendBody(ctx, c, false, false, &smallCounts)
				} else {
					g.sendBody(ctx, c, true, p.IsDripped, &largeCounts)
				}
			}
		})
	}
	callers.Wait()
	stop()
	beside.Wait()
	_, _ = fmt.Fprintf(p.Output, "limit %d MB, load x %.1f, dripped %t, %d callers: peak %.0f MB (%.0f %%)\n  small beside: %s\n  small: %s\n  large: %s\n",
		p.MemoryMB, p.LoadFactor, p.IsDripped, count, float64(peak)/1024, float64(peak)/1024/float64(p.MemoryMB)*100, &besideCounts, &smallCounts, &largeCounts)
	return nil
}

// sendBody sends one request and counts what its caller got.
func (g *gateway) sendBody(ctx context.Context, c *http.Client, isLarge, isDripped bool, counts *requestCounts) {
	size := smallBodyBytes
	if isLarge {
		size = largeBodyBytes
	}
	r, err := g.newRequest(ctx, "/talk/x", warmModel, nil)
	if err != nil {
		counts.addOther(err.Error())
		return
	}
	r.Method, r.ContentLength = http.MethodPost, int64(size)
	var body io.Reader = bytes.NewReader(bytes.Repeat([]byte("x"), size))
	if isDripped {
		body = &drippingReader{ctx: ctx, reader: body}
	}
	r.Body = io.NopCloser(body)
	resp, err := c.Do(r)
	if err != nil {
		counts.addOther(err.Error())
		return
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	switch {
	case err != nil:
		counts.addOther(err.Error())
	case resp.StatusCode == http.StatusOK:
		counts.answered.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		counts.refused.Add(1)
	case resp.StatusCode == http.StatusRequestTimeout:
		counts.timedOut.Add(1)
	default:
		counts.addOther(resp.Status + ": " + string(text))
	}
}

// drippingReader returns drippedBytesPerSecond bytes a second.
type drippingReader struct {
	ctx    context.Context
	reader io.Reader
}

func (d *drippingReader) Read(b []byte) (int, error) {
	if !wait(d.ctx, time.Second) {
		return 0, d.ctx.Err()
	}
	return d.reader.Read(b[:min(len(b), drippedBytesPerSecond)])
}

// slowDownLarge returns a handler that reads the body and answers large requests like a busy engine.
func slowDownLarge(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A server that closes a connection with an unread body resets it, and the gateway loses the end of the answer.
		switch n, err := io.Copy(io.Discard, r.Body); {
		case err != nil:
		case n < largeBodyBytes:
			h.ServeHTTP(w, r)
		case wait(r.Context(), promptTime):
			h.ServeHTTP(&slowWriter{w, r.Context()}, r)
		}
	})
}

// slowWriter pauses after each flush.
type slowWriter struct {
	http.ResponseWriter
	ctx context.Context
}

// Flush flushes and pauses.
func (w *slowWriter) Flush() {
	_ = http.NewResponseController(w.ResponseWriter).Flush() // A failed flush shows at the next write.
	wait(w.ctx, eventPause)
}

// wait waits for d. It returns false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// anonymousKB returns the resident anonymous memory of a process in KB, which the platform counts, or 0 if it has ended.
func anonymousKB(pid int) int64 {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")), 10, 64)
			return kb
		}
	}
	return 0
}
