package afobject

import "github.com/go-faster/errors"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error by what the caller may do next.
type ErrorKind int

// The kinds of errors.
const (
	// Unavailable means that the request was not carried out.
	Unavailable ErrorKind = iota // platform unavailable
	// Unknown means that a write may have taken effect. The caller must read back.
	Unknown // outcome unknown
	// NotFound means that the object does not exist.
	NotFound // not found
	// Conflict means that the object has another version or exists already.
	Conflict // version conflict
	// Expired means that the watch's start version is no longer kept.
	Expired // version expired
	// Invalid means that the platform refused the request as malformed.
	Invalid // invalid request
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
