package afpeer

import "github.com/go-faster/errors"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error by what the caller may do next.
type ErrorKind int

// The kinds of errors.
const (
	// Unreachable means that the message was not sent.
	Unreachable ErrorKind = iota // VM unreachable
	// Broken means that the message may have been handled but no answer came.
	Broken // no answer
	// Refused means that the other VM's handler failed.
	Refused // refused by the VM
	// Malformed means that a message could not be encoded or decoded.
	Malformed // malformed message
	// Listening means that the listener could not be opened.
	Listening // listener failed
)

// Error tells which operation failed on which VM and why.
type Error struct {
	Op   string
	VM   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the VM, the kind and the cause.
func (e *Error) Error() string {
	s := "peer " + e.Op + " " + e.VM + ": " + e.Kind.String()
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
