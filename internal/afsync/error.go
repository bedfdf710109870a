package afsync

import "github.com/go-faster/errors"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	// VersionUnconfirmed means that a majority of the witnesses did not acknowledge the version before the context ended.
	VersionUnconfirmed ErrorKind = iota // confirmation outstanding
	// MalformedMessage means that a message of another VM could not be decoded.
	MalformedMessage // malformed message
	// NoVMList means that this VM has not received the platform's list of VMs yet.
	NoVMList // no list of VMs
)

// Error is an error of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind ErrorKind
	// Err is the cause. It may be nil.
	Err error
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string {
	s := "configuration sync " + e.Op + ": " + e.Kind.String()
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
