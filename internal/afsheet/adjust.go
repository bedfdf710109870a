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
	NoRow      ErrorKind = iota // no such row
	OutOfRange                  // value out of range
)

// Error tells which operation failed and why.
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

// Adjustment names the new values of a row. A nil field keeps the old value.
type Adjustment struct {
	Requests *float64 `json:"requests,omitempty"`
	Tokens   *int64   `json:"tokens,omitempty"`
}

// Adjust returns a copy of the sheet with one row changed. The error is an *Error.
func Adjust(s arbutusfork.DemandSheet, key Key, a Adjustment) (arbutusfork.DemandSheet, error) {
	i := slices.IndexFunc(s.Rows, func(r arbutusfork.DemandSheetRow) bool { return KeyOf(r) == key })
	if i < 0 {
		return s, &Error{Op: "adjust", Kind: NoRow, Err: errors.New(key.String())}
	}
	r := s.Rows[i]
	if a.Requests != nil {
		r.RequestsPerHour = *a.Requests
	}
	if a.Tokens != nil {
		r.TokensPerRequest = *a.Tokens
	}
	if math.IsNaN(r.RequestsPerHour) || r.RequestsPerHour < 0 || r.RequestsPerHour > maxRequests || r.TokensPerRequest < 1 || r.TokensPerRequest > maxTokens {
		return s, &Error{Op: "adjust", Kind: OutOfRange, Err: errors.New(key.String())}
	}
	rows := slices.Clone(s.Rows)
	rows[i] = r
	return arbutusfork.DemandSheet{Rows: rows}, nil
}
