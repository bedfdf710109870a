package afsheet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
)

var testCatalogue = Catalogue{
	ModelExists:    func(name string) bool { return strings.HasPrefix(name, "chat-8b") },
	CustomerExists: func(name string) bool { return name == "nile" || name == "delta" },
}

// TestParseCSV guards against a fault that is missed, is reported at a wrong line or column, or hides later faults.
func TestParseCSV(t *testing.T) {
	files, err := filepath.Glob("testdata/*.csv")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".csv")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			sheet, faults := ParseCSV(data, testCatalogue)
			var b strings.Builder
			for _, f := range faults {
				fmt.Fprintln(&b, f)
			}
			if len(faults) == 0 {
				b.Write(FormatCSV(sheet))
			}
			goldie.New(t).Assert(t, name, []byte(b.String()))
		})
	}
}

// TestParseCSVLimitsFaults guards against a result that grows without limit with the number of faults.
func TestParseCSVLimitsFaults(t *testing.T) {
	_, faults := ParseCSV([]byte(strings.Join(columnNames, ",")+"\n"+strings.Repeat("no\n", 5000)), testCatalogue)
	require.Len(t, faults, maxListedFaults+1)
	require.Contains(t, faults[maxListedFaults].Message, "4500 more")
}

func newRow(model string, startMinute, endMinute int, requestsPerHour float64) arbutusfork.DemandSheetRow {
	return arbutusfork.DemandSheetRow{Model: model, Customer: "nile", StartMinute: startMinute, EndMinute: endMinute, RequestsPerHour: requestsPerHour, TokensPerRequest: 100}
}

// TestDiffSheets guards against a missing difference: operators check the differences before they accept a sheet.
func TestDiffSheets(t *testing.T) {
	old := arbutusfork.DemandSheet{Rows: []arbutusfork.DemandSheetRow{newRow("a", 0, 60, 1), newRow("b", 0, 60, 1), newRow("c", 0, 60, 1)}}
	updated := arbutusfork.DemandSheet{Rows: []arbutusfork.DemandSheetRow{newRow("d", 0, 60, 1), newRow("c", 0, 90, 1), newRow("a", 0, 60, 1)}}
	changes := DiffSheets(old, updated)
	require.Len(t, changes, 3)
	require.Equal(t, "b of nile from 00:00", changes[0].Key.String())
	require.Nil(t, changes[0].NewRow)
	require.Equal(t, 60, changes[1].OldRow.EndMinute)
	require.Equal(t, 90, changes[1].NewRow.EndMinute)
	require.Nil(t, changes[2].OldRow)
	require.Empty(t, DiffSheets(updated, updated))
}

// TestAdjustRow guards against an adjustment that changes another row or the input sheet.
func TestAdjustRow(t *testing.T) {
	requests, tokens, negative := 7.5, int64(9), -1.0
	s := arbutusfork.DemandSheet{Rows: []arbutusfork.DemandSheetRow{newRow("a", 0, 60, 1), newRow("a", 60, 90, 1)}}
	for _, c := range []struct {
		key    RowKey
		change RowAdjustment
		kind   ErrorKind
		ok     bool
	}{
		{RowKey{"a", "nile", 60}, RowAdjustment{RequestsPerHour: &requests, TokensPerRequest: &tokens}, 0, true},
		{RowKey{"a", "nile", 30}, RowAdjustment{RequestsPerHour: &requests}, RowNotFound, false},
		{RowKey{"a", "nile", 60}, RowAdjustment{RequestsPerHour: &negative}, ValueOutOfRange, false},
	} {
		next, err := AdjustRow(s, c.key, c.change)
		if !c.ok {
			require.True(t, IsKind(err, c.kind), "%v", err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, s.Rows[0], next.Rows[0])
		require.Equal(t, arbutusfork.DemandSheetRow{Model: "a", Customer: "nile", StartMinute: 60, EndMinute: 90, RequestsPerHour: 7.5, TokensPerRequest: 9}, next.Rows[1])
		require.Equal(t, 1.0, s.Rows[1].RequestsPerHour)
	}
}
