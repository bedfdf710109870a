package afexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxLine bounds one log line; longer ones are skipped.
	maxLine = 1 << 20
	// traceMargin is how long before a request's first line and after its last one other decisions may belong to it.
	traceMargin = 2 * time.Second
)

// line is one parsed log line.
type line struct {
	at     time.Time
	fields map[string]any
}

// RequestTrace is the story of one request across the logs of several processes.
type RequestTrace struct {
	// RequestID is the request's id, or a beginning of it that no other request has.
	RequestID string
	lines     []line
	skipped   int
}

// ReadLog adds a log. Text before the first brace of a line is ignored, so that prefixes of log collectors do no harm. It
// fails if the log cannot be read.
func (t *RequestTrace) ReadLog(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		b := s.Bytes()
		i := bytes.IndexByte(b, '{')
		if i < 0 {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal(b[i:], &fields) != nil {
			t.skipped++
			continue
		}
		text, _ := fields["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			t.skipped++
			continue
		}
		t.lines = append(t.lines, line{at, fields})
	}
	return s.Err()
}

func (l line) text(key string) string {
	v, ok := l.fields[key]
	if !ok || v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// about reports whether the line belongs to the story of the request. Served names the VMs that had it.
func (l line) about(t *RequestTrace, model string, endpoints, served map[string]bool, from, to time.Time) bool {
	if id := l.text("request"); id != "" {
		return strings.HasPrefix(id, t.RequestID)
	}
	if l.at.Before(from) || l.at.After(to) {
		return false
	}
	switch l.text("msg") {
	case "order decided", "order not accepted", "replica closing":
		return model != "" && (l.text("model") == model || strings.HasPrefix(l.text("for"), model)) || endpoints[l.text("endpoint")]
	case "endpoint listed", "endpoint removed", "endpoint no longer listed":
		return endpoints[l.text("endpoint")]
	}
	return everywhere[l.text("msg")] || decisive[l.text("msg")] && served[l.text("vm")]
}

// everywhere names lines of any VM that may concern every request, decisive those that concern the VM's own.
var (
	everywhere = map[string]bool{"placement lease changed": true, "placement lease given up": true}
	decisive   = map[string]bool{
		"placement holder known": true, "placement holder stopped": true, "platform lost": true, "platform regained": true,
		"node started": true, "graceful shutdown started": true, "node stopped": true, "configuration in force": true,
		"log lines left out": true,
	}
)

// WriteTimeline prints the story in order of time. It fails if no line names the request, or if lines of two requests match.
func (t *RequestTrace) WriteTimeline(w io.Writer) error {
	var (
		from, to  time.Time
		model, id string
	)
	endpoints, served := make(map[string]bool), make(map[string]bool)
	for _, l := range t.lines {
		got := l.text("request")
		if got == "" || !strings.HasPrefix(got, t.RequestID) {
			continue
		}
		if id != "" && got != id {
			return errors.Errorf("%q begins several requests, among them %s and %s", t.RequestID, id, got)
		}
		id = got
		served[l.text("vm")] = true
		if from.IsZero() || l.at.Before(from) {
			from = l.at
		}
		if l.at.After(to) {
			to = l.at
		}
		if l.text("msg") == "request ended" {
			model = l.text("model")
			if ns, ok := l.fields["total"].(float64); ok && l.at.Add(-time.Duration(ns)).Before(from) {
				from = l.at.Add(-time.Duration(ns))
			}
		}
		if e := l.text("endpoint"); e != "" {
			endpoints[e] = true
		}
	}
	if id == "" {
		return errors.Errorf("no line names a request that begins with %q (%d lines read, %d not understood)", t.RequestID, len(t.lines), t.skipped)
	}
	slices.SortStableFunc(t.lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range t.lines {
		if !l.about(t, model, endpoints, served, from.Add(-traceMargin), to.Add(traceMargin)) {
			continue
		}
		if _, err := fmt.Fprintf(w, "%+9.3fs %-18s %s%s\n", l.at.Sub(from).Seconds(), l.text("vm"), l.text("msg"), l.rest()); err != nil {
			return err
		}
	}
	return nil
}

// rest prints the other fields in order of name, durations in milliseconds.
func (l line) rest() string {
	var names []string
	for k := range l.fields {
		switch k {
		case "time", "level", "msg", "vm":
		default:
			names = append(names, k)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, k := range names {
		v := l.text(k)
		if n, ok := l.fields[k].(float64); ok && durations[k] {
			v = fmt.Sprintf("%.0fms", n/1e6)
		}
		if v != "" && v != "0" && v != "false" {
			fmt.Fprintf(&b, " %s=%s", k, v)
		}
	}
	return b.String()
}

// durations names the fields that hold nanoseconds.
var durations = map[string]bool{
	"total": true, "waited": true, "first": true, "pause": true, "retry_after": true, "left": true, "takes": true, "report_age": true, "outage": true,
}
