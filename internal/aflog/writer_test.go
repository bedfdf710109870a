package aflog

import (
	"bytes"
	"log/slog"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedOutput blocks writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

// TestWriterDropsLinesWhenOutputBlocks guards against logging that blocks or uses unbounded memory when the output of the
// log blocks, and against dropped lines that no log line counts.
func TestWriterDropsLinesWhenOutputBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	log := slog.New(slog.NewJSONHandler(w, nil))
	const lines = 50_000
	for i := range lines {
		log.Info("request ended", "request", i) // Blocks forever if the writer waits for the output.
	}
	require.Positive(t, w.DroppedLines())
	w.mu.Lock()
	require.LessOrEqual(t, len(w.queue), maxQueuedBytes)
	w.mu.Unlock()
	close(out.release)
	w.Close()
	text := out.written.String()
	require.Equal(t, lines, strings.Count(text, "request ended")+int(w.DroppedLines()))
	reported := 0
	for _, m := range regexp.MustCompile(`"msg":"log lines left out","count":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(m[1])
		require.NoError(t, err)
		reported += n
	}
	require.Equal(t, int(w.DroppedLines()), reported)
}
