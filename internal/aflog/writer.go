package aflog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedBytes bounds the lines that are queued while the output is slow, with the reports of dropped lines.
	maxQueuedBytes = 1 << 20
	// maxDropReportBytes bounds the line that reports dropped lines.
	maxDropReportBytes = 128
)

// AsyncWriter writes log lines from a queue, so that logging never blocks. When the queue is full, it drops lines and later
// writes a line with their number.
type AsyncWriter struct {
	out             io.Writer
	mu              sync.Mutex
	queueChanged    sync.Cond
	queue           []byte
	unreportedDrops int
	droppedTotal    atomic.Uint64
	isClosed        bool
	writerDone      chan struct{}
}

// NewAsyncWriter returns a writer to out and starts the goroutine that writes the queue.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, writerDone: make(chan struct{})}
	w.queueChanged.L = &w.mu
	go w.writeQueued()
	return w
}

// Write queues one line, or drops it when the queue is full or the writer is closed. It never returns an error.
func (w *AsyncWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A report may precede this line, and another one may follow it when the writer is closed.
	if w.isClosed || len(w.queue)+len(b)+2*maxDropReportBytes > maxQueuedBytes {
		w.unreportedDrops++
		w.droppedTotal.Add(1)
		return len(b), nil
	}
	w.queueDropReport()
	w.queue = append(w.queue, b...)
	w.queueChanged.Signal()
	return len(b), nil
}

// queueDropReport queues a line with the number of dropped lines that no line has reported yet. The caller holds mu.
func (w *AsyncWriter) queueDropReport() {
	if w.unreportedDrops > 0 {
		w.queue = fmt.Appendf(w.queue, "{\"level\":\"WARN\",\"msg\":\"log lines left out\",\"count\":%d}\n", w.unreportedDrops)
		w.unreportedDrops = 0
	}
}

// DroppedLines returns the number of lines dropped so far.
func (w *AsyncWriter) DroppedLines() uint64 { return w.droppedTotal.Load() }

// Close returns once all queued lines are written. Later lines are dropped.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.queueDropReport()
	w.isClosed = true
	w.queueChanged.Signal()
	w.mu.Unlock()
	<-w.writerDone
}

func (w *AsyncWriter) writeQueued() {
	defer close(w.writerDone)
	var spare []byte
	for {
		w.mu.Lock()
		for len(w.queue) == 0 && !w.isClosed {
			w.queueChanged.Wait()
		}
		b := w.queue
		w.queue = spare[:0]
		closed := w.isClosed
		w.mu.Unlock()
		if len(b) > 0 {
			_, _ = w.out.Write(b) // A failed write of the log cannot be reported anywhere.
		}
		spare = b
		if closed {
			return
		}
	}
}
