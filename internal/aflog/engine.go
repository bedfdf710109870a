// Package aflog passes the log of nbio, which has one for the process, to slog.
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

// engineLogPeriod and engineLogBurst bound the lines of nbio's log. A flood of bad connections makes nbio log
// one line for each.
const (
	engineLogPeriod = 10 * time.Second
	engineLogBurst  = 10
)

// engineLog passes nbio's log to slog at a bounded rate.
type engineLog struct {
	mu      sync.Mutex
	log     *slog.Logger
	since   time.Time
	lines   int
	dropped int
}

var (
	engineLogger     engineLog
	engineLoggerOnce sync.Once
)

// RouteEngineLog makes nbio log through l, at a bounded rate.
func RouteEngineLog(l *slog.Logger) {
	engineLogger.mu.Lock()
	engineLogger.log = l
	engineLogger.mu.Unlock()
	engineLoggerOnce.Do(func() { logging.SetLogger(&engineLogger) })
}

// Debug drops the line: nbio reports each malformed request there, which the metrics count.
func (e *engineLog) Debug(string, ...any) {}

// Info logs at debug level, since nbio reports its starts and stops there.
func (e *engineLog) Info(format string, v ...any) { e.write(slog.LevelDebug, format, v) }

// Warn logs a warning.
func (e *engineLog) Warn(format string, v ...any) { e.write(slog.LevelWarn, format, v) }

// Error logs an error.
func (e *engineLog) Error(format string, v ...any) { e.write(slog.LevelError, format, v) }

func (e *engineLog) write(level slog.Level, format string, v []any) {
	now := time.Now()
	e.mu.Lock()
	l := e.log
	if now.Sub(e.since) > engineLogPeriod {
		e.since, e.lines = now, 0
	}
	e.lines++
	if l == nil || e.lines > engineLogBurst {
		e.dropped++
		e.mu.Unlock()
		return
	}
	dropped := e.dropped
	e.dropped = 0
	e.mu.Unlock()
	l.Log(context.Background(), level, "network engine", "text", strings.TrimSpace(fmt.Sprintf(format, v...)), "dropped", dropped)
}
