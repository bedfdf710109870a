// Package afcheck finds entries of a configuration that have no effect, limits that contradict each other, and the differences
// between two configurations. It performs no input or output and uses no names of the platform: the caller supplies the places
// and the names of the fields that findings show.
package afcheck

import "strconv"

//go:generate stringer -type=Severity -linecomment -output=finding_string.go

// Severity tells what a finding means for the daemon.
type Severity int

// The severities.
const (
	// Warning means that the daemon accepts the configuration, but a part of it has no effect or contradicts another part.
	Warning Severity = iota // warning
	// Error means that the daemon does not put the configuration in force.
	Error // error
)

// MarshalText returns the name of the severity.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the entry or field. It is empty for the configuration as a whole.
	Place string `json:"place"`
	// Text describes the finding and what to do about it.
	Text string `json:"text"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	place := f.Place
	if place == "" {
		place = "configuration"
	}
	return f.Severity.String() + ": " + place + ": " + f.Text
}

// Field identifies a field of an entry.
type Field int

// The fields to which findings refer.
const (
	FieldHost Field = iota
	FieldTargetLatency
	FieldEventInterval
	FieldPriority
	FieldService
	FieldSplit
	FieldMaxAttempts
	FieldResumable
	FieldKeys
	FieldBurst
	FieldModelSize
	FieldAdapterSlots
	FieldColdStart
	FieldColdRate

	fieldCount
)

// Fields returns all fields.
func Fields() []Field {
	fields := make([]Field, fieldCount)
	for i := range fields {
		fields[i] = Field(i)
	}
	return fields
}

func quote(name string) string { return strconv.Quote(name) }
