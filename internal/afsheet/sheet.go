// Package afsheet reads, checks, compares and changes the demand sheet. It has no effects.
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

// columns are the header's names. A sheet may hold them in any order.
var columns = []string{"model", "customer", "from", "until", "requests", "tokens"}

// RowKey identifies a row: no two rows of one model and customer begin at the same time.
type RowKey struct {
	Model    string `json:"model"`
	Customer string `json:"customer"`
	// StartMinute is in minutes after midnight UTC.
	StartMinute int `json:"from"`
}

// RowKeyOf returns the row's key.
func RowKeyOf(r arbutusfork.DemandSheetRow) RowKey {
	return RowKey{Model: r.Model, Customer: r.Customer, StartMinute: r.StartMinute}
}

// String returns the form used in messages.
func (k RowKey) String() string {
	return k.Model + " of " + k.Customer + " from " + FormatTimeOfDay(k.StartMinute)
}

// FormatCSV returns the sheet as CSV with rows in order of key.
func FormatCSV(s arbutusfork.DemandSheet) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	_ = w.Write(columns) // A bytes.Buffer does not fail.
	for _, r := range sorted(s.Rows) {
		_ = w.Write([]string{
			r.Model, r.Customer, FormatTimeOfDay(r.StartMinute), FormatTimeOfDay(r.EndMinute),
			strconv.FormatFloat(r.RequestsPerHour, 'f', -1, 64), strconv.FormatInt(r.TokensPerRequest, 10),
		})
	}
	w.Flush()
	return b.Bytes()
}

// FormatTimeOfDay returns HH:MM for minutes after midnight.
func FormatTimeOfDay(minutes int) string {
	return fmt.Sprintf("%02d:%02d", minutes/60, minutes%60)
}

// ParseTimeOfDay reads HH:MM as minutes after midnight. 24:00 is the end of the day.
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

func sorted(rows []arbutusfork.DemandSheetRow) []arbutusfork.DemandSheetRow {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, func(a, b arbutusfork.DemandSheetRow) int { return compareKeys(RowKeyOf(a), RowKeyOf(b)) })
	return rows
}

func compareKeys(a, b RowKey) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.StartMinute, b.StartMinute))
}
