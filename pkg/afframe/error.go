package afframe

import "github.com/go-faster/errors"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	// MalformedFrame means that a frame could not be encoded or decoded.
	MalformedFrame ErrorKind = iota // malformed frame
	// FrameTooLarge means that a frame is longer than MaxFrameBytes.
	FrameTooLarge // frame above the size limit
)

// Error is a failed operation on a frame, with its cause.
type Error struct {
	// Op names the operation.
	Op   string
	Kind ErrorKind
	// Err is the cause, or nil.
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	s := "frame " + e.Op + ": " + e.Kind.String()
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
