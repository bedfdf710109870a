package afnode

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error.
type ErrorKind int

// The kinds of errors.
const (
	// StartFailed means that a part of the node could not start.
	StartFailed ErrorKind = iota // could not start
)

// Error is the error of a node.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the error.
	Kind ErrorKind
	// Err is the cause.
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "node: " + e.Op + ": " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
