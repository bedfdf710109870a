package afentry

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"testing"

	"github.com/lesismal/nbio/mempool"
	"github.com/stretchr/testify/require"
)

// pool replaces nbhttp's buffer pool in all tests of the package. It never reuses a buffer and records each use of a freed
// buffer.
var pool = &checkedPool{freed: make(map[*[]byte]string)}

// maxMisuseReports limits the number of recorded stacks.
const maxMisuseReports = 4

// checkedPool is a buffer pool that detects the use of freed buffers.
type checkedPool struct {
	mu sync.Mutex
	// freed holds the stack of the call of Free for each freed buffer.
	freed map[*[]byte]string
	// misuses counts the uses of freed buffers.
	misuses int
	// reports describes the first uses of freed buffers.
	reports []string
}

func (p *checkedPool) Malloc(size int) *[]byte {
	b := make([]byte, size)
	return &b
}

func (p *checkedPool) Realloc(b *[]byte, size int) *[]byte {
	p.recordMisuse("realloc", b)
	*b = append(make([]byte, 0, size), *b...)[:size]
	return b
}

func (p *checkedPool) Append(b *[]byte, more ...byte) *[]byte {
	p.recordMisuse("append", b)
	*b = append(*b, more...)
	return b
}

func (p *checkedPool) AppendString(b *[]byte, more string) *[]byte {
	p.recordMisuse("append", b)
	*b = append(*b, more...)
	return b
}

func (p *checkedPool) Free(b *[]byte) {
	if b == nil {
		return
	}
	p.recordMisuse("free", b)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freed[b] = string(debug.Stack())
}

// recordMisuse records the operation if the buffer was freed before.
func (p *checkedPool) recordMisuse(op string, b *[]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	freeStack, isFreed := p.freed[b]
	if !isFreed {
		return
	}
	p.misuses++
	if len(p.reports) < maxMisuseReports {
		p.reports = append(p.reports, fmt.Sprintf("%s of a freed buffer\nfreed by %s\nused by %s", op, freeStack, debug.Stack()))
	}
}

// describeMisuses returns a description of the recorded misuses, or an empty string if there are none.
func (p *checkedPool) describeMisuses() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.misuses == 0 {
		return ""
	}
	return fmt.Sprintf("%d uses of freed buffers, the first:\n%s", p.misuses, strings.Join(p.reports, "\n"))
}

func TestMain(m *testing.M) {
	mempool.DefaultMemPool = pool
	rc := m.Run()
	if text := pool.describeMisuses(); text != "" {
		fmt.Fprintln(os.Stderr, text)
		rc = 1
	}
	os.Exit(rc)
}

// TestLargeEvents guards against bytes of one response in another. That happened when the events of a stream exceeded
// nbhttp's buffer: nbhttp freed the buffer and continued to use it.
func TestLargeEvents(t *testing.T) {
	cases := map[string]struct{ events, size int }{
		"many small events at once": {5000, 151},
		"large first event":         {4, 70_000},
		"larger than two buffers":   {2, 200_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(f *fixture) {
				f.ForwardRequest = func(caller *CallerConn, w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Type", "text/event-stream")
					w.WriteHeader(http.StatusOK)
					for i := range c.events {
						_, _ = w.Write(bytes.Repeat([]byte{byte('a' + i%26)}, c.size))
					}
					_ = caller.Flush()
				}
			})
			text := readBody(f.request("GET", "/", ""))
			require.Len(t, text, c.events*c.size)
			for i := range c.events {
				require.Equal(t, strings.Repeat(string(rune('a'+i%26)), c.size), text[i*c.size:][:c.size], "event %d", i)
			}
			require.Empty(t, pool.describeMisuses())
		})
	}
}
