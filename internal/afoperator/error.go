package afoperator

import (
	"net/http"

	"github.com/go-faster/errors"
)

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error by what the operator may do next. Its String is the error code in responses.
type ErrorKind int

// The kinds of errors.
const (
	// InvalidRequest means that the request is malformed or its object is invalid. Nothing changed.
	InvalidRequest ErrorKind = iota // invalid
	// Unauthorized means that the token is missing or wrong.
	Unauthorized // unauthorized
	// ObjectNotFound means that the object does not exist.
	ObjectNotFound // not_found
	// VersionConflict means that the stored version is not the one named in the request. Nothing changed, unless the
	// message says that the change may have taken effect.
	VersionConflict // conflict
	// ObjectInUse means that other objects refer to the object. Nothing changed.
	ObjectInUse // in_use
	// VersionRequired means that the request must name the version that it replaces or deletes. Nothing changed.
	VersionRequired // version_required
	// InvalidSheet means that the uploaded demand sheet has faults. Nothing changed.
	InvalidSheet // sheet_faulty
	// PlatformUnavailable means that the platform is unreachable or did not execute the call. Nothing changed.
	PlatformUnavailable // platform_unavailable
	// OutcomeUnknown means that the change may have taken effect: the platform's response was lost and reading the
	// object afterwards did not settle it.
	OutcomeUnknown // outcome_unknown
	// ServerStopping means that the server is shutting down and rejects new requests. Nothing changed.
	ServerStopping // stopping
	// InternalError means that the server could not start or stop, a handler panicked, or stored data or a response
	// could not be encoded or decoded.
	InternalError // failed
)

var httpStatusByKind = map[ErrorKind]int{
	InvalidRequest:      http.StatusBadRequest,
	Unauthorized:        http.StatusUnauthorized,
	ObjectNotFound:      http.StatusNotFound,
	VersionConflict:     http.StatusConflict,
	ObjectInUse:         http.StatusConflict,
	VersionRequired:     http.StatusPreconditionRequired,
	InvalidSheet:        http.StatusUnprocessableEntity,
	PlatformUnavailable: http.StatusServiceUnavailable,
	OutcomeUnknown:      http.StatusServiceUnavailable,
	ServerStopping:      http.StatusServiceUnavailable,
	InternalError:       http.StatusInternalServerError,
}

// Error reports the failed operation, the kind of the error and its cause.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error

	// detail holds further fields of the error response, such as both versions of a conflict or the faults of a sheet.
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

func newError(op string, kind ErrorKind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Err: errors.Errorf(format, args...)}
}
