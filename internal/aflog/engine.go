// Package aflog writes log lines without blocking and passes the process-wide log of the network library nbio to slog.
package aflog

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"
)

// At most engineLogMaxLines lines of nbio are logged per engineLogInterval, since nbio logs a line for each failed
// connection.
const (
	engineLogInterval = 10 * time.Second
	engineLogMaxLines = 10
)

// engineLog is the logger of nbio. It passes a bounded number of lines per interval to slog.
type engineLog struct {
	mu                sync.Mutex
	logger            *slog.Logger
	intervalStartedAt time.Time
	intervalLines     int
	droppedLines      int
}

var (
	engineLogger     engineLog
	engineLoggerOnce sync.Once
)

// RouteEngineLog makes nbio log to l, with a bounded number of lines per interval.
func RouteEngineLog(l *slog.Logger) {
	engineLogger.mu.Lock()
	engineLogger.logger = l
	engineLogger.mu.Unlock()
	engineLoggerOnce.Do(func() { logging.SetLogger(&engineLogger) })
}

// Debug drops the line: nbio logs each malformed request at this level, and the metrics count malformed requests.
func (e *engineLog) Debug(string, ...any) {}

// Info logs at debug level, since nbio logs only its own starts and stops at this level.
func (e *engineLog) Info(format string, v ...any) { e.writeLine(slog.LevelDebug, format, v) }

// Warn logs a warning.
func (e *engineLog) Warn(format string, v ...any) { e.writeLine(slog.LevelWarn, format, v) }

// Error logs an error.
func (e *engineLog) Error(format string, v ...any) { e.writeLine(slog.LevelError, format, v) }

func (e *engineLog) writeLine(level slog.Level, format string, v []any) {
	now := time.Now()
	e.mu.Lock()
	l := e.logger
	if now.Sub(e.intervalStartedAt) > engineLogInterval {
		e.intervalStartedAt, e.intervalLines = now, 0
	}
	e.intervalLines++
	if l == nil || e.intervalLines > engineLogMaxLines {
		e.droppedLines++
		e.mu.Unlock()
		return
	}
	dropped := e.droppedLines
	e.droppedLines = 0
	e.mu.Unlock()
	l.Log(context.Background(), level, "network engine", "text", strings.TrimSpace(fmt.Sprintf(format, v...)), "dropped", dropped)
}
