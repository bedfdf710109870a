package afobject

import "github.com/go-faster/errors"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error by what the caller may do next.
type ErrorKind int

// The kinds of errors.
const (
	// PlatformUnavailable means that a write was not executed, or that a read or watch got no complete answer.
	PlatformUnavailable ErrorKind = iota // platform unavailable
	// OutcomeUnknown means that a write may have taken effect. The caller must read the object to find out.
	OutcomeUnknown // outcome unknown
	// ObjectNotFound means that the object does not exist.
	ObjectNotFound // not found
	// VersionConflict means that the object has another version or exists already.
	VersionConflict // version conflict
	// VersionExpired means that the platform no longer keeps the changes since the start version of a watch.
	VersionExpired // version expired
	// InvalidRequest means that the platform refused the request, or that the request or the answer is malformed.
	InvalidRequest // invalid request
)

// Error describes a failed operation on an object or a collection.
type Error struct {
	// Op is the name of the operation, such as "update".
	Op string
	// Object is the kind and name of the object, or only the kind of a collection.
	Object string
	// Kind classifies the failure.
	Kind ErrorKind
	// Err is the cause. It may be nil.
	Err error
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

// IsKind reports whether err is or wraps an Error of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	e, ok := errors.Into[*Error](err)
	return ok && e.Kind == kind
}
