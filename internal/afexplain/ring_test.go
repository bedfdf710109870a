package afexplain

import (
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func newLogger(r *DecisionRing, w io.Writer) *slog.Logger {
	return slog.New(r.NewHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelWarn})))
}

// TestRingFindsLoggedDecisions guards against a logged decision that a lookup does not find, also when the log
// level suppresses its output.
func TestRingFindsLoggedDecisions(t *testing.T) {
	var (
		r DecisionRing
		b strings.Builder
	)
	l := newLogger(&r, &b).With("vm", "entry-1")
	l.Info("routed", "request", "r-1", "model", "m-1", "endpoint", "e-3")
	l.Info("placed", "model", "m-1", "endpoint", "e-4")
	l.Info("started", "address", "127.0.0.1:80")
	l.Debug("polled", "model", "m-1")
	require.Empty(t, b.String())
	require.Len(t, r.FindDecisions("r-1", ""), 1)
	require.Len(t, r.FindDecisions("", "m-1"), 2)
	_, ok := r.ExplainDecisions("", "")
	require.False(t, ok)
	v, ok := r.ExplainDecisions("r-1", "")
	require.True(t, ok)
	var line map[string]any
	require.NoError(t, json.Unmarshal(v.([]json.RawMessage)[0], &line))
	require.Equal(t, "e-3", line["endpoint"])
	require.Equal(t, "entry-1", line["vm"])
}

// TestRingKeepsNewestWithinBounds guards against growth beyond either bound, and against dropping the newest decisions
// instead of the oldest.
func TestRingKeepsNewestWithinBounds(t *testing.T) {
	for _, r := range []*DecisionRing{{MaxDecisions: 10}, {MaxBytes: 6000}} {
		l := newLogger(r, io.Discard)
		for i := range 1000 {
			l.Info("routed", "request", strconv.Itoa(i), "text", strings.Repeat("x", 100))
		}
		l.Info("routed", "request", "large", "text", strings.Repeat("x", 7000))
		require.LessOrEqual(t, r.count, r.maxDecisions())
		require.LessOrEqual(t, r.totalBytes, r.maxBytes())
		require.Len(t, r.FindDecisions("999", ""), 1)
		require.Empty(t, r.FindDecisions("900", ""))
	}
}

func BenchmarkAddRecord(b *testing.B) {
	var r DecisionRing
	l := newLogger(&r, io.Discard)
	b.ReportAllocs()
	for b.Loop() {
		l.Info("routed", "request", "r-1", "customer", "nile", "model", "m-1", "endpoint", "e-3", "waiting", 3)
	}
}
