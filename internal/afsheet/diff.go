package afsheet

import (
	"slices"

	"arbutusfork.example/arbutusfork"
)

// Change is one difference between two sheets. Old is nil for an added row, New for a removed one.
type Change struct {
	Key Key                         `json:"key"`
	Old *arbutusfork.DemandSheetRow `json:"old,omitempty"`
	New *arbutusfork.DemandSheetRow `json:"new,omitempty"`
}

// Diff returns the differences from one sheet to the next in order of key.
func Diff(from, to arbutusfork.DemandSheet) []Change {
	changes := []Change{}
	old := byKey(from)
	for _, r := range to.Rows {
		k := KeyOf(r)
		if before, ok := old[k]; !ok {
			changes = append(changes, Change{Key: k, New: &r})
		} else if before != r {
			changes = append(changes, Change{Key: k, Old: &before, New: &r})
		}
		delete(old, k)
	}
	for k, r := range old {
		changes = append(changes, Change{Key: k, Old: &r})
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareKeys(a.Key, b.Key) })
	return changes
}

func byKey(s arbutusfork.DemandSheet) map[Key]arbutusfork.DemandSheetRow {
	m := make(map[Key]arbutusfork.DemandSheetRow, len(s.Rows))
	for _, r := range s.Rows {
		m[KeyOf(r)] = r
	}
	return m
}
