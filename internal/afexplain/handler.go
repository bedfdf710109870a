package afexplain

import (
	"context"
	"log/slog"
	"slices"
)

// RingHandler passes records on and keeps those that are decisions in a ring.
type RingHandler struct {
	next    slog.Handler
	ring    *DecisionRing
	attrs   []slog.Attr // attrs were added by With outside of groups.
	grouped bool        // grouped means that further attributes have other names than their keys.
}

// NewHandler returns a handler that adds records of level info and above to the ring, even if next is not enabled for
// them, and passes records to next as before.
func (r *DecisionRing) NewHandler(next slog.Handler) *RingHandler {
	return &RingHandler{next: next, ring: r}
}

// Enabled reports whether next or the ring takes records of the level.
func (h *RingHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo || h.next.Enabled(ctx, level)
}

// Handle adds the record to the ring and passes it on.
func (h *RingHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelInfo && !h.grouped {
		h.ring.add(record, h.attrs)
	}
	if !h.next.Enabled(ctx, record.Level) {
		return nil
	}
	return h.next.Handle(ctx, record)
}

// WithAttrs returns a handler that adds the attributes to each record.
func (h *RingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	c := *h
	c.next = h.next.WithAttrs(attrs)
	if !h.grouped {
		c.attrs = append(slices.Clip(h.attrs), attrs...)
	}
	return &c
}

// WithGroup returns a handler whose records are not kept, since their attributes belong to the group.
func (h *RingHandler) WithGroup(name string) slog.Handler {
	if name == "" {
		return h
	}
	c := *h
	c.next = h.next.WithGroup(name)
	c.grouped = true
	return &c
}
