package afentry

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afmemory"
)

// echoRequest answers with the method and a digest of the body.
func echoRequest(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	writeResponse(w, r.Method, http.StatusOK, "text/plain", fmt.Appendf(nil, "%s %d %x", r.Method, len(body), sha256.Sum256(body)))
}

// Guards against bodies of many callers that hold more memory than the process has, also while they are being received, and
// against small requests that are refused because of them.
func TestBodiesOfAllCallersAreBounded(t *testing.T) {
	const callers, length = 16, 1 << 20
	for name, text := range map[string]string{
		"whole":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length)),
		"partial": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, "x"),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", length, strings.Repeat("x", length)),
	} {
		t.Run(name, func(t *testing.T) {
			running, end := make(chan struct{}, callers), make(chan struct{})
			f := newFixture(t, func(f *fixture) {
				f.Memory = &afmemory.Budget{Limit: 8 << 20}
				f.ForwardRequest = func(_ *CallerConn, w http.ResponseWriter, r *http.Request) {
					if b, ok := r.Body.(*Body); ok && b.IsRefused() {
						writeRefusal(w, r.Method, outOfMemory(), "", "")
						return
					}
					if r.URL.Path == "/large" {
						running <- struct{}{}
						<-end
					}
					echoRequest(w, r)
				}
			})
			refused := make(chan string, callers)
			conns := make([]net.Conn, callers)
			for i := range conns {
				c, err := net.Dial("tcp", f.Addr())
				require.NoError(t, err)
				conns[i] = c
				go func() {
					go func() { _, _ = io.WriteString(c, "POST /large HTTP/1.1\r\nHost: x\r\n"+text) }()
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err == nil && resp.StatusCode != http.StatusOK {
						refused <- fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Retry-After"))
						return
					}
					refused <- ""
				}()
			}
			const admitted = 5 // Five of them fit into three quarters of the bound, beside heads and connections.
			isHeld := func() bool { return f.Memory.ReservedBytesOf(afmemory.Body) <= 6<<20 }
			for range callers - admitted {
				require.Equal(t, "503 1", <-refused)
				require.True(t, isHeld())
			}
			require.Equal(t, http.StatusOK, f.request("POST", "/small", "x").StatusCode)
			close(end)
			for _, c := range conns {
				_ = c.Close()
			}
			require.Eventually(t, func() bool {
				return f.Memory.ReservedBytes() <= 2*connectionBytes && f.Memory.ReservedBytesOf(afmemory.Body) == 0
			}, time.Minute, time.Millisecond, "memory of ended requests is still held")
		})
	}
}

