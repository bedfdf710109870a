package afverb

import "github.com/go-faster/errors"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error by the exit code.
type ErrorKind int

// The kinds of errors.
const (
	UsageError        ErrorKind = iota // usage
	RequestRefused                     // refused
	ServerUnreachable                  // server unreachable
	MalformedData                      // malformed data
	InvalidSheet                       // sheet has faults
)

// Error tells which verb failed and why.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error

	refusal *refusalBody // refusal is the server's answer, if there is one.
}

// Error returns the verb, the kind and the cause.
func (e *Error) Error() string {
	s := e.Op + ": " + e.Kind.String()
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
