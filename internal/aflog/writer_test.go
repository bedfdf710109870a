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

// stalled is a reader that has stopped until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Guards against a daemon that blocks or grows because nobody reads its log, and against lines that vanish unsaid.
func TestFloodWithStoppedReader(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	log := slog.New(slog.NewJSONHandler(w, nil))
	const lines = 50_000
	for i := range lines {
		log.Info("request ended", "request", i) // Blocks for good if the writer waits for the reader.
	}
	require.Positive(t, w.DroppedLines())
	w.mu.Lock()
	require.LessOrEqual(t, len(w.buf), maxQueued)
	w.mu.Unlock()
	close(out.release)
	w.Close()
	text := out.got.String()
	require.Equal(t, lines, strings.Count(text, "request ended")+int(w.DroppedLines()))
	told := 0
	for _, m := range regexp.MustCompile(`"msg":"log lines left out","count":(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(m[1])
		require.NoError(t, err)
		told += n
	}
	require.Equal(t, int(w.DroppedLines()), told)
}