// Guards against bodies that are mixed up, cut or lost when requests arrive in other parts than they were sent in.
func TestRequestsInAnyParts(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.ForwardRequest = func(c *CallerConn, w http.ResponseWriter, r *http.Request) { echoRequest(w, r); _ = c.Flush() }
	})
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var sent strings.Builder
		var want []string
		for range 8 {
			body := strings.Repeat(string(rune('a'+rng.IntN(26))), rng.IntN(300))
			if rng.IntN(2) == 0 {
				body += "\r\n\r\nGET / HTTP/1.1\r\n\r\n"
			}
			method := "POST"
			switch rng.IntN(3) {
			case 0:
				method, body = "GET", ""
				sent.WriteString("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			case 1:
				fmt.Fprintf(&sent, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			default:
				sent.WriteString("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: x\r\n\r\n")
				for rest := body; rest != ""; {
					n := 1 + rng.IntN(len(rest))
					fmt.Fprintf(&sent, "%x\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				sent.WriteString("0\r\n\r\n")
			}
			want = append(want, fmt.Sprintf("%s %d %x", method, len(body), sha256.Sum256([]byte(body))))
		}
		c, err := net.Dial("tcp", f.Addr())
		require.NoError(t, err)
		for rest := sent.String(); rest != ""; {
			n := 1 + rng.IntN(min(len(rest), 1+rng.IntN(200)))
			_, err := io.WriteString(c, rest[:n])
			require.NoError(t, err)
			rest = rest[n:]
		}
		answers := bufio.NewReader(c)
		for i, w := range want {
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err, "seed %d request %d", seed, i)
			require.Equal(t, w, readBody(resp), "seed %d request %d", seed, i)
		}
		_ = c.Close()
	}
	require.Eventually(t, func() bool { return f.Memory.ReservedBytes() == 0 }, time.Minute, time.Millisecond, "memory of ended requests is still held")
}

// Guards against limits of the configuration that do not apply to open connections, or that close a connection before it has
// been idle for as long as callers may rely on.
func TestLimitsOfConfiguration(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{MaxHeaderBytes: 4000, MaxBodyBytes: 4000, HeaderTimeout: time.Hour, IdleTimeout: 2 * time.Hour})
	f := newFixture(t, func(f *fixture) {
		f.Limits = func() Limits { return *limits.Load() }
		f.ForwardRequest = func(c *CallerConn, w http.ResponseWriter, r *http.Request) { echoRequest(w, r); _ = c.Flush() }
	})
	open := func() (send func(text string) int) {
		c, err := net.Dial("tcp", f.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		answers := bufio.NewReader(c)
		return func(text string) int {
			_, _ = io.WriteString(c, text)
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				return 0 // The connection was closed.
			}
			_ = readBody(resp)
			return resp.StatusCode
		}
	}
	get := func(n int) string { return "GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", n) + "\r\n\r\n" }
	post := func(n int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
	}
	one, two, three := open(), open(), open()
	for _, send := range []func(string) int{one, two, three} {
		require.Equal(t, http.StatusOK, send(post(2000)))
		require.Equal(t, http.StatusOK, send(get(2000)))
	}
	limits.Store(&Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 1000, HeaderTimeout: time.Hour, IdleTimeout: 2 * time.Hour})
	require.Equal(t, http.StatusRequestEntityTooLarge, one(post(2000)))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, two(get(2000)))

	f.waitUntilIdle(t)
	f.sweepConns(f.Timer.Now().Add(2 * time.Hour))
	require.Equal(t, http.StatusOK, three(get(1)), "closed before the limit")
	f.waitUntilIdle(t)
	limits.Store(&Limits{IdleTimeout: time.Hour})
	f.sweepConns(f.Timer.Now().Add(2 * time.Hour))
	require.Equal(t, http.StatusOK, three(get(1)), "closed before the limit in force when it became idle")
	f.waitUntilIdle(t)
	require.Eventually(t, func() bool {
		f.sweepConns(f.Timer.Now().Add(time.Hour + 2*idleMargin))
		return f.countConns() == 0
	}, time.Minute, time.Millisecond, "open after the limit")

	limits.Store(&Limits{HeaderTimeout: time.Hour, IdleTimeout: 3 * time.Hour})
	status := make(chan int, 1)
	late := open()
	go func() { status <- late("GET / HTTP/1.1\r\nHo") }()
	require.Never(t, func() bool {
		f.sweepConns(f.Timer.Now().Add(time.Hour / 2))
		return len(status) > 0
	}, 50*time.Millisecond, time.Millisecond, "refused before the header timeout")
	require.Eventually(t, func() bool {
		f.sweepConns(f.Timer.Now().Add(time.Hour + time.Minute))
		return len(status) > 0
	}, time.Minute, time.Millisecond, "not refused after the header timeout")
	require.Equal(t, http.StatusRequestTimeout, <-status)
}

// waitUntilIdle waits until no connection runs a request. A caller has its answer a moment earlier.
func (f *fixture) waitUntilIdle(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for sc := range f.conns {
			sc.mu.Lock()
			isRunning := sc.isRunning
			sc.mu.Unlock()
			if isRunning {
				return false
			}
		}
		return true
	}, time.Minute, time.Millisecond)
}

// Guards against a refused body whose bytes are taken for the next request of the connection.
func TestRequestAfterRefusedBody(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.Memory = &afmemory.Budget{Limit: 1 << 20} })
	c, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	answers := bufio.NewReader(c)
	for range 2 {
		_, err = fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: %d\r\n\r\n", authHeader, 1<<20)
		require.NoError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "1", resp.Header.Get("Retry-After"))
		require.Contains(t, readBody(resp), `"outcome":"not run"`)
		_, err = io.WriteString(c, strings.Repeat("GET /x HTTP/1.1\n", 1<<16)+"GET /stock/nut HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		resp, err = http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.Contains(t, readBody(resp), "stock")
	}
}
