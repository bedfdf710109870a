package afoperator

import (
	"net/http"

	"github.com/go-faster/errors"
)

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error by what the operator may do next. The text is the wire form.
type ErrorKind int

// The kinds of errors.
const (
	// Invalid means that the request is malformed or breaks a rule. Nothing changed.
	Invalid ErrorKind = iota // invalid
	// Unauthorized means that the token is missing or wrong.
	Unauthorized // unauthorized
	// NotFound means that the object does not exist.
	NotFound // not_found
	// Conflict means that another change came first. Nothing changed.
	Conflict // conflict
	// InUse means that other objects refer to the object. Nothing changed.
	InUse // in_use
	// NoVersion means that the change must name the version that the operator saw. Nothing changed.
	NoVersion // version_required
	// Faulty means that the sheet has faults. Nothing changed.
	Faulty // sheet_faulty
	// Unavailable means that the platform is down. Nothing changed.
	Unavailable // platform_unavailable
	// Unclear means that the change may have taken effect and reading back failed.
	Unclear // outcome_unknown
	// Stopping means that the server takes no more requests. Nothing changed.
	Stopping // stopping
	// Failed means that the server could not start or stop.
	Failed // failed
)

var kindStatus = map[ErrorKind]int{
	Invalid:      http.StatusBadRequest,
	Unauthorized: http.StatusUnauthorized,
	NotFound:     http.StatusNotFound,
	Conflict:     http.StatusConflict,
	InUse:        http.StatusConflict,
	NoVersion:    http.StatusPreconditionRequired,
	Faulty:       http.StatusUnprocessableEntity,
	Unavailable:  http.StatusServiceUnavailable,
	Unclear:      http.StatusServiceUnavailable,
	Stopping:     http.StatusServiceUnavailable,
	Failed:       http.StatusInternalServerError,
}

// Error tells which operation failed and why.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error

	// detail is added to the answer: both versions of a conflict, or the faults of a sheet.
	detail map[string]any
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	s := "operator " + e.Op + ": " + e.Kind.String()
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

func fail(op string, kind ErrorKind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}
