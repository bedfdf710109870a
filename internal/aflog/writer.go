package aflog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueued bounds the bytes that wait for a slow reader of the log.
const maxQueued = 1 << 20

// AsyncWriter passes log lines on without blocking. When the reader is slow it leaves lines out and says how many.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	more    sync.Cond
	buf     []byte
	dropped int
	total   atomic.Uint64
	closed  bool
	done    chan struct{}
}

// NewAsyncWriter starts a writer.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, done: make(chan struct{})}
	w.more.L = &w.mu
	go w.run()
	return w
}

// Write queues one line.
func (w *AsyncWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buf)+len(b) > maxQueued {
		w.dropped++
		w.total.Add(1)
		return len(b), nil
	}
	w.tellDropped()
	w.buf = append(w.buf, b...)
	w.more.Signal()
	return len(b), nil
}

// tellDropped queues a line about those that were left out. The caller holds mu.
func (w *AsyncWriter) tellDropped() {
	if w.dropped > 0 {
		w.buf = fmt.Appendf(w.buf, "{\"level\":\"WARN\",\"msg\":\"log lines left out\",\"count\":%d}\n", w.dropped)
		w.dropped = 0
	}
}

// DroppedLines returns the number of lines that were left out.
func (w *AsyncWriter) DroppedLines() uint64 { return w.total.Load() }

// Close writes what is queued.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.tellDropped()
	w.closed = true
	w.more.Signal()
	w.mu.Unlock()
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var spare []byte
	for {
		w.mu.Lock()
		for len(w.buf) == 0 && !w.closed {
			w.more.Wait()
		}
		b := w.buf
		w.buf = spare[:0]
		closed := w.closed
		w.mu.Unlock()
		if len(b) > 0 {
			_, _ = w.out.Write(b) // There is no other place to report that the log cannot be written.
		}
		spare = b
		if closed {
			return
		}
	}
}
