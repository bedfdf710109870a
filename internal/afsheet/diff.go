package afsheet

import (
	"slices"

	"arbutusfork.example/arbutusfork"
)

// RowChange is an added, changed or removed row.
type RowChange struct {
	Key RowKey `json:"key"`
	// OldRow is nil for an added row.
	OldRow *arbutusfork.DemandSheetRow `json:"old,omitempty"`
	// NewRow is nil for a removed row.
	NewRow *arbutusfork.DemandSheetRow `json:"new,omitempty"`
}

// DiffSheets returns the rows that differ between the old and the updated sheet, ordered by key.
func DiffSheets(old, updated arbutusfork.DemandSheet) []RowChange {
	changes := []RowChange{}
	unmatchedRows := rowsByKey(old)
	for _, r := range updated.Rows {
		k := RowKeyOf(r)
		if oldRow, ok := unmatchedRows[k]; !ok {
			changes = append(changes, RowChange{Key: k, NewRow: &r})
		} else if oldRow != r {
			changes = append(changes, RowChange{Key: k, OldRow: &oldRow, NewRow: &r})
		}
		delete(unmatchedRows, k)
	}
	for k, r := range unmatchedRows {
		changes = append(changes, RowChange{Key: k, OldRow: &r})
	}
	slices.SortFunc(changes, func(a, b RowChange) int { return compareKeys(a.Key, b.Key) })
	return changes
}

func rowsByKey(s arbutusfork.DemandSheet) map[RowKey]arbutusfork.DemandSheetRow {
	m := make(map[RowKey]arbutusfork.DemandSheetRow, len(s.Rows))
	for _, r := range s.Rows {
		m[RowKeyOf(r)] = r
	}
	return m
}
