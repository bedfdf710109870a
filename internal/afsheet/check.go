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
	// maxListedFaults bounds the faults that are returned. A file of another format has a fault on every line.
	maxListedFaults = 500
	// maxRequestsPerHour rejects larger values as typing errors.
	maxRequestsPerHour = 1e8
	// maxTokensPerRequest rejects larger values as typing errors.
	maxTokensPerRequest = 1e7
)

// Fault is an error in the text of a sheet.
type Fault struct {
	// Line counts from one.
	Line int `json:"line"`
	// Column is the position in the line in bytes, counted from one.
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String returns the fault as "line:column: message".
func (f Fault) String() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message) }

// Catalogue looks up the names that a sheet may refer to. A nil function accepts every name.
type Catalogue struct {
	// ModelExists reports whether a model of the name exists.
	ModelExists func(name string) bool
	// CustomerExists reports whether a customer of the name exists.
	CustomerExists func(name string) bool
}

// ParseCSV parses a sheet in CSV. If the sheet has faults, it returns them ordered by line and column, and an empty
// sheet. Otherwise it returns the sheet with its rows ordered by key. Faults beyond maxListedFaults are only counted.
func ParseCSV(data []byte, catalogue Catalogue) (arbutusfork.DemandSheet, []Fault) {
	p := parser{catalogue: catalogue}
	p.parseRows(data)
	p.checkOverlaps()
	slices.SortStableFunc(p.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if len(p.faults) > maxListedFaults {
		p.faults = append(p.faults[:maxListedFaults:maxListedFaults], Fault{
			Line: p.faults[maxListedFaults].Line, Column: 1,
			Message: fmt.Sprintf("%d more faults are not listed", len(p.faults)-maxListedFaults),
		})
	}
	if len(p.faults) > 0 {
		return arbutusfork.DemandSheet{}, p.faults
	}
	rows := make([]arbutusfork.DemandSheetRow, 0, len(p.locatedRows))
	for _, r := range p.locatedRows {
		rows = append(rows, r.row)
	}
	return arbutusfork.DemandSheet{Rows: sortedRows(rows)}, nil
}

// locatedRow is a row with the line and column of its start time.
type locatedRow struct {
	row          arbutusfork.DemandSheetRow
	line, column int
}

// parser parses a sheet and collects its faults.
type parser struct {
	catalogue Catalogue
	reader    *csv.Reader
	// firstLineOffset is added to columns of the first line, since the byte order mark is removed before parsing.
	firstLineOffset int
	// columnIndex maps the name of a column to its position. It is nil until the header has been read.
	columnIndex map[string]int
	locatedRows []locatedRow
	faults      []Fault
}

func (p *parser) addFault(line, column int, format string, args ...any) {
	if line == 1 {
		column += p.firstLineOffset
	}
	p.faults = append(p.faults, Fault{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (p *parser) parseRows(data []byte) {
	if rest, ok := bytes.CutPrefix(data, []byte(byteOrderMark)); ok {
		data, p.firstLineOffset = rest, len(byteOrderMark)
	}
	if offset := findInvalidUTF8(data); offset >= 0 {
		line := 1 + bytes.Count(data[:offset], []byte("\n"))
		p.addFault(line, offset-bytes.LastIndexByte(data[:offset], '\n'), "the text is not UTF-8")
		return
	}
	p.reader = csv.NewReader(bytes.NewReader(data))
	// parseRecord checks the number of fields instead, so that a wrong one does not hide later faults.
	p.reader.FieldsPerRecord = -1
	for {
		record, err := p.reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if e, ok := errors.Into[*csv.ParseError](err); ok {
			p.addParseFault(e)
			if p.columnIndex == nil {
				return // Without a header, rows cannot be parsed.
			}
			continue
		}
		if p.columnIndex == nil {
			if !p.parseHeader(record) {
				return
			}
			continue
		}
		p.parseRecord(record)
	}
	if p.columnIndex == nil && len(p.faults) == 0 {
		p.addFault(1, 1, "the sheet is empty; the header is %s", strings.Join(columnNames, ","))
	}
}

func (p *parser) addParseFault(e *csv.ParseError) {
	if e.StartLine != e.Line {
		p.addFault(e.Line, max(e.Column, 1), "%s; the row begins at line %d", e.Err, e.StartLine)
		return
	}
	p.addFault(e.Line, max(e.Column, 1), "%s", e.Err)
}

// findInvalidUTF8 returns the offset of the first invalid byte, or -1.
func findInvalidUTF8(data []byte) int {
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return -1
}

// parseHeader reads the columns of the header and reports whether each expected column appears exactly once and no
// other column appears. Otherwise rows cannot be parsed.
func (p *parser) parseHeader(record []string) bool {
	p.columnIndex = make(map[string]int)
	faultsBefore := len(p.faults)
	for i, name := range record {
		line, column := p.reader.FieldPos(i)
		name = strings.ToLower(strings.TrimSpace(name))
		if _, ok := p.columnIndex[name]; ok {
			p.addFault(line, column, "column %q appears twice", name)
		} else if !slices.Contains(columnNames, name) {
			p.addFault(line, column, "unknown column %q", name)
		}
		p.columnIndex[name] = i
	}
	line, _ := p.reader.FieldPos(0)
	for _, name := range columnNames {
		if _, ok := p.columnIndex[name]; !ok {
			p.addFault(line, 1, "column %q is missing", name)
		}
	}
	return len(p.faults) == faultsBefore
}

func (p *parser) parseRecord(record []string) {
	line, _ := p.reader.FieldPos(0)
	if len(record) != len(columnNames) {
		p.addFault(line, 1, "%d fields instead of %d", len(record), len(columnNames))
		return
	}
	if p.repeatsHeader(record) {
		p.addFault(line, 1, "the header is repeated")
		return
	}
	faultsBefore := len(p.faults)
	var r arbutusfork.DemandSheetRow
	r.Model = p.parseName(record, "model", p.catalogue.ModelExists)
	r.Customer = p.parseName(record, "customer", p.catalogue.CustomerExists)
	r.StartMinute = p.parseTime(record, "from")
	r.EndMinute = p.parseTime(record, "until")
	r.RequestsPerHour = p.parseRequests(record)
	r.TokensPerRequest = p.parseTokens(record)
	if len(p.faults) > faultsBefore {
		return
	}
	_, _, column := p.readField(record, "until")
	if r.StartMinute >= r.EndMinute {
		p.addFault(line, column, "until %s is not after from %s; split a period over midnight into two rows",
			FormatTimeOfDay(r.EndMinute), FormatTimeOfDay(r.StartMinute))
		return
	}
	_, line, column = p.readField(record, "from")
	p.locatedRows = append(p.locatedRows, locatedRow{row: r, line: line, column: column})
}

func (p *parser) repeatsHeader(record []string) bool {
	for name, i := range p.columnIndex {
		if !strings.EqualFold(strings.TrimSpace(record[i]), name) {
			return false
		}
	}
	return true
}

func (p *parser) readField(record []string, name string) (text string, line, column int) {
	i := p.columnIndex[name]
	line, column = p.reader.FieldPos(i)
	return strings.TrimSpace(record[i]), line, column
}

func (p *parser) parseName(record []string, column string, exists func(string) bool) string {
	text, line, textColumn := p.readField(record, column)
	switch {
	case text == "":
		p.addFault(line, textColumn, "%s is empty", column)
	case exists != nil && !exists(text):
		p.addFault(line, textColumn, "unknown %s %q", column, text)
	}
	return text
}

func (p *parser) parseTime(record []string, column string) int {
	text, line, textColumn := p.readField(record, column)
	minutes, ok := ParseTimeOfDay(text)
	if !ok {
		p.addFault(line, textColumn, "%s %q is not a time as HH:MM from 00:00 to 24:00", column, text)
	}
	return minutes
}

func (p *parser) parseRequests(record []string) float64 {
	text, line, textColumn := p.readField(record, "requests")
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || n < 0 || n > maxRequestsPerHour {
		p.addFault(line, textColumn, "requests %q is not a number from 0 to %d", text, int64(maxRequestsPerHour))
	}
	return n
}

func (p *parser) parseTokens(record []string) int64 {
	text, line, textColumn := p.readField(record, "tokens")
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || n > maxTokensPerRequest {
		p.addFault(line, textColumn, "tokens %q is not a whole number from 1 to %d", text, int64(maxTokensPerRequest))
	}
	return n
}

// checkOverlaps reports each row that begins before an earlier row of the same model and customer has ended.
func (p *parser) checkOverlaps() {
	rows := slices.Clone(p.locatedRows)
	slices.SortStableFunc(rows, func(a, b locatedRow) int { return compareKeys(RowKeyOf(a.row), RowKeyOf(b.row)) })
	for i := 1; i < len(rows); i++ {
		latestEnding, r := rows[i-1], rows[i]
		if latestEnding.row.Model != r.row.Model || latestEnding.row.Customer != r.row.Customer {
			continue
		}
		if r.row.StartMinute < latestEnding.row.EndMinute {
			p.addFault(r.line, r.column, "%s overlaps line %d, which runs from %s until %s", RowKeyOf(r.row), latestEnding.line,
				FormatTimeOfDay(latestEnding.row.StartMinute), FormatTimeOfDay(latestEnding.row.EndMinute))
		}
		if latestEnding.row.EndMinute > r.row.EndMinute {
			// The next row is compared with the row that ends last.
			rows[i] = latestEnding
		}
	}
}
