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

// Key identifies a row: no two rows of one model and customer begin at the same time.
type Key struct {
	Model    string `json:"model"`
	Customer string `json:"customer"`
	// From is in minutes after midnight UTC.
	From int `json:"from"`
}

// KeyOf returns the row's key.
func KeyOf(r arbutusfork.DemandSheetRow) Key {
	return Key{Model: r.Model, Customer: r.Customer, From: r.StartMinute}
}

// String returns the form used in messages.
func (k Key) String() string {
	return k.Model + " of " + k.Customer + " from " + FormatTime(k.From)
}

// Format returns the sheet as CSV with rows in order of key.
func Format(s arbutusfork.DemandSheet) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	_ = w.Write(columns) // A bytes.Buffer does not fail.
	for _, r := range sorted(s.Rows) {
		_ = w.Write([]string{
			r.Model, r.Customer, FormatTime(r.StartMinute), FormatTime(r.EndMinute),
			strconv.FormatFloat(r.RequestsPerHour, 'f', -1, 64), strconv.FormatInt(r.TokensPerRequest, 10),
		})
	}
	w.Flush()
	return b.Bytes()
}

// FormatTime returns HH:MM for minutes after midnight.
func FormatTime(minutes int) string {
	return fmt.Sprintf("%02d:%02d", minutes/60, minutes%60)
}

// ParseTime reads HH:MM as minutes after midnight. 24:00 is the end of the day.
func ParseTime(text string) (int, bool) {
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
	slices.SortStableFunc(rows, func(a, b arbutusfork.DemandSheetRow) int { return compareKeys(KeyOf(a), KeyOf(b)) })
	return rows
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.From, b.From))
}
