package afpeer

import "github.com/go-faster/errors"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error by whether the message may have been handled and by what failed.
type ErrorKind int

// The kinds of errors.
const (
	// VMUnreachable means that the message was not sent.
	VMUnreachable ErrorKind = iota // VM unreachable
	// NoAnswer means that the message may have been handled but no answer came.
	NoAnswer // no answer
	// RefusedByVM means that the other VM's handler failed.
	RefusedByVM // refused by the VM
	// MalformedMessage means that a message could not be encoded or decoded.
	MalformedMessage // malformed message
	// ListenFailed means that the listener could not be opened.
	ListenFailed // listener failed
)

// Error is a failed operation on a VM.
type Error struct {
	Op   string
	VM   string // VM is the name of the other VM, or of this VM if Op is listen.
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
