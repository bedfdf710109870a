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

// pool takes the place of the engine's buffer pool in all tests of the package. It never hands a buffer out twice,
// and notes each use of one that was given back.
var pool = &checkedPool{freed: make(map[*[]byte]string)}

// maxReports bounds the stacks that are kept.
const maxReports = 4

type checkedPool struct {
	mu    sync.Mutex
	freed map[*[]byte]string
	// misuses counts the uses of freed buffers, and reports has the first stacks.
	misuses int
	reports []string
}

func (p *checkedPool) Malloc(size int) *[]byte {
	b := make([]byte, size)
	return &b
}

func (p *checkedPool) Realloc(b *[]byte, size int) *[]byte {
	p.check("realloc", b)
	*b = append(make([]byte, 0, size), *b...)[:size]
	return b
}

func (p *checkedPool) Append(b *[]byte, more ...byte) *[]byte {
	p.check("append", b)
	*b = append(*b, more...)
	return b
}

func (p *checkedPool) AppendString(b *[]byte, more string) *[]byte {
	p.check("append", b)
	*b = append(*b, more...)
	return b
}

func (p *checkedPool) Free(b *[]byte) {
	if b == nil {
		return
	}
	p.check("free", b)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freed[b] = string(debug.Stack())
}

func (p *checkedPool) check(op string, b *[]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, freed := p.freed[b]
	if !freed {
		return
	}
	p.misuses++
	if len(p.reports) < maxReports {
		p.reports = append(p.reports, fmt.Sprintf("%s of a freed buffer\nfreed by %s\nused by %s", op, first, debug.Stack()))
	}
}

func (p *checkedPool) report() string {
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
	if text := pool.report(); text != "" {
		fmt.Fprintln(os.Stderr, text)
		rc = 1
	}
	os.Exit(rc)
}

// TestLargeEvents guards against bytes of one answer in another: a stream whose events outgrow the engine's buffer
// made it give that buffer back to its pool and go on using it.
func TestLargeEvents(t *testing.T) {
	cases := map[string]struct{ events, size int }{
		"many small events at once": {5000, 151},
		"large first event":         {4, 70_000},
		"larger than two buffers":   {2, 200_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(r *rig) {
				r.ForwardRequest = func(caller *CallerConn, w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Type", "text/event-stream")
					w.WriteHeader(http.StatusOK)
					for i := range c.events {
						_, _ = w.Write(bytes.Repeat([]byte{byte('a' + i%26)}, c.size))
					}
					_ = caller.Flush()
				}
			})
			text := readAll(r.request("GET", "/", ""))
			require.Len(t, text, c.events*c.size)
			for i := range c.events {
				require.Equal(t, strings.Repeat(string(rune('a'+i%26)), c.size), text[i*c.size:][:c.size], "event %d", i)
			}
			require.Empty(t, pool.report())
		})
	}
}
