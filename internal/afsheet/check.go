package afsheet

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
)

const (
	byteOrderMark = "\ufeff"
	// A file of another format yields a fault per line; the first ones suffice to see that.
	maxFaults = 500
	// Numbers above these bounds are typing errors.
	maxRequests = 1e8
	maxTokens   = 1e7
)

// Fault is one error of a sheet. Line and Column count from one; Column counts bytes.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String returns line:column and the message.
func (f Fault) String() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message) }

// Catalogue tells which names exist.
type Catalogue struct {
	ModelExists    func(name string) bool
	CustomerExists func(name string) bool
}

// ParseCSV reads a sheet in CSV. It returns every fault in order of place; without faults, the sheet has its rows in
// order of key.
func ParseCSV(data []byte, c Catalogue) (arbutusfork.DemandSheet, []Fault) {
	k := checker{catalogue: c}
	k.run(data)
	k.overlaps()
	slices.SortStableFunc(k.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if len(k.faults) > maxFaults {
		k.faults = append(k.faults[:maxFaults:maxFaults], Fault{
			Line: k.faults[maxFaults].Line, Column: 1,
			Message: fmt.Sprintf("%d more faults are not listed", len(k.faults)-maxFaults),
		})
	}
	if len(k.faults) > 0 {
		return arbutusfork.DemandSheet{}, k.faults
	}
	rows := make([]arbutusfork.DemandSheetRow, 0, len(k.rows))
	for _, r := range k.rows {
		rows = append(rows, r.row)
	}
	return arbutusfork.DemandSheet{Rows: sorted(rows)}, nil
}

// placed is a row with the place of its start time.
type placed struct {
	row          arbutusfork.DemandSheetRow
	line, column int
}

type checker struct {
	catalogue Catalogue
	reader    *csv.Reader
	shift     int // shift is added to columns of the first line, which lost the byte order mark.
	index     map[string]int
	rows      []placed
	faults    []Fault
}

func (k *checker) fault(line, column int, format string, args ...any) {
	if line == 1 {
		column += k.shift
	}
	k.faults = append(k.faults, Fault{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) run(data []byte) {
	if rest, ok := bytes.CutPrefix(data, []byte(byteOrderMark)); ok {
		data, k.shift = rest, len(byteOrderMark)
	}
	if at := invalidUTF8(data); at >= 0 {
		line := 1 + bytes.Count(data[:at], []byte("\n"))
		k.fault(line, at-bytes.LastIndexByte(data[:at], '\n'), "the text is not UTF-8")
		return
	}
	k.reader = csv.NewReader(bytes.NewReader(data))
	k.reader.FieldsPerRecord = -1 // Counts are checked per row, so that a wrong one does not hide other faults.
	for {
		record, err := k.reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if e, ok := errors.Into[*csv.ParseError](err); ok {
			k.malformed(e)
			if k.index == nil {
				return // Without a header, the rows cannot be read.
			}
			continue
		}
		if k.index == nil {
			if !k.header(record) {
				return
			}
			continue
		}
		k.record(record)
	}
	if k.index == nil && len(k.faults) == 0 {
		k.fault(1, 1, "the sheet is empty; the header is %s", strings.Join(columns, ","))
	}
}

func (k *checker) malformed(e *csv.ParseError) {
	if e.StartLine != e.Line {
		k.fault(e.Line, max(e.Column, 1), "%s; the row begins at line %d", e.Err, e.StartLine)
		return
	}
	k.fault(e.Line, max(e.Column, 1), "%s", e.Err)
}

func invalidUTF8(data []byte) int {
	for at := 0; at < len(data); {
		r, size := utf8.DecodeRune(data[at:])
		if r == utf8.RuneError && size == 1 {
			return at
		}
		at += size
	}
	return -1
}

// header reports whether the columns are complete, so that rows can be read.
func (k *checker) header(record []string) bool {
	k.index = make(map[string]int)
	before := len(k.faults)
	for i, name := range record {
		line, column := k.reader.FieldPos(i)
		name = strings.ToLower(strings.TrimSpace(name))
		if _, ok := k.index[name]; ok {
			k.fault(line, column, "column %q appears twice", name)
		} else if !slices.Contains(columns, name) {
			k.fault(line, column, "unknown column %q", name)
		}
		k.index[name] = i
	}
	line, _ := k.reader.FieldPos(0)
	for _, name := range columns {
		if _, ok := k.index[name]; !ok {
			k.fault(line, 1, "column %q is missing", name)
		}
	}
	return len(k.faults) == before
}

func (k *checker) record(record []string) {
	line, _ := k.reader.FieldPos(0)
	if len(record) != len(columns) {
		k.fault(line, 1, "%d fields instead of %d", len(record), len(columns))
		return
	}
	if k.repeatsHeader(record) {
		k.fault(line, 1, "the header is repeated")
		return
	}
	before := len(k.faults)
	var r arbutusfork.DemandSheetRow
	r.Model = k.name(record, "model", k.catalogue.ModelExists)
	r.Customer = k.name(record, "customer", k.catalogue.CustomerExists)
	r.StartMinute = k.time(record, "from")
	r.EndMinute = k.time(record, "until")
	r.RequestsPerHour = k.requests(record)
	r.TokensPerRequest = k.tokens(record)
	if len(k.faults) > before {
		return
	}
	_, _, column := k.field(record, "until")
	if r.StartMinute >= r.EndMinute {
		k.fault(line, column, "until %s is not after from %s; split a period over midnight into two rows",
			FormatTimeOfDay(r.EndMinute), FormatTimeOfDay(r.StartMinute))
		return
	}
	_, line, column = k.field(record, "from")
	k.rows = append(k.rows, placed{row: r, line: line, column: column})
}

func (k *checker) repeatsHeader(record []string) bool {
	for name, i := range k.index {
		if !strings.EqualFold(strings.TrimSpace(record[i]), name) {
			return false
		}
	}
	return true
}

func (k *checker) field(record []string, name string) (text string, line, column int) {
	i := k.index[name]
	line, column = k.reader.FieldPos(i)
	return strings.TrimSpace(record[i]), line, column
}

func (k *checker) name(record []string, column string, exists func(string) bool) string {
	text, line, at := k.field(record, column)
	switch {
	case text == "":
		k.fault(line, at, "%s is empty", column)
	case exists != nil && !exists(text):
		k.fault(line, at, "unknown %s %q", column, text)
	}
	return text
}

func (k *checker) time(record []string, column string) int {
	text, line, at := k.field(record, column)
	minutes, ok := ParseTimeOfDay(text)
	if !ok {
		k.fault(line, at, "%s %q is not a time as HH:MM from 00:00 to 24:00", column, text)
	}
	return minutes
}

func (k *checker) requests(record []string) float64 {
	text, line, at := k.field(record, "requests")
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || n < 0 || n > maxRequests {
		k.fault(line, at, "requests %q is not a number from 0 to %d", text, int64(maxRequests))
	}
	return n
}

func (k *checker) tokens(record []string) int64 {
	text, line, at := k.field(record, "tokens")
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || n > maxTokens {
		k.fault(line, at, "tokens %q is not a whole number from 1 to %d", text, int64(maxTokens))
	}
	return n
}

// overlaps reports each row that begins before an earlier row of the same model and customer has ended.
func (k *checker) overlaps() {
	rows := slices.Clone(k.rows)
	slices.SortStableFunc(rows, func(a, b placed) int { return compareKeys(RowKeyOf(a.row), RowKeyOf(b.row)) })
	for i := 1; i < len(rows); i++ {
		widest, r := rows[i-1], rows[i]
		if widest.row.Model != r.row.Model || widest.row.Customer != r.row.Customer {
			continue
		}
		if r.row.StartMinute < widest.row.EndMinute {
			k.fault(r.line, r.column, "%s overlaps line %d, which runs from %s until %s", RowKeyOf(r.row), widest.line,
				FormatTimeOfDay(widest.row.StartMinute), FormatTimeOfDay(widest.row.EndMinute))
		}
		if widest.row.EndMinute > r.row.EndMinute {
			// Keeps the row that reaches furthest for the comparison with the next one.
			rows[i] = widest
		}
	}
}
