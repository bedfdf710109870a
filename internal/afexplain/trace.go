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
	// maxLineBytes bounds one log line. ReadLog fails at a longer line.
	maxLineBytes = 1 << 20
	// traceMargin extends the interval from a request's start to its last log line at both ends. Decisions and changes of state
	// within the extended interval may have affected the request.
	traceMargin = 2 * time.Second
)

// logLine is one parsed log line.
type logLine struct {
	loggedAt time.Time
	fields   map[string]any // fields holds all fields of the line by key, also the time.
}

// RequestTrace collects the logs of several processes and writes the timeline of one request.
type RequestTrace struct {
	// RequestID is the request's id, or a prefix that no other request's id has.
	RequestID    string
	lines        []logLine
	skippedLines int // skippedLines counts lines that contain a brace but no JSON object with a valid time.
}

// ReadLog adds the lines of a log. Text before the first brace of a line is ignored, since log collectors add prefixes.
// Lines without a JSON object that has a valid time are skipped. ReadLog fails if r cannot be read or a line is
// longer than maxLineBytes.
func (t *RequestTrace) ReadLog(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		b := scanner.Bytes()
		i := bytes.IndexByte(b, '{')
		if i < 0 {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal(b[i:], &fields) != nil {
			t.skippedLines++
			continue
		}
		text, _ := fields["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			t.skippedLines++
			continue
		}
		t.lines = append(t.lines, logLine{at, fields})
	}
	return scanner.Err()
}

// fieldText returns the field as text, or an empty string if the line has no such field.
func (l logLine) fieldText(key string) string {
	v, ok := l.fields[key]
	if !ok || v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// isRelated reports whether the line belongs to the timeline of the request of t: it names the request, or it was logged
// between notBefore and notAfter and concerns the request's model, its endpoints or one of its servingVMs, the VMs that logged
// the request.
func (l logLine) isRelated(t *RequestTrace, model string, endpoints, servingVMs map[string]bool, notBefore, notAfter time.Time) bool {
	if id := l.fieldText("request"); id != "" {
		return strings.HasPrefix(id, t.RequestID)
	}
	if l.loggedAt.Before(notBefore) || l.loggedAt.After(notAfter) {
		return false
	}
	switch l.fieldText("msg") {
	case "order decided", "order not accepted", "replica closing":
		return model != "" && (l.fieldText("model") == model || strings.HasPrefix(l.fieldText("for"), model)) || endpoints[l.fieldText("endpoint")]
	case "endpoint listed", "endpoint removed", "endpoint no longer listed":
		return endpoints[l.fieldText("endpoint")]
	}
	return anyVMMessages[l.fieldText("msg")] || servingVMMessages[l.fieldText("msg")] && servingVMs[l.fieldText("vm")]
}

var (
	// anyVMMessages are messages that may concern every request, whichever VM logs them.
	anyVMMessages = map[string]bool{"placement lease changed": true, "placement lease given up": true}
	// servingVMMessages are messages that concern only the requests of the VM that logs them.
	servingVMMessages = map[string]bool{
		"placement holder known": true, "placement holder stopped": true, "platform lost": true, "platform regained": true,
		"node started": true, "graceful shutdown started": true, "node stopped": true, "configuration in force": true,
		"log lines left out": true,
	}
)

// WriteTimeline writes the lines that belong to the request in order of time, with times relative to the request's start. It
// fails if no line names the request, or if RequestID is a prefix of several request ids.
func (t *RequestTrace) WriteTimeline(w io.Writer) error {
	var (
		startAt, endAt time.Time
		model, id      string
	)
	endpoints, servingVMs := make(map[string]bool), make(map[string]bool)
	for _, l := range t.lines {
		requestID := l.fieldText("request")
		if requestID == "" || !strings.HasPrefix(requestID, t.RequestID) {
			continue
		}
		if id != "" && requestID != id {
			return errors.Errorf("request id prefix %q matches several requests, among them %s and %s", t.RequestID, id, requestID)
		}
		id = requestID
		servingVMs[l.fieldText("vm")] = true
		if startAt.IsZero() || l.loggedAt.Before(startAt) {
			startAt = l.loggedAt
		}
		if l.loggedAt.After(endAt) {
			endAt = l.loggedAt
		}
		if l.fieldText("msg") == "request ended" {
			model = l.fieldText("model")
			if ns, ok := l.fields["total"].(float64); ok && l.loggedAt.Add(-time.Duration(ns)).Before(startAt) {
				startAt = l.loggedAt.Add(-time.Duration(ns))
			}
		}
		if e := l.fieldText("endpoint"); e != "" {
			endpoints[e] = true
		}
	}
	if id == "" {
		return errors.Errorf("no line names a request whose id begins with %q (%d lines read, %d lines skipped)", t.RequestID, len(t.lines), t.skippedLines)
	}
	slices.SortStableFunc(t.lines, func(a, b logLine) int { return a.loggedAt.Compare(b.loggedAt) })
	for _, l := range t.lines {
		if !l.isRelated(t, model, endpoints, servingVMs, startAt.Add(-traceMargin), endAt.Add(traceMargin)) {
			continue
		}
		if _, err := fmt.Fprintf(w, "%+9.3fs %-18s %s%s\n", l.loggedAt.Sub(startAt).Seconds(), l.fieldText("vm"), l.fieldText("msg"), l.formatFields()); err != nil {
			return err
		}
	}
	return nil
}

// formatFields returns the fields that WriteTimeline does not print in columns, in order of name and with durations in
// milliseconds. Fields that are empty, zero or false are left out.
func (l logLine) formatFields() string {
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
		v := l.fieldText(k)
		if n, ok := l.fields[k].(float64); ok && nanosecondFields[k] {
			v = fmt.Sprintf("%.0fms", n/1e6)
		}
		if v != "" && v != "0" && v != "false" {
			fmt.Fprintf(&b, " %s=%s", k, v)
		}
	}
	return b.String()
}

// nanosecondFields holds the keys of fields whose numbers are durations in nanoseconds.
var nanosecondFields = map[string]bool{
	"total": true, "waited": true, "first": true, "pause": true, "retry_after": true, "left": true, "takes": true, "report_age": true, "outage": true,
}
