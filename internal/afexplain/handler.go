package afexplain

import (
	"context"
	"log/slog"
	"slices"
)

// RingHandler is a slog.Handler that records decisions in a DecisionRing and passes every record to the next handler.
type RingHandler struct {
	next slog.Handler
	ring *DecisionRing
	// attrs are the attributes that WithAttrs added before the first group.
	attrs []slog.Attr
	// hasGroup reports whether a group qualifies the names of attributes, so that the request and model attributes cannot be
	// recognised by their keys.
	hasGroup bool
}

// NewHandler returns a handler that adds decisions of level info and above to the ring, even if next is disabled for their
// level, and passes to next the records that next is enabled for.
func (r *DecisionRing) NewHandler(next slog.Handler) *RingHandler {
	return &RingHandler{next: next, ring: r}
}

// Enabled reports whether the ring or the next handler accepts records of the level.
func (h *RingHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo || h.next.Enabled(ctx, level)
}

// Handle adds the record to the ring and passes it to the next handler if that handler is enabled for its level.
func (h *RingHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelInfo && !h.hasGroup {
		h.ring.addRecord(record, h.attrs)
	}
	if !h.next.Enabled(ctx, record.Level) {
		return nil
	}
	return h.next.Handle(ctx, record)
}

// WithAttrs returns a handler that adds the attributes to each record, in the ring and in the next handler.
func (h *RingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	c := *h
	c.next = h.next.WithAttrs(attrs)
	if !h.hasGroup {
		c.attrs = append(slices.Clip(h.attrs), attrs...)
	}
	return &c
}

// WithGroup returns a handler whose records go only to the next handler. The ring leaves them out, since the keys of their
// attributes are qualified by the group.
func (h *RingHandler) WithGroup(name string) slog.Handler {
	if name == "" {
		return h
	}
	c := *h
	c.next = h.next.WithGroup(name)
	c.hasGroup = true
	return &c
}
