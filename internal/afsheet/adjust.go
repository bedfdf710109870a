package afsheet

import (
	"math"
	"slices"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
)

//go:generate stringer -type=ErrorKind -linecomment -output=adjust_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	// RowNotFound means that the sheet has no row with the key.
	RowNotFound ErrorKind = iota // no such row
	// ValueOutOfRange means that a value of the adjusted row is not a number within its bounds.
	ValueOutOfRange // value out of range
)

// Error reports the failed operation, the kind of the error and its cause.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	s := "sheet " + e.Op + ": " + e.Kind.String()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the kind.
func IsKind(err error, kind ErrorKind) bool {
	e, ok := errors.Into[*Error](err)
	return ok && e.Kind == kind
}

// RowAdjustment holds the new values of a row. A nil field keeps the old value.
type RowAdjustment struct {
	RequestsPerHour  *float64 `json:"requests,omitempty"`
	TokensPerRequest *int64   `json:"tokens,omitempty"`
}

// AdjustRow returns a copy of the sheet with one row changed. The error is an *Error.
func AdjustRow(s arbutusfork.DemandSheet, key RowKey, a RowAdjustment) (arbutusfork.DemandSheet, error) {
	i := slices.IndexFunc(s.Rows, func(r arbutusfork.DemandSheetRow) bool { return RowKeyOf(r) == key })
	if i < 0 {
		return s, &Error{Op: "adjust", Kind: RowNotFound, Err: errors.New(key.String())}
	}
	r := s.Rows[i]
	if a.RequestsPerHour != nil {
		r.RequestsPerHour = *a.RequestsPerHour
	}
	if a.TokensPerRequest != nil {
		r.TokensPerRequest = *a.TokensPerRequest
	}
	if math.IsNaN(r.RequestsPerHour) || r.RequestsPerHour < 0 || r.RequestsPerHour > maxRequestsPerHour || r.TokensPerRequest < 1 || r.TokensPerRequest > maxTokensPerRequest {
		return s, &Error{Op: "adjust", Kind: ValueOutOfRange, Err: errors.New(key.String())}
	}
	rows := slices.Clone(s.Rows)
	rows[i] = r
	return arbutusfork.DemandSheet{Rows: rows}, nil
}
