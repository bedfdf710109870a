// Package afexplain keeps recent routing and placement decisions in memory, so that operators can query the reasons for a
// decision, and reconstructs the timeline of one request from the logs of several VMs.
package afexplain

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
)

// The keys of the log attributes by which decisions are looked up.
const (
	RequestAttributeKey = "request"
	ModelAttributeKey   = "model"
)

const (
	defaultMaxDecisions = 8192
	defaultMaxBytes     = 4 << 20
	// decisionOverheadBytes is the size of a decision without its attributes and the text of its message.
	decisionOverheadBytes = 352
	// attributeOverheadBytes is the size of an attribute without the text of its key and value.
	attributeOverheadBytes = 48
	// maxFoundDecisions bounds the decisions in one answer to an operator.
	maxFoundDecisions = 200
)

// DecisionRing is a ring buffer of decisions in which the newest replace the oldest. The zero value is ready to use. Its
// methods may be called concurrently.
//
// Adding takes one lock, and lookups scan the buffer without an index, since decisions are frequent and lookups are rare.
type DecisionRing struct {
	// MaxDecisions bounds the number of decisions. Zero means 8192. The value is read when the first decision
	// is added.
	MaxDecisions int
	// MaxBytes bounds the estimated memory of the decisions. Zero means 4 MiB.
	MaxBytes int64

	mu sync.Mutex
	// decisions is the ring buffer. It is allocated when the first decision is added.
	decisions []decision
	// oldestIndex is the index of the oldest decision in decisions.
	oldestIndex int
	// count is the number of decisions in the buffer.
	count int
	// totalBytes is the sum of the decisions' estimated sizes. It never exceeds MaxBytes.
	totalBytes int64
}

// decision is the log record of one decision. Its attribute values must not change after logging, since the ring formats
// them at the time of a lookup.
type decision struct {
	record    slog.Record
	requestID string // requestID is the value of the request attribute, or empty.
	modelName string // modelName is the value of the model attribute, or empty.
	sizeBytes int64  // sizeBytes is the estimated memory of the decision.
}

// AddRecord adds the record if it has a request or model attribute. A record larger than MaxBytes is left out.
func (r *DecisionRing) AddRecord(record slog.Record) { r.addRecord(record, nil) }

// addRecord adds the record together with contextAttrs, the attributes that the logger adds to each of its records.
func (r *DecisionRing) addRecord(record slog.Record, contextAttrs []slog.Attr) {
	d := decision{record: record, sizeBytes: decisionOverheadBytes + int64(len(record.Message))}
	for _, a := range contextAttrs {
		d.addAttribute(a)
	}
	record.Attrs(func(a slog.Attr) bool {
		d.addAttribute(a)
		return true
	})
	if d.requestID == "" && d.modelName == "" {
		return
	}
	d.record = record.Clone()
	d.record.AddAttrs(contextAttrs...)

	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.maxBytes()
	if d.sizeBytes > limit {
		return
	}
	if r.decisions == nil {
		r.decisions = make([]decision, r.maxDecisions())
	}
	for r.count == len(r.decisions) || r.totalBytes+d.sizeBytes > limit {
		r.dropOldest()
	}
	r.decisions[(r.oldestIndex+r.count)%len(r.decisions)] = d
	r.count++
	r.totalBytes += d.sizeBytes
}

// addAttribute adds the size of the attribute and stores its value if it names the request or the model.
func (d *decision) addAttribute(a slog.Attr) {
	d.sizeBytes += attributeOverheadBytes + int64(len(a.Key))
	if a.Value.Kind() != slog.KindString {
		return
	}
	text := a.Value.String()
	d.sizeBytes += int64(len(text))
	switch a.Key {
	case RequestAttributeKey:
		d.requestID = text
	case ModelAttributeKey:
		d.modelName = text
	}
}

func (r *DecisionRing) dropOldest() {
	r.totalBytes -= r.decisions[r.oldestIndex].sizeBytes
	r.decisions[r.oldestIndex] = decision{}
	r.oldestIndex = (r.oldestIndex + 1) % len(r.decisions)
	r.count--
}

func (r *DecisionRing) maxDecisions() int {
	if r.MaxDecisions > 0 {
		return r.MaxDecisions
	}
	return defaultMaxDecisions
}

func (r *DecisionRing) maxBytes() int64 {
	if r.MaxBytes > 0 {
		return r.MaxBytes
	}
	return defaultMaxBytes
}

// FindDecisions returns at most 200 decisions on the request or the model, the latest of them, oldest first. An empty request
// or model matches no decision.
func (r *DecisionRing) FindDecisions(request, model string) []slog.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []slog.Record
	for i := r.count - 1; i >= 0 && len(found) < maxFoundDecisions; i-- {
		d := &r.decisions[(r.oldestIndex+i)%len(r.decisions)]
		if (request != "" && d.requestID == request) || (model != "" && d.modelName == model) {
			found = append(found, d.record)
		}
	}
	slices.Reverse(found)
	return found
}

// ExplainDecisions returns the decisions that FindDecisions finds, each as a JSON log line. It returns false if there are none.
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
