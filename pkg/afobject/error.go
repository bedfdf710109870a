package afobject

import "github.com/go-faster/errors"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error by what the caller may do next.
type ErrorKind int

// The kinds of errors.
const (
	// PlatformUnavailable means that the request was not carried out.
	PlatformUnavailable ErrorKind = iota // platform unavailable
	// OutcomeUnknown means that a write may have taken effect. The caller must read back.
	OutcomeUnknown // outcome unknown
	// ObjectNotFound means that the object does not exist.
	ObjectNotFound // not found
	// VersionConflict means that the object has another version or exists already.
	VersionConflict // version conflict
	// VersionExpired means that the watch's start version is no longer kept.
	VersionExpired // version expired
	// InvalidRequest means that the platform refused the request as malformed.
	InvalidRequest // invalid request
)

// Error tells which operation failed on which object and why.
type Error struct {
	Op     string
	Object string
	Kind   ErrorKind
	Err    error
}

// Error returns the operation, the object, the kind and the cause.
func (e *Error) Error() string {
	s := "object " + e.Op + " " + e.Object + ": " + e.Kind.String()
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
