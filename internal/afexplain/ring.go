// Package afexplain keeps recent routing and placement decisions in memory, for operators who ask why.
package afexplain

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
)

// The names of the attributes by which decisions are found.
const (
	RequestAttributeKey = "request"
	ModelAttributeKey   = "model"
)

const (
	defaultCount = 8192
	defaultBytes = 4 << 20
	// An entry's own size and that of an attribute, without the text that they refer to.
	entryBytes     = 352
	attributeBytes = 48
	// An answer to an operator holds the latest decisions only.
	maxFound = 200
)

// DecisionRing is a bounded record of decisions. The newest replace the oldest. The zero value is ready to use.
//
// Adding takes one lock and no index is kept, since decisions are frequent and questions are rare.
type DecisionRing struct {
	// MaxDecisions bounds the number of decisions. Zero means 8192. It is read at the first AddRecord.
	MaxDecisions int
	// MaxBytes bounds the estimated memory of the decisions. Zero means 4 MiB.
	MaxBytes int64

	mu      sync.Mutex
	entries []entry // entries is a circle that begins at first.
	first   int
	n       int
	bytes   int64 // bytes is the sum of the entries' sizes and never above Bytes.
}

// entry is one decision. Attribute values must not change after they were logged.
type entry struct {
	record  slog.Record
	request string
	model   string
	size    int64
}

// AddRecord records a decision if it has a request or model attribute. Larger decisions than the bound are left out.
func (r *DecisionRing) AddRecord(record slog.Record) { r.add(record, nil) }

func (r *DecisionRing) add(record slog.Record, context []slog.Attr) {
	e := entry{record: record, size: entryBytes + int64(len(record.Message))}
	for _, a := range context {
		e.note(a)
	}
	record.Attrs(func(a slog.Attr) bool {
		e.note(a)
		return true
	})
	if e.request == "" && e.model == "" {
		return
	}
	e.record = record.Clone()
	e.record.AddAttrs(context...)

	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.limit()
	if e.size > limit {
		return
	}
	if r.entries == nil {
		r.entries = make([]entry, r.count())
	}
	for r.n == len(r.entries) || r.bytes+e.size > limit {
		r.drop()
	}
	r.entries[(r.first+r.n)%len(r.entries)] = e
	r.n++
	r.bytes += e.size
}

func (e *entry) note(a slog.Attr) {
	e.size += attributeBytes + int64(len(a.Key))
	if a.Value.Kind() != slog.KindString {
		return
	}
	text := a.Value.String()
	e.size += int64(len(text))
	switch a.Key {
	case RequestAttributeKey:
		e.request = text
	case ModelAttributeKey:
		e.model = text
	}
}

func (r *DecisionRing) drop() {
	r.bytes -= r.entries[r.first].size
	r.entries[r.first] = entry{}
	r.first = (r.first + 1) % len(r.entries)
	r.n--
}

func (r *DecisionRing) count() int {
	if r.MaxDecisions > 0 {
		return r.MaxDecisions
	}
	return defaultCount
}

func (r *DecisionRing) limit() int64 {
	if r.MaxBytes > 0 {
		return r.MaxBytes
	}
	return defaultBytes
}

// FindDecisions returns the latest decisions on the request or the model, oldest first. An empty name matches nothing.
func (r *DecisionRing) FindDecisions(request, model string) []slog.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []slog.Record
	for i := r.n - 1; i >= 0 && len(found) < maxFound; i-- {
		e := &r.entries[(r.first+i)%len(r.entries)]
		if (request != "" && e.request == request) || (model != "" && e.model == model) {
			found = append(found, e.record)
		}
	}
	slices.Reverse(found)
	return found
}

// ExplainDecisions returns the decisions that FindDecisions finds in the form of JSON log lines, and false if there are none.
func (r *DecisionRing) ExplainDecisions(request, model string) (any, bool) {
	found := r.FindDecisions(request, model)
	lines := make([]json.RawMessage, 0, len(found))
	for _, record := range found {
		var b bytes.Buffer
		if err := slog.NewJSONHandler(&b, nil).Handle(context.Background(), record); err == nil {
			lines = append(lines, bytes.TrimSpace(b.Bytes()))
		}
	}
	return lines, len(lines) > 0
}
