// Package afsheet parses, formats, compares and adjusts demand sheets, which list the expected requests per hour of each
// model and customer. It performs no input or output.
package afsheet

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"arbutusfork.example/arbutusfork"
)

const minutesPerDay = 24 * 60

// columnNames are the columns of the CSV header. An input may have them in any order.
var columnNames = []string{"model", "customer", "from", "until", "requests", "tokens"}

// RowKey identifies a row of a sheet: no two rows of the same model and customer start at the same time.
type RowKey struct {
	Model    string `json:"model"`
	Customer string `json:"customer"`
	// StartMinute is the start time of the row in minutes after midnight UTC.
	StartMinute int `json:"from"`
}

// RowKeyOf returns the key of r.
func RowKeyOf(r arbutusfork.DemandSheetRow) RowKey {
	return RowKey{Model: r.Model, Customer: r.Customer, StartMinute: r.StartMinute}
}

// String returns the key as "MODEL of CUSTOMER from HH:MM" for messages.
func (k RowKey) String() string {
	return k.Model + " of " + k.Customer + " from " + FormatTimeOfDay(k.StartMinute)
}

// FormatCSV returns the sheet as CSV with its rows ordered by key.
func FormatCSV(s arbutusfork.DemandSheet) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	_ = w.Write(columnNames) // A write to a bytes.Buffer does not fail.
	for _, r := range sortedRows(s.Rows) {
		_ = w.Write([]string{
			r.Model, r.Customer, FormatTimeOfDay(r.StartMinute), FormatTimeOfDay(r.EndMinute),
			strconv.FormatFloat(r.RequestsPerHour, 'f', -1, 64), strconv.FormatInt(r.TokensPerRequest, 10),
		})
	}
	w.Flush()
	return b.Bytes()
}

// FormatTimeOfDay formats minutes after midnight as HH:MM.
func FormatTimeOfDay(minutes int) string {
	return fmt.Sprintf("%02d:%02d", minutes/60, minutes%60)
}

// ParseTimeOfDay parses HH:MM into minutes after midnight. It accepts 24:00 as the end of the day.
func ParseTimeOfDay(text string) (int, bool) {
	hour, minute, ok := strings.Cut(text, ":")
	if !ok || len(hour) != 2 || len(minute) != 2 {
		return 0, false
	}
	h, errHour := strconv.ParseUint(hour, 10, 8)
	m, errMinute := strconv.ParseUint(minute, 10, 8)
	total := int(h)*60 + int(m)
	return total, errHour == nil && errMinute == nil && m < 60 && total <= minutesPerDay
}

func sortedRows(rows []arbutusfork.DemandSheetRow) []arbutusfork.DemandSheetRow {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, func(a, b arbutusfork.DemandSheetRow) int { return compareKeys(RowKeyOf(a), RowKeyOf(b)) })
	return rows
}

func compareKeys(a, b RowKey) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.StartMinute, b.StartMinute))
}
