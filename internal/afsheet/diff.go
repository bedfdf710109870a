package afsheet

import (
	"slices"

	"arbutusfork.example/arbutusfork"
)

// RowChange is one difference between two sheets. OldRow is nil for an added row, NewRow for a removed one.
type RowChange struct {
	Key    RowKey                      `json:"key"`
	OldRow *arbutusfork.DemandSheetRow `json:"old,omitempty"`
	NewRow *arbutusfork.DemandSheetRow `json:"new,omitempty"`
}

// DiffSheets returns the differences from one sheet to the next in order of key.
func DiffSheets(from, to arbutusfork.DemandSheet) []RowChange {
	changes := []RowChange{}
	old := byKey(from)
	for _, r := range to.Rows {
		k := RowKeyOf(r)
		if before, ok := old[k]; !ok {
			changes = append(changes, RowChange{Key: k, NewRow: &r})
		} else if before != r {
			changes = append(changes, RowChange{Key: k, OldRow: &before, NewRow: &r})
		}
		delete(old, k)
	}
	for k, r := range old {
		changes = append(changes, RowChange{Key: k, OldRow: &r})
	}
	slices.SortFunc(changes, func(a, b RowChange) int { return compareKeys(a.Key, b.Key) })
	return changes
}

func byKey(s arbutusfork.DemandSheet) map[RowKey]arbutusfork.DemandSheetRow {
	m := make(map[RowKey]arbutusfork.DemandSheetRow, len(s.Rows))
	for _, r := range s.Rows {
		m[RowKeyOf(r)] = r
	}
	return m
}
