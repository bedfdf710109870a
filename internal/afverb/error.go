package afverb

import "github.com/go-faster/errors"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error. It determines the exit code of the program and how the error is printed.
type ErrorKind int

// The kinds of errors.
const (
	UsageError        ErrorKind = iota // usage
	RequestRefused                     // refused
	ServerUnreachable                  // server unreachable
	MalformedData                      // malformed data
	InvalidSheet                       // sheet has faults
	ConfigFindings                     // configuration has findings
	CheckNotRun                        // the check could not run
)

// Error reports a failed verb or request.
type Error struct {
	// Op is the verb, or the method and path of the request.
	Op   string
	Kind ErrorKind
	Err  error

	refusal *refusalBody // refusal is the server's refusal. Nil if the server sent none.
}

// Error returns the operation, the kind and the cause.
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
