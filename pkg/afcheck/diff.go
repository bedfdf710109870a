package afcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Description is a configuration in the form in which two of them are compared.
type Description struct {
	Version int64  `json:"version"`
	Root    Object `json:"root"`
}

// Object is an entry of a configuration, or the configuration as a whole, by the names that operators use. It holds no secrets.
type Object struct {
	// Place is the path of the object. It is empty for the configuration as a whole.
	Place string `json:"place,omitempty"`
	// Fields holds the values as text.
	Fields map[string]string `json:"fields,omitempty"`
	// HiddenFields holds digests of the values that must not be shown.
	HiddenFields map[string][]string `json:"hidden_fields,omitempty"`
	// Children are the entries of the object's lists. No two have the same place.
	Children []Object `json:"children,omitempty"`
}

// ChangeKind tells what happened to an entry or field.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Place is the path of the entry that was added or removed, or of the field that changed.
	Place string `json:"place"`
	// Old and New describe the value of a field. They are empty for an entry.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return "+ " + c.Place
	case Removed:
		return "- " + c.Place
	default:
		return "~ " + c.Place + ": " + c.Old + " -> " + c.New
	}
}

// noValue stands for the value of a field that is not set.
const noValue = "not set"

// Diff returns the differences between two configurations, sorted by place. The order of entries makes no difference. An entry
// that was added or removed is one change.
func Diff(old, updated Description) []Change {
	changes := diffObjects(old.Root, updated.Root)
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Place, b.Place) })
	return changes
}

// CheckVersion returns a finding if VMs that have the old configuration would ignore the updated one. VMs take a configuration only
// with a higher version.
func CheckVersion(old, updated Description) []Finding {
	if updated.Version > old.Version || updated.Version == old.Version && len(Diff(old, updated)) == 0 {
		return nil
	}
	return []Finding{{Severity: Error, Text: fmt.Sprintf("VMs that have version %d ignore the configuration, since its version %d is not above that; use %d",
		old.Version, updated.Version, old.Version+1)}}
}

func diffObjects(old, updated Object) (changes []Change) {
	for _, name := range unionKeys(old.Fields, updated.Fields) {
		before, after := valueText(old.Fields, name), valueText(updated.Fields, name)
		if before != after {
			changes = append(changes, Change{Kind: Changed, Place: joinPlace(updated.Place, name), Old: before, New: after})
		}
	}
	for _, name := range unionKeys(old.HiddenFields, updated.HiddenFields) {
		if c, ok := diffHidden(old.HiddenFields[name], updated.HiddenFields[name]); ok {
			c.Place = joinPlace(updated.Place, name)
			changes = append(changes, c)
		}
	}
	unmatched := make(map[string]Object, len(old.Children))
	for _, o := range old.Children {
		unmatched[o.Place] = o
	}
	for _, o := range updated.Children {
		if before, ok := unmatched[o.Place]; ok {
			changes = append(changes, diffObjects(before, o)...)
			delete(unmatched, o.Place)
			continue
		}
		changes = append(changes, Change{Kind: Added, Place: o.Place})
	}
	for place := range unmatched {
		changes = append(changes, Change{Kind: Removed, Place: place})
	}
	return changes
}

// diffHidden compares the digests of hidden values and describes the change by counts.
func diffHidden(old, updated []string) (Change, bool) {
	added, removed := countMissing(updated, old), countMissing(old, updated)
	if added == 0 && removed == 0 {
		return Change{}, false
	}
	return Change{Kind: Changed, Old: hiddenText(len(old), removed, "removed"), New: hiddenText(len(updated), added, "new")}, true
}

// hiddenText describes hidden values, some of which the other configuration does not have.
func hiddenText(count, different int, what string) string {
	switch {
	case count == 0:
		return noValue
	case different == 0:
		return fmt.Sprintf("%d hidden", count)
	}
	return fmt.Sprintf("%d hidden, %d %s", count, different, what)
}

// countMissing returns the number of values that are not in list.
func countMissing(values, list []string) int {
	n := 0
	for _, v := range values {
		if !slices.Contains(list, v) {
			n++
		}
	}
	return n
}

func unionKeys[V any](a, b map[string]V) []string {
	keys := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

func valueText(fields map[string]string, name string) string {
	if v, ok := fields[name]; ok {
		return v
	}
	return noValue
}

func joinPlace(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}
